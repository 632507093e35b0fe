package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
)

// isLeaseExpired says whether the worker's lease is proved over: nobody can have
// answered it for that long.
func (l *leadership) isLeaseExpired(m *clusterstate.Machine) bool {
	lease := config.Drift(l.controller.env.cfg.Lease()) + l.controller.env.cfg.Lease()/50
	// An earlier term of our own may have answered it until we were elected.
	last := max(m.LastAnswered, m.TokenAcknowledgedAt, l.electedAt, l.leaseOnlyReplyAt)
	for _, p := range l.peers {
		if p.zone == m.Zone || m.Zone == "" {
			last = max(last, p.lastServed)
		}
		if m.TokenAcknowledgedAt > 0 {
			continue
		}
		// The worker has not shown our token: an earlier leader may have
		// answered it, until we heard of that one or for as long as it could
		// go on without the state service.
		if p.firstHeard > 0 {
			last = max(last, p.firstHeard)
		} else {
			last = max(last, l.electedAt+config.Drift(l.controller.env.cfg.Coast()))
		}
	}
	if l.controller.env.now <= last+lease || m.LastSeen+lease > l.controller.env.now {
		return false
	}
	for _, p := range l.peers {
		if (p.zone == m.Zone || m.Zone == "") && p.servedKnownUntil <= last+lease {
			return false
		}
	}
	return true
}

// detectPartitions looks for zones that are cut off: nearly all machines there are
// silent, those of other zones are not, and a controller of the zone, silent
// too, may be keeping their leases.
func (l *leadership) detectPartitions() {
	type count struct{ up, silent int }
	zones := map[string]*count{}
	for _, m := range l.state.Machines {
		if !m.Up || m.Releasing {
			continue
		}
		z := zones[m.Zone]
		if z == nil {
			z = &count{}
			zones[m.Zone] = z
		}
		z.up++
		if l.controller.env.now-max(m.LastSeen, l.electedAt) > l.controller.env.cfg.Lease()*3/10 {
			z.silent++
		}
	}
	heard := false
	for _, z := range zones {
		heard = heard || z.silent*2 < z.up
	}
	asked := map[string]time.Duration{}
	for _, p := range l.peers {
		asked[p.zone] = max(asked[p.zone], p.lastHeard, l.electedAt)
	}
	delete(asked, l.controller.env.cfg.Zone)
	partitioned := map[string]time.Duration{}
	for zone, at := range asked {
		z := zones[zone]
		if z == nil {
			z = &count{}
		}
		since, was := l.partitioned[zone]
		if !was {
			since = l.controller.env.now
		}
		// Once partitioned, it stays so until something there is heard, or for as long
		// as its follower may act: its silent machines may have been returned.
		if l.controller.env.now > at+l.controller.env.cfg.Lease()/4 && z.silent*5 >= z.up*4 &&
			(was && l.controller.env.now < since+l.controller.env.cfg.Coast() || !was && heard && z.silent > 0) {
			partitioned[zone] = since
		}
	}
	for zone := range partitioned {
		if _, was := l.partitioned[zone]; !was {
			l.controller.env.log.Info("zone is partitioned", "zone", zone, "machines", zones[zone].up)
		}
	}
	for zone := range l.partitioned {
		if _, is := partitioned[zone]; !is {
			l.controller.env.log.Info("zone is no longer partitioned", "zone", zone)
			// Its workers need a moment to find the leader again: they were once
			// all returned as silent when a cut had ended.
			l.reconnectedAt[zone] = l.controller.env.now
		}
	}
	l.partitioned = partitioned
}

// controllerLost says whether a partitioned zone has most probably lost its tasks: it has a
// single controller, was silent when we were elected, and all other controllers
// ended with the leader before us, so that its own has most probably ended too.
// Its workers then went through all the others before it was back, which takes
// longer than a lease. Its machines are returned, as their tasks can go on
// elsewhere only with the cloud's word.
func (l *leadership) controllerLost(zone string) bool {
	if !l.isPartitioned(zone) || l.controller.env.now < l.electedAt+l.controller.env.cfg.Lease() {
		return false
	}
	controllers, heard, ended := 0, 0, 0
	// Those that ended with that leader started about when we were elected, or
	// later; an end some time before the cut is no sign.
	with := l.electedAt - l.controller.env.cfg.Lease()/4
	if with < 0 {
		ended++ // we ended ourselves
	}
	for _, p := range l.peers {
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
	if l.controller.env.workerSearchTime() <= l.controller.env.cfg.Lease() {
		return false
	}
	for _, m := range l.state.Machines {
		if m.Zone == zone && m.TokenAcknowledgedAt > 0 {
			return false
		}
	}
	return true
}

// workerSearchTime is how long a worker may need to go through all the other controllers
// when none of them answers.
func (e *environment) workerSearchTime() time.Duration {
	return time.Duration(len(e.cfg.Siblings))*(heartbeatTimeout+heartbeatRetryPause) + e.cfg.Report()*5/4
}

// isPartitioned says whether the zone is cut off.
func (l *leadership) isPartitioned(zone string) bool {
	_, is := l.partitioned[zone]
	return is
}
