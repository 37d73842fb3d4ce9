package tanagerplace

import (
	"time"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// Worker identifies a worker and gives its location and capacity.
type Worker struct {
	Name          string
	FailureDomain string
	Rack          string
	Capacity      tanagerresource.Vector
}

// Policy selects among the workers that a task fits on.
type Policy uint8

// The policies.
const (
	// BinPack packs tasks onto as few workers as possible.
	BinPack Policy = iota
	// Spread distributes the tasks of a job over failure domains and racks.
	Spread
)

// Demand describes one task to place.
type Demand struct {
	Job       string
	Resources tanagerresource.Vector
	Policy    Policy
}

// Allocation is the allocation of one task on a worker.
type Allocation struct {
	Task   string
	Job    string
	Branch string
	Class  tanagerqueue.Class
	// Declared is the requested amount.
	Declared tanagerresource.Vector
	// Observed is the peak usage reported so far, per resource.
	Observed tanagerresource.Vector
	// Checkpointable tasks lose no progress when they are stopped.
	Checkpointable bool
	Started        time.Time

	worker *workerState
}

// Amount returns the resources charged to the worker: the larger of declared
// and observed, per resource.
func (a *Allocation) Amount() tanagerresource.Vector { return a.Declared.Max(a.Observed) }

// Worker returns the name of the worker.
func (a *Allocation) Worker() string { return a.worker.Name }

// workerState is a worker with its allocations and its position in the index.
type workerState struct {
	Worker
	domain      *failureDomain
	allocated   tanagerresource.Vector
	allocations map[string]*Allocation
	schedulable bool
	health      health
	// bucket is the worker's bucket in the index of its failure domain, or -1 if
	// it is not indexed. bucketPosition is its offset in that bucket,
	// fleetPosition its offset in Fleet.workerList.
	bucket         int
	bucketPosition int
	fleetPosition  int
}

func (w *workerState) free() tanagerresource.Vector { return w.Capacity.Sub(w.allocated) }

// failureDomain holds the index of the workers of one failure domain.
type failureDomain struct {
	name        string
	index       *index
	workerCount int
}

// Settings configures a Fleet.
type Settings struct {
	// FailedJobsToIsolate is the number of different jobs that must fail in a row
	// before a worker is isolated; zero means 3.
	FailedJobsToIsolate int
	// InitialIsolation is the duration of a worker's first isolation; zero means
	// 30 seconds.
	InitialIsolation time.Duration
}

// Fleet tracks the workers of one owner and the allocations on them.
type Fleet struct {
	settings    Settings
	workers     map[string]*workerState
	workerList  []*workerState
	domains     []*failureDomain
	allocations map[string]*Allocation
	jobSpreads  map[string]*jobSpread
	capacity    tanagerresource.Vector
	allocated   tanagerresource.Vector
	unplaceable []tanagerresource.Vector
}

// New returns an empty fleet.
func New(s Settings) *Fleet {
	if s.FailedJobsToIsolate == 0 {
		s.FailedJobsToIsolate = 3
	}
	if s.InitialIsolation == 0 {
		s.InitialIsolation = 30 * time.Second
	}
	return &Fleet{
		settings:    s,
		workers:     make(map[string]*workerState),
		allocations: make(map[string]*Allocation),
		jobSpreads:  make(map[string]*jobSpread),
	}
}

// SetWorker adds a worker, which accepts no tasks until SetSchedulable is called,
// or changes the capacity and the place of a known one.
func (f *Fleet) SetWorker(worker Worker) {
	w := f.workers[worker.Name]
	if w == nil {
		d := f.findOrAddDomain(worker.FailureDomain)
		d.workerCount++
		w = &workerState{
			domain:        d,
			allocations:   make(map[string]*Allocation),
			bucket:        -1,
			fleetPosition: len(f.workerList),
		}
		f.workers[worker.Name] = w
		f.workerList = append(f.workerList, w)
	}
	f.capacity = f.capacity.Sub(w.Capacity).Add(worker.Capacity)
	for _, a := range w.allocations {
		f.updateSpread(a, -1)
	}
	if w.domain.name != worker.FailureDomain {
		f.moveToDomain(w, worker.FailureDomain)
	}
	w.Worker = worker
	for _, a := range w.allocations {
		f.updateSpread(a, 1)
	}
	f.reindex(w)
	f.ClearUnplaceable()
}

// moveToDomain moves a worker to another failure domain.
func (f *Fleet) moveToDomain(w *workerState, name string) {
	w.domain.index.remove(w)
	w.domain.workerCount--
	w.domain = f.findOrAddDomain(name)
	w.domain.workerCount++
}

// SetSchedulable sets whether a worker accepts new tasks. Tasks already on the
// worker are unaffected.
func (f *Fleet) SetSchedulable(name string, schedulable bool) {
	w := f.workers[name]
	if w == nil || w.schedulable == schedulable {
		return
	}
	w.schedulable = schedulable
	f.reindex(w)
	f.ClearUnplaceable()
}

// RemoveWorker removes a worker and releases its allocations.
func (f *Fleet) RemoveWorker(name string) {
	w := f.workers[name]
	if w == nil {
		return
	}
	for id := range w.allocations {
		f.Release(id)
	}
	w.schedulable = false
	f.reindex(w)
	f.capacity = f.capacity.Sub(w.Capacity)
	w.domain.workerCount--
	last := f.workerList[len(f.workerList)-1]
	f.workerList[w.fleetPosition] = last
	last.fleetPosition = w.fleetPosition
	f.workerList = f.workerList[:len(f.workerList)-1]
	delete(f.workers, name)
}

// findOrAddDomain returns the failure domain with the given name, which it adds
// if it is new.
func (f *Fleet) findOrAddDomain(name string) *failureDomain {
	for _, d := range f.domains {
		if d.name == name {
			return d
		}
	}
	d := &failureDomain{
		name:  name,
		index: newIndex(),
	}
	f.domains = append(f.domains, d)
	return d
}

// reindex moves a worker to the bucket of its free capacity, or out of the index
// if it is not schedulable.
func (f *Fleet) reindex(w *workerState) {
	w.domain.index.remove(w)
	if w.schedulable {
		w.domain.index.add(w)
	}
}

// Capacity returns the summed capacity of all workers.
func (f *Fleet) Capacity() tanagerresource.Vector { return f.capacity }

// Allocated returns the summed allocations of all tasks.
func (f *Fleet) Allocated() tanagerresource.Vector { return f.allocated }

// Workers returns the number of workers.
func (f *Fleet) Workers() int { return len(f.workers) }

// Feasible reports whether some worker, if it were empty, could fit the
// resources.
func (f *Fleet) Feasible(r tanagerresource.Vector) bool {
	for _, w := range f.workers {
		if r.FitsIn(w.Capacity) {
			return true
		}
	}
	return false
}

// Allocate allocates the resources of a task on a worker. It returns false if the
// worker is unknown and panics if the task already has an allocation.
func (f *Fleet) Allocate(worker string, a Allocation) bool {
	w := f.workers[worker]
	if w == nil {
		return false
	}
	if f.allocations[a.Task] != nil {
		panic("tanagerplace: task " + a.Task + " already has an allocation")
	}
	a.worker = w
	f.allocations[a.Task] = &a
	w.allocations[a.Task] = &a
	f.addAllocated(w, a.Amount())
	f.updateSpread(&a, 1)
	return true
}

// Release frees the allocation of a task. It does nothing if there is none.
func (f *Fleet) Release(task string) {
	a := f.allocations[task]
	if a == nil {
		return
	}
	delete(f.allocations, task)
	delete(a.worker.allocations, task)
	f.ClearUnplaceable()
	f.addAllocated(a.worker, tanagerresource.Vector{}.Sub(a.Amount()))
	f.updateSpread(a, -1)
}

// Allocation returns the allocation of a task, or nil.
func (f *Fleet) Allocation(task string) *Allocation { return f.allocations[task] }

// RecordUsage records the reported usage of a task and returns by how much its
// allocation grows.
func (f *Fleet) RecordUsage(task string, usage tanagerresource.Vector) tanagerresource.Vector {
	a := f.allocations[task]
	if a == nil {
		return tanagerresource.Vector{}
	}
	before := a.Amount()
	a.Observed = a.Observed.Max(usage)
	growth := a.Amount().Sub(before)
	if !growth.IsZero() {
		f.addAllocated(a.worker, growth)
	}
	return growth
}

// addAllocated adds v, which may be negative, to the allocated resources of a
// worker and of the fleet.
func (f *Fleet) addAllocated(w *workerState, v tanagerresource.Vector) {
	w.allocated = w.allocated.Add(v)
	f.allocated = f.allocated.Add(v)
	f.reindex(w)
}
