package clusterstate

import "time"

// JobFailures records a job's failures since one of its tasks last completed. It is kept in memory only: a new
// leader begins with an empty record.
type JobFailures struct {
	// Backoffs counts failures for the job's back-off. Failures of tasks that had all started before the
	// first of these tasks failed count as one failure.
	Backoffs int
	// LastBackoffAt is the time at which the last back-off began, on the leader's clock.
	LastBackoffAt time.Duration
	// Machines maps each machine on which a task of the job has failed to the time of the last failure there.
	Machines map[string]time.Duration
	// IsJobFault is set once the failures are attributed to the job rather than to machines, because its tasks
	// have failed on jobFaultMachines machines.
	IsJobFault bool
}

// Thresholds of the number of machines on which tasks of a job have failed.
const (
	// probingMachines is the number of machines from which on the job's tasks are started one at a time.
	probingMachines = 2
	// jobFaultMachines is the number of machines from which on the failures are attributed to the job.
	jobFaultMachines = 3
)

// RecordFailure records a failure on a machine. It returns true if this failure is the one by which the
// failures are attributed to the job.
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

// AvoidedMachines returns the machines that the job must not be placed on: the machines whose last failure of the
// job is more recent than now-within. It returns nil if the failures are attributed to the job.
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

// MachineFaults is the evidence, since a task last completed on a machine, that the machine is faulty. It is
// kept in memory only: a new leader begins without evidence.
type MachineFaults struct {
	// SuspectJobs are the jobs of which a task failed on the machine. Each such failure may be the job's own
	// fault.
	SuspectJobs map[string]bool
	// ConfirmedJobs counts the jobs that failed on the machine and completed tasks on other machines.
	ConfirmedJobs int
	// Faulty is set once the evidence suffices. No more work is placed on the machine, and the flag is never
	// cleared.
	Faulty bool
}

// Weights of the evidence against a machine, and the sum from which on the machine counts as faulty.
const (
	suspectWeight   = 1
	confirmedWeight = 2
	faultyThreshold = 3
)

// AddSuspect records that a task of the job failed on the machine. It returns true if the machine becomes
// faulty by it.
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

// ConfirmSuspect records that a suspected job has completed a task on another machine. It returns true if the
// machine becomes faulty by it.
func (f *MachineFaults) ConfirmSuspect(job string) bool {
	if f.Faulty || !f.SuspectJobs[job] {
		return false
	}
	delete(f.SuspectJobs, job)
	f.ConfirmedJobs++
	return f.updateFaulty()
}

// RemoveSuspect removes the job's failures from the evidence, as they are attributed to the job.
func (f *MachineFaults) RemoveSuspect(job string) { delete(f.SuspectJobs, job) }

// Clear removes the evidence after a task has completed on the machine. A faulty machine stays faulty.
func (f *MachineFaults) Clear() {
	if !f.Faulty {
		*f = MachineFaults{}
	}
}

func (f *MachineFaults) updateFaulty() bool {
	f.Faulty = suspectWeight*len(f.SuspectJobs)+confirmedWeight*f.ConfirmedJobs >= faultyThreshold
	return f.Faulty
}
