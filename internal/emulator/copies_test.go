package emulator

import (
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// newCopyingWorker returns a worker whose executed direct requests all arrive once more, a minute late.
func newCopyingWorker() (*EventQueue, *Fleet, *Worker) {
	queue := &EventQueue{}
	fleet := NewFleet(queue, Timing{HeartbeatInterval: time.Second, LeaseTTL: time.Hour, CheckInterval: time.Second, FailoverDelay: time.Second})
	fleet.Jobs = func(string) *Job { return &Job{Tasks: 1, Service: true} }
	fleet.FetchTime = func(*Worker, string, *Job) time.Duration { return 0 }
	fleet.Random, fleet.Controllers = func() float64 { return 0 }, 1
	fleet.SendHeartbeat = func(*Worker, int, []byte, Reply) {}
	fleet.Copies = CopySettings{Share: 1, MinDelay: time.Minute, MaxDelay: time.Minute}
	worker := fleet.Add("i-1", "", "m", "a", false)
	worker.Boot()
	return queue, fleet, worker
}

// call sends a direct request with one command for the task j-1/0.
func call(worker *Worker, token uint64, verb string) {
	body := protocol.CommandRequest{Token: token, Epoch: 1, Commands: []protocol.Command{{Verb: verb, Task: "j-1/0", Attempt: 1}}}
	worker.Serve("/commands", protocol.Encode(body), func(int, []byte) {})
}

func TestCopyOfStartIsExecutedAfterClear(t *testing.T) {
	queue, fleet, worker := newCopyingWorker()
	for _, verb := range []string{protocol.VerbRun, protocol.VerbStop, protocol.VerbClear} {
		call(worker, 1, verb)
	}
	queue.RunUntil(30 * time.Second)
	if len(worker.Tasks) != 0 {
		t.Fatalf("the worker has %d tasks after the clear, want none", len(worker.Tasks))
	}
	fleet.Copies.Share = 0
	call(worker, 1, verbNone)
	starts := worker.TasksStarted
	queue.RunUntil(2 * time.Minute)
	if worker.TasksStarted != starts+1 || fleet.CopyOutcomes.Executed != 3 {
		t.Errorf("%d starts by copies, outcomes %+v, want one start by three executed copies", worker.TasksStarted-starts, fleet.CopyOutcomes)
	}
}

func TestCopyIsRefusedByTokenAndByEpoch(t *testing.T) {
	queue, fleet, worker := newCopyingWorker()
	call(worker, 1, protocol.VerbRun)
	call(worker, 2, protocol.VerbStop)
	queue.RunUntil(90 * time.Second)
	if fleet.CopyOutcomes != (CopyOutcomes{Executed: 1, RefusedByToken: 1}) {
		t.Errorf("outcomes %+v, want the copy with the lower token refused", fleet.CopyOutcomes)
	}
	call(worker, 2, protocol.VerbRun)
	worker.Epoch++
	queue.RunUntil(3 * time.Minute)
	if fleet.CopyOutcomes.RefusedByEpoch != 1 {
		t.Errorf("outcomes %+v, want the copy for an earlier epoch refused", fleet.CopyOutcomes)
	}
}

func TestRestartedAgentAcceptsCopiesOfItsFirstEpoch(t *testing.T) {
	queue, fleet, worker := newCopyingWorker()
	call(worker, 5, protocol.VerbRun)
	worker.InjectRestart()
	if len(worker.Tasks) != 0 || worker.Token != 0 {
		t.Errorf("%d tasks and token %d after a restart, want an empty memory", len(worker.Tasks), worker.Token)
	}
	queue.RunUntil(2 * time.Minute)
	if len(worker.Tasks) != 1 || fleet.CopyOutcomes.Executed != 1 {
		t.Errorf("%d tasks, outcomes %+v, want the task started by the copy", len(worker.Tasks), fleet.CopyOutcomes)
	}
}

// verbNone is a verb that workers don't know: the request advances the token alone.
const verbNone = "none"
