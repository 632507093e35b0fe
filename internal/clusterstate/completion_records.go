package clusterstate

import (
	"encoding/base64"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
)

// CompletionRecord holds the completions of a range of tasks, one bit each.
//
// A job's tasks are cut into chunks, whose length never changes, as it gives the keys
// their meaning. What fits of a chunk under the limit on values, its head, is one record;
// the rest is in parts, which are short enough for any limit. All that is stored is
// read together: a task is done if any record says so.
//
// Versions before there were parts read the chunks' records alone. They know of no place
// in a record but its start, so the rest of a chunk can't be told to them in a value
// that fits: they take it for open, start such tasks again, and these end as done at
// once. A larger record from before the limit was lowered stays as it is: it is the only
// thing that tells them all.
type CompletionRecord struct {
	Bits string `msgpack:"b"`
}

const (
	// tasksPerPart is how many tasks' completions a part holds: 512 bytes, some 700 as they
	// are stored, less than the least limit on values that the settings may have.
	tasksPerPart = 4096
	// recordOverheadBytes bounds what a record of completions takes beside the bits.
	recordOverheadBytes = 64
)

// completionLayout tells which of a job's records holds a task's completion.
type completionLayout struct {
	// tasksPerChunk is how many tasks one chunk has, head how many of them its record holds.
	tasksPerChunk, tasksPerHead int
}

func newCompletionLayout(layoutBytes, valueBytes int) completionLayout {
	chunk := max(64, layoutBytes/2*6/64*64)
	fits := (valueBytes - recordOverheadBytes) * 3 / 4 * 8 / 64 * 64 // as base64
	return completionLayout{tasksPerChunk: chunk, tasksPerHead: min(chunk, max(64, fits))}
}

// recordRange is the range of tasks that a record holds.
type recordRange struct {
	key        string
	first, end int // end is not in it
}

// CompletionKey is the key of the record that holds the task's completion.
func (s *State) CompletionKey(j *Job, index int) string { return s.rangeOf(j, index).key }

func (s *State) rangeOf(j *Job, index int) recordRange {
	chunk := index / s.layout.tasksPerChunk
	first := chunk * s.layout.tasksPerChunk
	if index < first+s.layout.tasksPerHead && !j.oversizedChunks[chunk] {
		return recordRange{CompletionPrefix + j.Spec.UID + "/" + strconv.Itoa(chunk), first, min(first+s.layout.tasksPerHead, j.Spec.Tasks)}
	}
	part := index / tasksPerPart
	return recordRange{CompletionPartPrefix + j.Spec.UID + "/" + strconv.Itoa(part), part * tasksPerPart, min((part+1)*tasksPerPart, j.Spec.Tasks)}
}

// CompletionRecord renders the record that holds the task's completion.
func (s *State) CompletionRecord(j *Job, index int) CompletionRecord {
	in := s.rangeOf(j, index)
	raw := make([]byte, (in.end-in.first+7)/8)
	for i := in.first; i < in.end; i++ {
		if j.IsDone(i) {
			raw[(i-in.first)/8] |= 1 << ((i - in.first) % 8)
		}
	}
	return CompletionRecord{Bits: base64.StdEncoding.EncodeToString(raw)}
}

// CompletionKeys lists the keys of all records of completions that the job may have.
func (s *State) CompletionKeys(j *Job) []string {
	keys := map[string]bool{}
	for i := 0; i < j.Spec.Tasks; i += s.layout.tasksPerChunk {
		keys[CompletionPrefix+j.Spec.UID+"/"+strconv.Itoa(i/s.layout.tasksPerChunk)] = true
	}
	for i := 0; i < j.Spec.Tasks; i += tasksPerPart {
		keys[CompletionPartPrefix+j.Spec.UID+"/"+strconv.Itoa(i/tasksPerPart)] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// LoadCompletions reads a record back. It returns false for one of a job that is over.
func (s *State) LoadCompletions(key string, r CompletionRecord) (bool, error) {
	rest, chunked := strings.CutPrefix(key, CompletionPrefix)
	length := s.layout.tasksPerChunk
	if !chunked {
		rest = strings.TrimPrefix(key, CompletionPartPrefix)
		length = tasksPerPart
	}
	uid, number, ok := strings.Cut(rest, "/")
	n, err := strconv.Atoi(number)
	if !ok || err != nil || n < 0 || n > maxRecordNumber {
		return true, fmt.Errorf("key %q: not a range of completions", key)
	}
	j := s.Jobs[uid]
	if j == nil {
		return false, nil
	}
	raw, err := base64.StdEncoding.DecodeString(r.Bits)
	if err != nil {
		return true, fmt.Errorf("key %q: %w", key, err)
	}
	j.markRangeDone(n*length, raw)
	if chunked && len(raw)*8 > s.layout.tasksPerHead {
		if j.oversizedChunks == nil {
			j.oversizedChunks = map[int]bool{}
		}
		j.oversizedChunks[n] = true
	}
	return true, nil
}

// maxRecordNumber bounds the number in a key of completions.
const maxRecordNumber = 1 << 20

// markRangeDone notes the completions of a range of tasks.
func (j *Job) markRangeDone(first int, raw []byte) {
	for i, byteOf := range raw {
		for byteOf != 0 {
			bit := bits.TrailingZeros8(byteOf)
			byteOf &= byteOf - 1
			if at := first + i*8 + bit; at < j.Spec.Tasks {
				j.MarkDone(at)
			}
		}
	}
}
