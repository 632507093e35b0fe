// Package budget bounds what is done in a second: requests, changes, calls. Time is handed in, so that
// it works under a fake clock.
package budget

import "time"

// Bucket is a budget of so many a second, with a burst.
type Bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

// New makes a full bucket. The burst is one at the least.
func New(rate, burst float64) Bucket {
	return Bucket{rate: rate, burst: max(1, burst), level: max(1, burst)}
}

func (b *Bucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// Has says whether as much may be done now.
func (b *Bucket) Has(now time.Duration, n float64) bool {
	b.fill(now)
	return b.level >= n
}

// Take notes that as much is done. The level may fall below zero.
func (b *Bucket) Take(now time.Duration, n float64) {
	b.fill(now)
	b.level -= n
}

// Burst is the most that the bucket holds.
func (b *Bucket) Burst() float64 { return b.burst }

// Empty takes all that is left, as more was done than was allowed.
func (b *Bucket) Empty() { b.level = min(b.level, 0) }

// Refill makes the bucket full again.
func (b *Bucket) Refill() { b.level = b.burst }
