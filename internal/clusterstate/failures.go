package clusterstate

import "time"

// JobFailures is what is known of a job's failures since one of its tasks last completed. It is kept
// in memory only: a new leader begins with none.
type JobFailures struct {
	// Backoffs counts failures for the job's back-off. Failures of tasks that had all started before the
	// first of them failed count as one.
	Backoffs int
	// LastBackoffAt is when the last of these began, by the leader's clock.
	LastBackoffAt time.Duration
	// Machines are those where tasks have failed, with the time of the last failure there.
	Machines map[string]time.Duration
	// IsJobFault: the failures are the job's own fault, as its tasks have failed on several machines.
	IsJobFault bool
}

// Numbers of machines with failures of a job.
const (
	// probingMachines is from how many on the job may have only one task started at a time.
	probingMachines = 2
	// jobFaultMachines is from how many on the failures are taken for the job's own fault.
	jobFaultMachines = 3
)

// RecordFailure records a failure on a machine. It returns true if that is the one which shows that the
// failures are the job's own fault.
func (f *JobFailures) RecordFailure(machine string, now time.Duration) bool {
	if f.IsJobFault {
		return false
	}
	if f.Machines == nil {
		f.Machines = map[string]time.Duration{}
	}
	f.Machines[machine] = now
	f.IsJobFault = len(f.Machines) >= jobFaultMachines
	return f.IsJobFault
}

// IsProbing reports whether only one task of the job may be started at a time.
func (f *JobFailures) IsProbing() bool { return f.IsJobFault || len(f.Machines) >= probingMachines }

// AvoidedMachines returns the machines that the job must not be placed on: those where it failed within the
// given time, unless the failures are its own fault.
func (f *JobFailures) AvoidedMachines(now, within time.Duration) map[string]bool {
	if f.IsJobFault || len(f.Machines) == 0 {
		return nil
	}
	avoided := map[string]bool{}
	for id, failedAt := range f.Machines {
		if now < failedAt+within {
			avoided[id] = true
		}
	}
	return avoided
}

// MachineFaults is the evidence that a machine is faulty, since a task last completed on it. It is kept
// in memory only: a new leader begins with none.
type MachineFaults struct {
	// SuspectJobs are the jobs with a failed task there, which may be the job's own fault.
	SuspectJobs map[string]bool
	// ConfirmedJobs counts the jobs that failed there and completed tasks elsewhere.
	ConfirmedJobs int
	// Faulty: the evidence is enough, and the machine is given no more work. It stays set.
	Faulty bool
}

// Weights of the evidence against a machine, and the sum from which on it is faulty.
const (
	suspectWeight   = 1
	confirmedWeight = 2
	faultyThreshold = 3
)

// AddSuspect records that a task of the job failed on the machine. It returns true if that makes the
// machine faulty.
func (f *MachineFaults) AddSuspect(job string) bool {
	if f.Faulty {
		return false
	}
	if f.SuspectJobs == nil {
		f.SuspectJobs = map[string]bool{}
	}
	f.SuspectJobs[job] = true
	return f.updateFaulty()
}

// ConfirmSuspect records that a suspected job has completed a task elsewhere. It returns true if that makes
// the machine faulty.
func (f *MachineFaults) ConfirmSuspect(job string) bool {
	if f.Faulty || !f.SuspectJobs[job] {
		return false
	}
	delete(f.SuspectJobs, job)
	f.ConfirmedJobs++
	return f.updateFaulty()
}

// RemoveSuspect drops the job's failures from the evidence, as they are its own fault.
func (f *MachineFaults) RemoveSuspect(job string) { delete(f.SuspectJobs, job) }

// Clear drops the evidence, as a task has completed on the machine. A faulty machine stays faulty.
func (f *MachineFaults) Clear() {
	if !f.Faulty {
		*f = MachineFaults{}
	}
}

func (f *MachineFaults) updateFaulty() bool {
	f.Faulty = suspectWeight*len(f.SuspectJobs)+confirmedWeight*f.ConfirmedJobs >= faultyThreshold
	return f.Faulty
}
