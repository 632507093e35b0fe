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

// renderRecords renders the records of all completed tasks of a job, by key. It fails the test if a record takes
// more than limit bytes.
func renderRecords(t *testing.T, state *State, j *Job, limit int) map[string]CompletionRecord {
	t.Helper()
	records := map[string]CompletionRecord{}
	for i := range j.Spec.Tasks {
		if !j.IsDone(i) {
			continue
		}
		key := state.CompletionKey(j, i)
		if _, rendered := records[key]; rendered {
			continue
		}
		records[key] = state.CompletionRecord(j, i)
		if text, err := json.Marshal(records[key]); err != nil || len(text) > limit {
			t.Fatalf("record %s takes %d bytes, limit %d, error %v", key, len(text), limit, err)
		}
	}
	return records
}

// readAsOlderVersion reads records like the versions that predate parts (4297efa and 686f0af): it reads chunk
// records only, and interprets the first bit of each as the first task of the chunk. It returns the completed tasks.
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
			if index := n*chunk + i; raw[i/8]&(1<<(i%8)) != 0 && index < tasks {
				done[index] = true
			}
		}
	}
	return done
}

// The records of an array of any size stay within the limit and are read back unchanged. Older versions never
// treat an open task as completed, and they read all completions where the limit allows it.
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
			successor := New(tc.layout, tc.limit)
			read := successor.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: tc.tasks}, 1)
			for key, rec := range records {
				if jobExists, err := successor.LoadCompletions(key, rec); err != nil || !jobExists {
					t.Fatalf("record %s was not loaded, error %v", key, err)
				}
			}
			older := readAsOlderVersion(t, tc.layout, tc.tasks, records)
			for i := range tc.tasks {
				if read.IsDone(i) != j.IsDone(i) {
					t.Fatalf("task %d: wrongly read as done %v", i, read.IsDone(i))
				}
				if older[i] && !j.IsDone(i) || tc.olderReadAll && older[i] != j.IsDone(i) {
					t.Fatalf("task %d: an older version wrongly reads done %v", i, older[i])
				}
			}
		})
	}
}

// A record that was written under a higher limit is read and not rewritten: after a rollback an older version
// would not find the completions beyond the end of a shortened record. Later completions are written to parts.
func TestOversizedRecordsAreNotRewritten(t *testing.T) {
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
		t.Fatalf("%d tasks are read as done, want %d", read.CompletedTasks, tasks-2)
	}
	read.MarkDone(tasks - 1)
	for _, i := range []int{0, tasks - 1} {
		if key := after.CompletionKey(read, i); !strings.HasPrefix(key, CompletionPartPrefix) {
			t.Errorf("the completion of task %d is written to %s, want a part", i, key)
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
		t.Errorf("%d tasks are read as done, want all except one, which is still open", read.CompletedTasks)
	}
}

// Where the limit allows it, completions are stored under the same keys and in the same bits as by both older
// versions.
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
		t.Errorf("key %s, bits %s", state.CompletionKey(j, 19), rec.Bits)
	}
}

// CompletionKeys lists every key that a job's completions may have: a missing key would leave a record behind
// when the job ends. Damaged keys and records are refused.
func TestCompletionKeys(t *testing.T) {
	state := New(16<<10, 2<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 100000}, 1)
	keys := map[string]bool{}
	for _, key := range state.CompletionKeys(j) {
		keys[key] = true
	}
	for i := range j.Spec.Tasks {
		if key := state.CompletionKey(j, i); !keys[key] {
			t.Fatalf("key %s is not listed", key)
		}
	}
	for _, key := range []string{"d/j-1", "d/j-1/x", "p/j-1/-1", fmt.Sprintf("p/j-1/%d", maxRecordNumber+1)} {
		if _, err := state.LoadCompletions(key, CompletionRecord{}); !errors.Is(err, ErrCompletionKey) {
			t.Errorf("key %s: error %v, want ErrCompletionKey", key, err)
		}
	}
	var corrupt base64.CorruptInputError
	if _, err := state.LoadCompletions("p/j-1/0", CompletionRecord{Bits: "?"}); !errors.As(err, &corrupt) {
		t.Errorf("record with bits that are not base64: error %v", err)
	}
	if jobExists, err := state.LoadCompletions("p/j-2/0", CompletionRecord{Bits: "AQ=="}); jobExists || err != nil {
		t.Errorf("record of an ended job: job is known %v, error %v", jobExists, err)
	}
}

// A lower limit on new values does not change which tasks a stored key covers, and all new records stay within
// the limit.
func TestLowerLimitsKeepTheLayout(t *testing.T) {
	state := New(8<<10, 2<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 3000}, 1)
	j.MarkDone(2999)
	if key := state.CompletionKey(j, 2999); key != "d/j-1/0" {
		t.Errorf("task 2999 is stored in %s, want d/j-1/0", key)
	}
	if n := len(protocol.Encode(state.CompletionRecord(j, 2999))); n > 2<<10 {
		t.Errorf("the record takes %d bytes, limit 2048", n)
	}
}
