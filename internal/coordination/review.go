package coordination

import (
	"slices"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/sched"
)

// review returns machines that are of no use any more.
func (r *term) review(needed map[string]bool) {
	c := r.c
	silent, up := 0, 0
	for _, m := range r.Machines {
		if m.Up && !m.Returning && !r.isPartitioned(m.Zone) {
			up++
			if r.silentFor(m) > c.cfg.Lease()*2/5 {
				silent++
			}
		}
	}
	lostController := map[string]bool{}
	for zone := range r.partitioned {
		lostController[zone] = r.lostController(zone)
	}
	heardByZone := r.heardByZone()
	room := &spareRoom{term: r}
	// Many silent machines at once speak of our own network, not of theirs.
	manySilent := silent > 2 && silent > up/3
	for _, m := range r.machines() {
		t := c.typeOf(m.Type)
		if m.Returning || t == nil {
			continue
		}
		boot := seconds(t.BootS)
		switch {
		case lostController[m.Zone] && len(m.Attempts) > 0:
			r.giveBack(m, "its zone is cut off and the controller there has ended")
		case r.isPartitioned(m.Zone) && m.Up:
			// Its follower may be keeping its tasks alive. Even without one, what
			// must be spread waits for this zone, and for a cut's length a
			// machine with its images is worth more than a new one.
			m.IdleSince = c.now
		case !m.Up:
			if c.now > max(m.Rented+seconds(t.BootS*longestBoot), r.since+c.cfg.Lease()/2) {
				// Not at once after a take-over: idle machines that have long been up have
				// no record, and asking thousands takes a while (scale run, 5,500
				// workers: 107 were returned within the first second).
				r.giveBack(m, "did not come up")
			} else if needed[m.ID] {
				m.IdleSince = c.now
			} else if m.IdleSince == 0 {
				m.IdleSince = c.now
			}
		case !manySilent && r.unreachable(m, heardByZone) && r.silentFor(m) > c.cfg.Lease()*2/5 && room.takes(m):
			r.giveBack(m, "no connection to it, while its zone is heard")
		case !manySilent && m.CallFails > 1 && m.FreshAt == 0 && r.silentFor(m) > c.cfg.Lease()/2:
			// After a take-over the proof by time is far away, and the cloud's
			// word that the machine is gone comes sooner. A machine that this
			// leader did hear is left alone: cut off or hanging, its tasks go
			// on until its lease ends, and it may come back.
			r.giveBack(m, "not heard since the take-over")
		case m.UnseenAnswers > 2 && m.CallFails > 1 && m.FreshAt == 0 && len(m.Attempts) > 0 && c.now > r.since+c.cfg.Lease():
			// It reports and never shows our token: it hears no answer, so its
			// lease is over, but no message of it can prove that what an earlier
			// leader started there is gone.
			r.giveBack(m, "it has not heard us since the take-over")
		case !manySilent && m.CallFails > 0 && r.silentFor(m) > 3*c.cfg.Lease():
			r.giveBack(m, "silent")
		case r.silentFor(m) > c.cfg.Lease()*2/5:
			// Hanging or cut off, it may come back with its images; a dead one is
			// soon called failed by the cloud. It was once returned as idle when
			// its lease was over, seconds before it would have come back.
			m.IdleSince = c.now
		case len(m.Attempts) > 0 || needed[m.ID]:
			m.IdleSince = c.now
		case m.Faults.Faulty:
			r.giveBack(m, "faulty")
		case c.now < m.DrainUntil:
			r.giveBack(m, "emptied")
		case c.now > m.IdleSince+time.Duration(float64(boot)*c.cfg.Operator.Fleet.IdleRatio):
			r.giveBack(m, "idle")
		}
	}
}

// unreachable says whether a machine is most probably gone with all that is on it:
// it is silent, and no connection to it can be made, while others of its zone were
// heard since and we reach all that others hear. The cloud's deletion proves it
// much sooner than its lease; hanging machines take connections, and are left
// alone, as they may go on within their lease.
func (r *term) unreachable(m *ledger.Machine, heardByZone map[string]time.Duration) bool {
	return m.NoConn && m.CallFails > 1 && len(r.missedMachines) == 0 && !r.isPartitioned(m.Zone) && heardByZone[m.Zone] > m.FailedAt &&
		r.soonElsewhere(m)
}

// spareRoom is what ready machines have to spare beside all that waits, for the tasks of
// machines that are most probably gone.
type spareRoom struct {
	term *term
	left *sched.Snapshot // nil: not looked at yet
}

// takes says whether all tasks of a machine have room elsewhere now, and takes that
// room. Where there is none, an early deletion gains nothing, and the machine may only
// be cut off and come back: 25 of 270 were once deleted so, and gangs waited for the boots
// of others, up to 50 s, for longer than the cut lasted.
func (s *spareRoom) takes(m *ledger.Machine) bool {
	if len(m.Attempts) == 0 {
		return false // nothing is gained
	}
	if s.left == nil {
		s.left = s.term.standing.whole()
		s.left.Fill()
	}
	var jobs []*sched.Job
	for _, a := range m.Sorted() {
		jobs = append(jobs, singleTask(a))
	}
	return s.left.Takes(jobs)
}

// soonElsewhere says whether a machine's replicas fetch their images in less than
// a lease. The machine may only be cut off, and come back with them: a wrong guess
// costs the fetch, a right one gains the rest of the lease.
func (r *term) soonElsewhere(m *ledger.Machine) bool {
	t := r.c.typeOf(m.Type)
	if t == nil {
		return false
	}
	for _, a := range m.Attempts {
		if s := a.Job.Spec; s.Service && s.ImageGB > t.FetchGBPerS*r.c.cfg.Lease().Seconds() {
			return false
		}
	}
	return true
}

// heardByZone tells, by zone, since when a tenth of its machines, two at least, have
// been heard: a zone that has just been cut off has none after the cut.
func (r *term) heardByZone() map[string]time.Duration {
	heard := map[string][]time.Duration{}
	for _, m := range r.Machines {
		if m.Up && !m.Returning {
			heard[m.Zone] = append(heard[m.Zone], m.Heard)
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
