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

// clusterShape describes the workers of a cluster, which all have the same CPU and
// memory.
type clusterShape struct {
	name     string
	capacity tanagerresource.Vector
	// acceleratedShare is the fraction of the workers that have accelerators.
	acceleratedShare float64
}

// The clusters of the two sites, and of the size that the design targets.
var (
	benThanh = clusterShape{
		name: "Bến Thành",
		capacity: tanagerresource.Vector{
			CPU:    60000,
			Memory: 250000,
		},
	}
	obermaier = clusterShape{
		name: "Obermaier",
		capacity: tanagerresource.Vector{
			CPU:    16000,
			Memory: 32000,
		},
	}
	targetScale = clusterShape{
		name: "target",
		capacity: tanagerresource.Vector{
			CPU:    60000,
			Memory: 250000,
		},
		acceleratedShare: 0.31,
	}
)

// acceleratorsPerWorker is the number of accelerators of a worker that has any:
// 27,000 accelerators on 31% of 11,000 workers.
const acceleratorsPerWorker = 8

// placementPolicy is a placement policy with its account of free resources.
type placementPolicy interface {
	// choose returns a worker with enough free resources, or false if there is
	// none.
	choose(demand tanagerresource.Vector) (string, bool)
	allocate(worker, task string, demand tanagerresource.Vector)
	release(task string)
}

// indexedPlacement is the daemon's policy, which keeps the workers in an index.
type indexedPlacement struct {
	placer *tanagerplace.Fleet
	now    time.Time
}

func (p *indexedPlacement) choose(demand tanagerresource.Vector) (string, bool) {
	return p.placer.SelectWorker(tanagerplace.Demand{
		Job:       "job",
		Resources: demand,
		Policy:    tanagerplace.BinPack,
	}, p.now)
}

func (p *indexedPlacement) allocate(worker, task string, demand tanagerresource.Vector) {
	p.placer.Allocate(worker, tanagerplace.Allocation{
		Task:     task,
		Job:      "job",
		Declared: demand,
	})
}

func (p *indexedPlacement) release(task string) { p.placer.Release(task) }

// scanWorker is a worker and its free resources.
type scanWorker struct {
	name string
	free tanagerresource.Vector
}

// scanPlacement scans a list of the workers on every decision. It is the baseline
// with first fit, and the reference that packing is compared with if bestFit is
// set.
type scanPlacement struct {
	workers []*scanWorker
	byName  map[string]*scanWorker
	tasks   map[string]scanTask
	bestFit bool
}

// scanTask is the allocation of a running task.
type scanTask struct {
	worker *scanWorker
	demand tanagerresource.Vector
}

func (p *scanPlacement) choose(demand tanagerresource.Vector) (string, bool) {
	var best *scanWorker
	for _, w := range p.workers {
		if !demand.FitsIn(w.free) {
			continue
		}
		if !p.bestFit {
			return w.name, true
		}
		if best == nil || hasLessFree(w.free, best.free) {
			best = w
		}
	}
	if best == nil {
		return "", false
	}
	return best.name, true
}

// hasLessFree reports whether a worker with the free resources a has less free
// than one with b: fewer accelerators or, if these are equal, a smaller weighted
// sum of CPU and memory.
func hasLessFree(a, b tanagerresource.Vector) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators < b.Accelerators
	}
	return a.CPU*4+a.Memory < b.CPU*4+b.Memory
}

func (p *scanPlacement) allocate(worker, task string, demand tanagerresource.Vector) {
	w := p.byName[worker]
	w.free = w.free.Sub(demand)
	p.tasks[task] = scanTask{
		worker: w,
		demand: demand,
	}
}

func (p *scanPlacement) release(task string) {
	t := p.tasks[task]
	t.worker.free = t.worker.free.Add(t.demand)
	delete(p.tasks, task)
}

