package scheduler

import "math"

// Need is an amount of a machine's resources: cores, accelerators and gigabytes of memory.
type Need struct{ Cores, Accel, Mem float64 }

// eps is by how much sums of amounts may differ by rounding.
const eps = 1e-6

// Fits says whether n is covered by free, rounding apart.
func (n Need) Fits(free Need) bool {
	return n.Cores <= free.Cores+eps && n.Accel <= free.Accel+eps && n.Mem <= free.Mem+eps
}

// isAtMost says whether n is at most another need in each resource. It has no tolerance, as it
// compares needs of jobs rather than sums.
func (n Need) isAtMost(other Need) bool {
	return n.Cores <= other.Cores && n.Accel <= other.Accel && n.Mem <= other.Mem
}

// Plus adds.
func (n Need) Plus(o Need) Need { return Need{n.Cores + o.Cores, n.Accel + o.Accel, n.Mem + o.Mem} }

// Minus subtracts.
func (n Need) Minus(o Need) Need { return Need{n.Cores - o.Cores, n.Accel - o.Accel, n.Mem - o.Mem} }

// Times multiplies.
func (n Need) Times(k float64) Need { return Need{n.Cores * k, n.Accel * k, n.Mem * k} }

// Share is the part of a whole that n takes: of its accelerators if n has any, else of its cores.
func Share(n, whole Need) float64 {
	if n.Accel > 0 {
		return n.Accel / math.Max(whole.Accel, n.Accel)
	}
	return n.Cores / math.Max(whole.Cores, math.Max(n.Cores, eps))
}

// perMachine is how many tasks of a need fit a size, at least one; infinite if they need nothing.
func perMachine(n, size Need) float64 {
	k := math.Inf(1)
	for _, p := range [][2]float64{{n.Cores, size.Cores}, {n.Accel, size.Accel}, {n.Mem, size.Mem}} {
		if p[0] > 0 {
			k = math.Min(k, math.Floor(p[1]/p[0]+eps))
		}
	}
	return math.Max(k, 1)
}
