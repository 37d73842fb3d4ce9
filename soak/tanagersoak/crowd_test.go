package tanagersoak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerwire"
	"tanagersail.example/tanagerfake/tanagersite"
)

// Limits of the daemons under a crowd, and the largest legal body in bytes.
const (
	crowdMemoryMB     = 96
	crowdMaxFiles     = 1024
	crowdMaxBodyBytes = 256 << 10
)

// crowdSize is the number of connections of a crowd, and crowdAttempts how often
// each of its clients connects. A client connects again after the daemon has
// closed its connection.
const (
	crowdSize     = 600
	crowdAttempts = 3
)

// answerTimeout is the bound of the wait for the answer to an ordinary request, far
// above the time that it takes.
const answerTimeout = 90 * time.Second

// crowdWriteTimeout is how long a client of a crowd tries to send.
const crowdWriteTimeout = 10 * time.Second

// crowdTest is a process that faces a crowd.
type crowdTest struct {
	c       *qt.C
	process *os.Process
	exited  <-chan struct{}
	address netip.AddrPort
	// others are the other daemons of the cell.
	others []*daemon
	// maxFiles is the limit of descriptors in the settings of the process.
	maxFiles int
	// answersOrdinaryRequest sends a request over a new connection and reports
	// whether it was served.
	answersOrdinaryRequest func() bool
}

// newCrowdTest starts a cell of three daemons with the limits of a crowd's test, the
// first of which is the process.
func newCrowdTest(t *testing.T, maxFiles int) *crowdTest {
	c := qt.New(t)
	site, err := tanagersite.New(tanagersite.Settings{
		Workers:          6,
		StoreEndpoints:   3,
		MilliCPU:         workerMilliCPU,
		MeanTaskDuration: meanTaskDuration,
		MaxBodyBytes:     crowdMaxBodyBytes,
		QueueTimeout:     time.Minute,
		Seed:             1,
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(site.Close)
	running := &cell{site: site}
	t.Cleanup(running.killDaemons)
	binary, dir, ports := buildDaemon(t), t.TempDir(), newPortPool()
	for i := range 3 {
		_, store := site.StoreEndpoint(i)
		d, err := newDaemon(binary, dir, fmt.Sprintf("d%d", i), ports, store, site.AdviceAddress())
		c.Assert(err, qt.IsNil)
		settings, err := os.ReadFile(d.settingsFile)
		c.Assert(err, qt.IsNil)
		lowered := strings.NewReplacer("memory_mb: 400", fmt.Sprintf("memory_mb: %d", crowdMemoryMB),
			"max_files: 1024", fmt.Sprintf("max_files: %d", maxFiles)).Replace(string(settings))
		c.Assert(os.WriteFile(d.settingsFile, []byte(lowered), 0o600), qt.IsNil)
		c.Assert(d.start(), qt.IsNil)
		running.daemons = append(running.daemons, d)
	}
	for _, d := range running.daemons {
		c.Assert(await(startTimeout, d.isReady), qt.IsTrue, qt.Commentf("log %s", d.logFile))
	}
	first := running.daemons[0]
	test := &crowdTest{
		c:        c,
		process:  first.command.Process,
		exited:   first.exited,
		address:  first.callerAddress,
		others:   running.daemons[1:],
		maxFiles: maxFiles,
	}
	test.answersOrdinaryRequest = func() bool {
		return test.submitJob(bytes.NewReader(smallJob()), nil) == http.StatusOK
	}
	return test
}

// face lets a crowd send to the process and checks that it lives, stays within its
// limits and then answers an ordinary request. The crowd's connections
// stay open until the end of the check.
func (t *crowdTest) face(clients, attempts int, send func(io.ReadWriter) error, reads bool) {
	t.c.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan usage, 1)
	go func() { watched <- watchUsage(ctx, t.process.Pid, t.address) }()
	crowd := startCrowd(t.address, clients, attempts, send, reads)
	crowd.arrived.Wait()
	t.c.Check(await(answerTimeout, t.answersOrdinaryRequest), qt.IsTrue, qt.Commentf("no answer to an ordinary request"))
	cancel()
	peak := <-watched
	crowd.leave()
	for _, d := range t.others {
		t.c.Check(d.failure(), qt.IsNil)
		peak.residentBytes = max(peak.residentBytes, statusBytes(d.command.Process.Pid, "VmHWM:"))
	}
	select {
	case <-t.exited:
		t.c.Errorf("the process has exited")
	default:
	}
	t.c.Logf("peak: %d KiB resident, %d KiB resident and unread, %d descriptors", peak.residentBytes>>10,
		peak.totalBytes>>10, peak.descriptors)
	t.c.Check(max(peak.residentBytes, peak.totalBytes) <= crowdMemoryMB<<20, qt.IsTrue,
		qt.Commentf("%d KiB, at most %d MiB are allowed", max(peak.residentBytes, peak.totalBytes)>>10, crowdMemoryMB))
	t.c.Check(peak.descriptors <= t.maxFiles, qt.IsTrue,
		qt.Commentf("%d descriptors, at most %d are allowed", peak.descriptors, t.maxFiles))
}

var nextCrowdJob atomic.Uint64

func jobPath() string {
	return tanagersite.QueuePrefix + fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8|nextCrowdJob.Add(1)&0xff)
}

