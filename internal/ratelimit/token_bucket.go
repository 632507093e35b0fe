// Package ratelimit implements a token bucket that limits requests, writes and calls per second. The caller
// passes the current time to each method, so the bucket also works with a simulated clock.
package ratelimit

import "time"

// TokenBucket is a token bucket. The zero value holds no tokens and never refills; use New. A TokenBucket is not safe
// for concurrent use.
type TokenBucket struct {
	rate, burst, level float64 // tokens per second, and tokens
	filledAt           time.Duration
}

// New returns a full bucket with a refill rate in tokens per second and a capacity of burst tokens, at least one.
func New(rate, burst float64) TokenBucket {
	burst = max(1, burst)
	return TokenBucket{rate: rate, burst: burst, level: burst}
}

// fill adds the tokens for the time since the last call. All calls must read now from the same clock.
func (b *TokenBucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// Allows reports whether the bucket holds n tokens now.
func (b *TokenBucket) Allows(now time.Duration, n float64) bool {
	b.fill(now)
	return b.level >= n
}

// Take removes n tokens. The level may fall below zero, which delays later requests.
func (b *TokenBucket) Take(now time.Duration, n float64) {
	b.fill(now)
	b.level -= n
}

// Burst returns the capacity of the bucket in tokens.
func (b *TokenBucket) Burst() float64 { return b.burst }

// Drain removes all remaining tokens. Callers use it after the server has rejected a request for exceeding the server's
// rate limit. A level below zero stays unchanged.
func (b *TokenBucket) Drain() { b.level = min(b.level, 0) }

// Refill fills the bucket to its capacity.
func (b *TokenBucket) Refill() { b.level = b.burst }
