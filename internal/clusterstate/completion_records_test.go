package clusterstate

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"claybarrow/internal/protocol"
)

// renderRecords renders the records of all completed tasks of a job by key, as they are written one after the
// other. Each has to fit into limit bytes.
func renderRecords(t *testing.T, state *State, j *Job, limit int) map[string]CompletionRecord {
	t.Helper()
	out := map[string]CompletionRecord{}
	for i := range j.Spec.Tasks {
		if !j.IsDone(i) {
			continue
		}
		key := state.CompletionKey(j, i)
		if _, known := out[key]; known {
			continue
		}
		out[key] = state.CompletionRecord(j, i)
		if text, err := json.Marshal(out[key]); err != nil || len(text) > limit {
			t.Fatalf("%s takes %d of %d bytes, %v", key, len(text), limit, err)
		}
	}
	return out
}

// readAsOlderVersion reads records as the versions before parts do (4297efa and 686f0af): only those of
// chunks, each from the chunk's start.
func readAsOlderVersion(t *testing.T, layoutBytes, tasks int, records map[string]CompletionRecord) map[int]bool {
	t.Helper()
	chunk := max(64, layoutBytes/2*6/64*64)
	done := map[int]bool{}
	for key, rec := range records {
		if !strings.HasPrefix(key, "d/") {
			continue
		}
		_, number, _ := strings.Cut(strings.TrimPrefix(key, "d/"), "/")
		n, err := strconv.Atoi(number)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := base64.StdEncoding.DecodeString(rec.Bits)
		if err != nil {
			t.Fatal(err)
		}
		for i := range len(raw) * 8 {
			if at := n*chunk + i; raw[i/8]&(1<<(i%8)) != 0 && at < tasks {
				done[at] = true
			}
		}
	}
	return done
}

// The completions of an array of any size are stored within the limit and read back as they were, and older
// versions never take an open task for a completed one. Where the limit allows it they read all completions.
func TestCompletionsOfAnySize(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, tc := range []struct {
		tasks, layout, limit int
		olderReadAll         bool
	}{
		{1, 16 << 10, 16 << 10, true}, {20, 8 << 10, 2 << 10, true}, {11000, 16 << 10, 2 << 10, true},
		{30000, 16 << 10, 2 << 10, false}, {100000, 16 << 10, 2 << 10, false}, {100000, 16 << 10, 1 << 10, false},
		{100000, 16 << 10, 16 << 10, true}, {100000, 8 << 10, 2 << 10, false}, {5000, 1 << 10, 1 << 10, true},
	} {
		t.Run(fmt.Sprintf("%d tasks, layout of %d bytes, limit %d", tc.tasks, tc.layout, tc.limit), func(t *testing.T) {
			state := New(tc.layout, tc.limit)
			j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: tc.tasks}, 1)
			for i := range tc.tasks {
				if rng.IntN(3) > 0 || i == tc.tasks-1 {
					j.MarkDone(i)
				}
			}
			records := renderRecords(t, state, j, tc.limit)
			again := New(tc.layout, tc.limit)
			read := again.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: tc.tasks}, 1)
			for key, rec := range records {
				if known, err := again.LoadCompletions(key, rec); err != nil || !known {
					t.Fatalf("%s: %v", key, err)
				}
			}
			older := readAsOlderVersion(t, tc.layout, tc.tasks, records)
			for i := range tc.tasks {
				if read.IsDone(i) != j.IsDone(i) {
					t.Fatalf("task %d is read as done %v", i, read.IsDone(i))
				}
				if older[i] && !j.IsDone(i) || tc.olderReadAll && older[i] != j.IsDone(i) {
					t.Fatalf("task %d: an older version reads done %v", i, older[i])
				}
			}
		})
	}
}

