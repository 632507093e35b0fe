package clusterstate

import (
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
)

// ErrCompletionKey is returned for a key that is not one of a completion record.
var ErrCompletionKey = errors.New("not a key of a completion record")

// CompletionRecord is the stored form of the completions of a range of tasks, one bit each.
//
// A job's tasks are divided into chunks. Their length never changes, as it gives the keys their meaning.
// The head of a chunk, which is as much of it as fits into a value, is stored under the chunk's key; the
// other tasks are stored in parts, which are short enough for any limit. All records are read together: a
// task is done if any record says so.
//
// Versions before there were parts read the chunks' records only. They know no range that does not begin
// at the chunk's start, so the rest of a chunk can't be told to them in a value that fits: they take those
// tasks for open and start them again, and these exit as done at once. A record that is larger than the
// limit, from before the limit was lowered, is not rewritten: it is the only one that tells those versions
// of all completions.
type CompletionRecord struct {
	// Bits is a bit set in base64: bit i of byte n is the task at 8n+i from the start of the range.
	Bits string `msgpack:"b"`
}

const (
	// tasksPerPart is the number of tasks in a part: 512 bytes, about 700 as they are stored, which is
	// less than the smallest limit on values that the settings allow.
	tasksPerPart = 4096
	// recordOverheadBytes bounds what a completion record takes beside its bits.
	recordOverheadBytes = 64
	// maxRecordNumber bounds the number of a chunk or part in a key, to refuse damaged keys.
	maxRecordNumber = 1 << 20
)

// completionLayout tells which record holds a task's completion.
type completionLayout struct {
	tasksPerChunk int
	// tasksPerHead is how many tasks of a chunk, from its start, are in the chunk's record.
	tasksPerHead int
}

// newCompletionLayout computes the layout from the limits on values, in bytes. All numbers of tasks are
// multiples of 64.
func newCompletionLayout(layoutBytes, valueBytes int) completionLayout {
	tasksPerChunk := max(64, layoutBytes/2*6/64*64)
	fitting := (valueBytes - recordOverheadBytes) * 3 / 4 * 8 / 64 * 64 // base64 takes 4 bytes for 3
	return completionLayout{tasksPerChunk: tasksPerChunk, tasksPerHead: min(tasksPerChunk, max(64, fitting))}
}

// recordRange is the range of tasks in a completion record, from first up to but without end.
type recordRange struct {
	key        string
	first, end int
}

func chunkKey(uid string, chunk int) string {
	return CompletionPrefix + uid + "/" + strconv.Itoa(chunk)
}

func partKey(uid string, part int) string {
	return CompletionPartPrefix + uid + "/" + strconv.Itoa(part)
}

// rangeOf returns the record that a task's completion is written to.
func (s *State) rangeOf(j *Job, index int) recordRange {
	chunk := index / s.layout.tasksPerChunk
	first := chunk * s.layout.tasksPerChunk
	headEnd := first + s.layout.tasksPerHead
	if index < headEnd && !j.oversizedChunks[chunk] {
		return recordRange{key: chunkKey(j.Spec.UID, chunk), first: first, end: min(headEnd, j.Spec.Tasks)}
	}
	part := index / tasksPerPart
	return recordRange{
		key:   partKey(j.Spec.UID, part),
		first: part * tasksPerPart,
		end:   min((part+1)*tasksPerPart, j.Spec.Tasks),
	}
}

// CompletionKey is the key of the record that the task's completion is written to.
func (s *State) CompletionKey(j *Job, index int) string { return s.rangeOf(j, index).key }

// CompletionRecord renders the record with the task's completion, as the job is now.
func (s *State) CompletionRecord(j *Job, index int) CompletionRecord {
	tasks := s.rangeOf(j, index)
	raw := make([]byte, (tasks.end-tasks.first+7)/8)
	for i := range tasks.end - tasks.first {
		if j.IsDone(tasks.first + i) {
			raw[i/8] |= 1 << (i % 8)
		}
	}
	return CompletionRecord{Bits: base64.StdEncoding.EncodeToString(raw)}
}

// CompletionKeys lists the keys of all completion records that the job may have, sorted.
func (s *State) CompletionKeys(j *Job) []string {
	keys := map[string]bool{}
	for first := 0; first < j.Spec.Tasks; first += s.layout.tasksPerChunk {
		keys[chunkKey(j.Spec.UID, first/s.layout.tasksPerChunk)] = true
	}
	for first := 0; first < j.Spec.Tasks; first += tasksPerPart {
		keys[partKey(j.Spec.UID, first/tasksPerPart)] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// LoadCompletions adds a stored record to its job. It returns false, and no error, if the job is over or
// unknown. The error is ErrCompletionKey, or that of the base64 decoder, with the key.
func (s *State) LoadCompletions(key string, record CompletionRecord) (known bool, err error) {
	uid, number, isChunk, err := parseCompletionKey(key)
	if err != nil {
		return true, err
	}
	j := s.Jobs[uid]
	if j == nil {
		return false, nil
	}
	raw, err := base64.StdEncoding.DecodeString(record.Bits)
	if err != nil {
		return true, fmt.Errorf("key %q: bits: %w", key, err)
	}
	if !isChunk {
		j.markRangeDone(number*tasksPerPart, raw)
		return true, nil
	}
	j.markRangeDone(number*s.layout.tasksPerChunk, raw)
	if len(raw)*8 > s.layout.tasksPerHead {
		if j.oversizedChunks == nil {
			j.oversizedChunks = map[int]bool{}
		}
		j.oversizedChunks[number] = true
	}
	return true, nil
}

// parseCompletionKey reads a key that chunkKey or partKey has made.
func parseCompletionKey(key string) (uid string, number int, isChunk bool, err error) {
	rest, isChunk := strings.CutPrefix(key, CompletionPrefix)
	if !isChunk {
		rest = strings.TrimPrefix(key, CompletionPartPrefix)
	}
	uid, digits, found := strings.Cut(rest, "/")
	number, err = strconv.Atoi(digits)
	if !found || err != nil || number < 0 || number > maxRecordNumber {
		return "", 0, false, fmt.Errorf("key %q: %w", key, ErrCompletionKey)
	}
	return uid, number, isChunk, nil
}

// markRangeDone records the completions of a range of tasks. Bits beyond the job's last task are ignored.
func (j *Job) markRangeDone(first int, raw []byte) {
	for i, remaining := range raw {
		for remaining != 0 {
			bit := bits.TrailingZeros8(remaining)
			remaining &= remaining - 1
			if index := first + i*8 + bit; index < j.Spec.Tasks {
				j.MarkDone(index)
			}
		}
	}
}
