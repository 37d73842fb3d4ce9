package tanagercheck

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// contact is how long a machine must be without a fault to be in touch.
	contact = 3 * time.Second
	// maxLatency is the longest time that a request or a response takes without a
	// fault.
	maxLatency = 2 * time.Millisecond
	// maxLateness is the longest time after which a call without a response is
	// executed.
	maxLateness = 8 * time.Second
)

// world is the platform and the cell of one walk. Its mutex guards the state of the
// store, the workers and the rules.
type world struct {
	plan    Plan
	startAt time.Time
	verbose bool
	done    chan struct{}

	mu       sync.Mutex
	dice     map[string]uint64
	entries  []Entry
	store    *store
	workers  []*worker
	machines []*machine
	network  *network
	rules    *rules
	// leader is the machine whose election was stored last. targets are the machines
	// that the faults concern, once they have begun.
	leader int
	// elections counts the elections that the store has recorded.
	elections int
	targets   map[int]int
	ongoing   sync.WaitGroup
}

func newWorld(p Plan, verbose bool) *world {
	w := &world{
		plan:    p,
		startAt: time.Now(),
		verbose: verbose,
		done:    make(chan struct{}),
		dice:    make(map[string]uint64),
		targets: make(map[int]int),
	}
	w.rules = newRules(w)
	w.store = newStore(w)
	w.network = newNetwork(w)
	for i := range p.Workers {
		w.workers = append(w.workers, newWorker(w, i))
	}
	for i := range p.Daemons {
		w.machines = append(w.machines, newMachine(w, i))
	}
	return w
}

// now returns the time since the start of the walk.
func (w *world) now() time.Duration { return time.Since(w.startAt) }

// random returns the random numbers of the next call with a key. They do not depend
// on the order of calls with other keys.
func (w *world) random(key string) *rand.Rand {
	w.mu.Lock()
	n := w.dice[key]
	w.dice[key] = n + 1
	w.mu.Unlock()
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return rand.New(rand.NewPCG(w.plan.Seed^n<<32, h.Sum64()))
}

// log adds an entry to the trace. The caller holds the lock.
func (w *world) log(from, to, job, format string, arguments ...any) {
	w.entries = append(w.entries, Entry{
		At:   w.now(),
		From: from,
		To:   to,
		Job:  job,
		What: fmt.Sprintf(format, arguments...),
	})
}

// target returns the machine that a fault concerns, -1 before it begins. The caller
// holds the lock.
func (w *world) target(index int) int {
	if m, ok := w.targets[index]; ok {
		return m
	}
	f := &w.plan.Faults[index]
	if w.now() < f.At {
		return -1
	}
	m := f.Daemon
	if f.OnLeader {
		m = w.leader
	}
	w.targets[index] = m
	return m
}

// active returns a fault of one of the kinds that concerns a machine at this time,
// or nil.
func (w *world) active(machine int, concerns func(f *Fault) bool) *Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for i := range w.plan.Faults {
		f := &w.plan.Faults[i]
		if now < f.At || now >= f.end() {
			continue
		}
		target := w.target(i)
		if f.Kind == StoreDown || f.Kind == Partition {
			if concerns(f) && (f.Kind == StoreDown || target == machine) {
				return f
			}
			continue
		}
		if target == machine && concerns(f) {
			return f
		}
	}
	return nil
}

// inTouch reports whether a machine has been without a fault for the contact time.
// The caller holds the lock.
func (w *world) inTouch(machine int) bool {
	now := w.now()
	if now-w.machines[machine].startedAt < contact {
		return false
	}
	for i := range w.plan.Faults {
		f := &w.plan.Faults[i]
		if now < f.At || now >= f.end()+contact {
			continue
		}
		switch f.Kind {
		case StoreDown, DropHistory, Partition, LossyStore, SlowStore, CutStore:
			// These are taken for faults of the store, which concern all machines.
			return false
		case RestartWorker, HideWorker:
		default:
			if w.target(i) == machine {
				return false
			}
		}
	}
	return true
}

// workersCut reports whether a machine and a worker cannot reach each other.
func (w *world) workersCut(machine, worker int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for i := range w.plan.Faults {
		f := &w.plan.Faults[i]
		if now < f.At || now >= f.end() {
			continue
		}
		inSet := f.Workers>>worker&1 == 1
		switch f.Kind {
		case CutWorkers:
			if w.target(i) == machine && inSet {
				return true
			}
		case Partition:
			if (w.target(i) == machine) != inSet {
				return true
			}
		}
	}
	return false
}

// peersCut reports whether two machines cannot reach each other.
func (w *world) peersCut(a, b int) bool {
	concerns := func(f *Fault) bool { return f.Kind == CutPeers || f.Kind == Partition }
	return a != b && (w.active(a, concerns) != nil || w.active(b, concerns) != nil)
}

// sleep waits and reports whether the walk goes on.
func (w *world) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.done:
		return false
	}
}

// spawn runs a function that ends with the walk.
func (w *world) spawn(f func()) {
	w.ongoing.Add(1)
	go func() {
		defer w.ongoing.Done()
		f()
	}()
}

func latency(r *rand.Rand) time.Duration { return time.Duration(1 + r.Int64N(int64(maxLatency))) }

// daemonLog writes the log of a daemon to the trace.
type daemonLog struct {
	world *world
	name  string
}

// Write implements io.Writer.
func (l daemonLog) Write(line []byte) (int, error) {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	l.world.log(l.name, "", "", "%s", line[:len(line)-1])
	return len(line), nil
}

func (w *world) logger(name string) zerolog.Logger {
	if !w.verbose {
		return zerolog.Nop()
	}
	return zerolog.New(daemonLog{
		world: w,
		name:  name,
	})
}
