package scheduler

import "math"

// Resources is an amount of a machine's resources: cores, accelerators and gigabytes of memory.
type Resources struct{ Cores, Accel, Mem float64 }

// eps is by how much sums of amounts may differ by rounding.
const eps = 1e-6

// Fits says whether n is covered by free, rounding apart.
func (n Resources) Fits(free Resources) bool {
	return n.Cores <= free.Cores+eps && n.Accel <= free.Accel+eps && n.Mem <= free.Mem+eps
}

// isAtMost says whether n is at most another need in each resource. It has no tolerance, as it
// compares needs of jobs rather than sums.
func (n Resources) isAtMost(other Resources) bool {
	return n.Cores <= other.Cores && n.Accel <= other.Accel && n.Mem <= other.Mem
}

// Plus adds.
func (n Resources) Plus(o Resources) Resources {
	return Resources{n.Cores + o.Cores, n.Accel + o.Accel, n.Mem + o.Mem}
}

// Minus subtracts.
func (n Resources) Minus(o Resources) Resources {
	return Resources{n.Cores - o.Cores, n.Accel - o.Accel, n.Mem - o.Mem}
}

// Times multiplies.
func (n Resources) Times(k float64) Resources { return Resources{n.Cores * k, n.Accel * k, n.Mem * k} }

// Share is the part of a whole that n takes: of its accelerators if n has any, else of its cores.
func Share(n, whole Resources) float64 {
	if n.Accel > 0 {
		return n.Accel / math.Max(whole.Accel, n.Accel)
	}
	return n.Cores / math.Max(whole.Cores, math.Max(n.Cores, eps))
}

// perMachine is how many tasks of a need fit a size, at least one; infinite if they need nothing.
func perMachine(n, size Resources) float64 {
	k := math.Inf(1)
	for _, p := range [][2]float64{{n.Cores, size.Cores}, {n.Accel, size.Accel}, {n.Mem, size.Mem}} {
		if p[0] > 0 {
			k = math.Min(k, math.Floor(p[1]/p[0]+eps))
		}
	}
	return math.Max(k, 1)
}
