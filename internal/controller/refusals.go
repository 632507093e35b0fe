package controller

import "time"

// refusal is the reason why a user's request was answered with status 503 or 429.
type refusal string

// Reasons for refusals by a controller that is not the leader.
const (
	refusedNoLeader          refusal = "no leader known"
	refusedLeaderUnreachable refusal = "leader unreachable"
	refusedTooManyPending    refusal = "too many requests pending"
	refusedNoReply           refusal = "no reply from the leader"
	refusedLeadersDiffer     refusal = "controllers disagree on the leader"
	refusedAfterPause        refusal = "process was paused"
)

// Reasons for refusals by the leader; its restrictions are further reasons.
const (
	refusedNotStored      refusal = "job not stored yet"
	refusedNoMachineTypes refusal = "machine types not loaded"
	refusedRecordRejected refusal = "record rejected"
)

// Reasons for refusals of requests that waited for an answer.
const (
	refusedTimedOut         refusal = "decision timed out"
	refusedLeadershipEnded  refusal = "leadership ended"
	refusedStateUnavailable refusal = "state service unavailable"
)

// refusalCounter counts the refused users' requests by reason, and logs the counts of each workers' lease in which
// there were any. Its lifetime is that of the process.
type refusalCounter struct {
	env *environment

	counts   map[refusal]int
	reportAt time.Duration
}

// record counts a refusal.
func (r *refusalCounter) record(reason refusal) {
	r.env.observer.RequestRefused(string(reason))
	r.counts[reason]++
}

// tick logs the counts once per workers' lease, and resets them.
func (r *refusalCounter) tick() {
	if r.env.now < r.reportAt {
		return
	}
	r.reportAt = r.env.now + r.env.cfg.WorkerLease()
	if len(r.counts) == 0 {
		return
	}
	var args []any
	for _, reason := range sortedKeys(r.counts) {
		args = append(args, string(reason), r.counts[reason])
	}
	r.env.log.Info("users' requests refused", args...)
	clear(r.counts)
}