// submitJob sends a job over a new connection and returns the status, or 0.
func (t *crowdTest) submitJob(body io.Reader, header http.Header) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+t.address.String()+jobPath(), body)
	t.c.Assert(err, qt.IsNil)
	request.Host = tanagersite.QueueHost
	if header != nil {
		request.Header = header
	}
	return statusOf(request)
}

// statusOf sends a request over a new connection and returns the status of the
// response, or 0 without one.
func statusOf(request *http.Request) int {
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   answerTimeout,
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// smallJob returns a valid job of ordinary size.
func smallJob() []byte {
	return tanagerwire.Encode(map[string]any{
		"spec":  "s",
		"steps": []any{map[string]any{"count": 1, "cpu": 100, "estimate_ms": 300}},
	})
}

// largeJob returns a valid job of a size in bytes, whose steps have more fields.
func largeJob(c *qt.C, size int, fields map[string]any) []byte {
	const longestName = 4000
	steps := make([]map[string]any, 64)
	for i := range steps {
		steps[i] = map[string]any{"count": 1, "cpu": 100, "estimate_ms": 300, "image": strings.Repeat("i", longestName)}
		maps.Copy(steps[i], fields)
	}
	encode := func(spec, rack int) []byte {
		steps[0]["affinity"] = strings.Repeat("r", rack)
		return tanagerwire.Encode(map[string]any{"spec": strings.Repeat("s", spec), "steps": steps})
	}
	// Strings of at least 256 bytes have headers of equal length.
	body := encode(256, 256)
	missing := size - len(body)
	spec := min(256+missing, longestName)
	body = encode(spec, 256+missing-(spec-256))
	c.Assert(body, qt.HasLen, size)
	return body
}

// crowd is a number of clients that stay connected.
type crowd struct {
	arrived  sync.WaitGroup
	finished sync.WaitGroup
	stop     context.CancelFunc
}

// startCrowd starts clients that send and then stay. Each has arrived when it has
// sent all it can on its last attempt, or stays connected. Clients that read
// notice the end of their connection.
func startCrowd(address netip.AddrPort, clients, attempts int, send func(io.ReadWriter) error, reads bool) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{stop: cancel}
	for range clients {
		c.arrived.Add(1)
		c.finished.Add(1)
		go func() {
			defer c.finished.Done()
			arrived := sync.OnceFunc(c.arrived.Done)
			defer arrived()
			for range attempts {
				stay(ctx, address, send, reads, arrived)
			}
		}()
	}
	return c
}

// stay connects, sends and stays until the end of the connection or of ctx.
func stay(ctx context.Context, address netip.AddrPort, send func(io.ReadWriter) error, reads bool, arrived func()) {
	connection, err := net.Dial("tcp", address.String())
	if err != nil || ctx.Err() != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	_ = connection.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	if err := send(connection); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	arrived()
	if !reads {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, connection)
}

// leave closes the connections of the crowd.
func (c *crowd) leave() {
	c.stop()
	c.finished.Wait()
}

// usage is the largest use of memory and descriptors that was seen of a process.
type usage struct {
	residentBytes int64
	// totalBytes includes the bytes that the process has received and not read.
	totalBytes  int64
	descriptors int
}

