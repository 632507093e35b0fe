package emulator

import "time"

// tokenBucket limits a rate. The zero value is a bucket that is full at its first use.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
}

// allow takes n tokens from a bucket that holds one second's worth, and says whether it had them. A
// rate of 0 is no limit.
func (b *tokenBucket) allow(now time.Duration, perSecond, n float64) bool {
	if perSecond <= 0 {
		return true
	}
	return b.allowBurst(now, perSecond, perSecond, n)
}

// allowBurst is allow with a bucket that holds burst tokens.
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
