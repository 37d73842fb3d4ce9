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

// ListenFailed means that a VM's port could not be opened.
var ListenFailed = Errors.NewType("listen_failed")

// stepInterval is how often the workers look for tasks that have ended.
const stepInterval = 5 * time.Millisecond

// Fleet is the stand-in for all VMs of the platform.
type Fleet struct {
	settings Settings
	timer    tanagertimer.Service
	observer *Observer
	workers  []*worker
	machines map[string]*machine

	mu       sync.Mutex
	list     []listEntry
	revision uint64
	changed  chan struct{}
}

// listEntry is one version of a VM's record, shown once it is due.
type listEntry struct {
	vm       tanagerplatform.VM
	revision uint64
	due      time.Time
}

// New opens the ports of all VMs and returns the fleet.
func New(s Settings, timer tanagertimer.Service) (*Fleet, error) {
	f := &Fleet{
		settings: s,
		timer:    timer,
		observer: NewObserver(),
		machines: make(map[string]*machine),
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
		m := newMachine(tanagerplatform.VM{
			Name:          fmt.Sprintf("%s-w%d", g.Rack, i),
			Kind:          tanagerplatform.Worker,
			Rack:          g.Rack,
			FailureDomain: g.FailureDomain,
			Region:        g.Region,
			State:         tanagerplatform.Live,
			Capacity:      g.capacity(),
		}, f)
		w := newWorker(m, f.settings.UsageLag)
		if err := f.add(m, w.handler()); err != nil {
			return err
		}
		f.workers = append(f.workers, w)
	}
	return nil
}

func (f *Fleet) addTargets(g TargetGroup) error {
	for i := range g.Count {
		m := newMachine(tanagerplatform.VM{
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
		if err := f.add(m, newTarget(m).handler()); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) add(m *machine, handler http.Handler) error {
	if err := m.listen(f.settings.Address, handler); err != nil {
		return err
	}
	f.machines[m.record.Name] = m
	f.publish(m.record, 0)
	return nil
}

// publish shows a VM's record in the list once the lag has passed.
func (f *Fleet) publish(vm tanagerplatform.VM, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.list = append(f.list, listEntry{
		vm:       vm,
		revision: f.revision,
		due:      f.timer.Now().Add(lag),
	})
}

// Run ends tasks and shows changes of the list until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	ticks := f.timer.Every(stepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			f.step()
		}
	}
}

func (f *Fleet) step() {
	for _, w := range f.workers {
		w.step()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// Observations returns what the observer has seen.
func (f *Fleet) Observations() Observations { return f.observer.Observations() }

// Handler returns the HTTP interface of the list and of the control of faults.
func (f *Fleet) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/vms", f.handleList)
	r.Post("/control/vms/{name}", f.handleFaults)
	r.Get("/control/observations", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, f.Observations())
	})
	return r
}

func (f *Fleet) handleList(w http.ResponseWriter, r *http.Request) {
	var call tanagerplatform.ListCall
	if !decode(w, r, &call) {
		return
	}
	deadline := f.timer.After(time.Duration(call.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		list, changed := f.listAfter(call.After)
		if len(list.VMs) > 0 {
			answer(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, http.StatusOK, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (f *Fleet) listAfter(after uint64) (tanagerplatform.VMList, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	list := tanagerplatform.VMList{
		Revision: after,
	}
	for _, e := range f.list {
		if e.due.After(now) {
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
	m := f.machines[chi.URLParam(r, "name")]
	if m == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var faults VMFaults
	if !decode(w, r, &faults) {
		return
	}
	if m.order(faults) {
		f.publish(m.record, f.settings.ListLag)
	}
	answer(w, http.StatusOK, faults)
}
