package controller

import (
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// Limits of scaling in.
const (
	// Many silent machines at once are a sign of trouble with our own network: more than silentMachinesMin, and more
	// than a third of those that are up.
	silentMachinesMin     = 2
	silentMachinesDivisor = 3
	// silentLeases is after how many leases of silence a machine is released whatever the proof.
	silentLeases = 3
	// failedCallsMin is how many calls in a row must have failed before a machine is taken for unreachable: a single
	// one may have been lost.
	failedCallsMin = 2
	// unseenAnswersMin is how many heartbeats in a row, though answered, must still have shown an older token before
	// a machine is taken to hear no answers. An expired worker lease counts as several, see clusterstate.
	unseenAnswersMin = 3
	// A zone is heard from once a tenth of its machines have been heard, and two at least.
	heardMachinesMin     = 2
	heardMachinesDivisor = 10
)

// scaleIn releases the machines that are of no use any more. needed are the ids of those that waiting and expected
// tasks will be placed on.
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

// isUnreachable says whether a machine is most probably lost with all its tasks: it is silent and no connection to it
// can be made, while other machines of its zone have been heard since and we reach all that others hear. The cloud's
// deletion proves that it is gone much sooner than its lease. Hanging machines accept connections and are left alone,
// as they may go on within their lease.
func (a *autoscaler) isUnreachable(m *clusterstate.Machine, heardByZone map[string]time.Duration) bool {
	return m.ConnectionFailed && m.FailedCalls >= failedCallsMin && len(a.reach.missedMachines) == 0 &&
		!a.partitions.isPartitioned(m.Zone) && heardByZone[m.Zone] > m.LastFailedCallAt && a.restartsQuickly(m)
}

// restartsQuickly says whether a machine's replicas fetch their images in less than a lease. The machine may only be
// partitioned, and come back with them: a wrong guess costs the fetch, a right one saves the rest of the lease.
func (a *autoscaler) restartsQuickly(m *clusterstate.Machine) bool {
	t := a.catalog.machineType(m.Type)
	if t == nil {
		return false
	}
	for _, attempt := range m.Attempts {
		if spec := attempt.Job.Spec; spec.Service && spec.ImageGB > t.FetchGBPerS*a.env.cfg.WorkerLease().Seconds() {
			return false
		}
	}
	return true
}

// zonesHeardSince is, by zone, a time since which a tenth of its machines, and two at least, have been heard. A zone
// that has just been partitioned has none after the partition began.
func (a *autoscaler) zonesHeardSince() map[string]time.Duration {
	heard := map[string][]time.Duration{}
	for _, m := range a.state.Machines {
		if m.EverReported && !m.Releasing {
			heard[m.Zone] = append(heard[m.Zone], m.LastSeen)
		}
	}
	since := map[string]time.Duration{}
	for zone, times := range heard {
		if k := max(heardMachinesMin, len(times)/heardMachinesDivisor); len(times) > k {
			slices.Sort(times)
			since[zone] = times[len(times)-k]
		}
	}
	return since
}

// scaleInPass decides for each machine of the fleet at one moment whether it is released.
type scaleInPass struct {
	scaler *autoscaler
	needed map[string]bool // ids of the machines that waiting and expected tasks will be placed on
	// manySilent: so many machines are silent that our own network is the likely cause.
	manySilent     bool
	controllerLost map[string]bool          // partitioned zones that have lost their controller
	heardSince     map[string]time.Duration // by zone, see zonesHeardSince
	spare          *spareCapacity
}

func (a *autoscaler) newScaleInPass(needed map[string]bool) *scaleInPass {
	silent, up := 0, 0
	for _, m := range a.state.Machines {
		if m.EverReported && !m.Releasing && !a.partitions.isPartitioned(m.Zone) {
			up++
			if a.health.isSilent(m) {
				silent++
			}
		}
	}
	pass := &scaleInPass{
		scaler:         a,
		needed:         needed,
		manySilent:     silent > silentMachinesMin && silent > up/silentMachinesDivisor,
		controllerLost: map[string]bool{},
		heardSince:     a.zonesHeardSince(),
		spare:          &spareCapacity{cache: a.cache},
	}
	for zone := range a.partitions.partitioned {
		pass.controllerLost[zone] = a.partitions.controllerLost(zone)
	}
	return pass
}

// releaseReason is why a machine is released now, or keepMachine. Where something keeps the machine for now, it is
// noted as in use, so that it is not released as idle right after.
func (p *scaleInPass) releaseReason(m *clusterstate.Machine) releaseReason {
	now := p.scaler.env.now
	switch {
	case p.controllerLost[m.Zone] && len(m.Attempts) > 0:
		return releaseControllerLost
	case p.scaler.partitions.isPartitioned(m.Zone) && m.EverReported:
		// A follower in the zone may be renewing its lease. Even without one, tasks that
		// must be spread wait for this zone, and for the time of a partition a
		// machine with cached images is worth more than a new one.
		m.IdleSince = now
		return keepMachine
	case !m.EverReported:
		return p.bootingReleaseReason(m)
	}
	if reason := p.silentReleaseReason(m); reason != keepMachine {
		return reason
	}
	if p.scaler.health.isSilent(m) {
		// It may hang or be partitioned, and come back with its images; a dead machine is
		// soon listed as failed by the cloud. Machines were once released as idle when
		// their leases had expired, seconds before they would have come back.
		m.IdleSince = now
		return keepMachine
	}
	return p.idleReleaseReason(m)
}

// bootingReleaseReason is why a machine that is not up is released: it has taken too long to boot.
func (p *scaleInPass) bootingReleaseReason(m *clusterstate.Machine) releaseReason {
	scaler := p.scaler
	bootTimeout := m.LaunchedAt + seconds(scaler.catalog.machineType(m.Type).BootS*bootTimeoutFactor)
	// Not at once after a failover: idle machines that have long been up have no stored
	// record, and asking thousands of them takes a while (scale run with 5,500 workers: 107
	// were released within the first second).
	askedBy := scaler.lease.electedAt + scaler.env.cfg.WorkerLease()/2
	if scaler.env.now > max(bootTimeout, askedBy) {
		return releaseBootTimedOut
	}
	if p.needed[m.ID] || m.IdleSince == 0 {
		m.IdleSince = scaler.env.now
	}
	return keepMachine
}

// silentReleaseReason is why a machine that does not answer is released.
func (p *scaleInPass) silentReleaseReason(m *clusterstate.Machine) releaseReason {
	switch {
	case !p.manySilent && p.isReplaceable(m):
		return releaseUnreachable
	case !p.manySilent && p.isUnheardSinceFailover(m):
		return releaseUnheardOnFailover
	case p.hearsNoAnswer(m):
		return releaseAnswersLost
	case !p.manySilent && m.FailedCalls > 0 && p.scaler.health.silentFor(m) > silentLeases*p.scaler.env.cfg.WorkerLease():
		return releaseSilent
	}
	return keepMachine
}

// isReplaceable says whether a machine is most probably lost, and all its tasks have room elsewhere.
func (p *scaleInPass) isReplaceable(m *clusterstate.Machine) bool {
	return p.scaler.isUnreachable(m, p.heardSince) && p.scaler.health.isSilent(m) && p.spare.absorbs(m)
}

// isUnheardSinceFailover says whether a machine has been silent since this leader was elected. The proof by the
// worker's lease is far away then, and the cloud's word that the machine is gone comes sooner. A machine that this
// leader has heard is left alone: if it hangs or is partitioned, its tasks go on until its lease ends, and it may come
// back.
func (p *scaleInPass) isUnheardSinceFailover(m *clusterstate.Machine) bool {
	return m.FailedCalls >= failedCallsMin && m.TokenAcknowledgedAt == 0 &&
		p.scaler.health.silentFor(m) > p.scaler.env.cfg.WorkerLease()/2
}

// hearsNoAnswer says whether a machine with tasks sends heartbeats that never show our token. It hears none of our
// answers, so its lease has expired, but no message of it can prove that the tasks which an earlier leader started
// there are gone.
func (p *scaleInPass) hearsNoAnswer(m *clusterstate.Machine) bool {
	return m.UnseenAnswers >= unseenAnswersMin && m.FailedCalls >= failedCallsMin && m.TokenAcknowledgedAt == 0 &&
		len(m.Attempts) > 0 && p.scaler.env.now > p.scaler.lease.electedAt+p.scaler.env.cfg.WorkerLease()
}

// idleReleaseReason is why a machine that answers is released: it has no tasks, and is quarantined, drained or idle
// for too long.
func (p *scaleInPass) idleReleaseReason(m *clusterstate.Machine) releaseReason {
	now := p.scaler.env.now
	boot := seconds(p.scaler.catalog.machineType(m.Type).BootS)
	switch {
	case len(m.Attempts) > 0 || p.needed[m.ID]:
		m.IdleSince = now
	case m.Faults.Faulty:
		return releaseQuarantined
	case now < m.DrainUntil:
		return releaseDrained
	case now > m.IdleSince+time.Duration(float64(boot)*p.scaler.env.cfg.Operator.Fleet.IdleRatio):
		return releaseIdle
	}
	return keepMachine
}

// spareCapacity is the room that ready machines have left beside all waiting tasks, for the tasks of machines that
// are most probably lost.
type spareCapacity struct {
	cache *schedulerCache
	left  *scheduler.Snapshot // nil until it is first needed
}

// absorbs says whether all tasks of a machine have room elsewhere now, and takes that room. Where they have none, an
// early deletion gains nothing, and the machine may only be partitioned and come back: 25 of 270 machines were once
// deleted so, and gangs waited for others to boot, up to 50 s, for longer than the partition lasted.
func (s *spareCapacity) absorbs(m *clusterstate.Machine) bool {
	if len(m.Attempts) == 0 {
		return false // nothing is gained
	}
	if s.left == nil {
		s.left = s.cache.fullSnapshot()
		s.left.Fill()
	}
	var tasks []*scheduler.Job
	for _, a := range m.SortedAttempts() {
		tasks = append(tasks, singleTaskView(a))
	}
	return s.left.TryPlaceAll(tasks)
}
