// Package tanagerresource holds the amounts of processor, memory and
// accelerators that work asks for and VMs offer.
//
// Processor time is counted in thousandths of a core, memory in MiB and
// accelerators in whole devices. A Vector is a value: all methods return a new
// one. Components may become negative in differences; Fits treats a negative
// free amount as no room.
//
// # Usage
//
//	free := capacity.Minus(used)
//	if demand.Fits(free) {
//		used = used.Plus(demand)
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

// Plus returns v + w.
func (v Vector) Plus(w Vector) Vector {
	return Vector{
		CPU:          v.CPU + w.CPU,
		Memory:       v.Memory + w.Memory,
		Accelerators: v.Accelerators + w.Accelerators,
	}
}

// Minus returns v - w.
func (v Vector) Minus(w Vector) Vector {
	return Vector{
		CPU:          v.CPU - w.CPU,
		Memory:       v.Memory - w.Memory,
		Accelerators: v.Accelerators - w.Accelerators,
	}
}

// Times returns v scaled by n.
func (v Vector) Times(n int64) Vector {
	return Vector{
		CPU:          v.CPU * n,
		Memory:       v.Memory * n,
		Accelerators: v.Accelerators * n,
	}
}

// Max returns the larger of v and w in each component.
func (v Vector) Max(w Vector) Vector {
	return Vector{
		CPU:          max(v.CPU, w.CPU),
		Memory:       max(v.Memory, w.Memory),
		Accelerators: max(v.Accelerators, w.Accelerators),
	}
}

// Fits reports whether v is no larger than free in every component.
func (v Vector) Fits(free Vector) bool {
	return v.CPU <= free.CPU && v.Memory <= free.Memory && v.Accelerators <= free.Accelerators
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// DominantShare returns the largest of v's components as a fraction of total.
// A component that total lacks counts only if v asks for it, as a full share.
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
