package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// partitionDetector tells which zones are partitioned from the leader.
//
// It owns since when each zone is, and when zones were last found to be so no longer. Both end with the
// leadership: after a failover the next leader counts every silence from its own election.
type partitionDetector struct {
	env   *environment
	lease *leaderLease
	peers map[string]*peer
	state *clusterstate.State

	partitioned   map[string]time.Duration // since when, by zone
	reconnectedAt map[string]time.Duration // when a zone was last found to be partitioned no longer
}

// minEndedControllers is how many controllers, this one included, have to have ended with the previous leader before
// the partitioned zone's own is taken for ended too.
const minEndedControllers = 2

// machineSilence is how long a machine sends nothing until it counts as silent.
func (d *partitionDetector) machineSilence() time.Duration { return d.env.cfg.WorkerLease() * 3 / 10 }

// controllerSilence is how long the controllers of a zone send nothing until the zone may be partitioned. By the
// same time, an end before the election counts as one together with the previous leader.
func (d *partitionDetector) controllerSilence() time.Duration { return d.env.cfg.WorkerLease() / 4 }

// zoneCount counts the machines of a zone that are up, and those of them that are silent.
type zoneCount struct{ up, silent int }

// mostlyHeard reports whether most machines of the zone are heard.
func (z zoneCount) mostlyHeard() bool { return z.silent*2 < z.up }

// nearlyAllSilent reports whether at least four fifths of the zone's machines are silent.
func (z zoneCount) nearlyAllSilent() bool { return z.silent*5 >= z.up*4 }

// detectPartitions looks for zones that are partitioned from the leader: nearly all machines there are silent,
// those of other zones are not, and a controller of the zone, silent too, may be renewing their leases.
func (d *partitionDetector) detectPartitions() {
	zones := d.countMachines()
	otherZoneHeard := false
	for _, count := range zones {
		otherZoneHeard = otherZoneHeard || count.mostlyHeard()
	}
	partitioned := map[string]time.Duration{}
	for zone, heardAt := range d.controllersHeardAt() {
		if d.env.now <= heardAt+d.controllerSilence() {
			continue
		}
		if since, is := d.partitionedSince(zone, zones[zone], otherZoneHeard); is {
			partitioned[zone] = since
		}
	}
	d.notePartitions(partitioned, zones)
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

// controllersHeardAt is when any controller of each other zone was last heard, the election at the earliest.
func (d *partitionDetector) controllersHeardAt() map[string]time.Duration {
	heardAt := map[string]time.Duration{}
	for _, p := range d.peers {
		heardAt[p.zone] = max(heardAt[p.zone], p.lastHeard, d.lease.electedAt)
	}
	delete(heardAt, d.env.cfg.Zone)
	return heardAt
}

// partitionedSince reports whether a zone with silent controllers is partitioned, and since when. Once it is, it
// stays so until something there is heard, or for as long as its follower may act for the leader: its silent
// machines may have been released meanwhile.
func (d *partitionDetector) partitionedSince(zone string, count zoneCount, otherZoneHeard bool) (time.Duration, bool) {
	if !count.nearlyAllSilent() {
		return 0, false
	}
	if since, was := d.partitioned[zone]; was {
		return since, d.env.now < since+d.env.cfg.OutageTolerance()
	}
	return d.env.now, otherZoneHeard && count.silent > 0
}

// notePartitions replaces the partitioned zones, and notes which are reconnected.
func (d *partitionDetector) notePartitions(partitioned map[string]time.Duration, zones map[string]zoneCount) {
	for zone := range partitioned {
		if !d.isPartitioned(zone) {
			d.env.log.Info("zone partitioned", "zone", zone, "machines", zones[zone].up)
		}
	}
	for zone := range d.partitioned {
		if _, still := partitioned[zone]; !still {
			d.env.log.Info("zone partition healed", "zone", zone)
			// Its workers need a moment to find the leader again: they were once all released as silent when a
			// partition had ended.
			d.reconnectedAt[zone] = d.env.now
		}
	}
	d.partitioned = partitioned
}

// isPartitioned reports whether the zone is partitioned from the leader.
func (d *partitionDetector) isPartitioned(zone string) bool {
	_, is := d.partitioned[zone]
	return is
}

// controllerLost reports whether a partitioned zone has most probably lost its tasks: it has a single controller,
// was silent when this leader was elected, and all other controllers ended with the previous leader, so that the
// zone's own has most probably ended too. Its workers then went through all the others before it was back, which
// takes longer than a lease. Its machines are released, as their tasks can go on elsewhere only with the cloud's
// word.
func (d *partitionDetector) controllerLost(zone string) bool {
	if !d.isPartitioned(zone) || d.env.now < d.lease.electedAt+d.env.cfg.WorkerLease() {
		return false
	}
	if !d.onlyControllerEnded(zone) {
		return false
	}
	// Going through all the others and the wait for the next heartbeat must take longer than the lease. Where it
	// does not, the zone's workers found their controller again, which renews their leases for the leader: the
	// machines of a zone of 158 were once released with all that ran on them.
	if d.env.workerFailoverTime() <= d.env.cfg.WorkerLease() {
		return false
	}
	return !d.heardInZone(zone)
}

// onlyControllerEnded reports whether the zone has a single controller, and all other controllers that are heard
// ended with the previous leader.
func (d *partitionDetector) onlyControllerEnded(zone string) bool {
	controllers, heard, ended := 0, 0, 0
	// Controllers that ended with the previous leader started again about when this one was elected, or later. An
	// end some time before the partition is no sign.
	endedTogetherFrom := d.lease.electedAt - d.controllerSilence()
	if endedTogetherFrom < 0 {
		ended++ // this process itself started then
	}
	for _, p := range d.peers {
		switch {
		case p.zone == zone:
			controllers++
		case p.firstHeard > 0:
			if p.startedAt <= endedTogetherFrom {
				return false
			}
			heard++
			ended++
		}
	}
	return controllers == 1 && heard > 0 && ended >= minEndedControllers
}

// heardInZone reports whether any machine of the zone has shown this leader's token.
func (d *partitionDetector) heardInZone(zone string) bool {
	for _, m := range d.state.Machines {
		if m.Zone == zone && m.TokenAcknowledgedAt > 0 {
			return true
		}
	}
	return false
}
