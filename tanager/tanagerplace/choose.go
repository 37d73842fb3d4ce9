package tanagerplace

import (
	"sort"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// maxBucketSample is the number of workers per bucket that the first search
// examines. The second search examines all.
const maxBucketSample = 16

// fullScanMaxWorkers is the fleet size up to which bin packing compares all
// workers. A full scan packs more tightly than the index and costs little more
// at this size.
const fullScanMaxWorkers = 128

// maxUnplaceable bounds the number of cached demands that fit on no worker.
const maxUnplaceable = 16

// jobSpread counts the tasks of a job by failure domain and by rack.
type jobSpread struct {
	tasks   int
	domains map[string]int
	racks   map[string]int
}

// SelectWorker returns the name of the worker to place a task on, or false if
// the task fits on no worker at present. It does not allocate the resources;
// Allocate does.
func (f *Fleet) SelectWorker(demand Demand, now time.Time) (string, bool) {
	if f.knownUnplaceable(demand.Resources) {
		return "", false
	}
	accepts := func(w *workerState) bool { return w.health.acceptsTasks(now) }
	w := f.findWorker(demand, maxBucketSample, accepts)
	if w == nil {
		w = f.findWorker(demand, 0, accepts)
	}
	if w == nil {
		f.recordUnplaceable(demand.Resources)
		return "", false
	}
	return w.Name, true
}

// findWorker applies the placement policy of the demand. Sample bounds the
// workers examined per bucket; zero means all.
func (f *Fleet) findWorker(demand Demand, sample int, accepts func(*workerState) bool) *workerState {
	if demand.Policy == Spread {
		return f.findSpreadWorker(demand, sample, accepts)
	}
	if len(f.workerList) <= fullScanMaxWorkers {
		return bestFit(f.workerList, demand.Resources, 0, accepts)
	}
	var chosen *workerState
	for _, domain := range f.domains {
		w := domain.index.mostAllocated(demand.Resources, sample, accepts)
		if w == nil {
			continue
		}
		if chosen == nil || w.bucket < chosen.bucket {
			chosen = w
		}
	}
	return chosen
}

// findSpreadWorker searches the failure domains in ascending order of the job's
// tasks in them, and in each domain first the racks without a task of the job.
func (f *Fleet) findSpreadWorker(demand Demand, sample int, accepts func(*workerState) bool) *workerState {
	spread := f.jobSpreads[demand.Job]
	for _, domain := range f.domainsByTaskCount(spread) {
		if spread != nil {
			acceptsInNewRack := func(w *workerState) bool { return spread.racks[w.Rack] == 0 && accepts(w) }
			if w := domain.index.mostAllocated(demand.Resources, sample, acceptsInNewRack); w != nil {
				return w
			}
		}
		if w := domain.index.mostAllocated(demand.Resources, sample, accepts); w != nil {
			return w
		}
	}
	return nil
}

// domainsByTaskCount returns the failure domains in ascending order of the
// number of the job's tasks in them.
func (f *Fleet) domainsByTaskCount(spread *jobSpread) []*failureDomain {
	if spread == nil {
		return f.domains
	}
	ordered := append([]*failureDomain(nil), f.domains...)
	sort.SliceStable(ordered, func(i, j int) bool {
		return spread.domains[ordered[i].name] < spread.domains[ordered[j].name]
	})
	return ordered
}

// updateSpread adds delta to the task counts of the job that a belongs to.
func (f *Fleet) updateSpread(a *Allocation, delta int) {
	spread := f.jobSpreads[a.Job]
	if spread == nil {
		spread = &jobSpread{
			domains: make(map[string]int),
			racks:   make(map[string]int),
		}
		f.jobSpreads[a.Job] = spread
	}
	spread.tasks += delta
	spread.domains[a.worker.FailureDomain] += delta
	spread.racks[a.worker.Rack] += delta
	if spread.tasks == 0 {
		delete(f.jobSpreads, a.Job)
	}
}

// knownUnplaceable reports whether a demand no larger than r has been found to
// fit on no worker since resources were last freed.
func (f *Fleet) knownUnplaceable(r tanagerresource.Vector) bool {
	for _, u := range f.unplaceable {
		if u.FitsIn(r) {
			return true
		}
	}
	return false
}

func (f *Fleet) recordUnplaceable(r tanagerresource.Vector) {
	if len(f.unplaceable) < maxUnplaceable {
		f.unplaceable = append(f.unplaceable, r)
	}
}

// ClearUnplaceable clears the cache of demands that fit on no worker. It must be
// called periodically, because nothing clears the cache when the isolation of a
// worker ends.
func (f *Fleet) ClearUnplaceable() { f.unplaceable = f.unplaceable[:0] }
