package coordination

import (
	"slices"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/sched"
)

// review returns machines that are of no use any more.
func (r *term) review(needed map[string]bool) {
	look := r.newReview(needed)
	for _, m := range r.machines() {
		if m.Returning || r.c.typeOf(m.Type) == nil {
			continue
		}
		if why := look.whyReturned(m); why != "" {
			r.giveBack(m, why)
		}
	}
}

// machineReview is one look at all machines.
type machineReview struct {
	term   *term
	needed map[string]bool // those that waiting and expected work will be on
	// manySilent: many silent machines at once speak of our own network, not of theirs.
	manySilent     bool
	lostController map[string]bool          // zones that are cut off and have lost their controller
	heardByZone    map[string]time.Duration // see term.heardByZone
	room           *spareRoom
}

func (r *term) newReview(needed map[string]bool) *machineReview {
	silent, up := 0, 0
	for _, m := range r.Machines {
		if m.Up && !m.Returning && !r.isPartitioned(m.Zone) {
			up++
			if r.silentFor(m) > r.c.cfg.Lease()*2/5 {
				silent++
			}
		}
	}
	look := &machineReview{term: r, needed: needed, manySilent: silent > 2 && silent > up/3,
		lostController: map[string]bool{}, heardByZone: r.heardByZone(), room: &spareRoom{term: r}}
	for zone := range r.partitioned {
		look.lostController[zone] = r.lostController(zone)
	}
	return look
}

// whyReturned is why a machine is returned now, or "" if it stays; what keeps it for now is
// noted as use of it.
func (look *machineReview) whyReturned(m *ledger.Machine) string {
	r, now := look.term, look.term.c.now
	switch {
	case look.lostController[m.Zone] && len(m.Attempts) > 0:
		return "its zone is cut off and the controller there has ended"
	case r.isPartitioned(m.Zone) && m.Up:
		// Its follower may be keeping its tasks alive. Even without one, what
		// must be spread waits for this zone, and for a cut's length a
		// machine with its images is worth more than a new one.
		m.IdleSince = now
		return ""
	case !m.Up:
		return look.whyBootingReturned(m)
	}
	if why := look.whySilentReturned(m); why != "" {
		return why
	}
	if r.silentFor(m) > r.c.cfg.Lease()*2/5 {
		// Hanging or cut off, it may come back with its images; a dead one is
		// soon called failed by the cloud. It was once returned as idle when
		// its lease was over, seconds before it would have come back.
		m.IdleSince = now
		return ""
	}
	return look.whyIdleReturned(m)
}

// whyBootingReturned is why a machine that is not up is returned.
func (look *machineReview) whyBootingReturned(m *ledger.Machine) string {
	r, c := look.term, look.term.c
	if c.now > max(m.Rented+seconds(c.typeOf(m.Type).BootS*longestBoot), r.since+c.cfg.Lease()/2) {
		// Not at once after a take-over: idle machines that have long been up have
		// no record, and asking thousands takes a while (scale run, 5,500
		// workers: 107 were returned within the first second).
		return "did not come up"
	}
	if look.needed[m.ID] || m.IdleSince == 0 {
		m.IdleSince = c.now
	}
	return ""
}

// whySilentReturned is why a machine that does not answer is returned.
func (look *machineReview) whySilentReturned(m *ledger.Machine) string {
	r, lease := look.term, look.term.c.cfg.Lease()
	switch {
	case !look.manySilent && r.unreachable(m, look.heardByZone) && r.silentFor(m) > lease*2/5 && look.room.takes(m):
		return "no connection to it, while its zone is heard"
	case !look.manySilent && m.CallFails > 1 && m.FreshAt == 0 && r.silentFor(m) > lease/2:
		// After a take-over the proof by time is far away, and the cloud's
		// word that the machine is gone comes sooner. A machine that this
		// leader did hear is left alone: cut off or hanging, its tasks go
		// on until its lease ends, and it may come back.
		return "not heard since the take-over"
	case m.UnseenAnswers > 2 && m.CallFails > 1 && m.FreshAt == 0 && len(m.Attempts) > 0 && r.c.now > r.since+lease:
		// It reports and never shows our token: it hears no answer, so its
		// lease is over, but no message of it can prove that what an earlier
		// leader started there is gone.
		return "it has not heard us since the take-over"
	case !look.manySilent && m.CallFails > 0 && r.silentFor(m) > 3*lease:
		return "silent"
	}
	return ""
}

// whyIdleReturned is why a machine that answers is returned.
func (look *machineReview) whyIdleReturned(m *ledger.Machine) string {
	c := look.term.c
	boot := seconds(c.typeOf(m.Type).BootS)
	switch {
	case len(m.Attempts) > 0 || look.needed[m.ID]:
		m.IdleSince = c.now
	case m.Faults.Faulty:
		return "faulty"
	case c.now < m.DrainUntil:
		return "emptied"
	case c.now > m.IdleSince+time.Duration(float64(boot)*c.cfg.Operator.Fleet.IdleRatio):
		return "idle"
	}
	return ""
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
