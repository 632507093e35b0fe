package scalerun

import (
	"context"
	"time"

	"claybarrow/internal/emulator"
)

// cause brings a fault about, by the loop.
func (r *region) cause(ctx context.Context, f FaultPlan) {
	switch f.Kind {
	case FaultKillLeader:
		if leader, some := r.leader(); some {
			r.loseLeader()
			r.killLabel(ctx, leader.Label)
		}
	case FaultRack:
		for _, k := range r.rack(f.Share) {
			k.Die()
		}
	case FaultMachineChurn:
		victims := r.rack(f.Share)
		for i, k := range victims {
			r.loop.agenda.After(seconds(f.ForS*float64(i)/float64(len(victims))), k.Die)
		}
	case FaultRollRestart:
		for i, c := range r.controllers {
			r.loop.agenda.After(seconds(f.ForS)*time.Duration(i), func() { r.kill(ctx, c) })
		}
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

// rack chooses a share of the workers that are up.
func (r *region) rack(share float64) []*emulator.Worker {
	var up []*emulator.Worker
	for _, k := range r.fleet.Sorted() {
		if k.Up && !k.Gone {
			up = append(up, k)
		}
	}
	r.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:int(share*float64(len(up)))]
}