// newPlacements returns the daemon's policy, first fit and best fit, each for the
// same workers, and the total capacity of these.
func newPlacements(
	shape clusterShape, workers int,
) (*indexedPlacement, *scanPlacement, *scanPlacement, tanagerresource.Vector) {
	placer := tanagerplace.New(tanagerplace.Settings{})
	firstFit := &scanPlacement{
		byName: make(map[string]*scanWorker),
		tasks:  make(map[string]scanTask),
	}
	bestFit := &scanPlacement{
		byName:  make(map[string]*scanWorker),
		tasks:   make(map[string]scanTask),
		bestFit: true,
	}
	var total tanagerresource.Vector
	for i := range workers {
		w := tanagerplace.Worker{
			Name:          fmt.Sprintf("w%d", i),
			FailureDomain: string(rune('a' + i%6)),
			Rack:          fmt.Sprintf("r%d", i/8),
			Capacity:      shape.capacity,
		}
		if float64(i%100) < shape.acceleratedShare*100 {
			w.Capacity.Accelerators = acceleratorsPerWorker
		}
		total = total.Add(w.Capacity)
		placer.SetWorker(w)
		placer.SetSchedulable(w.Name, true)
		firstFit.addWorker(w)
		bestFit.addWorker(w)
	}
	return &indexedPlacement{
		placer: placer,
		now:    time.Unix(0, 0),
	}, firstFit, bestFit, total
}

func (p *scanPlacement) addWorker(w tanagerplace.Worker) {
	worker := &scanWorker{
		name: w.Name,
		free: w.Capacity,
	}
	p.workers = append(p.workers, worker)
	p.byName[w.Name] = worker
}

// drawDemand draws the demand of a task. Most tasks are small, one in ten is large,
// and one in twelve needs accelerators if the cluster has any.
func drawDemand(shape clusterShape, random *rand.Rand) tanagerresource.Vector {
	fraction := func(capacity int64, low, high float64) int64 {
		return int64(float64(capacity) * (low + (high-low)*random.Float64()))
	}
	demand := tanagerresource.Vector{
		CPU:    fraction(shape.capacity.CPU, 0.02, 0.1),
		Memory: fraction(shape.capacity.Memory, 0.01, 0.12),
	}
	if random.IntN(10) == 0 {
		demand.CPU = fraction(shape.capacity.CPU, 0.25, 0.5)
		demand.Memory = fraction(shape.capacity.Memory, 0.1, 0.5)
	}
	if shape.acceleratedShare > 0 && random.IntN(12) == 0 {
		demand.Accelerators = int64(1 + random.IntN(4))
	}
	return demand
}

// demandStream returns a generator of demands. The same seed yields the same
// demands, so that every policy gets the same work.
func demandStream(shape clusterShape, seed uint64) func() tanagerresource.Vector {
	random := rand.New(rand.NewPCG(seed, 1))
	return func() tanagerresource.Vector { return drawDemand(shape, random) }
}

// placementResults holds the results of one policy. packedShare is the allocated
// share of the dominant resource once no more tasks fit.
type placementResults struct {
	packedShare        float64
	latency            *waitHistogram
	decisionsPerSecond float64
	allocsPerDecision  float64
}

// unplaceableLimit is the number of consecutive demands that fit on no worker
// after which a cluster counts as full.
const unplaceableLimit = 200

// filledCluster is a cluster that a policy fills with tasks.
type filledCluster struct {
	policy     placementPolicy
	nextDemand func() tanagerresource.Vector
	tasks      []string
	demands    map[string]tanagerresource.Vector
	allocated  tanagerresource.Vector
	taskCount  int
}

func (f *filledCluster) addTask(worker string, demand tanagerresource.Vector) {
	task := fmt.Sprintf("t%d", f.taskCount)
	f.taskCount++
	f.policy.allocate(worker, task, demand)
	f.tasks = append(f.tasks, task)
	f.demands[task] = demand
	f.allocated = f.allocated.Add(demand)
}

