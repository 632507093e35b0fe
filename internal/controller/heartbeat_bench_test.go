package controller

import (
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// heartbeat returns a heartbeat of the machine that reports exactly the attempts in the cluster state.
func (f *slopeFleet) heartbeat(m *clusterstate.Machine) *protocol.WorkerHeartbeat {
	msg := &protocol.WorkerHeartbeat{Machine: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Epoch: 1, Sequence: m.Sequence + 1, Token: 1}
	for _, a := range m.SortedAttempts() {
		msg.Tasks = append(msg.Tasks, protocol.TaskStatus{Task: a.Key().Task, Attempt: a.Number, State: protocol.TaskRunning})
	}
	return msg
}

// benchmarkHeartbeats measures the handling of heartbeats, which the fleet's machines send in turn. The function change
// modifies each heartbeat before it is sent; forwarded heartbeats arrive from another controller.
func benchmarkHeartbeats(b *testing.B, change func(f *slopeFleet, m *clusterstate.Machine, msg *protocol.WorkerHeartbeat), forwarded bool) {
	b.Helper()
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		l := f.leadership
		l.placement.fillAt, l.placement.roundAt, l.placement.planAt = 1<<60, 1<<60, 1<<60
		f.blockFills() // prevents fills, which BenchmarkSlopeFill measures separately
		list := l.machines.sortedMachines()
		clock := Clock{Monotonic: f.controller.env.now, Wall: f.controller.env.wall}
		n, bytes := 0, 0
		b.ResetTimer()
		for b.Loop() {
			b.StopTimer()
			m := list[n%len(list)]
			n++
			msg := f.heartbeat(m)
			if change != nil {
				change(f, m, msg)
			}
			body := protocol.Encode(msg)
			bytes += len(body)
			request := Request{ID: uint64(n), Op: OpWorkerHeartbeat, Body: body}
			if forwarded {
				request = Request{ID: uint64(n), Op: OpForwardedHeartbeat, Body: protocol.EncodePeer(protocol.ForwardedRequest{Operation: string(OpWorkerHeartbeat), Body: body, From: "n1"})}
			}
			b.StartTimer()
			f.controller.Handle(clock, request)
		}
		b.ReportMetric(float64(bytes)/float64(n), "body-bytes")
	})
}

func BenchmarkSlopeHeartbeatUnchanged(b *testing.B) { benchmarkHeartbeats(b, nil, false) }

func BenchmarkSlopeHeartbeatForwarded(b *testing.B) { benchmarkHeartbeats(b, nil, true) }

func BenchmarkSlopeHeartbeatExit(b *testing.B) {
	benchmarkHeartbeats(b, func(_ *slopeFleet, _ *clusterstate.Machine, msg *protocol.WorkerHeartbeat) {
		if len(msg.Tasks) > 0 {
			msg.Tasks[0].State, msg.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
		}
	}, false)
}

func BenchmarkSlopeHeartbeatStart(b *testing.B) {
	benchmarkHeartbeats(b, func(_ *slopeFleet, m *clusterstate.Machine, msg *protocol.WorkerHeartbeat) {
		if len(msg.Tasks) > 0 {
			first := msg.Tasks[0]
			m.Attempts[clusterstate.AttemptKey{Task: first.Task, Attempt: first.Attempt}].SetState(protocol.TaskFetchingImage)
		}
	}, false)
}
