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
	// IsJobFault is set once the failures are attributed to the job rather than to machines. The job is still tried,
	// one task at a time, and the first success clears the flag.
	IsJobFault bool
}

// Thresholds of the number of machines on which tasks of a job have failed.
const (
	// probingMachines is the number of machines from which on the job's tasks are started one at a time.
	probingMachines = 2
	// jobFaultMachines is the number of machines from which on the failures are attributed to the job.
	jobFaultMachines = 3
	// triedMachinesMin is the number of machines that suffices instead if the job can use no others.
	triedMachinesMin = 2
)

// JobFailure is a failure of one of the job's tasks.
type JobFailure struct {
	Machine string
	At      time.Duration
	// Retried is set if the task was placed on the machine after an earlier failure of the job there.
	Retried bool
	// MachineWorked is set if a task of another job that was placed after that earlier failure has succeeded on the
	// machine.
	MachineWorked bool
	// HasUntriedMachine reports whether a machine that is up could take the job's tasks and is not among the given ones.
	HasUntriedMachine func(tried map[string]time.Duration) bool
}

// RecordFailure records a failure. It returns true if this failure is the one by which the failures are attributed to
// the job.
func (f *JobFailures) RecordFailure(failure JobFailure) bool {
	if f.IsJobFault {
		return false
	}
	if f.Machines == nil {
		f.Machines = map[string]time.Duration{}
	}
	f.Machines[failure.Machine] = failure.At
	f.IsJobFault = f.isAttributedToJob(failure)
	return f.IsJobFault
}

// isAttributedToJob reports whether the failures show that the job is at fault: it has failed on jobFaultMachines
// machines, or again on a machine that has worked for another job in the meantime, or again although it has failed on
// every machine that it can use. The last case does not apply to a job with a single machine.
func (f *JobFailures) isAttributedToJob(failure JobFailure) bool {
	switch {
	case len(f.Machines) >= jobFaultMachines:
		return true
	case !failure.Retried:
		return false
	case failure.MachineWorked:
		return true
	}
	return len(f.Machines) >= triedMachinesMin && !failure.HasUntriedMachine(f.Machines)
}

// AreRepeated reports whether tasks of the job have failed again after a back-off, and none has completed since.
func (f *JobFailures) AreRepeated() bool { return f.Backoffs > 1 }

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
