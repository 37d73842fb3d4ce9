package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"text/tabwriter"
	"time"

	"tanagersail.example/tanager/tanagerplace"
	"tanagersail.example/tanager/tanagerresource"
)

// cellKind is the shape of a fleet.
type cellKind struct {
	name     string
	capacity tanagerresource.Vector
	// accelerated is the part of the workers with accelerators.
	accelerated float64
}

var (
	benThanh = cellKind{
		name: "Bến Thành",
		capacity: tanagerresource.Vector{
			CPU:    60000,
			Memory: 250000,
		},
	}
	obermaier = cellKind{
		name: "Obermaier",
		capacity: tanagerresource.Vector{
			CPU:    16000,
			Memory: 32000,
		},
	}
	target = cellKind{
		name: "target",
		capacity: tanagerresource.Vector{
			CPU:    60000,
			Memory: 250000,
		},
		accelerated: 0.31,
	}
)

// acceleratorsPerWorker is the number on a worker that has any: 27,000 on 31% of
// 11,000 workers.
const acceleratorsPerWorker = 8

// placer is a placement policy under measurement.
type placer interface {
	choose(r tanagerresource.Vector) (string, bool)
	hold(worker, task string, r tanagerresource.Vector)
	release(task string)
}

// indexed is the policy of the daemon.
type indexed struct {
	fleet *tanagerplace.Fleet
	now   time.Time
}

func (p *indexed) choose(r tanagerresource.Vector) (string, bool) {
	return p.fleet.SelectWorker(tanagerplace.Demand{
		Job:       "job",
		Resources: r,
		Policy:    tanagerplace.BinPack,
	}, p.now)
}

func (p *indexed) hold(worker, task string, r tanagerresource.Vector) {
	p.fleet.Allocate(worker, tanagerplace.Allocation{
		Task:     task,
		Job:      "job",
		Declared: r,
	})
}

func (p *indexed) release(task string) { p.fleet.Release(task) }

// scanWorker is a worker of the policies that scan all workers.
type scanWorker struct {
	name string
	free tanagerresource.Vector
}

// scan looks at every worker: first fit, or best fit as the naive optimum.
type scan struct {
	workers []*scanWorker
	byName  map[string]*scanWorker
	tasks   map[string]scanTask
	best    bool
}

type scanTask struct {
	worker *scanWorker
	r      tanagerresource.Vector
}

func (p *scan) choose(r tanagerresource.Vector) (string, bool) {
	var chosen *scanWorker
	for _, w := range p.workers {
		if !r.FitsIn(w.free) {
			continue
		}
		if !p.best {
			return w.name, true
		}
		if chosen == nil || tighter(w.free, chosen.free) {
			chosen = w
		}
	}
	if chosen == nil {
		return "", false
	}
	return chosen.name, true
}

// tighter compares free resources, accelerators first.
func tighter(a, b tanagerresource.Vector) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators < b.Accelerators
	}
	return a.CPU*4+a.Memory < b.CPU*4+b.Memory
}

func (p *scan) hold(worker, task string, r tanagerresource.Vector) {
	w := p.byName[worker]
	w.free = w.free.Sub(r)
	p.tasks[task] = scanTask{
		worker: w,
		r:      r,
	}
}

func (p *scan) release(task string) {
	t := p.tasks[task]
	t.worker.free = t.worker.free.Add(t.r)
	delete(p.tasks, task)
}

// fleetOf makes the same workers for each policy.
func fleetOf(kind cellKind, workers int) (*indexed, *scan, *scan, tanagerresource.Vector) {
	f := tanagerplace.New(tanagerplace.Settings{})
	first := &scan{
		byName: make(map[string]*scanWorker),
		tasks:  make(map[string]scanTask),
	}
	best := &scan{
		byName: make(map[string]*scanWorker),
		tasks:  make(map[string]scanTask),
		best:   true,
	}
	var total tanagerresource.Vector
	for i := range workers {
		w := tanagerplace.Worker{
			Name:          fmt.Sprintf("w%d", i),
			FailureDomain: string(rune('a' + i%6)),
			Rack:          fmt.Sprintf("r%d", i/8),
			Capacity:      kind.capacity,
		}
		if float64(i%100) < kind.accelerated*100 {
			w.Capacity.Accelerators = acceleratorsPerWorker
		}
		total = total.Add(w.Capacity)
		f.SetWorker(w)
		f.SetSchedulable(w.Name, true)
		first.add(w)
		best.add(w)
	}
	return &indexed{
		fleet: f,
		now:   time.Unix(0, 0),
	}, first, best, total
}

func (p *scan) add(w tanagerplace.Worker) {
	row := &scanWorker{
		name: w.Name,
		free: w.Capacity,
	}
	p.workers = append(p.workers, row)
	p.byName[w.Name] = row
}

