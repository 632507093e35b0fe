package ratelimit

import (
	"testing"
	"time"
)

func TestTokenBucket(t *testing.T) {
	for _, tc := range []struct {
		name string
		// use is done to a full bucket of 2 tokens a second and a burst of 4.
		use  func(b *TokenBucket)
		at   time.Duration
		want float64
	}{
		{"full at first", func(*TokenBucket) {}, 0, 4},
		{"never above its burst", func(*TokenBucket) {}, time.Hour, 4},
		{"taken at once", func(b *TokenBucket) { b.Take(0, 3) }, 0, 1},
		{"filled with time", func(b *TokenBucket) { b.Take(0, 3) }, time.Second, 3},
		{"below zero", func(b *TokenBucket) { b.Take(0, 10) }, time.Second, -4},
		{"emptied", (*TokenBucket).Drain, 0, 0},
		{"emptied below zero", func(b *TokenBucket) { b.Take(0, 10); b.Drain() }, 0, -6},
		{"refilled", func(b *TokenBucket) { b.Take(0, 10); b.Refill() }, 0, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := New(2, 4)
			tc.use(&b)
			if !b.Allows(tc.at, tc.want) || b.Allows(tc.at, tc.want+0.001) {
				t.Errorf("%v tokens after %v, want %v", b.level, tc.at, tc.want)
			}
		})
	}
}

func TestBurstIsAtLeastOne(t *testing.T) {
	if b := New(0.1, 0.1); b.Burst() != 1 || !b.Allows(0, 1) {
		t.Errorf("burst %v", b.Burst())
	}
}
