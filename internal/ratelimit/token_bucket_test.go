package ratelimit

import (
	"testing"
	"time"
)

func TestTokenBucket(t *testing.T) {
	for _, tc := range []struct {
		name string
		// use is applied to a full bucket with a rate of 2 tokens per second and a burst of 4.
		use  func(b *TokenBucket)
		at   time.Duration
		want float64
	}{
		{"a new bucket is full", func(*TokenBucket) {}, 0, 4},
		{"refill stops at the burst", func(*TokenBucket) {}, time.Hour, 4},
		{"tokens taken at once", func(b *TokenBucket) { b.Take(0, 3) }, 0, 1},
		{"refilled over time", func(b *TokenBucket) { b.Take(0, 3) }, time.Second, 3},
		{"level below zero", func(b *TokenBucket) { b.Take(0, 10) }, time.Second, -4},
		{"drained", (*TokenBucket).Drain, 0, 0},
		{"drained below zero", func(b *TokenBucket) { b.Take(0, 10); b.Drain() }, 0, -6},
		{"refilled by Refill", func(b *TokenBucket) { b.Take(0, 10); b.Refill() }, 0, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := New(2, 4)
			tc.use(&b)
			if !b.Allows(tc.at, tc.want) || b.Allows(tc.at, tc.want+0.001) {
				t.Errorf("the bucket holds %v tokens after %v, want %v", b.level, tc.at, tc.want)
			}
		})
	}
}

func TestBurstIsAtLeastOne(t *testing.T) {
	if b := New(0.1, 0.1); b.Burst() != 1 || !b.Allows(0, 1) {
		t.Errorf("burst = %v tokens, want 1 and a full bucket", b.Burst())
	}
}
