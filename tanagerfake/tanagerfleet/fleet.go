package tanagerfleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerplatform"
	"tanagersail.example/tanager/tanagertimer"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("tanagerfleet")

// ListenFailed means that the listener of a VM could not be opened.
var ListenFailed = Errors.NewType("listen_failed")

// tickInterval is how often the fleet ends tasks and publishes list changes.
const tickInterval = 5 * time.Millisecond

// Fleet is a fake of all VMs of the platform.
type Fleet struct {
	settings Settings
	timer    tanagertimer.Service
	observer *Observer
	workers  []*worker
	vms      map[string]*fakeVM

	mu       sync.Mutex
	list     []listEntry
	revision uint64
	// changed is closed at the next tick.
	changed chan struct{}
}

// listEntry is one version of a VM's record. The list shows it from visibleAt on.
type listEntry struct {
	vm        tanagerplatform.VM
	revision  uint64
	visibleAt time.Time
}

// New starts the listeners of all VMs and returns the fleet. It returns an error
// of type ListenFailed if a listener cannot be opened.
func New(s Settings, timer tanagertimer.Service) (*Fleet, error) {
	f := &Fleet{
		settings: s,
		timer:    timer,
		observer: NewObserver(),
		vms:      make(map[string]*fakeVM),
		changed:  make(chan struct{}),
	}
	for _, g := range s.Workers {
		if err := f.addWorkers(g); err != nil {
			return nil, err
		}
	}
	for _, g := range s.Targets {
		if err := f.addTargets(g); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) addWorkers(g WorkerGroup) error {
	for i := range g.Count {
		v := newFakeVM(tanagerplatform.VM{
			Name:          fmt.Sprintf("%s-w%d", g.Rack, i),
			Kind:          tanagerplatform.Worker,
			Rack:          g.Rack,
			FailureDomain: g.FailureDomain,
			Region:        g.Region,
			State:         tanagerplatform.Live,
			Capacity:      g.capacity(),
		}, f)
		w := newWorker(v, f.settings.UsageLag)
		if err := f.addVM(v, w.handler()); err != nil {
			return err
		}
		f.workers = append(f.workers, w)
	}
	return nil
}

func (f *Fleet) addTargets(g TargetGroup) error {
	for i := range g.Count {
		v := newFakeVM(tanagerplatform.VM{
			Name:          fmt.Sprintf("%s-%s-t%d", g.Rack, g.Service, i),
			Kind:          tanagerplatform.Target,
			Rack:          g.Rack,
			FailureDomain: g.FailureDomain,
			Region:        g.Region,
			State:         tanagerplatform.Live,
			Service:       g.Service,
			Slots:         g.Slots,
			Connections:   g.Connections,
		}, f)
		if err := f.addVM(v, newTarget(v).handler()); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addVM(v *fakeVM, handler http.Handler) error {
	if err := v.listen(f.settings.Address, handler); err != nil {
		return err
	}
	f.vms[v.record.Name] = v
	f.publish(v.record, 0)
	return nil
}

// publish adds a VM's record to the list, visible after lag.
func (f *Fleet) publish(vm tanagerplatform.VM, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.list = append(f.list, listEntry{
		vm:        vm,
		revision:  f.revision,
		visibleAt: f.timer.Now().Add(lag),
	})
}

// Run ends tasks and publishes changes of the list until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	ticks := f.timer.Every(tickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			f.tick()
		}
	}
}

// tick ends the tasks that are due and wakes the calls that wait for a change of
// the list.
func (f *Fleet) tick() {
	for _, w := range f.workers {
		w.endDueTasks()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// Observations returns the observer's counts and violations so far.
func (f *Fleet) Observations() Observations { return f.observer.Observations() }

// Handler returns the HTTP handler of the VM list and of the fault control
// interface.
func (f *Fleet) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/vms", f.handleList)
	r.Post("/control/vms/{name}", f.handleFaults)
	r.Get("/control/observations", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.Observations())
	})
	return r
}

func (f *Fleet) handleList(w http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.ListCall
	if !decodeBody(w, r, &call) {
		return
	}
	deadline := f.timer.After(time.Duration(call.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		changes, changed := f.changesAfter(call.After)
		if len(changes.VMs) > 0 {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the visible changes after a revision, and a channel that
// is closed at the next tick.
func (f *Fleet) changesAfter(after uint64) (tanagerplatform.VMList, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	list := tanagerplatform.VMList{
		Revision: after,
	}
	for _, e := range f.list {
		if e.visibleAt.After(now) {
			break
		}
		if e.revision > after {
			list.VMs = append(list.VMs, e.vm)
			list.Revision = e.revision
		}
	}
	return list, f.changed
}

func (f *Fleet) handleFaults(w http.ResponseWriter, r *http.Request) {
	v := f.vms[chi.URLParam(r, "name")]
	if v == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var faults VMFaults
	if !decodeBody(w, r, &faults) {
		return
	}
	if record, changed := v.applyFaults(faults); changed {
		f.publish(record, f.settings.ListLag)
	}
	writeJSON(w, http.StatusOK, faults)
}
