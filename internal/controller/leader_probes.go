package controller

import (
	"time"

	"claybarrow/internal/protocol"
)

// A follower may lose the leader while the state service still names it: the two zones can't reach each other, or
// only the controllers can't. In the first case the zone's workers can't reach the leader either, and each one that
// is sent there goes round all controllers while its lease runs out; in the second they can, and should send it their
// heartbeats. The follower can't tell the two apart, so it lets workers find out, at as little risk as it can, and
// renews the leases of the others meanwhile.

// leaderProbes is what a follower knows of the workers' route to a leader that it has lost. It is dropped when the
// leader answers.
type leaderProbes struct {
	// sent holds when each worker was sent to the leader that has not come back, by machine.
	sent map[string]time.Duration
	last time.Duration // when the last worker was sent; 0: none was
	// next is when a worker may be sent again although others came back; failures counts those in a row.
	next     time.Duration
	failures int
}

const (
	// maxProbingWorkers bounds the workers that are remembered, and so the memory that they take.
	maxProbingWorkers = 1 << 16
	// conclusiveStay is how many leases a worker must have been away to prove that it reached the leader: its return
	// has another reason then.
	conclusiveStay = 3
)

// noteReturned notes a worker's heartbeat. It returns true if that worker was sent to the leader and came back so
// early that it cannot have reached it.
func (p *leaderProbes) noteReturned(machine string, now, lease time.Duration) bool {
	sentAt, wasSent := p.sent[machine]
	if !wasSent {
		return false
	}
	delete(p.sent, machine)
	if now > sentAt+conclusiveStay*lease {
		return false
	}
	p.next = max(p.next, now+redirectBackoff(lease, p.failures))
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

// trySendWorkerToLeader reports whether a worker of this controller's zone is sent to the leader that this controller
// has lost, and notes that it is.
func (f *follower) trySendWorkerToLeader(heartbeat *protocol.WorkerHeartbeat) bool {
	probes := &f.contact.leaderProbes
	returned := probes.noteReturned(heartbeat.Machine, f.env.now, f.env.cfg.WorkerLease())
	if returned || f.env.now < probes.next || len(probes.sent) >= maxProbingWorkers {
		return false
	}
	if !f.refusesAtOnce() && !f.mayRiskLease(heartbeat) {
		return false
	}
	probes.noteSent(heartbeat.Machine, f.env.now)
	return true
}

// refusesAtOnce reports whether connections to the leader are refused at once. The workers' are refused then as
// well, and each of them may try: it is back long before its lease runs out.
func (f *follower) refusesAtOnce() bool {
	return f.contact.connectionRefused && f.env.workerScanTime(heartbeatRetryPause) < f.env.cfg.WorkerLease()/2
}

// mayRiskLease reports whether a worker may try the leader where connections get no answer. It waits for one at
// each controller then, which may take longer than its lease: so one worker goes at a time, and in the first half of
// the time for which a leader may coast only one without tasks.
func (f *follower) mayRiskLease(heartbeat *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	if last := contact.leaderProbes.last; last > 0 && f.env.now < last+f.env.workerFailoverTime() {
		return false
	}
	return len(heartbeat.Tasks) == 0 || f.env.now >= contact.leaderLostAt+f.env.cfg.OutageTolerance()/2
}
