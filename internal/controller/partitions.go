package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// partitionDetector detects which zones are partitioned from the leader.
//
// It owns the start times of the current partitions and the end times of earlier ones. Both are discarded when the
// leadership ends: after a failover the next leader measures every silence from its own election.
type partitionDetector struct {
	env   *environment
	lease *leaderLease
	peers map[string]*peer
	state *clusterstate.State

	partitioned   map[string]time.Duration // start of the current partition, by zone
	reconnectedAt map[string]time.Duration // end of the last partition, by zone
}

// minEndedControllers is the number of controllers, including this one, that must have ended together with the previous
// leader before the controller of the partitioned zone is assumed to have ended too.
const minEndedControllers = 2

// machineSilence is the time without messages after which a machine counts as silent.
func (d *partitionDetector) machineSilence() time.Duration { return d.env.cfg.WorkerLease() * 3 / 10 }

// controllerSilence is the time without heartbeats of a zone's controllers after which the zone may be partitioned. A
// controller that restarted no earlier than this time before the election counts as having ended together with the
// previous leader.
func (d *partitionDetector) controllerSilence() time.Duration { return d.env.cfg.WorkerLease() / 4 }

// zoneCount counts the machines of a zone that are up, and how many of these are silent.
type zoneCount struct{ up, silent int }

// mostlyReporting reports whether less than half of the zone's machines are silent.
func (z zoneCount) mostlyReporting() bool { return z.silent*2 < z.up }

// nearlyAllSilent reports whether at least four fifths of the zone's machines are silent.
func (z zoneCount) nearlyAllSilent() bool { return z.silent*5 >= z.up*4 }

// detectPartitions updates which zones are partitioned from the leader. A zone is partitioned if nearly all its
// machines are silent while most machines of another zone report, and if the zone's controllers are silent, too: they
// may be renewing the leases of the machines.
func (d *partitionDetector) detectPartitions() {
	zones := d.countMachines()
	otherZoneReporting := false
	for _, count := range zones {
		otherZoneReporting = otherZoneReporting || count.mostlyReporting()
	}
	partitioned := map[string]time.Duration{}
	for zone, lastHeartbeat := range d.lastControllerHeartbeats() {
		if d.env.now <= lastHeartbeat+d.controllerSilence() {
			continue
		}
		if since, isPartitioned := d.partitionedSince(zone, zones[zone], otherZoneReporting); isPartitioned {
			partitioned[zone] = since
		}
	}
	d.updatePartitions(partitioned, zones)
}

// countMachines counts the machines by zone.
func (d *partitionDetector) countMachines() map[string]zoneCount {
	zones := map[string]zoneCount{}
	for _, m := range d.state.Machines {
		if !m.EverReported || m.Releasing {
			continue
		}
		count := zones[m.Zone]
		count.up++
		if d.env.now-max(m.LastSeen, d.lease.electedAt) > d.machineSilence() {
			count.silent++
		}
		zones[m.Zone] = count
	}
	return zones
}

// lastControllerHeartbeats returns, for each other zone, when the last heartbeat of one of its controllers arrived, or
// the time of the election if that was later.
func (d *partitionDetector) lastControllerHeartbeats() map[string]time.Duration {
	lastHeartbeats := map[string]time.Duration{}
	for _, p := range d.peers {
		lastHeartbeats[p.zone] = max(lastHeartbeats[p.zone], p.lastHeartbeatAt, d.lease.electedAt)
	}
	delete(lastHeartbeats, d.env.cfg.Zone)
	return lastHeartbeats
}

// partitionedSince reports whether a zone with silent controllers is partitioned, and since when. The zone stays
// partitioned until messages of its controllers or of enough of its machines arrive, but at most for the outage
// tolerance (config.Config.OutageTolerance). The silent machines may be released during the partition, so it continues
// even if no machines are left to count.
func (d *partitionDetector) partitionedSince(zone string, count zoneCount, otherZoneReporting bool) (time.Duration, bool) {
	if !count.nearlyAllSilent() {
		return 0, false
	}
	if since, wasPartitioned := d.partitioned[zone]; wasPartitioned {
		return since, d.env.now < since+d.env.cfg.OutageTolerance()
	}
	return d.env.now, otherZoneReporting && count.silent > 0
}

// updatePartitions replaces the set of partitioned zones, and records which partitions have healed.
func (d *partitionDetector) updatePartitions(partitioned map[string]time.Duration, zones map[string]zoneCount) {
	for zone := range partitioned {
		if !d.isPartitioned(zone) {
			d.env.log.Info("zone partitioned", "zone", zone, "machines", zones[zone].up)
		}
	}
	for zone := range d.partitioned {
		if _, stillPartitioned := partitioned[zone]; !stillPartitioned {
			d.env.log.Info("zone partition healed", "zone", zone)
			// The zone's workers need some time to find the leader again. Without reconnectedAt, all of them were
			// released as silent after a partition had healed.
			d.reconnectedAt[zone] = d.env.now
		}
	}
	d.partitioned = partitioned
}

// isPartitioned reports whether the zone is partitioned from the leader.
func (d *partitionDetector) isPartitioned(zone string) bool {
	_, partitioned := d.partitioned[zone]
	return partitioned
}

// controllerLost reports whether a partitioned zone has most probably lost its tasks, because its controller has ended.
// The zone has a single controller, none of its machines has acknowledged this leader's token, and all other
// controllers ended together with the previous leader, so the zone's controller has most probably ended too. The zone's
// workers have then tried all other controllers before the zone's controller restarted, and this takes longer than a
// lease. The machines of such a zone are released, because their tasks may restart on other machines only once the
// cloud confirms the deletion.
func (d *partitionDetector) controllerLost(zone string) bool {
	if !d.isPartitioned(zone) || d.env.now < d.lease.electedAt+d.env.cfg.WorkerLease() {
		return false
	}
	if !d.onlyControllerEnded(zone) {
		return false
	}
	// Trying all other controllers, plus the wait for the next heartbeat, must take longer than the lease. Otherwise
	// the zone's workers have found their controller again, which renews their leases for the leader. Without this
	// check, all 158 machines of a zone were released with the tasks that ran on them.
	if d.env.workerFailoverTime() <= d.env.cfg.WorkerLease() {
		return false
	}
	return !d.tokenAcknowledgedInZone(zone)
}

// onlyControllerEnded reports whether the zone has a single controller that has presumably ended: all controllers of
// other zones that sent heartbeats to this leader ended together with the previous leader.
func (d *partitionDetector) onlyControllerEnded(zone string) bool {
	controllers, reporting, ended := 0, 0, 0
	// Controllers that ended together with the previous leader have restarted around the election or later. A restart
	// some time before the partition is no evidence.
	endedTogetherFrom := d.lease.electedAt - d.controllerSilence()
	if endedTogetherFrom < 0 {
		ended++ // this process started within controllerSilence before the election
	}
	for _, p := range d.peers {
		switch {
		case p.zone == zone:
			controllers++
		case p.firstHeartbeatAt > 0:
			if p.startedAt <= endedTogetherFrom {
				return false
			}
			reporting++
			ended++
		}
	}
	return controllers == 1 && reporting > 0 && ended >= minEndedControllers
}

// tokenAcknowledgedInZone reports whether any machine of the zone has acknowledged this leader's token.
func (d *partitionDetector) tokenAcknowledgedInZone(zone string) bool {
	for _, m := range d.state.Machines {
		if m.Zone == zone && m.TokenAcknowledgedAt > 0 {
			return true
		}
	}
	return false
}
