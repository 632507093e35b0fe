package clusterstate

import "time"

// JobFailures is what is known of a job's failures since one of its tasks last
// completed.
type JobFailures struct {
	// Waves counts failures: those of tasks that had all begun before the first of them
	// are one. LastWave is when the last one began.
	Waves    int
	LastWave time.Duration
	// Machines are those where tasks have failed, with the time of the last failure.
	Machines map[string]time.Duration
	// Everywhere: they are the job's own fault, as it has failed on several machines.
	Everywhere bool
}

// Failures that tell a job's fault from a machine's.
const (
	probingMachines  = 2 // machines, from which on a job is tried with one task at a time
	jobFaultMachines = 3 // machines, from which on its failures are its own fault
)

// Note notes a failure on a machine. It returns true if that shows that the failures are
// the job's own fault.
func (f *JobFailures) Note(machine string, now time.Duration) bool {
	if f.Everywhere {
		return false
	}
	if f.Machines == nil {
		f.Machines = map[string]time.Duration{}
	}
	f.Machines[machine] = now
	f.Everywhere = len(f.Machines) >= jobFaultMachines
	return f.Everywhere
}

// Probing says whether the job is tried with one task at a time.
func (f *JobFailures) Probing() bool { return f.Everywhere || len(f.Machines) >= probingMachines }

// Avoid names the machines that the job is kept off: where it failed within the given
// time, unless the fault is its own.
func (f *JobFailures) Avoid(now, within time.Duration) map[string]bool {
	if f.Everywhere || len(f.Machines) == 0 {
		return nil
	}
	out := map[string]bool{}
	for id, at := range f.Machines {
		if now < at+within {
			out[id] = true
		}
	}
	return out
}

// MachineFaults is the evidence that a machine is faulty, since a task last completed on it.
type MachineFaults struct {
	// Suspects are jobs whose tasks failed there, which may be their own fault.
	Suspects map[string]bool
	// Confirmed counts jobs that failed there and completed tasks elsewhere.
	Confirmed int
	// Faulty: the evidence is enough, the machine is given no more work.
	Faulty bool
}

// Weights of the evidence against a machine.
const (
	suspectWeight   = 1
	confirmedWeight = 2
	faultyThreshold = 3
)

// Suspect notes that a task of the job failed there. It returns true if that makes the
// machine faulty.
func (f *MachineFaults) Suspect(job string) bool {
	if f.Faulty {
		return false
	}
	if f.Suspects == nil {
		f.Suspects = map[string]bool{}
	}
	f.Suspects[job] = true
	return f.updateFaulty()
}

// Confirm notes that the job has completed a task elsewhere. It returns true if that makes
// the machine faulty.
func (f *MachineFaults) Confirm(job string) bool {
	if f.Faulty || !f.Suspects[job] {
		return false
	}
	delete(f.Suspects, job)
	f.Confirmed++
	return f.updateFaulty()
}

// Withdraw takes the job's failures back: they are its own fault.
func (f *MachineFaults) Withdraw(job string) { delete(f.Suspects, job) }

// Clear drops the evidence: a task has completed there.
func (f *MachineFaults) Clear() {
	if !f.Faulty {
		*f = MachineFaults{}
	}
}

func (f *MachineFaults) updateFaulty() bool {
	f.Faulty = suspectWeight*len(f.Suspects)+confirmedWeight*f.Confirmed >= faultyThreshold
	return f.Faulty
}
