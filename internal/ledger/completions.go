package ledger

import (
	"encoding/base64"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
)

// DoneRecord holds the completions of a range of tasks, one bit each.
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
type DoneRecord struct {
	Bits string `msgpack:"b"`
}

const (
	// partTasks is how many tasks' completions a part holds: 512 bytes, some 700 as they
	// are stored, less than the least limit on values that the settings may have.
	partTasks = 4096
	// recordBytes bounds what a record of completions takes beside the bits.
	recordBytes = 64
)

// layout tells which of a job's records holds a task's completion.
type layout struct {
	// chunk is how many tasks one chunk has, head how many of them its record holds.
	chunk, head int
}

func newLayout(layoutBytes, valueBytes int) layout {
	chunk := max(64, layoutBytes/2*6/64*64)
	fits := (valueBytes - recordBytes) * 3 / 4 * 8 / 64 * 64 // as base64
	return layout{chunk: chunk, head: min(chunk, max(64, fits))}
}

// doneRange is the range of tasks that a record holds.
type doneRange struct {
	key         string
	first, last int // last is not in it
}

// DoneKey is the key of the record that holds the task's completion.
func (b *Ledger) DoneKey(j *Job, index int) string { return b.doneRange(j, index).key }

func (b *Ledger) doneRange(j *Job, index int) doneRange {
	chunk := index / b.layout.chunk
	first := chunk * b.layout.chunk
	if index < first+b.layout.head && !j.oversized[chunk] {
		return doneRange{DonePrefix + j.Spec.UID + "/" + strconv.Itoa(chunk), first, min(first+b.layout.head, j.Spec.Tasks)}
	}
	part := index / partTasks
	return doneRange{PartPrefix + j.Spec.UID + "/" + strconv.Itoa(part), part * partTasks, min((part+1)*partTasks, j.Spec.Tasks)}
}

// DoneChunk renders the record that holds the task's completion.
func (b *Ledger) DoneChunk(j *Job, index int) DoneRecord {
	in := b.doneRange(j, index)
	raw := make([]byte, (in.last-in.first+7)/8)
	for i := in.first; i < in.last; i++ {
		if j.IsDone(i) {
			raw[(i-in.first)/8] |= 1 << ((i - in.first) % 8)
		}
	}
	return DoneRecord{Bits: base64.StdEncoding.EncodeToString(raw)}
}

// DoneKeys lists the keys of all records of completions that the job may have.
func (b *Ledger) DoneKeys(j *Job) []string {
	keys := map[string]bool{}
	for i := 0; i < j.Spec.Tasks; i += b.layout.chunk {
		keys[DonePrefix+j.Spec.UID+"/"+strconv.Itoa(i/b.layout.chunk)] = true
	}
	for i := 0; i < j.Spec.Tasks; i += partTasks {
		keys[PartPrefix+j.Spec.UID+"/"+strconv.Itoa(i/partTasks)] = true
	}
	return slices.Sorted(maps.Keys(keys))
}

// LoadDone reads a record back. It returns false for one of a job that is over.
func (b *Ledger) LoadDone(key string, r DoneRecord) (bool, error) {
	rest, chunked := strings.CutPrefix(key, DonePrefix)
	length := b.layout.chunk
	if !chunked {
		rest = strings.TrimPrefix(key, PartPrefix)
		length = partTasks
	}
	uid, number, ok := strings.Cut(rest, "/")
	n, err := strconv.Atoi(number)
	if !ok || err != nil || n < 0 || n > maxChunk {
		return true, fmt.Errorf("key %q: not a range of completions", key)
	}
	j := b.Jobs[uid]
	if j == nil {
		return false, nil
	}
	raw, err := base64.StdEncoding.DecodeString(r.Bits)
	if err != nil {
		return true, fmt.Errorf("key %q: %w", key, err)
	}
	j.markDoneFrom(n*length, raw)
	if chunked && len(raw)*8 > b.layout.head {
		if j.oversized == nil {
			j.oversized = map[int]bool{}
		}
		j.oversized[n] = true
	}
	return true, nil
}

// maxChunk bounds the number in a key of completions.
const maxChunk = 1 << 20

// markDoneFrom notes the completions of a range of tasks.
func (j *Job) markDoneFrom(first int, raw []byte) {
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
