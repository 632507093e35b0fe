package emulator

import (
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// A machine fetches an image once for all tasks that need it, and evicts images that no task needs. It refuses a task
// that exceeds its free resources, and a second attempt of a task that it already has.
func TestWorkerImagesAndRefusals(t *testing.T) {
	queue := &EventQueue{}
	fleet := NewFleet(queue, Timing{HeartbeatInterval: time.Second, LeaseTTL: time.Minute, CheckInterval: time.Second, FailoverDelay: time.Second})
	jobs := map[string]*Job{}
	fleet.Jobs = func(uid string) *Job { return jobs[uid] }
	fleet.RunTime = func(string) time.Duration { return time.Hour }
	fleet.FetchTime, fleet.RefuseUnfit, fleet.Controllers = FetchImage, true, 1
	fleet.SendHeartbeat = func(_ *Worker, _ int, _ []byte, answer Reply) {
		queue.After(time.Millisecond, func() {
			answer(200, protocol.Encode(protocol.WorkerHeartbeatReply{Token: 1, Commands: []protocol.Command{}}))
		})
	}
	worker := fleet.Add("i-1", "", "m", "a", false)
	worker.MachineType = protocol.MachineType{Cores: 4, MemoryGB: 8, CacheGB: 10, FetchGBPerS: 1}
	worker.Boot()
	run := func(uid string, image string, gb, cores float64) *Task {
		jobs[uid] = &Job{Image: image, ImageGB: gb, Tasks: 1, Cores: cores, MemoryGB: 1}
		worker.Execute([]protocol.Command{{Verb: protocol.VerbRun, Task: uid + "/0", Attempt: 1}})
		return worker.Tasks[AttemptKey(uid+"/0", 1)]
	}
	first, second := run("j-1", "x", 4, 1), run("j-2", "x", 4, 1)
	queue.RunUntil(3 * time.Second)
	if first.State != protocol.TaskFetchingImage {
		t.Error("a task started before its image was fetched")
	}
	queue.RunUntil(5 * time.Second)
	if first.State != protocol.TaskRunning || second.State != protocol.TaskRunning {
		t.Errorf("after one fetch: task states %s and %s, want both running", first.State, second.State)
	}
	if third := run("j-3", "x", 4, 3); third.Cause != protocol.CauseInsufficientResources {
		t.Errorf("a task that exceeds the free cores: exit cause %s, want insufficient resources", third.Cause)
	}
	worker.Execute([]protocol.Command{{Verb: protocol.VerbRun, Task: "j-1/0", Attempt: 2}})
	if secondAttempt := worker.Tasks[AttemptKey("j-1/0", 2)]; secondAttempt.Cause != protocol.CauseBusy {
		t.Errorf("a second attempt of a task on the machine: exit cause %s, want busy", secondAttempt.Cause)
	}
	run("j-4", "y", 5, 0)
	queue.RunUntil(20 * time.Second)
	run("j-5", "z", 6, 0) // x, y and z exceed the cache together, but tasks need all three
	if len(worker.images.readyAt) != 3 {
		t.Errorf("an image that a task needs was evicted: %v", worker.images.readyAt)
	}
	delete(worker.Tasks, AttemptKey("j-4/0", 1))
	run("j-6", "w", 1, 0)
	if _, cached := worker.images.readyAt["y"]; cached {
		t.Error("the only image that no task needs was not evicted")
	}
	if worker.Token != 1 || worker.Epoch != 1 {
		t.Errorf("token %d, epoch %d, want 1 and 1", worker.Token, worker.Epoch)
	}
}
