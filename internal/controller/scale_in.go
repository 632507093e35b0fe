package controller

import (
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// Limits of scaling in.
const (
	// More than silentMachinesMin silent machines that are also more than a third of the machines that are up indicate
	// a fault in the leader's own network.
	silentMachinesMin     = 2
	silentMachinesDivisor = 3
	// silentLeases is the number of worker leases of silence after which a machine with failed calls is released
	// without further evidence.
	silentLeases = 3
	// failedCallsMin is the number of consecutive failed calls from which a machine counts as unreachable. A single
	// call may have been lost.
	failedCallsMin = 2
	// undeliveredAnswersMin is the number of consecutive answered heartbeats with an older token from which the
	// leader's answers count as not reaching the machine. An expired worker lease counts as several of them; see
	// clusterstate.AgentState.
	undeliveredAnswersMin = 3
	// Messages of a tenth of a zone's machines, and of at least two, are evidence that the zone is reachable.
	reportingMachinesMin     = 2
	reportingMachinesDivisor = 10
)

// scaleIn releases the machines that are not needed any more or probably lost. needed holds the ids of the machines on
// which waiting and expected tasks will be placed.
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

// isUnreachable reports whether a machine is most probably lost with all its tasks and should be released: connections
// to it fail, its zone is not partitioned, other machines of its zone have sent messages since the last failed call,
// the leader reaches all machines whose heartbeats other controllers forward, and the machine's replicas can restart
// quickly. Its deletion by the cloud proves that its tasks have ended much sooner than the expiry of its lease does. A
// hanging machine still accepts connections and is not released, as it may resume within its lease.
func (a *autoscaler) isUnreachable(m *clusterstate.Machine, reportingSince map[string]time.Duration) bool {
	return m.ConnectionFailed && m.FailedCalls >= failedCallsMin && len(a.reachability.missedMachines) == 0 &&
		!a.partitions.isPartitioned(m.Zone) && reportingSince[m.Zone] > m.LastFailedCallAt && a.restartsQuickly(m)
}

// restartsQuickly reports whether the images of a machine's replicas can be fetched in less than a lease. The machine
// may only be partitioned and reconnect with its cached images: releasing such a machine costs the fetches, releasing a
// lost one saves the wait for the rest of its lease.
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

// zonesReportingSince returns by zone the latest time since which a tenth of the zone's machines, and at least two,
// have sent messages. For a partitioned zone this time is before the beginning of the partition.
func (a *autoscaler) zonesReportingSince() map[string]time.Duration {
	lastSeen := map[string][]time.Duration{}
	for _, m := range a.state.Machines {
		if m.EverReported && !m.Releasing {
			lastSeen[m.Zone] = append(lastSeen[m.Zone], m.LastSeen)
		}
	}
	reportingSince := map[string]time.Duration{}
	for zone, times := range lastSeen {
		if required := max(reportingMachinesMin, len(times)/reportingMachinesDivisor); len(times) > required {
			slices.Sort(times)
			reportingSince[zone] = times[len(times)-required]
		}
	}
	return reportingSince
}

// scaleInPass decides for each machine of the fleet whether it is released, based on the state at one time.
type scaleInPass struct {
	scaler *autoscaler
	needed map[string]bool // ids of the machines on which waiting and expected tasks will be placed
	// manySilent is set if so many machines are silent that a fault in the leader's own network is the likely cause.
	manySilent     bool
	controllerLost map[string]bool          // partitioned zones that have lost their controller
	reportingSince map[string]time.Duration // by zone, see zonesReportingSince
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
		reportingSince: a.zonesReportingSince(),
		spare:          &spareCapacity{cache: a.cache},
	}
	for zone := range a.partitions.partitioned {
		pass.controllerLost[zone] = a.partitions.controllerLost(zone)
	}
	return pass
}

// releaseReason returns the reason for releasing a machine now, or keepMachine. A machine that is kept for a reason
// other than its idle timeout has its idle time restarted, so that it is not released as idle when that reason ends.
func (p *scaleInPass) releaseReason(m *clusterstate.Machine) releaseReason {
	now := p.scaler.env.now
	switch {
	case p.controllerLost[m.Zone] && len(m.Attempts) > 0:
		return releaseControllerLost
	case p.scaler.partitions.isPartitioned(m.Zone) && m.EverReported:
		// A follower in the zone may be renewing the machine's lease. Even without a follower, tasks that
		// must be spread over zones wait for this zone, and for the duration of a partition keeping a
		// machine with cached images is cheaper than launching a new one.
		m.IdleSince = now
		return keepMachine
	case !m.EverReported:
		return p.bootingReleaseReason(m)
	}
	if reason := p.silentReleaseReason(m); reason != keepMachine {
		return reason
	}
	if p.scaler.health.isSilent(m) {
		// The machine may hang or be partitioned, and resume with its cached images. The cloud soon lists a
		// failed machine as failed. Without this rule machines were released as idle when their leases had
		// expired, seconds before they would have resumed.
		m.IdleSince = now
		return keepMachine
	}
	return p.idleReleaseReason(m)
}

