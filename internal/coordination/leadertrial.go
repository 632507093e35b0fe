package coordination

import (
	"time"

	"claybarrow/internal/protocol"
)

// A follower may lose the leader while the state service still names it: the two zones can't
// reach each other, or only the controllers can't. In the first case the zone's workers can't
// reach the leader either, and each one that is sent there goes round all controllers while its
// lease runs out; in the second they can, and should report to it. The follower can't tell the
// two apart, so it lets workers find out, at as little risk as it can, and renews the leases of
// the others meanwhile.

// leaderTrials is what a follower knows of the workers' way to a leader that it has lost.
type leaderTrials struct {
	// sent holds the workers that were sent to the leader, and when.
	sent map[string]time.Duration
	// last is when the last one was sent; next is when one may be sent again although others
	// came back; failures counts those in a row.
	last, next time.Duration
	failures   int
}

// mostTrialWorkers bounds the workers that are remembered.
const mostTrialWorkers = 1 << 16

// returned notes that a worker is here again. One that had been with the leader for long is no
// sign against the leader.
func (t *leaderTrials) returned(machine string, now, lease time.Duration) bool {
	at, was := t.sent[machine]
	if !was {
		return false
	}
	delete(t.sent, machine)
	if now > at+3*lease {
		return false
	}
	t.next = max(t.next, now+lease/2<<min(t.failures, mostTrialDelay))
	t.failures++
	return true
}

// send notes that a worker is sent to the leader.
func (t *leaderTrials) send(machine string, now time.Duration) {
	if t.sent == nil {
		t.sent = map[string]time.Duration{}
	}
	t.sent[machine], t.last = now, now
}

// sendsToLeader says whether a worker of our zone is sent to the leader that we have lost. Where
// our own connections are refused at once, so are the workers', and each may try. Where they get
// no answer, a worker waits for it at each controller, which may take longer than its lease: then
// one goes at a time, and before half the time that a leader may coast only one without tasks.
func (c *Core) sendsToLeader(msg *protocol.Report) bool {
	d := &c.follower
	t := &d.trials
	lease := c.cfg.Lease()
	if t.returned(msg.Machine, c.now, lease) || c.now < t.next || len(t.sent) >= mostTrialWorkers {
		return false
	}
	refusedSearch := time.Duration(len(c.cfg.Siblings))*reportPause + c.cfg.Report()*5/4
	if d.refused && refusedSearch < lease/2 {
		t.send(msg.Machine, c.now)
		return true
	}
	if t.last > 0 && c.now < t.last+c.searchTime() {
		return false
	}
	if len(msg.Tasks) > 0 && c.now < d.lostAt+c.cfg.Coast()/2 {
		return false
	}
	t.send(msg.Machine, c.now)
	return true
}
