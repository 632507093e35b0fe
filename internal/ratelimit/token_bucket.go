// Package ratelimit implements a token bucket that limits requests, writes and calls per second.
// The caller passes the time in, so that the bucket works under a simulated clock.
package ratelimit

import "time"

// TokenBucket is a budget of so many a second, with a burst.
type TokenBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

// New makes a full bucket. The burst is one at the least.
func New(rate, burst float64) TokenBucket {
	return TokenBucket{rate: rate, burst: max(1, burst), level: max(1, burst)}
}

func (b *TokenBucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// Has says whether as much may be done now.
func (b *TokenBucket) Has(now time.Duration, n float64) bool {
	b.fill(now)
	return b.level >= n
}

// Take notes that as much is done. The level may fall below zero.
func (b *TokenBucket) Take(now time.Duration, n float64) {
	b.fill(now)
	b.level -= n
}

// Burst is the most that the bucket holds.
func (b *TokenBucket) Burst() float64 { return b.burst }

// Empty takes all that is left, as more was done than was allowed.
func (b *TokenBucket) Empty() { b.level = min(b.level, 0) }

// Refill makes the bucket full again.
func (b *TokenBucket) Refill() { b.level = b.burst }
