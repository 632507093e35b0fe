package scheduler

import "math"

// Resources is an amount of a machine's resources: cores, accelerators and gigabytes of memory.
type Resources struct{ Cores, Accelerators, MemoryGB float64 }

// roundingTolerance is the tolerance for rounding errors in sums of resources.
const roundingTolerance = 1e-6

// Fits reports whether n is at most free in each resource, within roundingTolerance.
func (n Resources) Fits(free Resources) bool {
	return n.Cores <= free.Cores+roundingTolerance && n.Accelerators <= free.Accelerators+roundingTolerance && n.MemoryGB <= free.MemoryGB+roundingTolerance
}

// isAtMost reports whether n is at most other in each resource. It needs no tolerance, because it compares requests of
// jobs rather than sums.
func (n Resources) isAtMost(other Resources) bool {
	return n.Cores <= other.Cores && n.Accelerators <= other.Accelerators && n.MemoryGB <= other.MemoryGB
}

// Plus returns the sum n + o.
func (n Resources) Plus(o Resources) Resources {
	return Resources{n.Cores + o.Cores, n.Accelerators + o.Accelerators, n.MemoryGB + o.MemoryGB}
}

// Minus returns the difference n - o.
func (n Resources) Minus(o Resources) Resources {
	return Resources{n.Cores - o.Cores, n.Accelerators - o.Accelerators, n.MemoryGB - o.MemoryGB}
}

// Times returns n multiplied by k.
func (n Resources) Times(k float64) Resources {
	return Resources{n.Cores * k, n.Accelerators * k, n.MemoryGB * k}
}

// Share returns the share of whole that n takes: of the accelerators if n includes any, otherwise of the cores.
func Share(n, whole Resources) float64 {
	if n.Accelerators > 0 {
		return n.Accelerators / math.Max(whole.Accelerators, n.Accelerators)
	}
	return n.Cores / math.Max(whole.Cores, math.Max(n.Cores, roundingTolerance))
}

// tasksPerMachine returns how many tasks with request n fit on a machine of the given size, at least one. It is
// infinite for an empty request.
func tasksPerMachine(n, size Resources) float64 {
	count := math.Inf(1)
	for _, p := range [][2]float64{{n.Cores, size.Cores}, {n.Accelerators, size.Accelerators}, {n.MemoryGB, size.MemoryGB}} {
		if p[0] > 0 {
			count = math.Min(count, math.Floor(p[1]/p[0]+roundingTolerance))
		}
	}
	return math.Max(count, 1)
}
