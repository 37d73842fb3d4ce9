package tanagerplace

import (
	"time"

	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

// Worker describes one worker.
type Worker struct {
	Name          string
	FailureDomain string
	Rack          string
	Capacity      tanagerresource.Vector
}

// Policy tells how to choose among workers that fit.
type Policy uint8

// The policies.
const (
	// Dense fills workers up.
	Dense Policy = iota
	// Spread keeps the tasks of a job in different failure domains and racks.
	Spread
)

// Demand is one task to place.
type Demand struct {
	Job       string
	Resources tanagerresource.Vector
	Policy    Policy
}

// Holding is what a task holds on a worker.
type Holding struct {
	Task   string
	Job    string
	Branch string
	Class  tanagerqueue.Class
	// Declared is what was asked for.
	Declared tanagerresource.Vector
	// Observed is the most that the task was seen to use.
	Observed tanagerresource.Vector
	// Checkpointable tasks lose nothing when they are stopped.
	Checkpointable bool
	Started        time.Time

	worker *workerRow
}

// Holds returns the larger of declared and observed.
func (h *Holding) Holds() tanagerresource.Vector { return h.Declared.Max(h.Observed) }

// Worker returns the name of the worker.
func (h *Holding) Worker() string { return h.worker.Name }

// workerRow is the table row of one worker.
type workerRow struct {
	Worker
	domain   *domain
	held     tanagerresource.Vector
	holdings map[string]*Holding
	open     bool
	health   health
	// bucket and position are the row's place in its index, order its place in
	// the fleet's list.
	bucket   int
	position int
	order    int
}

func (w *workerRow) free() tanagerresource.Vector { return w.Capacity.Minus(w.held) }

// domain is the table row of one failure domain.
type domain struct {
	name    string
	index   *index
	workers int
}

// Settings of a Fleet.
type Settings struct {
	// FailuresToIsolate is the number of different jobs that fail in a row
	// before a worker is isolated; zero means 3.
	FailuresToIsolate int
	// Isolation is the length of the first isolation; zero means 30 seconds.
	Isolation time.Duration
}

// Fleet is the account of the workers that one owner places on.
type Fleet struct {
	settings Settings
	workers  map[string]*workerRow
	order    []*workerRow
	domains  []*domain
	holdings map[string]*Holding
	spread   map[string]*jobSpread
	total    tanagerresource.Vector
	held     tanagerresource.Vector
	misses   []tanagerresource.Vector
}

// New returns an empty fleet.
func New(s Settings) *Fleet {
	if s.FailuresToIsolate == 0 {
		s.FailuresToIsolate = 3
	}
	if s.Isolation == 0 {
		s.Isolation = 30 * time.Second
	}
	return &Fleet{
		settings: s,
		workers:  make(map[string]*workerRow),
		holdings: make(map[string]*Holding),
		spread:   make(map[string]*jobSpread),
	}
}

// SetWorker adds a worker that is closed to new tasks, or changes the capacity
// of a known one.
func (f *Fleet) SetWorker(w Worker) {
	row := f.workers[w.Name]
	if row == nil {
		d := f.domain(w.FailureDomain)
		d.workers++
		row = &workerRow{
			domain:   d,
			holdings: make(map[string]*Holding),
			bucket:   -1,
			order:    len(f.order),
		}
		f.workers[w.Name] = row
		f.order = append(f.order, row)
	}
	f.total = f.total.Minus(row.Capacity).Plus(w.Capacity)
	row.Worker = w
	f.reindex(row)
	f.ForgetMisses()
}

// Open makes a worker take new tasks, or not. A closed worker keeps its tasks.
func (f *Fleet) Open(name string, open bool) {
	row := f.workers[name]
	if row == nil || row.open == open {
		return
	}
	row.open = open
	f.reindex(row)
	f.ForgetMisses()
}

// RemoveWorker forgets a worker and everything it holds.
func (f *Fleet) RemoveWorker(name string) {
	row := f.workers[name]
	if row == nil {
		return
	}
	for id := range row.holdings {
		f.Release(id)
	}
	row.open = false
	f.reindex(row)
	f.total = f.total.Minus(row.Capacity)
	row.domain.workers--
	last := f.order[len(f.order)-1]
	f.order[row.order] = last
	last.order = row.order
	f.order = f.order[:len(f.order)-1]
	delete(f.workers, name)
}

func (f *Fleet) domain(name string) *domain {
	for _, d := range f.domains {
		if d.name == name {
			return d
		}
	}
	d := &domain{
		name:  name,
		index: newIndex(),
	}
	f.domains = append(f.domains, d)
	return d
}

// reindex puts a worker into the bucket of its free resources.
func (f *Fleet) reindex(row *workerRow) {
	row.domain.index.remove(row)
	if row.open {
		row.domain.index.add(row)
	}
}

// Total returns the capacity of all workers.
func (f *Fleet) Total() tanagerresource.Vector { return f.total }

// Held returns what the tasks of all workers hold.
func (f *Fleet) Held() tanagerresource.Vector { return f.held }

// Workers returns the number of workers.
func (f *Fleet) Workers() int { return len(f.workers) }

// Possible reports whether some worker could hold the resources when empty.
func (f *Fleet) Possible(r tanagerresource.Vector) bool {
	for _, w := range f.workers {
		if r.Fits(w.Capacity) {
			return true
		}
	}
	return false
}

// Hold notes that a task holds resources on a worker. The task must not be held
// already. It reports false if the worker is not known.
func (f *Fleet) Hold(worker string, h Holding) bool {
	row := f.workers[worker]
	if row == nil {
		return false
	}
	if f.holdings[h.Task] != nil {
		panic("tanagerplace: task " + h.Task + " is held already")
	}
	h.worker = row
	f.holdings[h.Task] = &h
	row.holdings[h.Task] = &h
	f.change(row, h.Holds())
	f.countSpread(&h, 1)
	return true
}

// Release notes that a task holds nothing any more.
func (f *Fleet) Release(task string) {
	h := f.holdings[task]
	if h == nil {
		return
	}
	delete(f.holdings, task)
	delete(h.worker.holdings, task)
	f.ForgetMisses()
	f.change(h.worker, tanagerresource.Vector{}.Minus(h.Holds()))
	f.countSpread(h, -1)
}

// Holding returns what a task holds, or nil.
func (f *Fleet) Holding(task string) *Holding { return f.holdings[task] }

// Observe notes what a task was seen to use and returns by how much its holding
// has grown.
func (f *Fleet) Observe(task string, usage tanagerresource.Vector) tanagerresource.Vector {
	h := f.holdings[task]
	if h == nil {
		return tanagerresource.Vector{}
	}
	before := h.Holds()
	h.Observed = h.Observed.Max(usage)
	growth := h.Holds().Minus(before)
	if !growth.IsZero() {
		f.change(h.worker, growth)
	}
	return growth
}

func (f *Fleet) change(row *workerRow, v tanagerresource.Vector) {
	row.held = row.held.Plus(v)
	f.held = f.held.Plus(v)
	f.reindex(row)
}
