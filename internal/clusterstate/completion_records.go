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

// ErrCompletionKey is returned for a key that is not the key of a completion record.
var ErrCompletionKey = errors.New("not a key of a completion record")

// CompletionRecord is the stored form of the completions of a range of tasks, one bit each.
//
// A job's tasks are divided into chunks. The chunk length never changes, because it determines which tasks a
// key covers. The head of a chunk is the longest prefix of the chunk that fits into a value; it is stored under
// the chunk's key. The remaining tasks are stored in parts, which are short enough for any limit. All records
// are read together: a task is done if its bit is set in any record.
//
// Versions that predate parts read the chunk records only. In those records every range begins at the chunk's
// start, so no value within the limit gives these versions the completions after the head. They treat the tasks
// after the head as not done and start them again; the tasks then exit as done immediately. A record that was
// written under a higher limit and exceeds the present one is not rewritten: it is the only record from which
// these versions can read all completions.
type CompletionRecord struct {
	// Bits is a bit set in base64: bit i of byte n is the task with the offset 8n+i in the range.
	Bits string `msgpack:"b"`
}

const (
	// tasksPerPart is the number of tasks in a part. A part takes 512 bytes, or about 700 bytes in base64,
	// which is less than the smallest value size limit that the settings allow.
	tasksPerPart = 4096
	// recordOverheadBytes is an upper bound on the size of a completion record without its bits.
	recordOverheadBytes = 64
	// maxRecordNumber is the highest number of a chunk or part that is accepted in a key; damaged keys may
	// have any number.
	maxRecordNumber = 1 << 20
)

// completionLayout determines which record holds a task's completion.
type completionLayout struct {
	tasksPerChunk int
	// tasksPerHead is the number of tasks, from the start of a chunk, that the chunk's record holds.
	tasksPerHead int
}

// newCompletionLayout computes the layout from the limits on the size of values; see New. All numbers of tasks
// in the layout are multiples of 64.
func newCompletionLayout(layoutBytes, valueBytes int) completionLayout {
	tasksPerChunk := max(64, layoutBytes/2*6/64*64)
	fitting := (valueBytes - recordOverheadBytes) * 3 / 4 * 8 / 64 * 64 // base64 encodes 3 bytes as 4
	return completionLayout{tasksPerChunk: tasksPerChunk, tasksPerHead: min(tasksPerChunk, max(64, fitting))}
}

// recordRange is the range of tasks in a completion record: first is included, end is not.
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

// rangeOf returns the key and the range of the record that a task's completion is written to.
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

// CompletionKey returns the key of the record that the task's completion is written to.
func (s *State) CompletionKey(j *Job, index int) string { return s.rangeOf(j, index).key }

// CompletionRecord renders the record that holds the task's completion, from the present state of the job.
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

// CompletionKeys returns the sorted keys of all completion records that may be stored for the job.
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

// LoadCompletions adds the completions of a stored record to its job. It returns false and no error if the
// state has no such job, because the job is over or was never added. The error names the key and wraps
// ErrCompletionKey or the error of the base64 decoder.
func (s *State) LoadCompletions(key string, record CompletionRecord) (jobExists bool, err error) {
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

// parseCompletionKey parses a key in the format of chunkKey or partKey.
func parseCompletionKey(key string) (uid string, number int, isChunk bool, err error) {
	suffix, isChunk := strings.CutPrefix(key, CompletionPrefix)
	if !isChunk {
		suffix = strings.TrimPrefix(key, CompletionPartPrefix)
	}
	uid, digits, found := strings.Cut(suffix, "/")
	number, err = strconv.Atoi(digits)
	if !found || err != nil || number < 0 || number > maxRecordNumber {
		return "", 0, false, fmt.Errorf("key %q: %w", key, ErrCompletionKey)
	}
	return uid, number, isChunk, nil
}

// markRangeDone records the completions in a bit set that begins at the task first. Bits beyond the job's last
// task are ignored.
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
