package clusterstate

import (
	"claybarrow/internal/protocol"
)

// Key prefixes of the records in the state service.
const (
	// JobPrefix + UID holds a JobRecord.
	JobPrefix = "j/"
	// CompletionPrefix + UID + "/" + chunk holds a CompletionRecord.
	CompletionPrefix = "d/"
	// CompletionPartPrefix + UID + "/" + part holds a CompletionRecord of tasks that do not fit into the
	// record of their chunk.
	CompletionPartPrefix = "p/"
	// MachinePrefix + machine ID holds a MachineRecord.
	MachinePrefix = "m/"
	// CounterPrefix + batch number holds Counters.
	CounterPrefix = "k/"
)

// Cancelling is the stored state of a job whose cancellation was requested and is not complete. No task of the
// job is started any more, and the running tasks are stopped.
const Cancelling protocol.JobState = "cancelling"

// JobRecord is the stored form of a job. It is stored under the names in the tags. The writer, however, measures
// a record by its JSON encoding with the Go field names, so renaming a field changes which records fit the limit.
type JobRecord struct {
	// State is empty, Cancelling, protocol.JobDone or protocol.JobCancelled.
	State protocol.JobState `msgpack:"s,omitempty"`
	// Tasks is the number of tasks of a job that is done.
	Tasks int `msgpack:"n,omitempty"`
	// Submitted is in ms since the epoch, on the wall clock of the controller that accepted the job.
	Submitted int64 `msgpack:"t,omitempty"`
	// Spec is nil once the job has ended.
	Spec *protocol.JobSpec `msgpack:"j,omitempty"`
}

// MachineRecord is the stored form of a machine and of the attempts that may be on it.
type MachineRecord struct {
	Type string `msgpack:"y"`
	Zone string `msgpack:"z"`
	Spot bool   `msgpack:"b,omitempty"`
	Addr string `msgpack:"a,omitempty"`
	// Return is set once the deletion of the machine is decided; see RentalState.Releasing.
	Return   bool           `msgpack:"r,omitempty"`
	Attempts []AttemptEntry `msgpack:"t,omitempty"`
}

// AttemptEntry is an attempt in a MachineRecord. It is encoded as an array, so the order of its fields must not
// change.
type AttemptEntry struct {
	//lint:ignore U1000 msgpack finds the field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
	Try      uint64
}

// MaxEntryBytes is an upper bound on the size of an AttemptEntry in a MachineRecord, as the writer measures it.
// Twice as much is an upper bound on the size of a CounterRow.
const MaxEntryBytes = 96

// Counters is a batch of the attained service of jobs. The leader writes it periodically for the next leader.
type Counters struct {
	// At is the time at which the batch was rendered, in ms since the epoch on the leader's wall clock. The next
	// leader adds the service attained since then.
	At int64 `msgpack:"t"`
	// Jobs has a row for each job, by the job's UID.
	Jobs map[string]CounterRow `msgpack:"j"`
}

// CounterRow is the stored form of a job's scheduler.ScaleUp. Upper holds InUpperQueue, First InitialEfficiency
// and Degr Degradation; the other fields have the same names in both types. CounterRow is encoded as an array, so
// the order of its fields must not change.
type CounterRow struct {
	//lint:ignore U1000 msgpack finds the field by reflection
	_msgpack   struct{} `msgpack:",as_array"`
	Attained   float64
	Upper      bool
	Slots      int
	DoneAt     int
	AttainedAt float64
	First      float64
	Degr       float64
}

// Record renders the job's record from its present state.
func (j *Job) Record() JobRecord {
	switch {
	case j.Finalizing && j.Cancelling:
		return JobRecord{State: protocol.JobCancelled}
	case j.Finalizing:
		return JobRecord{State: protocol.JobDone, Tasks: j.Spec.Tasks}
	case j.Cancelling:
		return JobRecord{State: Cancelling, Submitted: j.Submitted, Spec: j.Spec}
	}
	return JobRecord{Submitted: j.Submitted, Spec: j.Spec}
}

// Record renders the machine's record with all attempts that may be on the machine.
func (m *Machine) Record() MachineRecord {
	record := MachineRecord{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Addr: m.Addr, Return: m.Releasing}
	for _, a := range m.SortedAttempts() {
		record.Attempts = append(record.Attempts, AttemptEntry{Job: a.Job.Spec.UID, Index: a.Index, Try: a.Number})
	}
	return record
}
