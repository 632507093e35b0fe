package clusterstate

import (
	"maps"
	"time"
)

// BreakerState is the state of a machine's circuit breaker.
type BreakerState string

// States of a circuit breaker.
const (
	// BreakerClosed: the machine gets tasks. It is the state of a new machine.
	BreakerClosed BreakerState = ""
	// BreakerOpen: the machine gets no tasks.
	BreakerOpen BreakerState = "open"
	// BreakerHalfOpen: the machine gets single tasks of jobs that find no room elsewhere, as probes.
	BreakerHalfOpen BreakerState = "half_open"
)

// MachineFaults is the evidence, since a task last succeeded on a machine, that the machine is faulty, and the circuit
// breaker that the evidence opens. It is kept in memory only: a new leader begins without evidence.
type MachineFaults struct {
	// SuspectJobs maps each job of which a task failed on the machine to the time of its last failure there. Each such
	// failure may be the job's own fault.
	SuspectJobs map[string]time.Duration
	// ConfirmedJobs counts the jobs that failed on the machine and completed tasks on other machines.
	ConfirmedJobs int

	// Breaker is the state of the circuit breaker. It was last opened at OpenedAt and stays open until OpenUntil.
	Breaker             BreakerState
	OpenedAt, OpenUntil time.Duration
	// Withheld is set while the evidence suffices and the breaker stays closed because too many machines are
	// quarantined already.
	Withheld bool

	// lastConfirmedAt is the time of the last failure on the machine of a job among ConfirmedJobs.
	lastConfirmedAt time.Duration
	// lastSuccessPlacedAt is the latest time at which a task was placed that has succeeded on the machine.
	lastSuccessPlacedAt time.Duration
}

// Weights of the evidence against a machine, and the sum from which on the machine counts as faulty.
const (
	suspectWeight   = 1
	confirmedWeight = 2
	faultyThreshold = 3
)

// AddSuspect records that a task of the job failed on the machine. It returns true if the job was no suspect before.
func (f *MachineFaults) AddSuspect(job string, now time.Duration) bool {
	if f.SuspectJobs == nil {
		f.SuspectJobs = map[string]time.Duration{}
	}
	_, known := f.SuspectJobs[job]
	f.SuspectJobs[job] = now
	return !known
}

// ConfirmSuspect records that a job has completed a task on another machine. It returns the time of the job's last
// failure on this machine, and whether the job was a suspect.
func (f *MachineFaults) ConfirmSuspect(job string) (failedAt time.Duration, suspected bool) {
	failedAt, suspected = f.SuspectJobs[job]
	if suspected {
		delete(f.SuspectJobs, job)
		f.ConfirmedJobs++
		f.lastConfirmedAt = max(f.lastConfirmedAt, failedAt)
	}
	return failedAt, suspected
}

// IsConfirmed reports whether a job that failed on the machine has completed a task on another machine. Other evidence
// may as well be the fault of the jobs.
func (f *MachineFaults) IsConfirmed() bool { return f.ConfirmedJobs > 0 }

// RemoveSuspect removes the job's failures from the evidence: they are attributed to the job, or the job has ended or
// succeeded on the machine.
func (f *MachineFaults) RemoveSuspect(job string) { delete(f.SuspectJobs, job) }

// RecordSuccess records that a task has succeeded that was placed on the machine at the given time. The success
// refutes the evidence of earlier failures. It says nothing about later ones: a faulty machine may still complete the
// tasks that it already runs.
func (f *MachineFaults) RecordSuccess(placedAt time.Duration) {
	f.lastSuccessPlacedAt = max(f.lastSuccessPlacedAt, placedAt)
	maps.DeleteFunc(f.SuspectJobs, func(_ string, failedAt time.Duration) bool { return failedAt < placedAt })
	if f.lastConfirmedAt < placedAt {
		f.ConfirmedJobs = 0
	}
}

// WorkedSince reports whether a task that was placed after the given time has succeeded on the machine.
func (f *MachineFaults) WorkedSince(since time.Duration) bool { return f.lastSuccessPlacedAt > since }

// HasEvidence reports whether there is any evidence against the machine.
func (f *MachineFaults) HasEvidence() bool { return len(f.SuspectJobs) > 0 || f.ConfirmedJobs > 0 }

// IsFaulty reports whether the evidence that stands now suffices to consider the machine faulty.
func (f *MachineFaults) IsFaulty() bool {
	return suspectWeight*len(f.SuspectJobs)+confirmedWeight*f.ConfirmedJobs >= faultyThreshold
}

// Open opens the circuit breaker until the given time.
func (f *MachineFaults) Open(now, until time.Duration) {
	f.Breaker, f.OpenedAt, f.OpenUntil, f.Withheld = BreakerOpen, now, until, false
}

// HalfOpen lets the machine get probes.
func (f *MachineFaults) HalfOpen() { f.Breaker = BreakerHalfOpen }

// Close closes the circuit breaker.
func (f *MachineFaults) Close() { f.Breaker, f.Withheld = BreakerClosed, false }

// IsQuarantined reports whether the circuit breaker is open or half-open.
func (f *MachineFaults) IsQuarantined() bool { return f.Breaker != BreakerClosed }
