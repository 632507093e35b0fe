package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// partitionDetector tells which zones are cut off from the leader.
type partitionDetector struct {
	env   *environment
	lease *leaderLease
	peers map[string]*peer
	state *clusterstate.State

	partitioned   map[string]time.Duration
	reconnectedAt map[string]time.Duration // when a zone was last found to be so no longer
}

// detectPartitions looks for zones that are cut off: nearly all machines there are
// silent, those of other zones are not, and a controller of the zone, silent
// too, may be keeping their leases.
func (d *partitionDetector) detectPartitions() {
	type count struct{ up, silent int }
	zones := map[string]*count{}
	for _, m := range d.state.Machines {
		if !m.Up || m.Releasing {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &count{}
			zones[m.Zone] = z
		}
		z.up++
		if d.env.now-max(m.LastSeen, d.lease.electedAt) > d.env.cfg.Lease()*3/10 {
			z.silent++
		}
	}
	heard := false
	for _, z := range zones {
		heard = heard || z.silent*2 < z.up
	}
	asked := map[string]time.Duration{}
	for _, p := range d.peers {
		asked[p.zone] = max(asked[p.zone], p.lastHeard, d.lease.electedAt)
	}
	delete(asked, d.env.cfg.Zone)
	partitioned := map[string]time.Duration{}
	for zone, at := range asked {
		z := zones[zone]
		if z == nil {
			z = &count{}
		}
		since, was := d.partitioned[zone]
		if !was {
			since = d.env.now
		}
		// Once partitioned, it stays so until something there is heard, or for as long
		// as its follower may act: its silent machines may have been returned.
		if d.env.now > at+d.env.cfg.Lease()/4 && z.silent*5 >= z.up*4 &&
			(was && d.env.now < since+d.env.cfg.Coast() || !was && heard && z.silent > 0) {
			partitioned[zone] = since
		}
	}
	for zone := range partitioned {
		if _, was := d.partitioned[zone]; !was {
			d.env.log.Info("zone partitioned", "zone", zone, "machines", zones[zone].up)
		}
	}
	for zone := range d.partitioned {
		if _, is := partitioned[zone]; !is {
			d.env.log.Info("zone partition healed", "zone", zone)
			// Its workers need a moment to find the leader again: they were once
			// all returned as silent when a cut had ended.
			d.reconnectedAt[zone] = d.env.now
		}
	}
	d.partitioned = partitioned
}

// controllerLost says whether a partitioned zone has most probably lost its tasks: it has a
// single controller, was silent when we were elected, and all other controllers
// ended with the leader before us, so that its own has most probably ended too.
// Its workers then went through all the others before it was back, which takes
// longer than a lease. Its machines are returned, as their tasks can go on
// elsewhere only with the cloud's word.
func (d *partitionDetector) controllerLost(zone string) bool {
	if !d.isPartitioned(zone) || d.env.now < d.lease.electedAt+d.env.cfg.Lease() {
		return false
	}
	controllers, heard, ended := 0, 0, 0
	// Those that ended with that leader started about when we were elected, or
	// later; an end some time before the cut is no sign.
	with := d.lease.electedAt - d.env.cfg.Lease()/4
	if with < 0 {
		ended++ // we ended ourselves
	}
	for _, p := range d.peers {
		switch {
		case p.zone == zone:
			controllers++
		case p.firstHeard > 0:
			heard++
			if p.startedAt > with {
				ended++
			} else {
				return false
			}
		}
	}
	if controllers != 1 || heard == 0 || ended < 2 {
		return false
	}
	// Going through all the others and a report's wait must take longer than the
	// lease. Where it does not, its workers found their controller again, which
	// renews leases for the leader: the machines of a zone of 158 were once returned
	// with all that ran on them.
	if d.env.workerFailoverTime() <= d.env.cfg.Lease() {
		return false
	}
	for _, m := range d.state.Machines {
		if m.Zone == zone && m.TokenAcknowledgedAt > 0 {
			return false
		}
	}
	return true
}

// isPartitioned says whether the zone is cut off.
func (d *partitionDetector) isPartitioned(zone string) bool {
	_, is := d.partitioned[zone]
	return is
}
