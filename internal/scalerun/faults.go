package scalerun

import (
	"context"
	"time"

	"claybarrow/internal/emulator"
)

// inject brings a fault about, by the loop.
func (r *region) inject(ctx context.Context, f FaultPlan) {
	switch f.Kind {
	case FaultKillLeader:
		if leader, some := r.leader(); some {
			r.loseLeader()
			r.detection.faultInjected(leader.Label, f.Kind, 0, r.leaderToken)
			r.killLabel(ctx, leader.Label)
		}
	case FaultKillOther:
		if c := r.other(); c != nil {
			r.detection.faultInjected(c.label, f.Kind, 0, r.leaderToken)
			r.kill(ctx, c)
		}
	case FaultFreezeLeader:
		if leader, some := r.leader(); some {
			r.freezeLabel(leader.Label, f)
		}
	case FaultFreezeOther:
		if c := r.other(); c != nil {
			r.freezeLabel(c.label, f)
		}
	case FaultRack:
		for _, worker := range r.randomWorkers(f.Share) {
			worker.Die()
		}
	case FaultMachineChurn:
		victims := r.randomWorkers(f.Share)
		for i, worker := range victims {
			r.loop.queue.After(seconds(f.ForS*float64(i)/float64(len(victims))), worker.Die)
		}
	case FaultRollRestart:
		for i, c := range r.controllers {
			r.loop.queue.After(seconds(f.ForS)*time.Duration(i), func() { r.kill(ctx, c) })
		}
	case FaultUpgrade, FaultRollback:
		for i, c := range r.controllers {
			r.loop.queue.After(seconds(f.ForS)*time.Duration(i), func() { r.changeProgram(ctx, c, f.Kind == FaultUpgrade) })
		}
	case FaultHold:
		r.hold(ctx)
	case FaultStateOutage:
		r.state.Outage(seconds(f.ForS))
	}
}

func (r *region) killLabel(ctx context.Context, label string) {
	for _, c := range r.controllers {
		if c.label == label {
			r.kill(ctx, c)
		}
	}
}

func (r *region) freezeLabel(label string, f FaultPlan) {
	r.detection.faultInjected(label, f.Kind, seconds(f.ForS), r.leaderToken)
	for _, c := range r.controllers {
		if c.label == label {
			r.freeze(c, seconds(f.ForS))
		}
	}
}

// randomWorkers chooses a share of the workers that are up.
func (r *region) randomWorkers(share float64) []*emulator.Worker {
	var up []*emulator.Worker
	for _, worker := range r.fleet.Sorted() {
		if worker.Up && !worker.Deleted {
			up = append(up, worker)
		}
	}
	r.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:int(share*float64(len(up)))]
}