// demandOf draws a task: mostly small ones, some large, a few with accelerators.
func demandOf(kind cellKind, random *rand.Rand) tanagerresource.Vector {
	part := func(whole int64, least, most float64) int64 {
		return int64(float64(whole) * (least + (most-least)*random.Float64()))
	}
	r := tanagerresource.Vector{
		CPU:    part(kind.capacity.CPU, 0.02, 0.1),
		Memory: part(kind.capacity.Memory, 0.01, 0.12),
	}
	if random.IntN(10) == 0 {
		r.CPU = part(kind.capacity.CPU, 0.25, 0.5)
		r.Memory = part(kind.capacity.Memory, 0.1, 0.5)
	}
	if kind.accelerated > 0 && random.IntN(12) == 0 {
		r.Accelerators = int64(1 + random.IntN(4))
	}
	return r
}

// stream gives the same demands to each policy.
func stream(kind cellKind, seed uint64) func() tanagerresource.Vector {
	random := rand.New(rand.NewPCG(seed, 1))
	return func() tanagerresource.Vector { return demandOf(kind, random) }
}

// placeFigures are what one policy did.
type placeFigures struct {
	packed float64
	cost   *waits
	perSec float64
	allocs float64
}

// fillMisses ends the filling of a fleet after this many demands in a row that
// fit nowhere.
const fillMisses = 200

// fleetUnderTest is a fleet that a policy fills.
type fleetUnderTest struct {
	placer  placer
	next    func() tanagerresource.Vector
	tasks   []string
	demands map[string]tanagerresource.Vector
	held    tanagerresource.Vector
	number  int
}

func (f *fleetUnderTest) add(worker string, r tanagerresource.Vector) {
	task := fmt.Sprintf("t%d", f.number)
	f.number++
	f.placer.hold(worker, task, r)
	f.tasks = append(f.tasks, task)
	f.demands[task] = r
	f.held = f.held.Add(r)
}

// end ends a random task.
func (f *fleetUnderTest) end(random *rand.Rand) {
	i := random.IntN(len(f.tasks))
	task := f.tasks[i]
	f.tasks[i] = f.tasks[len(f.tasks)-1]
	f.tasks = f.tasks[:len(f.tasks)-1]
	f.placer.release(task)
	f.held = f.held.Sub(f.demands[task])
	delete(f.demands, task)
}

// fill places tasks until a number of demands in a row fit nowhere.
func (f *fleetUnderTest) fill() {
	for misses := 0; misses < fillMisses; {
		r := f.next()
		worker, ok := f.placer.choose(r)
		if !ok {
			misses++
			continue
		}
		misses = 0
		f.add(worker, r)
	}
}

// measure fills a fleet until nothing fits and then replaces tasks one by one.
func measure(p placer, kind cellKind, total tanagerresource.Vector, seed uint64, steps int) placeFigures {
	f := &fleetUnderTest{
		placer:  p,
		next:    stream(kind, seed),
		demands: make(map[string]tanagerresource.Vector),
	}
	f.fill()
	figures := placeFigures{
		cost:   newWaits(),
		packed: f.held.DominantShare(total),
	}
	random := rand.New(rand.NewPCG(seed, 2))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	spent := time.Duration(0)
	for range steps {
		f.end(random)
		r := f.next()
		start := time.Now()
		worker, ok := p.choose(r)
		took := time.Since(start)
		spent += took
		figures.cost.add(took)
		if ok {
			f.add(worker, r)
		}
	}
	runtime.ReadMemStats(&after)
	figures.perSec = float64(steps) / spent.Seconds()
	figures.allocs = float64(after.Mallocs-before.Mallocs) / float64(steps)
	return figures
}

// The sizes and the number of decisions measured at each.
const (
	placeSteps = 20000
	scanSteps  = 4000
)

// benchPlace compares the daemon's placement with first fit and with a best fit
// that scans all workers.
func benchPlace(out io.Writer, seed uint64) {
	fmt.Fprintln(out, "\nPlacement on a full fleet: one task ends, one is placed. Allocations include the bookkeeping of the bench.")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CELL\tWORKERS\tPOLICY\tDECISIONS/S\tP50\tP99\tP99.9\tALLOCS\tPACKED\tOF BEST FIT\t")
	for _, size := range []struct {
		kind    cellKind
		workers int
	}{
		{
			kind:    benThanh,
			workers: 50,
		},
		{
			kind:    obermaier,
			workers: 50,
		},
		{
			kind:    target,
			workers: 500,
		},
		{
			kind:    target,
			workers: 5000,
		},
		{
			kind:    target,
			workers: 11000,
		},
	} {
		own, first, best, total := fleetOf(size.kind, size.workers)
		optimum := measure(best, size.kind, total, seed, scanSteps)
		row := func(policy string, f placeFigures) {
			fmt.Fprintf(t, "%s\t%d\t%s\t%.0f\t%s\t%.1f\t%.1f%%\t%.3f\t\n", size.kind.name, size.workers, policy, f.perSec, f.cost.columns(), f.allocs, f.packed*100, f.packed/optimum.packed)
		}
		row("indexed", measure(own, size.kind, total, seed, placeSteps))
		row("first fit", measure(first, size.kind, total, seed, scanSteps))
		row("best fit scan", optimum)
	}
	_ = t.Flush()
}
