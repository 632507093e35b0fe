package controller

import (
	"net/http"
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// A list from the cloud with machines of an unknown status, out of order, listed twice or without a
// name, and heartbeats with tasks that nobody knows, end nothing and start nothing where it may not
// run.
func TestInvalidListsAndHeartbeats(t *testing.T) {
	w := newWorld(t, 97)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	l := w.leadership()
	known := l.machines.sortedMachines()[0]
	before := len(known.Attempts)
	for _, listed := range []protocol.ListedMachine{
		{ID: "i-900009", Type: "m8", Zone: "a", State: "paused", AgeS: 5},
		{ID: "i-900001", Type: "m8", Zone: "a", State: "booting", AgeS: -5},
		{ID: "i-900009", Type: "m8", Zone: "b", State: "running", AgeS: 1e12},
		{ID: "i-900002", Type: "unheard-of", Zone: "nowhere", State: "running"},
		{ID: known.ID, Type: "other", Zone: "b", State: "paused"},
		{},
	} {
		l.machines.onListed(&listed)
	}
	if known.Type != "m8" || len(known.Attempts) != before || known.Releasing {
		t.Errorf("a listed machine changed: %+v", known)
	}
	heartbeat := w.machines.Workers[known.ID].Heartbeat()
	heartbeat.Tasks = append(heartbeat.Tasks, []protocol.TaskStatus{
		{Task: "j-999999/0", Attempt: 7, State: protocol.TaskRunning}, {Task: "no task", Attempt: 1, State: protocol.TaskRunning},
		{Task: "j-1/-1", State: protocol.TaskExited, Cause: "odd"}, {Task: "j-1/99", Attempt: 3, State: "dreaming"},
		{Task: "", State: protocol.TaskExited, Cause: protocol.CauseError}}...)
	body := protocol.Encode(heartbeat)
	status := 0
	w.ask(w.leader(), Request{Op: OpWorkerHeartbeat, Body: body}, func(reply Reply) { status = reply.Status })
	if status != http.StatusOK {
		t.Errorf("the heartbeat is answered %d", status)
	}
	for _, bad := range [][]byte{nil, {0xc1}, {0x81, 0xa4}, protocol.Encode(map[string]any{"host": 7}), protocol.Encode([]int{1}), protocol.Encode(map[string]any{})} {
		w.ask(w.leader(), Request{Op: OpWorkerHeartbeat, Body: bad}, func(reply Reply) { status = reply.Status })
		if status != http.StatusBadRequest {
			t.Errorf("the body %x is answered %d", bad, status)
		}
	}
	w.run(30 * second)
	if w.leadership() != l {
		t.Error("the leader has ended")
	}
	for key := range known.UnknownTasks {
		t.Errorf("the unknown task %v is still there", key)
	}
	if _, odd := l.state.Jobs["j-999999"]; odd || l.state.Machines[""] != nil && len(l.state.Machines[""].Attempts) > 0 {
		t.Error("odd input made jobs or tasks")
	}
	var ghosts []*clusterstate.Machine
	for _, m := range l.machines.sortedMachines() {
		if m.Type == "unheard-of" && l.health.isSchedulable(m) {
			ghosts = append(ghosts, m)
		}
	}
	if len(ghosts) > 0 {
		t.Errorf("machines of unknown types are used: %v", ghosts)
	}
	w.awaitStatus(30*second, "j-1", protocol.JobRunning)
	w.requireNoViolations()
}
