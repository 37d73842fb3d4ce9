package tanagerplace

import (
	"math"

	"tanagersail.example/tanager/tanagerresource"
)

// The weights of a score.
const (
	// shapeWeight rates how unlike a demand and the free resources are in shape.
	shapeWeight = 5
	// acceleratorWeight keeps tasks off workers whose accelerators they leave
	// idle.
	acceleratorWeight = 10
	// emptyWeight keeps workers empty as long as others have room.
	emptyWeight = 10
)

// best returns the open worker that a demand fits on and that is accepted with
// the lowest score, or nil. Sample bounds the workers that are looked at; zero
// is no bound.
func best(rows []*workerRow, r tanagerresource.Vector, sample int, accept func(*workerRow) bool) *workerRow {
	var chosen *workerRow
	var least float64
	for i, row := range rows {
		if sample > 0 && i >= sample {
			break
		}
		free := row.free()
		if !row.open || !r.Fits(free) || !accept(row) {
			continue
		}
		rated := score(free, r, row.Capacity)
		if len(row.holdings) == 0 {
			rated += emptyWeight
		}
		if chosen == nil || rated < least {
			chosen, least = row, rated
		}
	}
	return chosen
}

// score rates a worker for a demand; less is better. It adds what stays free, as
// a part of the capacity, and how far the shape of the free processors and
// memory is from that of the demand (one less the cosine between them, after
// Grandl et al., "Multi-Resource Packing for Cluster Schedulers", SIGCOMM 2014).
func score(free, r, capacity tanagerresource.Vector) float64 {
	left := free.Minus(r)
	return part(left.CPU, capacity.CPU) + part(left.Memory, capacity.Memory) +
		acceleratorWeight*part(left.Accelerators, capacity.Accelerators) +
		shapeWeight*(1-cosine(free, r, capacity))
}

// cosine returns the cosine between free resources and a demand, both relative
// to the capacity.
func cosine(free, r, capacity tanagerresource.Vector) float64 {
	a, b := part(free.CPU, capacity.CPU), part(free.Memory, capacity.Memory)
	x, y := part(r.CPU, capacity.CPU), part(r.Memory, capacity.Memory)
	lengths := math.Sqrt((a*a + b*b) * (x*x + y*y))
	if lengths == 0 {
		return 1
	}
	return (a*x + b*y) / lengths
}

func part(amount, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
