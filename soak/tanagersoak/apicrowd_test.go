package tanagersoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagertimer"
	"tanagersail.example/tanagerfake/tanagerfleet"
	"tanagersail.example/tanagerfake/tanagerkv"
)

const apiSettings = `daemon:
  name: d1
  failure_domain: a
  region: south
  http_address: %s
  peer_address: %s
  peer_token: crowd-peer-token-1
platform:
  store: %s
  vm_list: %s
limits:
  memory_mb: %d
  max_files: %d
callers:
  - {token: crowd-caller-token, branch: red}
operators:
  - {token: crowd-operator-token, name: centre}
`

// apiCrowdSize is the number of clients of a crowd at the API, and apiMaxBodyBytes
// the largest legal body there.
const (
	apiCrowdSize    = 300
	apiMaxBodyBytes = 1 << 20
)

// apiHead returns the head of a request to a service, with more fields.
func apiHead(fields string) string {
	return "POST /v1/services/ladder/requests/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer crowd-caller-token\r\n" +
		"Tanager-Timeout: 5s\r\n" + fields + "\r\n"
}

// newAPICrowdTest starts a daemon of the first design, with its platform.
func newAPICrowdTest(t *testing.T, maxFiles int) *crowdTest {
	c := qt.New(t)
	ports := newPortPool()
	var addresses [2]netip.AddrPort
	for i := range addresses {
		var err error
		addresses[i], err = ports.take()
		c.Assert(err, qt.IsNil)
	}
	store, fleet := startAPIPlatform(c)
	dir := t.TempDir()
	file, log := filepath.Join(dir, "d1.yaml"), filepath.Join(dir, "d1.log")
	settings := fmt.Sprintf(apiSettings, addresses[0], addresses[1], store, fleet, crowdMemoryMB, maxFiles)
	c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	output, err := os.Create(log)
	c.Assert(err, qt.IsNil)
	command := exec.Command(buildDaemon(t), "run", "--settings", file)
	command.Stderr = output
	c.Assert(command.Start(), qt.IsNil)
	exited := make(chan struct{})
	go func() {
		// The exit status does not matter: the test kills the process.
		_ = command.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-exited
		_ = output.Close()
	})
	test := &crowdTest{
		c:        c,
		process:  command.Process,
		exited:   exited,
		address:  addresses[0],
		maxFiles: maxFiles,
	}
	branch := map[string]any{
		"revision": 0,
		"intent":   map[string]any{"kind": "set_branch", "branch": "red", "rules": map[string]any{"weight": 1}},
	}
	c.Assert(await(startTimeout, func() bool {
		return test.post("/v1/plans/confirm", "crowd-operator-token", branch) == http.StatusOK
	}), qt.IsTrue, qt.Commentf("log %s", log))
	test.answersOrdinaryRequest = func() bool {
		return test.post("/v1/services/ladder/requests/x", "crowd-caller-token", map[string]any{"work_ms": 1}) == http.StatusOK
	}
	c.Assert(await(startTimeout, test.answersOrdinaryRequest), qt.IsTrue, qt.Commentf("log %s", log))
	return test
}

// startAPIPlatform starts the store and the VMs.
func startAPIPlatform(c *qt.C) (store, fleet net.Addr) {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	timer := tanagertimer.NewReal()
	kv := tanagerkv.New(timer)
	go kv.Run(ctx)
	vms, err := tanagerfleet.New(tanagerfleet.Settings{
		Address: netip.MustParseAddr("127.0.0.1"),
		Targets: []tanagerfleet.TargetGroup{{
			Service:       "ladder",
			Rack:          "ta",
			FailureDomain: "a",
			Region:        "south",
			Count:         2,
			Slots:         8,
			Connections:   60,
		}},
	}, timer)
	c.Assert(err, qt.IsNil)
	go vms.Run(ctx)
	serve := func(h http.Handler) net.Addr {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: h}
		go func() { _ = server.Serve(listener) }()
		c.Cleanup(func() { _ = server.Close() })
		return listener.Addr()
	}
	return serve(kv.Handler()), serve(vms.Handler())
}

// post sends a call over a new connection and returns the status, or 0.
func (t *crowdTest) post(path, token string, body any) int {
	content, err := json.Marshal(body)
	t.c.Assert(err, qt.IsNil)
	request, err := http.NewRequest(http.MethodPost, "http://"+t.address.String()+path, bytes.NewReader(content))
	t.c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+token)
	return statusOf(request)
}

// Guards the API of `tanagerd run` against the crowds that a cell's daemon meets:
// bodies, heads, connections and responses that are not read.
func TestAPICrowds(t *testing.T) {
	whole := []byte(`{"work_ms":2000,"padding":"` + strings.Repeat("x", apiMaxBodyBytes-29) + `"}`)
	start := strings.TrimSuffix(apiHead(""), "\r\n")
	for name, test := range map[string]struct {
		send     func(io.ReadWriter) error
		attempts int
		ignores  bool
		maxFiles int
	}{
		"stalled_bodies": {
			send: stalledBody(apiHead, apiMaxBodyBytes, apiMaxBodyBytes),
		},
		"stalled_chunks": {
			send: stalledChunks(apiHead, apiMaxBodyBytes, 16),
		},
		"whole_bodies": {
			send:     answered(apiHead, whole),
			attempts: 1,
		},
		"endless_field": {
			send: endless(start + "X: " + strings.Repeat("x", 1_000_000)),
		},
		"many_fields": {
			send: endless(apiHead("Content-Length: 10\r\n" + manyFields(15_000))),
		},
		"idle": {
			send:     endless(""),
			maxFiles: 150,
		},
		"unread": {
			send:     unread("GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"),
			attempts: 1,
			ignores:  true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			attempts, maxFiles := test.attempts, test.maxFiles
			if attempts == 0 {
				attempts = crowdAttempts
			}
			if maxFiles == 0 {
				maxFiles = crowdMaxFiles
			}
			newAPICrowdTest(t, maxFiles).face(apiCrowdSize, attempts, test.send, !test.ignores)
		})
	}
}

// Guards against limits that a legal request meets in calm.
func TestLargestLegalAPIRequestIsServed(t *testing.T) {
	test := newAPICrowdTest(t, crowdMaxFiles)
	body := map[string]any{"work_ms": 1, "padding": ""}
	empty, err := json.Marshal(body)
	test.c.Assert(err, qt.IsNil)
	body["padding"] = strings.Repeat("x", apiMaxBodyBytes-len(empty))
	test.c.Check(test.post("/v1/services/ladder/requests/x", "crowd-caller-token", body), qt.Equals, http.StatusOK)
}
