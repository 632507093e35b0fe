package controller

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

// leaderProbes is what a follower knows of the workers' way to a leader that it has lost.
type leaderProbes struct {
	// sent holds the workers that were sent to the leader, and when.
	sent map[string]time.Duration
	// last is when the last one was sent; next is when one may be sent again although others
	// came back; failures counts those in a row.
	last, next time.Duration
	failures   int
}

// maxProbingWorkers bounds the workers that are remembered.
const maxProbingWorkers = 1 << 16

// noteReturned notes that a worker is here again. One that had been with the leader for long is no
// sign against the leader.
func (p *leaderProbes) noteReturned(machine string, now, lease time.Duration) bool {
	at, was := p.sent[machine]
	if !was {
		return false
	}
	delete(p.sent, machine)
	if now > at+3*lease {
		return false
	}
	p.next = max(p.next, now+lease/2<<min(p.failures, maxBackoffDoublings))
	p.failures++
	return true
}

// noteSent notes that a worker is sent to the leader.
func (p *leaderProbes) noteSent(machine string, now time.Duration) {
	if p.sent == nil {
		p.sent = map[string]time.Duration{}
	}
	p.sent[machine], p.last = now, now
}

// sendsWorkerToLeader says whether a worker of our zone is sent to the leader that we have lost. Where
// our own connections are refused at once, so are the workers', and each may try. Where they get
// no answer, a worker waits for it at each controller, which may take longer than its lease: then
// one goes at a time, and before half the time that a leader may coast only one without tasks.
func (f *follower) sendsWorkerToLeader(msg *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	t := &contact.leaderProbes
	lease := f.env.cfg.Lease()
	if t.noteReturned(msg.Machine, f.env.now, lease) || f.env.now < t.next || len(t.sent) >= maxProbingWorkers {
		return false
	}
	refusedSearch := time.Duration(len(f.env.cfg.Siblings))*heartbeatRetryPause + f.env.cfg.Report()*5/4
	if contact.connectionRefused && refusedSearch < lease/2 {
		t.noteSent(msg.Machine, f.env.now)
		return true
	}
	if t.last > 0 && f.env.now < t.last+f.env.workerSearchTime() {
		return false
	}
	if len(msg.Tasks) > 0 && f.env.now < contact.leaderLostAt+f.env.cfg.Coast()/2 {
		return false
	}
	t.noteSent(msg.Machine, f.env.now)
	return true
}
