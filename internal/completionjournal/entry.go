package completionjournal

import (
	"cmp"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"
)

// Entry is a completion or a departure. A completion has no machine and means that the task is done. A departure
// has a machine and means that the attempt has left that machine.
type Entry struct {
	Job     string // UID
	Index   int    // of the task
	Machine string // ID; empty for a completion
	Attempt uint64 // the attempt's number; 0 for a completion
}

func compareEntries(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.Machine, b.Machine),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Index, b.Index),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

// Limits on the values that are decoded. A value may be damaged and contain any numbers.
const (
	// maxTasks is the maximum number of tasks of a job that the protocol allows.
	maxTasks = 100_000
	// maxEntries limits the memory that the entries of one value take.
	maxEntries = 1 << 18
)

// valueBody is the body of a value: completions by job and departures by machine.
type valueBody struct {
	Completions []jobCompletions    `cbor:"1,keyasint,omitempty"`
	Departures  []machineDepartures `cbor:"2,keyasint,omitempty"`
}

// jobCompletions are the completed tasks of a job. It is encoded as an array, so the order of its fields must not
// change.
type jobCompletions struct {
	_   struct{} `cbor:",toarray"`
	Job string
	// Tasks is the set of task indices as a serialized roaring bitmap.
	Tasks []byte
}

// machineDepartures are the attempts that have left a machine. It is encoded as an array, so the order of its
// fields must not change.
type machineDepartures struct {
	_        struct{} `cbor:",toarray"`
	Machine  string
	Attempts []departedAttempt
}

// departedAttempt is an attempt that has left a machine. It is encoded as an array, so the order of its fields must
// not change.
type departedAttempt struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Index  uint32
	Number uint64
}

// groupEntries groups entries by job and by machine. Jobs and machines are in the order of their first
// entry.
func groupEntries(entries []Entry) valueBody {
	var body valueBody
	tasksByJob := map[string]*roaring.Bitmap{}
	var jobs []string
	positions := map[string]int{} // indices in body.Departures, by machine
	for _, e := range entries {
		if e.Machine == "" {
			if tasksByJob[e.Job] == nil {
				tasksByJob[e.Job] = roaring.New()
				jobs = append(jobs, e.Job)
			}
			tasksByJob[e.Job].Add(uint32(e.Index))
			continue
		}
		position, grouped := positions[e.Machine]
		if !grouped {
			position = len(body.Departures)
			positions[e.Machine] = position
			body.Departures = append(body.Departures, machineDepartures{Machine: e.Machine})
		}
		attempt := departedAttempt{Job: e.Job, Index: uint32(e.Index), Number: e.Attempt}
		body.Departures[position].Attempts = append(body.Departures[position].Attempts, attempt)
	}
	for _, job := range jobs {
		body.Completions = append(body.Completions, jobCompletions{Job: job, Tasks: encodeBitmap(tasksByJob[job])})
	}
	return body
}

// listEntries returns the entries of a body, completions first. Its errors wrap ErrMalformed.
func listEntries(body valueBody) ([]Entry, error) {
	var entries []Entry
	for _, completions := range body.Completions {
		tasks, err := decodeBitmap(completions.Tasks)
		if err != nil {
			return nil, fmt.Errorf("%w: tasks of job %q: %w", ErrMalformed, completions.Job, err)
		}
		if count := uint64(len(entries)) + tasks.GetCardinality(); count > maxEntries {
			return nil, fmt.Errorf("%w: %d entries, limit %d", ErrMalformed, count, maxEntries)
		}
		for _, index := range tasks.ToArray() {
			entries = append(entries, Entry{Job: completions.Job, Index: int(index)})
		}
	}
	for _, departures := range body.Departures {
		for _, a := range departures.Attempts {
			if departures.Machine == "" || a.Index >= maxTasks {
				return nil, fmt.Errorf("%w: departed attempt of job %q: machine %q, task index %d", ErrMalformed, a.Job, departures.Machine, a.Index)
			}
			entries = append(entries, Entry{Job: a.Job, Index: int(a.Index), Machine: departures.Machine, Attempt: a.Number})
		}
	}
	return entries, nil
}

func encodeBitmap(tasks *roaring.Bitmap) []byte {
	tasks.RunOptimize()
	packed, err := tasks.ToBytes()
	if err != nil {
		panic(fmt.Sprintf("completionjournal: bitmap can't be serialized: %v", err)) // writing to memory does not fail
	}
	return packed
}

// decodeBitmap deserializes a bitmap. A damaged bitmap must not crash the process, so a panic of the library is
// returned as an error.
func decodeBitmap(packed []byte) (tasks *roaring.Bitmap, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("invalid bitmap: %v", r)
		}
	}()
	tasks = roaring.New()
	if err := tasks.UnmarshalBinary(packed); err != nil {
		return nil, err
	}
	if err := tasks.Validate(); err != nil {
		return nil, err
	}
	if !tasks.IsEmpty() && tasks.Maximum() >= maxTasks {
		return nil, fmt.Errorf("task index %d, a job has at most %d tasks", tasks.Maximum(), maxTasks)
	}
	return tasks, nil
}
