// Package tanagerresource defines vectors of CPU, memory and accelerators, for the
// resource requests of tasks and the capacities of VMs.
//
// CPU is measured in thousandths of a core, memory in MiB and accelerators in
// whole devices. A Vector is immutable: all methods return a new one. Components
// of a difference may be negative; no demand of zero or more fits into a negative
// free capacity.
//
// # Usage
//
//	free := capacity.Sub(allocated)
//	if demand.FitsIn(free) {
//		allocated = allocated.Add(demand)
//	}
package tanagerresource

// Vector is an amount of each resource.
type Vector struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu_milli" yaml:"cpu_milli"`
	// Memory is in MiB.
	Memory int64 `json:"memory_mib" yaml:"memory_mib"`
	// Accelerators is in whole devices.
	Accelerators int64 `json:"accelerators" yaml:"accelerators"`
}

// Add returns v + w.
func (v Vector) Add(w Vector) Vector {
	return Vector{
		CPU:          v.CPU + w.CPU,
		Memory:       v.Memory + w.Memory,
		Accelerators: v.Accelerators + w.Accelerators,
	}
}

// Sub returns v - w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{
		CPU:          v.CPU - w.CPU,
		Memory:       v.Memory - w.Memory,
		Accelerators: v.Accelerators - w.Accelerators,
	}
}

// Scale returns v scaled by n.
func (v Vector) Scale(n int64) Vector {
	return Vector{
		CPU:          v.CPU * n,
		Memory:       v.Memory * n,
		Accelerators: v.Accelerators * n,
	}
}

// Max returns the componentwise maximum of v and w.
func (v Vector) Max(w Vector) Vector {
	return Vector{
		CPU:          max(v.CPU, w.CPU),
		Memory:       max(v.Memory, w.Memory),
		Accelerators: max(v.Accelerators, w.Accelerators),
	}
}

// FitsIn reports whether every component of v is at most that of free.
func (v Vector) FitsIn(free Vector) bool {
	return v.CPU <= free.CPU && v.Memory <= free.Memory && v.Accelerators <= free.Accelerators
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// DominantShare returns the largest component of v as a fraction of that of total.
// Components of v that are zero or negative do not count. A positive one counts as
// a share of 1 if total has none of that resource.
func (v Vector) DominantShare(total Vector) float64 {
	share := ratio(v.CPU, total.CPU)
	share = max(share, ratio(v.Memory, total.Memory))
	return max(share, ratio(v.Accelerators, total.Accelerators))
}

func ratio(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