// watchUsage samples the usage of a process until the end of ctx.
func watchUsage(ctx context.Context, pid int, address netip.AddrPort) usage {
	var peak usage
	for {
		resident := statusBytes(pid, "VmRSS:")
		peak.totalBytes = max(peak.totalBytes, resident+unreadBytes(address.Port()))
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		peak.descriptors = max(peak.descriptors, len(entries))
		if ctx.Err() != nil {
			peak.residentBytes = statusBytes(pid, "VmHWM:")
			return peak
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// statusBytes returns a size from the status of a process, or 0.
func statusBytes(pid int, key string) int64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(content), key)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10
}

// unreadBytes returns the bytes that wait in the receive queues of the connections
// to a port.
func unreadBytes(port uint16) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	const listening = "0A"
	var total int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += n
	}
	return total
}

// jobHead returns the head of a request that submits a job, with more fields.
func jobHead(fields string) string {
	return "POST " + jobPath() + " HTTP/1.1\r\nHost: " + tanagersite.QueueHost + "\r\n" + fields + "\r\n"
}

// withBody sends a request with a body.
func withBody(head func(fields string) string, body []byte) func(io.ReadWriter) error {
	return func(w io.ReadWriter) error {
		_, err := io.WriteString(w, head(fmt.Sprintf("Content-Length: %d\r\n", len(body)))+string(body))
		return err
	}
}

// answered is like withBody, and waits for the response.
func answered(head func(fields string) string, body []byte) func(io.ReadWriter) error {
	return func(w io.ReadWriter) error {
		if err := withBody(head, body)(w); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(w), nil)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
}

