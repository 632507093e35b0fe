package ledger

import (
	"encoding/base64"
	"fmt"
	"math/bits"
	"strconv"
	"strings"
)

// DoneRecord is a chunk of completions.
type DoneRecord struct {
	Bits string `msgpack:"b"`
}

// DoneKey is the key of the chunk that holds the task.
func (b *Books) DoneKey(j *Job, index int) string {
	return DonePrefix + j.Spec.UID + "/" + strconv.Itoa(index/b.Chunk)
}

// DoneChunk renders the chunk.
func (b *Books) DoneChunk(j *Job, index int) DoneRecord {
	first := index / b.Chunk * b.Chunk
	last := min(first+b.Chunk, j.Spec.Tasks)
	raw := make([]byte, (last-first+7)/8)
	for i := first; i < last; i++ {
		if j.IsDone(i) {
			raw[(i-first)/8] |= 1 << ((i - first) % 8)
		}
	}
	return DoneRecord{Bits: base64.StdEncoding.EncodeToString(raw)}
}

// LoadDone reads a chunk back.
func (b *Books) LoadDone(key string, r DoneRecord) error {
	uid, chunk, ok := strings.Cut(strings.TrimPrefix(key, DonePrefix), "/")
	n, err := strconv.Atoi(chunk)
	if !ok || err != nil || n < 0 {
		return fmt.Errorf("key %q: not a chunk of completions", key)
	}
	j := b.Jobs[uid]
	if j == nil {
		return nil // the job is over, its chunks are about to go
	}
	raw, err := base64.StdEncoding.DecodeString(r.Bits)
	if err != nil {
		return fmt.Errorf("key %q: %w", key, err)
	}
	for i, c := range raw {
		for c != 0 {
			bit := bits.TrailingZeros8(c)
			c &= c - 1
			if at := n*b.Chunk + i*8 + bit; at < j.Spec.Tasks {
				j.MarkDone(at)
			}
		}
	}
	return nil
}