// endRandomTask releases the allocation of a random task.
func (f *filledCluster) endRandomTask(random *rand.Rand) {
	i := random.IntN(len(f.tasks))
	task := f.tasks[i]
	f.tasks[i] = f.tasks[len(f.tasks)-1]
	f.tasks = f.tasks[:len(f.tasks)-1]
	f.policy.release(task)
	f.allocated = f.allocated.Sub(f.demands[task])
	delete(f.demands, task)
}

// fill places tasks until the cluster is full.
func (f *filledCluster) fill() {
	for unplaceable := 0; unplaceable < unplaceableLimit; {
		demand := f.nextDemand()
		worker, ok := f.policy.choose(demand)
		if !ok {
			unplaceable++
			continue
		}
		unplaceable = 0
		f.addTask(worker, demand)
	}
}

// measurePlacement fills a cluster and then, for a number of decisions, ends a
// random task and places a new one.
func measurePlacement(
	policy placementPolicy, shape clusterShape, total tanagerresource.Vector, seed uint64, decisions int,
) placementResults {
	f := &filledCluster{
		policy:     policy,
		nextDemand: demandStream(shape, seed),
		demands:    make(map[string]tanagerresource.Vector),
	}
	f.fill()
	results := placementResults{
		latency:     newWaitHistogram(),
		packedShare: f.allocated.DominantShare(total),
	}
	random := rand.New(rand.NewPCG(seed, 2))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	totalLatency := time.Duration(0)
	for range decisions {
		f.endRandomTask(random)
		demand := f.nextDemand()
		start := time.Now()
		worker, ok := policy.choose(demand)
		latency := time.Since(start)
		totalLatency += latency
		results.latency.record(latency)
		if ok {
			f.addTask(worker, demand)
		}
	}
	runtime.ReadMemStats(&after)
	results.decisionsPerSecond = float64(decisions) / totalLatency.Seconds()
	results.allocsPerDecision = float64(after.Mallocs-before.Mallocs) / float64(decisions)
	return results
}

// The numbers of decisions measured with the indexed policy and with the policies
// that scan all workers.
const (
	indexedDecisions = 20000
	scanDecisions    = 4000
)

// benchPlacement compares the daemon's placement with first fit and with best fit
// over all workers.
func benchPlacement(out io.Writer, seed uint64) {
	fmt.Fprintln(out, "\nPlacement on a full fleet: one task ends, one is placed. "+
		"Allocations include the bookkeeping of the bench.")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "CELL\tWORKERS\tPOLICY\tDECISIONS/S\tP50\tP99\tP99.9\tALLOCS\tPACKED\tOF BEST FIT\t")
	for _, size := range []struct {
		shape   clusterShape
		workers int
	}{
		{
			shape:   benThanh,
			workers: 50,
		},
		{
			shape:   obermaier,
			workers: 50,
		},
		{
			shape:   targetScale,
			workers: 500,
		},
		{
			shape:   targetScale,
			workers: 5000,
		},
		{
			shape:   targetScale,
			workers: 11000,
		},
	} {
		indexed, firstFit, bestFit, total := newPlacements(size.shape, size.workers)
		reference := measurePlacement(bestFit, size.shape, total, seed, scanDecisions)
		printRow := func(policy string, r placementResults) {
			fmt.Fprintf(t, "%s\t%d\t%s\t%.0f\t%s\t%.1f\t%.1f%%\t%.3f\t\n", size.shape.name, size.workers, policy,
				r.decisionsPerSecond, r.latency.percentileColumns(), r.allocsPerDecision,
				r.packedShare*100, r.packedShare/reference.packedShare)
		}
		printRow("indexed", measurePlacement(indexed, size.shape, total, seed, indexedDecisions))
		printRow("first fit", measurePlacement(firstFit, size.shape, total, seed, scanDecisions))
		printRow("best fit scan", reference)
	}
	_ = t.Flush()
}
