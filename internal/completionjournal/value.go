// Package completionjournal stores the ends of tasks many in one value: that a task of an array is done,
// and that an attempt has left its machine. Each would otherwise be a change of its own at the state
// service, of the job's completions or of the machine's record. The records take the ends in when
// they are next written; until then a take-over reads the records first and the journal after them.
//
// An end only repeats what the records come to say, so reading one twice, or after the records have
// it, changes nothing. A value that is lost costs work and no rule: a task is started again and
// exits as done, and an attempt counts as present until its machine proves otherwise.
package completionjournal

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Prefix is that of the journal's keys: g/<token>/<number>, both in decimal.
const Prefix = "g/"

// Form is the form of the values that this version writes, and the newest that it reads.
const Form = 1

// Bounds of what is read, whatever a value claims.
const (
	maxTasks   = 100_000 // of a job, by the protocol
	maxEntries = 1 << 18 // of a value
)

// Why a value can't be read.
var (
	ErrFormatVersion = errors.New("a later form")
	ErrWrongKey      = errors.New("it belongs under another key")
	ErrChecksum      = errors.New("the checksum differs")
	ErrMalformed     = errors.New("malformed")
)

// Value is what a key of the journal holds. The state service takes text and numbers only.
type Value struct {
	Form   uint64 `msgpack:"v"`
	Token  uint64 `msgpack:"t"`
	Number uint64 `msgpack:"n"`
	// Sum is the xxhash of token, number and body.
	Sum uint64 `msgpack:"x"`
	// Body is an entries value as CBOR, in base64.
	Body string `msgpack:"b"`
}

// valueBody is the body: ends by job and by machine.
type valueBody struct {
	Completions []jobCompletions    `cbor:"1,keyasint,omitempty"`
	Departures  []machineDepartures `cbor:"2,keyasint,omitempty"`
}

// jobCompletions are tasks of a job, as a roaring bitmap.
type jobCompletions struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Tasks []byte
}

// machineDepartures are attempts that have left a machine.
type machineDepartures struct {
	_        struct{} `cbor:",toarray"`
	Machine  string
	Attempts []departedAttempt
}

type departedAttempt struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Index  uint32
	Number uint64
}

// Entry is one end. With a machine it says that the attempt has left it, without one that the task
// is done.
type Entry struct {
	Job     string
	Index   int
	Machine string
	Attempt uint64
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Machine, b.Machine), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// Key is the key of a value.
func Key(token, number uint64) string {
	return Prefix + strconv.FormatUint(token, 10) + "/" + strconv.FormatUint(number, 10)
}

// ParseKey reads a key of the journal.
func ParseKey(key string) (token, number uint64, ok bool) {
	first, second, found := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	token, errToken := strconv.ParseUint(first, 10, 64)
	number, errNumber := strconv.ParseUint(second, 10, 64)
	return token, number, found && errToken == nil && errNumber == nil && Key(token, number) == key
}

// Encode makes the value of a key.
func Encode(token, number uint64, ends []Entry) Value {
	body, err := cbor.Marshal(groupEntries(ends))
	if err != nil {
		panic(fmt.Sprintf("completionjournal: %v", err)) // values of our own types always encode
	}
	return Value{Form: Form, Token: token, Number: number, Sum: checksum(token, number, body),
		Body: base64.StdEncoding.EncodeToString(body)}
}

// groupEntries orders ends by job and machine, each in the order of its first end.
func groupEntries(ends []Entry) valueBody {
	var out valueBody
	tasks := map[string]*roaring.Bitmap{}
	var jobs []string
	machines := map[string]int{}
	for _, e := range ends {
		if e.Machine == "" {
			if tasks[e.Job] == nil {
				tasks[e.Job] = roaring.New()
				jobs = append(jobs, e.Job)
			}
			tasks[e.Job].Add(uint32(e.Index))
			continue
		}
		at, known := machines[e.Machine]
		if !known {
			at = len(out.Departures)
			machines[e.Machine] = at
			out.Departures = append(out.Departures, machineDepartures{Machine: e.Machine})
		}
		out.Departures[at].Attempts = append(out.Departures[at].Attempts, departedAttempt{Job: e.Job, Index: uint32(e.Index), Number: e.Attempt})
	}
	for _, job := range jobs {
		tasks[job].RunOptimize()
		packed, err := tasks[job].ToBytes()
		if err != nil {
			panic(fmt.Sprintf("completionjournal: %v", err)) // it is written to memory
		}
		out.Completions = append(out.Completions, jobCompletions{Job: job, Tasks: packed})
	}
	return out
}

func checksum(token, number uint64, body []byte) uint64 {
	var place [16]byte
	binary.BigEndian.PutUint64(place[:8], token)
	binary.BigEndian.PutUint64(place[8:], number)
	digest := xxhash.New()
	_, _ = digest.Write(place[:]) // a hash takes all that is written
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Decode reads the value of a key. Its error is one of those above, with what was found.
func Decode(key string, v Value) ([]Entry, error) {
	token, number, ok := ParseKey(key)
	switch {
	case !ok:
		return nil, fmt.Errorf("%w: the key is none of the journal's", ErrMalformed)
	case v.Form > Form:
		return nil, fmt.Errorf("%w: %d, %d is read", ErrFormatVersion, v.Form, Form)
	case v.Form == 0:
		return nil, fmt.Errorf("%w: no form", ErrMalformed)
	case v.Token != token || v.Number != number:
		return nil, fmt.Errorf("%w: %s", ErrWrongKey, Key(v.Token, v.Number))
	}
	body, err := base64.StdEncoding.DecodeString(v.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if checksum(token, number, body) != v.Sum {
		return nil, ErrChecksum
	}
	var grouped valueBody
	if err := cbor.Unmarshal(body, &grouped); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return listEntries(grouped)
}

// listEntries lists the ends, those of tasks first.
func listEntries(in valueBody) ([]Entry, error) {
	var out []Entry
	for _, d := range in.Completions {
		tasks, err := readBitmap(d.Tasks)
		if err != nil {
			return nil, fmt.Errorf("%w: tasks of %s: %v", ErrMalformed, d.Job, err)
		}
		if uint64(len(out))+tasks.GetCardinality() > maxEntries {
			return nil, fmt.Errorf("%w: too many entries", ErrMalformed)
		}
		for _, index := range tasks.ToArray() {
			out = append(out, Entry{Job: d.Job, Index: int(index)})
		}
	}
	for _, l := range in.Departures {
		for _, a := range l.Attempts {
			if l.Machine == "" || a.Index >= maxTasks {
				return nil, fmt.Errorf("%w: an attempt of no machine or task", ErrMalformed)
			}
			out = append(out, Entry{Job: a.Job, Index: int(a.Index), Machine: l.Machine, Attempt: a.Number})
		}
	}
	return out, nil
}

// readBitmap reads a set of tasks. What is damaged must never end the process, whatever the
// library does with it.
func readBitmap(packed []byte) (tasks *roaring.Bitmap, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("not a bitmap: %v", r)
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
		return nil, fmt.Errorf("task %d", tasks.Maximum())
	}
	return tasks, nil
}