// A record from before the limit was lowered is read and left as it is, since an older version that leads
// again would lose all beyond its new end. Later completions are written to parts.
func TestOversizedCompletionsStay(t *testing.T) {
	const tasks = 40000
	before := New(16<<10, 16<<10)
	j := before.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: tasks}, 1)
	for i := range tasks - 2 {
		j.MarkDone(i)
	}
	records := renderRecords(t, before, j, 16<<10)
	after := New(16<<10, 2<<10)
	read := after.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: tasks}, 1)
	for key, rec := range records {
		if _, err := after.LoadCompletions(key, rec); err != nil {
			t.Fatal(err)
		}
	}
	if read.CompletedTasks != tasks-2 {
		t.Fatalf("%d of %d tasks are read as done", read.CompletedTasks, tasks-2)
	}
	read.MarkDone(tasks - 1)
	for _, i := range []int{0, tasks - 1} {
		if key := after.CompletionKey(read, i); !strings.HasPrefix(key, CompletionPartPrefix) {
			t.Errorf("the completion of task %d goes to %s", i, key)
		}
	}
	records[after.CompletionKey(read, tasks-1)] = after.CompletionRecord(read, tasks-1)
	last := New(16<<10, 2<<10)
	read = last.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: tasks}, 1)
	for key, rec := range records {
		if _, err := last.LoadCompletions(key, rec); err != nil {
			t.Fatal(err)
		}
	}
	if read.CompletedTasks != tasks-1 || read.IsDone(tasks-2) {
		t.Errorf("%d tasks are read as done", read.CompletedTasks)
	}
}

// Wherever the limit allows it, completions are stored under the keys and in the bits that both older versions
// wrote.
func TestCompletionsOfOlderVersions(t *testing.T) {
	state := New(16<<10, 16<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 100000}, 1)
	for index, key := range map[int]string{0: "d/j-1/0", 49151: "d/j-1/0", 49152: "d/j-1/1", 99999: "d/j-1/2"} {
		if got := state.CompletionKey(j, index); got != key {
			t.Errorf("task %d is stored in %s, want %s", index, got, key)
		}
	}
	state = New(8<<10, 2<<10)
	j = state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 20}, 1)
	for _, i := range []int{0, 9, 19} {
		j.MarkDone(i)
	}
	if rec := state.CompletionRecord(j, 19); state.CompletionKey(j, 19) != "d/j-1/0" || rec.Bits != "AQII" {
		t.Errorf("%s: %s", state.CompletionKey(j, 19), rec.Bits)
	}
}

// CompletionKeys lists every key that a job's completions may have, so that none is left when the job is over.
// Damaged keys are refused.
func TestKeysOfCompletions(t *testing.T) {
	state := New(16<<10, 2<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 100000}, 1)
	keys := map[string]bool{}
	for _, key := range state.CompletionKeys(j) {
		keys[key] = true
	}
	for i := range j.Spec.Tasks {
		if key := state.CompletionKey(j, i); !keys[key] {
			t.Fatalf("%s is not listed", key)
		}
	}
	for _, key := range []string{"d/j-1", "d/j-1/x", "p/j-1/-1", fmt.Sprintf("p/j-1/%d", maxRecordNumber+1)} {
		if _, err := state.LoadCompletions(key, CompletionRecord{}); !errors.Is(err, ErrCompletionKey) {
			t.Errorf("%s: error %v", key, err)
		}
	}
	var corrupt base64.CorruptInputError
	if _, err := state.LoadCompletions("p/j-1/0", CompletionRecord{Bits: "?"}); !errors.As(err, &corrupt) {
		t.Errorf("bits that are not base64: error %v", err)
	}
	if known, err := state.LoadCompletions("p/j-2/0", CompletionRecord{Bits: "AQ=="}); known || err != nil {
		t.Errorf("a record of a job that is over: %v, %v", known, err)
	}
}

// A lower limit on new values does not change the meaning of stored keys, and all new records are within it.
func TestLowerLimitsKeepTheLayout(t *testing.T) {
	state := New(8<<10, 2<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 3000}, 1)
	j.MarkDone(2999)
	if key := state.CompletionKey(j, 2999); key != "d/j-1/0" {
		t.Errorf("key %s", key)
	}
	if n := len(protocol.Encode(state.CompletionRecord(j, 2999))); n > 2<<10 {
		t.Errorf("%d bytes", n)
	}
}
