package controller

import (
	"fmt"
	"testing"

	"claybarrow/internal/protocol"
)

func slopeSubmission(i int) []byte {
	return protocol.Encode(map[string]any{"uid": fmt.Sprintf("j-s%07d", i), "tier": "web", "owner": "team-0", "shape": "batch", "rank": "normal", "shards": 1,
		"cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "bundle": "img", "sizeGb": 1.0, "flavours": nil, "yard": nil,
		"together": false, "apart": false, "borrowed": false, "expectS": 30.0, "saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil})
}

func BenchmarkSlopeSubmit(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.blockFills()
		clock := Clock{Monotonic: f.controller.env.now, Wall: f.controller.env.wall}
		n := 0
		b.ResetTimer()
		for b.Loop() {
			n++
			clear(f.controller.pending.pendingRequests)
			f.controller.Handle(clock, Request{ID: uint64(n), Op: OpSubmit, Body: slopeSubmission(n)})
		}
	})
}

func BenchmarkSlopePoll(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.blockFills()
		clock := Clock{Monotonic: f.controller.env.now, Wall: f.controller.env.wall}
		b.ResetTimer()
		for b.Loop() {
			f.controller.Handle(clock, Request{ID: 1, Op: OpPoll, UID: "j-00000001"})
		}
	})
}

// BenchmarkSlopeCancel measures the handling of a user's request to cancel a running job.
func BenchmarkSlopeCancel(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.blockFills()
		clock := Clock{Monotonic: f.controller.env.now, Wall: f.controller.env.wall}
		n := 0
		b.ResetTimer()
		for b.Loop() {
			f.controller.Handle(clock, Request{ID: uint64(n + 1), Op: OpCancel, UID: fmt.Sprintf("j-%08d", n)})
			n++
			clear(f.controller.pending.pendingRequests)
		}
	})
}
