package controller

import (
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// scaleIn returns machines that are of no use any more.
func (a *autoscaler) scaleIn(needed map[string]bool) {
	pass := a.newScaleInPass(needed)
	for _, m := range a.machines.sortedMachines() {
		if m.Releasing || a.catalog.machineType(m.Type) == nil {
			continue
		}
		if reason := pass.releaseReason(m); reason != keepMachine {
			a.machines.releaseMachine(m, reason)
		}
	}
}

// scaleInPass is one look at all machines.
type scaleInPass struct {
	scaler *autoscaler
	needed map[string]bool // those that waiting and expected work will be on
	// manySilent: many silent machines at once speak of our own network, not of theirs.
	manySilent     bool
	controllerLost map[string]bool          // zones that are cut off and have lost their controller
	heardSince     map[string]time.Duration // see term.heardSince
	spare          *spareCapacity
}

func (a *autoscaler) newScaleInPass(needed map[string]bool) *scaleInPass {
	silent, up := 0, 0
	for _, m := range a.state.Machines {
		if m.Up && !m.Releasing && !a.partitions.isPartitioned(m.Zone) {
			up++
			if a.health.silentFor(m) > a.env.cfg.Lease()*2/5 {
				silent++
			}
		}
	}
	pass := &scaleInPass{scaler: a, needed: needed, manySilent: silent > 2 && silent > up/3,
		controllerLost: map[string]bool{}, heardSince: a.zonesHeardSince(), spare: &spareCapacity{cache: a.cache}}
	for zone := range a.partitions.partitioned {
		pass.controllerLost[zone] = a.partitions.controllerLost(zone)
	}
	return pass
}

// releaseReason is why a machine is returned now, or "" if it stays; what keeps it for now is
// noted as use of it.
func (p *scaleInPass) releaseReason(m *clusterstate.Machine) releaseReason {
	now := p.scaler.env.now
	switch {
	case p.controllerLost[m.Zone] && len(m.Attempts) > 0:
		return releaseControllerLost
	case p.scaler.partitions.isPartitioned(m.Zone) && m.Up:
		// Its follower may be keeping its tasks alive. Even without one, what
		// must be spread waits for this zone, and for a cut's length a
		// machine with its images is worth more than a new one.
		m.IdleSince = now
		return keepMachine
	case !m.Up:
		return p.bootingReleaseReason(m)
	}
	if reason := p.silentReleaseReason(m); reason != keepMachine {
		return reason
	}
	if p.scaler.health.silentFor(m) > p.scaler.env.cfg.Lease()*2/5 {
		// Hanging or cut off, it may come back with its images; a dead one is
		// soon called failed by the cloud. It was once returned as idle when
		// its lease was over, seconds before it would have come back.
		m.IdleSince = now
		return keepMachine
	}
	return p.idleReleaseReason(m)
}

// bootingReleaseReason is why a machine that is not up is returned.
func (p *scaleInPass) bootingReleaseReason(m *clusterstate.Machine) releaseReason {
	if p.scaler.env.now > max(m.LaunchedAt+seconds(p.scaler.catalog.machineType(m.Type).BootS*bootTimeoutFactor), p.scaler.lease.electedAt+p.scaler.env.cfg.Lease()/2) {
		// Not at once after a take-over: idle machines that have long been up have
		// no record, and asking thousands takes a while (scale run, 5,500
		// workers: 107 were returned within the first second).
		return releaseBootTimedOut
	}
	if p.needed[m.ID] || m.IdleSince == 0 {
		m.IdleSince = p.scaler.env.now
	}
	return keepMachine
}

// silentReleaseReason is why a machine that does not answer is returned.
func (p *scaleInPass) silentReleaseReason(m *clusterstate.Machine) releaseReason {
	lease := p.scaler.env.cfg.Lease()
	switch {
	case !p.manySilent && p.scaler.isUnreachable(m, p.heardSince) && p.scaler.health.silentFor(m) > lease*2/5 && p.spare.absorbs(m):
		return releaseUnreachable
	case !p.manySilent && m.FailedCalls > 1 && m.TokenAcknowledgedAt == 0 && p.scaler.health.silentFor(m) > lease/2:
		// After a take-over the proof by time is far away, and the cloud's
		// word that the machine is gone comes sooner. A machine that this
		// leader did hear is left alone: cut off or hanging, its tasks go
		// on until its lease ends, and it may come back.
		return releaseUnheardOnFailover
	case m.UnseenAnswers > 2 && m.FailedCalls > 1 && m.TokenAcknowledgedAt == 0 && len(m.Attempts) > 0 && p.scaler.env.now > p.scaler.lease.electedAt+lease:
		// It reports and never shows our token: it hears no answer, so its
		// lease is over, but no message of it can prove that what an earlier
		// leader started there is gone.
		return releaseAnswersLost
	case !p.manySilent && m.FailedCalls > 0 && p.scaler.health.silentFor(m) > 3*lease:
		return releaseSilent
	}
	return keepMachine
}

// idleReleaseReason is why a machine that answers is returned.
func (p *scaleInPass) idleReleaseReason(m *clusterstate.Machine) releaseReason {
	boot := seconds(p.scaler.catalog.machineType(m.Type).BootS)
	switch {
	case len(m.Attempts) > 0 || p.needed[m.ID]:
		m.IdleSince = p.scaler.env.now
	case m.Faults.Faulty:
		return releaseQuarantined
	case p.scaler.env.now < m.DrainUntil:
		return releaseDrained
	case p.scaler.env.now > m.IdleSince+time.Duration(float64(boot)*p.scaler.env.cfg.Operator.Fleet.IdleRatio):
		return releaseIdle
	}
	return keepMachine
}

// isUnreachable says whether a machine is most probably gone with all that is on it:
// it is silent, and no connection to it can be made, while others of its zone were
// heard since and we reach all that others hear. The cloud's deletion proves it
// much sooner than its lease; hanging machines take connections, and are left
// alone, as they may go on within their lease.
func (a *autoscaler) isUnreachable(m *clusterstate.Machine, heardByZone map[string]time.Duration) bool {
	return m.ConnectionFailed && m.FailedCalls > 1 && len(a.reach.missedMachines) == 0 && !a.partitions.isPartitioned(m.Zone) && heardByZone[m.Zone] > m.LastFailedCallAt &&
		a.restartsQuickly(m)
}

// spareCapacity is what ready machines have to spare beside all that waits, for the tasks of
// machines that are most probably gone.
type spareCapacity struct {
	cache *schedulerCache
	left  *scheduler.Snapshot // nil: not looked at yet
}

// absorbs says whether all tasks of a machine have room elsewhere now, and takes that
// room. Where there is none, an early deletion gains nothing, and the machine may only
// be cut off and come back: 25 of 270 were once deleted so, and gangs waited for the boots
// of others, up to 50 s, for longer than the cut lasted.
func (s *spareCapacity) absorbs(m *clusterstate.Machine) bool {
	if len(m.Attempts) == 0 {
		return false // nothing is gained
	}
	if s.left == nil {
		s.left = s.cache.fullSnapshot()
		s.left.Fill()
	}
	var jobs []*scheduler.Job
	for _, a := range m.Sorted() {
		jobs = append(jobs, singleTaskView(a))
	}
	return s.left.Absorbs(jobs)
}

// restartsQuickly says whether a machine's replicas fetch their images in less than
// a lease. The machine may only be cut off, and come back with them: a wrong guess
// costs the fetch, a right one gains the rest of the lease.
func (a *autoscaler) restartsQuickly(m *clusterstate.Machine) bool {
	t := a.catalog.machineType(m.Type)
	if t == nil {
		return false
	}
	for _, attempt := range m.Attempts {
		if s := attempt.Job.Spec; s.Service && s.ImageGB > t.FetchGBPerS*a.env.cfg.Lease().Seconds() {
			return false
		}
	}
	return true
}

// heardSince tells, by zone, since when a tenth of its machines, two at least, have
// been heard: a zone that has just been cut off has none after the cut.
func (a *autoscaler) zonesHeardSince() map[string]time.Duration {
	heard := map[string][]time.Duration{}
	for _, m := range a.state.Machines {
		if m.Up && !m.Releasing {
			heard[m.Zone] = append(heard[m.Zone], m.LastSeen)
		}
	}
	out := map[string]time.Duration{}
	for zone, list := range heard {
		if k := max(2, len(list)/10); len(list) > k {
			slices.Sort(list)
			out[zone] = list[len(list)-k]
		}
	}
	return out
}
