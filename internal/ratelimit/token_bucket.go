// Package ratelimit implements a token bucket that limits requests, writes and calls per second. The caller
// passes the time in, so that the bucket works under a simulated clock.
package ratelimit

import "time"

// TokenBucket is a token bucket. The zero value holds nothing and never fills; use New. It is not safe for
// concurrent use.
type TokenBucket struct {
	rate, burst, level float64 // tokens per second, and tokens
	filledAt           time.Duration
}

// New makes a full bucket that is filled with rate tokens per second and holds burst tokens, at least one.
func New(rate, burst float64) TokenBucket {
	burst = max(1, burst)
	return TokenBucket{rate: rate, burst: burst, level: burst}
}

// fill adds the tokens for the time since the last call. now is on any clock, always the same one.
func (b *TokenBucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// Allows reports whether the bucket holds n tokens now.
func (b *TokenBucket) Allows(now time.Duration, n float64) bool {
	b.fill(now)
	return b.level >= n
}

// Take takes n tokens. The level may fall below zero, which delays what comes later.
func (b *TokenBucket) Take(now time.Duration, n float64) {
	b.fill(now)
	b.level -= n
}

// Burst is the most tokens that the bucket holds.
func (b *TokenBucket) Burst() float64 { return b.burst }

// Drain takes all tokens that are left, as the other side has refused a request for exceeding its limit. A
// level below zero stays.
func (b *TokenBucket) Drain() { b.level = min(b.level, 0) }

// Refill makes the bucket full again.
func (b *TokenBucket) Refill() { b.level = b.burst }