// bootingReleaseReason returns releaseBootTimedOut if a machine that has not reported has exceeded its boot timeout.
func (p *scaleInPass) bootingReleaseReason(m *clusterstate.Machine) releaseReason {
	scaler := p.scaler
	bootTimeout := m.LaunchedAt + seconds(scaler.catalog.machineType(m.Type).BootS*bootTimeoutFactor)
	// Boot timeouts are not enforced directly after a failover. Idle machines that are already up have no
	// stored record, and calling thousands of them takes time: in a scale run with 5,500 workers, 107
	// such machines were released within the first second after the election.
	enforcedFrom := scaler.lease.electedAt + scaler.env.cfg.WorkerLease()/2
	if scaler.env.now > max(bootTimeout, enforcedFrom) {
		return releaseBootTimedOut
	}
	if p.needed[m.ID] || m.IdleSince == 0 {
		m.IdleSince = scaler.env.now
	}
	return keepMachine
}

// silentReleaseReason returns the reason for releasing a machine that is silent or does not receive the leader's
// answers, or keepMachine.
func (p *scaleInPass) silentReleaseReason(m *clusterstate.Machine) releaseReason {
	switch {
	case !p.manySilent && p.isReplaceable(m):
		return releaseUnreachable
	case !p.manySilent && p.isSilentSinceElection(m):
		return releaseNoHeartbeatSinceFailover
	case p.missesAnswers(m):
		return releaseAnswersLost
	case !p.manySilent && m.FailedCalls > 0 && p.scaler.health.silenceDuration(m) > silentLeases*p.scaler.env.cfg.WorkerLease():
		return releaseSilent
	}
	return keepMachine
}

// isReplaceable reports whether a machine is most probably lost and all its tasks have room on other machines.
func (p *scaleInPass) isReplaceable(m *clusterstate.Machine) bool {
	return p.scaler.isUnreachable(m, p.reportingSince) && p.scaler.health.isSilent(m) && p.spare.tryPlaceTasksOf(m)
}

// isSilentSinceElection reports whether a machine has not acknowledged this leader's token, has been silent for half a
// lease, and has not answered the last direct calls, at least failedCallsMin of them. Its deletion by the cloud proves
// that its tasks have ended sooner than the expiry of its lease does, which is counted from the election or later. A
// machine that has acknowledged this leader's token is not released: if it hangs or is partitioned, its tasks run until
// its lease expires, and it may reconnect before that.
func (p *scaleInPass) isSilentSinceElection(m *clusterstate.Machine) bool {
	return m.FailedCalls >= failedCallsMin && m.TokenAcknowledgedAt == 0 &&
		p.scaler.health.silenceDuration(m) > p.scaler.env.cfg.WorkerLease()/2
}

// missesAnswers reports whether a machine with tasks sends heartbeats that never contain this leader's token. The
// leader's answers do not reach the machine, so its lease has expired, but none of its messages can prove that the
// tasks which an earlier leader started there have ended.
func (p *scaleInPass) missesAnswers(m *clusterstate.Machine) bool {
	return m.UndeliveredAnswers >= undeliveredAnswersMin && m.FailedCalls >= failedCallsMin && m.TokenAcknowledgedAt == 0 &&
		len(m.Attempts) > 0 && p.scaler.env.now > p.scaler.lease.electedAt+p.scaler.env.cfg.WorkerLease()
}

// idleReleaseReason returns the reason for releasing a machine that reports and has no tasks (it is quarantined,
// drained, or has exceeded its idle timeout), or keepMachine.
func (p *scaleInPass) idleReleaseReason(m *clusterstate.Machine) releaseReason {
	now := p.scaler.env.now
	boot := seconds(p.scaler.catalog.machineType(m.Type).BootS)
	switch {
	case len(m.Attempts) > 0 || p.needed[m.ID]:
		m.IdleSince = now
	case m.Faults.IsQuarantined():
		if p.scaler.quarantine.mayAwaitProbe(m, p.scaler.isShort(poolOf(m))) {
			m.IdleSince = now
			return keepMachine
		}
		return releaseQuarantined
	case now < m.DrainUntil:
		return releaseDrained
	case now > m.IdleSince+time.Duration(float64(boot)*p.scaler.env.cfg.Operator.Fleet.IdleRatio):
		return releaseIdle
	}
	return keepMachine
}

// spareCapacity is the capacity of schedulable machines that remains free after placing all waiting tasks. It is used
// for the tasks of machines that are most probably lost.
type spareCapacity struct {
	cache    *schedulerCache
	snapshot *scheduler.Snapshot // the fleet after placing all waiting tasks; nil until first needed
}

// tryPlaceTasksOf reports whether all tasks of a machine have room on other machines now, and if so takes that room.
// Without such room an early deletion gains nothing, and the machine may only be partitioned and reconnect: in one run
// 25 of 270 machines were deleted during a partition, and gangs waited up to 50 s for new machines to boot, longer than
// the partition lasted.
func (s *spareCapacity) tryPlaceTasksOf(m *clusterstate.Machine) bool {
	if len(m.Attempts) == 0 {
		return false // without tasks to move an early release gains nothing
	}
	if s.snapshot == nil {
		s.snapshot = s.cache.fullSnapshot()
		s.snapshot.Fill()
	}
	var tasks []*scheduler.Job
	for _, a := range m.SortedAttempts() {
		tasks = append(tasks, singleTaskView(a))
	}
	return s.snapshot.TryPlaceAll(tasks)
}
