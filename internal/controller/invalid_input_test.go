package controller

import (
	"net/http"
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// TestInvalidListingsAndHeartbeats covers cloud listings with unknown states, duplicate, unordered or unnamed machines,
// and heartbeats with unknown tasks or malformed bodies. They must neither stop tasks, nor start tasks on machines that
// may not run them, nor end the leadership.
func TestInvalidListingsAndHeartbeats(t *testing.T) {
	w := newWorld(t, 97)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	l := w.leadership()
	machine := l.machines.sortedMachines()[0]
	attemptsBefore := len(machine.Attempts)
	for _, listed := range []protocol.ListedMachine{
		{ID: "i-900009", Type: "m8", Zone: "a", State: "paused", AgeS: 5},
		{ID: "i-900001", Type: "m8", Zone: "a", State: "booting", AgeS: -5},
		{ID: "i-900009", Type: "m8", Zone: "b", State: "running", AgeS: 1e12},
		{ID: "i-900002", Type: "unheard-of", Zone: "nowhere", State: "running"},
		{ID: machine.ID, Type: "other", Zone: "b", State: "paused"},
		{},
	} {
		l.machines.onListed(&listed)
	}
	if machine.Type != "m8" || len(machine.Attempts) != attemptsBefore || machine.Releasing {
		t.Errorf("an invalid listing changed the machine: %+v", machine)
	}
	heartbeat := w.machines.Workers[machine.ID].Heartbeat()
	heartbeat.Tasks = append(heartbeat.Tasks, []protocol.TaskStatus{
		{Task: "j-999999/0", Attempt: 7, State: protocol.TaskRunning}, {Task: "no task", Attempt: 1, State: protocol.TaskRunning},
		{Task: "j-1/-1", State: protocol.TaskExited, Cause: "odd"}, {Task: "j-1/99", Attempt: 3, State: "dreaming"},
		{Task: "", State: protocol.TaskExited, Cause: protocol.CauseError}}...)
	body := protocol.Encode(heartbeat)
	status := 0
	w.sendRequest(w.leader(), Request{Op: OpWorkerHeartbeat, Body: body}, func(reply Reply) { status = reply.Status })
	if status != http.StatusOK {
		t.Errorf("status %d for a heartbeat with unknown tasks", status)
	}
	for _, malformed := range [][]byte{nil, {0xc1}, {0x81, 0xa4}, protocol.Encode(map[string]any{"host": 7}), protocol.Encode([]int{1}), protocol.Encode(map[string]any{})} {
		w.sendRequest(w.leader(), Request{Op: OpWorkerHeartbeat, Body: malformed}, func(reply Reply) { status = reply.Status })
		if status != http.StatusBadRequest {
			t.Errorf("malformed heartbeat body %x: status %d", malformed, status)
		}
	}
	w.run(30 * second)
	if w.leadership() != l {
		t.Error("the leadership ended")
	}
	for key := range machine.UnknownTasks {
		t.Errorf("the unknown task %v has not been stopped", key)
	}
	if _, created := l.state.Jobs["j-999999"]; created || l.state.Machines[""] != nil && len(l.state.Machines[""].Attempts) > 0 {
		t.Error("invalid input created a job or a task")
	}
	var unknownTypeMachines []*clusterstate.Machine
	for _, m := range l.machines.sortedMachines() {
		if m.Type == "unheard-of" && l.health.isSchedulable(m) {
			unknownTypeMachines = append(unknownTypeMachines, m)
		}
	}
	if len(unknownTypeMachines) > 0 {
		t.Errorf("machines of unknown types are schedulable: %v", unknownTypeMachines)
	}
	w.awaitStatus(30*second, "j-1", protocol.JobRunning)
	w.requireNoViolations()
}
