package tanagerplace

import (
	"math"

	"tanagersail.example/tanager/tanagerresource"
)

// The weights of the score.
const (
	// alignmentWeight scales the mismatch between the CPU-to-memory ratios of the
	// demand and of the free capacity.
	alignmentWeight = 5
	// acceleratorWeight scales the fraction of accelerators that stay free, which
	// keeps tasks that leave them idle off workers with accelerators.
	acceleratorWeight = 10
	// emptyWorkerPenalty keeps workers empty as long as the task fits on others.
	emptyWorkerPenalty = 10
)

// bestFit returns the worker with the lowest score among those that are
// schedulable, fit the demand and are accepted, or nil. Sample bounds the
// workers examined; zero means all.
func bestFit(workers []*workerState, demand tanagerresource.Vector, sample int,
	accepts func(*workerState) bool) *workerState {
	var chosen *workerState
	var lowest float64
	for i, w := range workers {
		if sample > 0 && i >= sample {
			break
		}
		free := w.free()
		if !w.schedulable || !demand.FitsIn(free) || !accepts(w) {
			continue
		}
		workerScore := score(free, demand, w.Capacity)
		if len(w.allocations) == 0 {
			workerScore += emptyWorkerPenalty
		}
		if chosen == nil || workerScore < lowest {
			chosen, lowest = w, workerScore
		}
	}
	return chosen
}

// score rates a worker for a demand; lower is better. It adds up the fractions
// of the capacity that stay free and the misalignment of the demand with the
// free CPU and memory: one less the cosine similarity, after Grandl et al.,
// "Multi-Resource Packing for Cluster Schedulers", SIGCOMM 2014.
func score(free, demand, capacity tanagerresource.Vector) float64 {
	remaining := free.Sub(demand)
	return fraction(remaining.CPU, capacity.CPU) + fraction(remaining.Memory, capacity.Memory) +
		acceleratorWeight*fraction(remaining.Accelerators, capacity.Accelerators) +
		alignmentWeight*(1-cosineSimilarity(free, demand, capacity))
}

// cosineSimilarity returns the cosine of the angle between the free capacity and
// the demand, each relative to the capacity. It covers CPU and memory.
func cosineSimilarity(free, demand, capacity tanagerresource.Vector) float64 {
	freeCPU, freeMemory := fraction(free.CPU, capacity.CPU), fraction(free.Memory, capacity.Memory)
	demandCPU, demandMemory := fraction(demand.CPU, capacity.CPU), fraction(demand.Memory, capacity.Memory)
	lengths := math.Sqrt((freeCPU*freeCPU + freeMemory*freeMemory) * (demandCPU*demandCPU + demandMemory*demandMemory))
	if lengths == 0 {
		return 1
	}
	return (freeCPU*demandCPU + freeMemory*demandMemory) / lengths
}

// fraction returns amount/whole, or 0 if whole is 0.
func fraction(amount, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
