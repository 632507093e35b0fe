package emulator

import "time"

// tokenBucket is a rate limiter. The zero value is a bucket that is full at its first use.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
}

// allow takes n tokens from a bucket whose capacity is one second's refill, and reports whether the bucket held enough.
// A rate of 0 means no limit.
func (b *tokenBucket) allow(now time.Duration, perSecond, n float64) bool {
	if perSecond <= 0 {
		return true
	}
	return b.allowBurst(now, perSecond, perSecond, n)
}

// allowBurst takes n tokens from a bucket with a capacity of burst tokens, and reports whether the bucket held enough.
func (b *tokenBucket) allowBurst(now time.Duration, perSecond, burst, n float64) bool {
	if !b.started {
		b.started, b.tokens = true, burst
	}
	b.tokens = min(burst, b.tokens+perSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
