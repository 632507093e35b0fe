package clusterstate

import (
	"claybarrow/internal/protocol"
)

// Keys of the state service.
const (
	JobPrefix            = "j/"
	CompletionPrefix     = "d/"
	CompletionPartPrefix = "p/" // completions that don't fit under CompletionPrefix
	MachinePrefix        = "m/"
	CounterPrefix        = "k/"
)

// Cancelling is the stored state of a job whose user has asked to cancel it and
// has not been told so: no attempt may be started, those there are stopped.
const Cancelling protocol.JobState = "cancelling"

// JobRecord is a job in the state service; S is empty, "cancelling", "done" or
// "aborted".
type JobRecord struct {
	State     protocol.JobState `msgpack:"s,omitempty"`
	Tasks     int               `msgpack:"n,omitempty"`
	Submitted int64             `msgpack:"t,omitempty"`
	Spec      *protocol.Spec    `msgpack:"j,omitempty"`
}

// MachineRecord is a machine in the state service.
type MachineRecord struct {
	Type     string         `msgpack:"y"`
	Zone     string         `msgpack:"z"`
	Spot     bool           `msgpack:"b,omitempty"`
	Addr     string         `msgpack:"a,omitempty"`
	Return   bool           `msgpack:"r,omitempty"`
	Attempts []AttemptEntry `msgpack:"t,omitempty"`
}

// AttemptEntry is one attempt in a machine's record.
type AttemptEntry struct {
	//lint:ignore U1000 msgpack finds the field by reflection
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
	Number   uint64
}

// Counters are batched attained-service figures.
type Counters struct {
	At   int64                 `msgpack:"t"`
	Jobs map[string]CounterRow `msgpack:"j"`
}

// CounterRow is one job's figures.
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

// Record renders a job.
func (j *Job) Record() JobRecord {
	switch {
	case j.Finishing && j.Cancelling:
		return JobRecord{State: protocol.Cancelled}
	case j.Finishing:
		return JobRecord{State: protocol.Done, Tasks: j.Spec.Tasks}
	case j.Cancelling:
		return JobRecord{State: Cancelling, Submitted: j.Submitted, Spec: j.Spec}
	}
	return JobRecord{Submitted: j.Submitted, Spec: j.Spec}
}

// EntryBytes is a bound for one entry of a machine's record.
const EntryBytes = 96

// Record renders a machine with all that may be on it.
func (m *Machine) Record() MachineRecord {
	r := MachineRecord{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Addr: m.Addr, Return: m.Releasing}
	for _, a := range m.Sorted() {
		r.Attempts = append(r.Attempts, AttemptEntry{Job: a.Job.Spec.UID, Index: a.Index, Number: a.Number})
	}
	return r
}
