package tanagersite

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heldDelay bounds how long after a cut has healed a held call is executed.
	heldDelay = time.Second
	// heldCallTimeout bounds the execution of a call whose client may be gone.
	heldCallTimeout = 4 * time.Second
)

// link is the path between one daemon and one worker. The bytes of a cut link wait,
// and its connections stay open.
type link struct {
	mu sync.Mutex
	// cuts counts the cuts in force, drops those that lose new calls.
	cuts, drops int
	// healed is closed when the last cut heals.
	healed chan struct{}
}

// CutLink cuts a worker off from the daemon of a store endpoint until heal is
// called. New calls are lost if drop is set, and executed after the cut otherwise.
// Responses wait.
func (w *Worker) CutLink(daemon int, drop bool) (heal func()) {
	l := w.links[daemon]
	dropped := 0
	if drop {
		dropped = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == 0 {
		l.healed = make(chan struct{})
	}
	l.cuts++
	l.drops += dropped
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.cuts--
		l.drops -= dropped
		if l.cuts == 0 {
			close(l.healed)
		}
	}
}

// state returns whether the link is cut, whether new calls are lost, and a channel
// that is closed when it has healed.
func (l *link) state() (cut, drops bool, healed chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts > 0, l.drops > 0, l.healed
}

// callContextKey is the key of a call's context.
type callContextKey struct{}

// callContext tells where a call came from and whether a cut has held it.
type callContext struct {
	daemon int
	late   bool
}

func callOf(r *http.Request) callContext {
	c, _ := r.Context().Value(callContextKey{}).(callContext)
	return c
}

// throughLinks passes calls to h through the links of the addresses at which they
// arrive.
func (w *Worker) throughLinks(h http.Handler) http.Handler {
	daemonOf := make(map[string]int, len(w.addresses))
	for i, a := range w.addresses {
		daemonOf[a] = i
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
		call := callContext{daemon: daemonOf[local.String()]}
		l := w.links[call.daemon]
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		cut, drops, healed := l.state()
		if cut && (drops || !w.awaitHeal(healed)) {
			<-r.Context().Done()
			return
		}
		call.late = cut
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), heldCallTimeout)
		defer cancel()
		ctx = context.WithValue(ctx, callContextKey{}, call)
		passed := r.WithContext(ctx)
		passed.Body = io.NopCloser(bytes.NewReader(content))
		response := &heldResponse{header: make(http.Header)}
		h.ServeHTTP(response, passed)
		if cut, _, healed := l.state(); cut {
			select {
			case <-healed:
			case <-r.Context().Done():
				return
			}
		}
		response.writeTo(rw, r)
	})
}

// awaitHeal waits until a cut has healed and a little longer. It returns false if
// the worker has restarted meanwhile, which loses the calls to it.
func (w *Worker) awaitHeal(healed chan struct{}) bool {
	w.mu.Lock()
	startTime := w.startTime
	w.mu.Unlock()
	<-healed
	time.Sleep(rand.N(heldDelay))
	return w.isSameIncarnation(startTime)
}

// heldResponse holds a response until it may pass a link.
type heldResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (h *heldResponse) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *heldResponse) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *heldResponse) Write(content []byte) (int, error) { return h.body.Write(content) }

// writeTo writes the response, if there is one.
func (h *heldResponse) writeTo(rw http.ResponseWriter, r *http.Request) {
	if h.status == 0 {
		<-r.Context().Done()
		return
	}
	for name, values := range h.header {
		rw.Header()[name] = values
	}
	rw.WriteHeader(h.status)
	// A write fails only if the client has disconnected.
	_, _ = rw.Write(h.body.Bytes())
}

// CutFromStore keeps a worker's entry from being written until heal is called. The
// entry expires after a time.
func (w *Worker) CutFromStore(entryTime time.Duration) (heal func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCuts++
	time.AfterFunc(entryTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.storeCuts > 0 {
			w.site.deleteKey(entryPrefix + w.id)
		}
	})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.storeCuts--
		if !w.crashed {
			w.register()
		}
	}
}

// RestartAfter ends the worker's process, which loses its runs and connections, and
// starts one under the same id and at the same addresses after a time. The clock of
// the new one is behind by clockBack.
func (w *Worker) RestartAfter(away, clockBack time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed || w.closed {
		return
	}
	w.site.Record().Note("worker_crash", Fields{"worker": w.id, "away_ms": away.Milliseconds(), "unseen": w.ended})
	w.loseRuns()
	w.crashed = true
	w.clockBack = clockBack
	_ = w.server.Close()
	// The server may not know all of its listeners yet.
	for _, l := range w.listeners {
		_ = l.Close()
	}
	time.AfterFunc(away, func() { w.returnFromCrash(true) })
}

// entryPrefix is the prefix of the workers' entries in the store.
const entryPrefix = "servers/"

// localize returns items as the daemon of an endpoint sees them: with the address of
// each worker that is for this daemon.
func (e *StoreEndpoint) localize(items []item) []item {
	if !e.site.settings.WorkerLinks {
		return items
	}
	local := make([]item, len(items))
	for i, it := range items {
		if id, isEntry := strings.CutPrefix(it.Key, entryPrefix); isEntry && !it.Deleted {
			if w := e.site.workerByID(id); w != nil {
				it.Value = w.valueFor(it.Value, e.index)
			}
		}
		local[i] = it
	}
	return local
}

// valueFor returns the value of the worker's entry with the address for a daemon.
// All addresses have the same length.
func (w *Worker) valueFor(value string, daemon int) string {
	content, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return value
	}
	content = bytes.Replace(content, []byte(w.address), []byte(w.addresses[daemon]), 1)
	return base64.StdEncoding.EncodeToString(content)
}