// stalledBody sends all bytes but the last of a body, in pieces.
func stalledBody(head func(fields string) string, size, pieceBytes int) func(io.ReadWriter) error {
	return func(w io.ReadWriter) error {
		if _, err := io.WriteString(w, head(fmt.Sprintf("Content-Length: %d\r\n", size))); err != nil {
			return err
		}
		piece := make([]byte, pieceBytes)
		for rest := size - 1; rest > 0; rest -= min(rest, pieceBytes) {
			if _, err := w.Write(piece[:min(rest, pieceBytes)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// stalledChunks is like stalledBody with a chunked body.
func stalledChunks(head func(fields string) string, size, chunkBytes int) func(io.ReadWriter) error {
	return func(w io.ReadWriter) error {
		b := bufio.NewWriterSize(w, 16<<10)
		if _, err := b.WriteString(head("Transfer-Encoding: chunked\r\n")); err != nil {
			return err
		}
		chunk := make([]byte, chunkBytes)
		for rest := size - 1; rest > 0; rest -= min(rest, chunkBytes) {
			n := min(rest, chunkBytes)
			if _, err := fmt.Fprintf(b, "%x\r\n%s\r\n", n, chunk[:n]); err != nil {
				return err
			}
		}
		return b.Flush()
	}
}

// endless sends a text that does not end a head.
func endless(text string) func(io.ReadWriter) error {
	return func(w io.ReadWriter) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

// unread sends requests without a body on and on.
func unread(request string) func(io.ReadWriter) error {
	return func(w io.ReadWriter) error {
		for {
			if _, err := io.WriteString(w, strings.Repeat(request, 100)); err != nil {
				return err
			}
		}
	}
}

// Guards against a daemon that holds all bytes of bodies that stop coming: the
// limit of one body does not bound their sum.
func TestCrowdOfStalledBodies(t *testing.T) {
	for name, pieceBytes := range map[string]int{
		"whole":     crowdMaxBodyBytes,
		"in_pieces": 4 << 10,
	} {
		t.Run(name, func(t *testing.T) {
			newCrowdTest(t, crowdMaxFiles).face(crowdSize, crowdAttempts, stalledBody(jobHead, crowdMaxBodyBytes, pieceBytes), true)
		})
	}
}

// Guards against the same with chunked bodies, whose length is not announced.
func TestCrowdOfStalledChunks(t *testing.T) {
	for name, chunkBytes := range map[string]int{
		"large": 64 << 10,
		"small": 16,
	} {
		t.Run(name, func(t *testing.T) {
			newCrowdTest(t, crowdMaxFiles).face(crowdSize, crowdAttempts, stalledChunks(jobHead, crowdMaxBodyBytes, chunkBytes), true)
		})
	}
}

// Guards against heads that grow without end: one long field, many short fields,
// which take far more memory than they have bytes, or empty lines.
func TestCrowdOfEndlessHeads(t *testing.T) {
	start := "POST " + jobPath() + " HTTP/1.1\r\nHost: " + tanagersite.QueueHost + "\r\n"
	for name, text := range map[string]string{
		"one_field":   start + "X: " + strings.Repeat("x", 1_000_000),
		"many_fields": start + manyFields(15_000),
		"empty_lines": strings.Repeat("\r\n", 500_000),
		"long_target": "GET /" + strings.Repeat("x", 1_000_000),
	} {
		t.Run(name, func(t *testing.T) {
			newCrowdTest(t, crowdMaxFiles).face(crowdSize, crowdAttempts, endless(text), true)
		})
	}
}

// manyFields returns header fields with different names that have a number of
// bytes.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// Guards against heads of legal size with many fields, which the daemon keeps
// while it waits for the body.
func TestCrowdOfManyFields(t *testing.T) {
	newCrowdTest(t, crowdMaxFiles).face(crowdSize, crowdAttempts,
		endless(jobHead("Content-Length: 10\r\n"+manyFields(15_000))), true)
}

// Guards against complete bodies of legal size that take hundreds of times their
// size when they are decoded.
func TestBodiesOfManySteps(t *testing.T) {
	body := tanagerwire.Encode(map[string]any{"spec": "", "steps": make([]struct{}, 261_888)})
	newCrowdTest(t, crowdMaxFiles).face(3, 1, answered(jobHead, body), true)
}

// Guards against complete jobs of the largest legal size, whose bodies and records
// take their size in several places until they are stored.
func TestCrowdOfLargeJobs(t *testing.T) {
	body := largeJob(qt.New(t), crowdMaxBodyBytes, nil)
	newCrowdTest(t, crowdMaxFiles).face(crowdSize, 1, answered(jobHead, body), true)
}

// Guards against accepted jobs of the largest legal size, which the scheduler holds
// until some time after their end. These never end. A few clients send one after the
// other until each has so many accepted that they exceed the memory, or is refused.
func TestCrowdOfAcceptedJobs(t *testing.T) {
	const clients, jobsPerClient, refusalsPerClient = 4, 120, 5
	body := largeJob(qt.New(t), crowdMaxBodyBytes, map[string]any{"persistent": true})
	test := newCrowdTest(t, crowdMaxFiles)
	test.face(clients, 1, func(io.ReadWriter) error {
		for accepted, refused := 0, 0; accepted < jobsPerClient && refused < refusalsPerClient; {
			switch test.submitJob(bytes.NewReader(body), nil) {
			case http.StatusOK:
				accepted++
			case http.StatusTooManyRequests:
				refused++
			default:
				time.Sleep(storePause)
			}
		}
		return nil
	}, true)
}

// storePause is the pause of a client after a submission that could not be stored.
const storePause = 20 * time.Millisecond

// Guards against connections without a request that take the descriptors which the
// daemon needs for the store, workers and other daemons.
func TestCrowdOfIdleConnections(t *testing.T) {
	newCrowdTest(t, 300).face(crowdSize, crowdAttempts, func(io.ReadWriter) error { return nil }, true)
}

// Guards against requests that are sent on and on by clients that read no
// response.
func TestCrowdThatDoesNotRead(t *testing.T) {
	newCrowdTest(t, crowdMaxFiles).face(crowdSize, 1,
		unread("GET "+jobPath()+" HTTP/1.1\r\nHost: "+tanagersite.QueueHost+"\r\n\r\n"), false)
}

// Guards against limits that a legal request meets in calm: a body of exactly the
// largest size in any form, and a head of many KiB.
func TestLargestLegalRequestsAreServed(t *testing.T) {
	test := newCrowdTest(t, crowdMaxFiles)
	c := test.c
	body := largeJob(c, crowdMaxBodyBytes, nil)
	for name, reader := range map[string]io.Reader{
		"whole":        bytes.NewReader(body),
		"large_chunks": &pieces{content: body, size: 64 << 10},
		"small_chunks": &pieces{content: body, size: 16},
		"dripped":      &pieces{content: body, size: 16 << 10, pause: 2 * time.Second / 16},
	} {
		c.Check(test.submitJob(reader, nil), qt.Equals, http.StatusOK, qt.Commentf("%s", name))
	}
	header := http.Header{"X": []string{strings.Repeat("x", 15_000)}}
	c.Check(test.submitJob(bytes.NewReader(smallJob()), header), qt.Equals, http.StatusOK)
}

// pieces reads content in pieces of a size, with a pause after each.
type pieces struct {
	content []byte
	size    int
	pause   time.Duration
}

// Read implements io.Reader.
func (p *pieces) Read(b []byte) (int, error) {
	if len(p.content) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.content[:min(p.size, len(p.content))])
	p.content = p.content[n:]
	time.Sleep(p.pause)
	return n, nil
}
