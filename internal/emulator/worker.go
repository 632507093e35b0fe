package emulator

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"claybarrow/internal/protocol"
)

// Worker emulates the worker of one machine.
type Worker struct {
	fleet *Fleet

	ID, Addr, Type, Zone string
	Spot, Up, Deleted    bool
	MachineType          protocol.MachineType
	// Injected faults. Cut: no message reaches it or leaves it. RepliesLost: its heartbeats arrive, answers
	// and direct commands don't. HeartbeatsLost: the other way round. Hung: it does nothing until it goes on,
	// or for ever.
	Partitioned, RepliesLost, HeartbeatsLost, Hung bool
	deferredRequests                               []func() // that came while it hung

	Epoch, Seq, Token uint64
	Tasks             map[string]*Task // by task and attempt, see Name
	LeaseRenewedAt    time.Duration    // when the last heartbeat that was answered was sent
	Controller        int              // number of the controller that it sends heartbeats to
	TasksStarted      int              // number of tasks that it was told to run
	// PreemptedAt is when the cloud takes a spot machine back, of which it has notice; 0: it does not.
	PreemptedAt time.Duration
	// OnHeartbeat is called with each heartbeat's body before it is sent; nil: it is not.
	OnHeartbeat func(body []byte)

	heartbeatInFlight bool
	changePending     bool
	lastHeartbeat     time.Duration
	heartbeatTimer    int // number of the timer of the next heartbeat; earlier ones are void
	images            imageCache
}

// Reachable says whether direct commands get through.
func (w *Worker) Reachable() bool { return w.Up && !w.Deleted && !w.Partitioned && !w.RepliesLost }

// Boot brings the machine up: it sends heartbeats from now on.
func (w *Worker) Boot() {
	if w.Deleted {
		return
	}
	w.Up, w.LeaseRenewedAt = true, w.fleet.queue.Now()
	w.sendHeartbeat()
	w.checkLease()
}

// Die ends the machine with all its tasks.
func (w *Worker) Die() {
	w.Deleted, w.Up = true, false
	w.dropAllTasks()
	if w.fleet.WorkerDied != nil {
		w.fleet.WorkerDied(w)
	}
}

// dropAllTasks ends all tasks; the worker no longer reports them.
func (w *Worker) dropAllTasks() {
	for _, name := range slices.Sorted(maps.Keys(w.Tasks)) {
		w.dropTask(name)
	}
}

// dropTask ends a task, which the worker no longer reports.
func (w *Worker) dropTask(name string) {
	t := w.Tasks[name]
	delete(w.Tasks, name)
	w.notifyLeft(name, t, t.OccupiesMachine())
	w.fleet.leaveGang(t)
}

// Hang stops a machine for a while. Direct requests that come meanwhile are served when it goes on; commands
// are then refused if the lease, and with it the session, has expired.
func (w *Worker) Hang(d time.Duration) {
	w.Hung = true
	w.fleet.queue.After(d, func() {
		w.Hung = false
		held := w.deferredRequests
		w.deferredRequests = nil
		if w.Deleted {
			return
		}
		for _, do := range held {
			do()
		}
	})
}

// checkLease ends all tasks and begins a new session (agent epoch) when the lease has expired.
func (w *Worker) checkLease() {
	f := w.fleet
	if w.Deleted {
		return
	}
	if f.queue.Now() > w.LeaseRenewedAt+f.Timing.LeaseTTL {
		w.Epoch++
		w.dropAllTasks()
		w.LeaseRenewedAt = f.queue.Now()
		w.heartbeatSoon()
	}
	wait := f.Timing.CheckInterval
	if left := w.LeaseRenewedAt + f.Timing.LeaseTTL - f.queue.Now(); left > wait {
		wait = left
	}
	f.queue.After(wait, w.checkLease)
}

// Serve answers a direct request, at once or, if the machine is hung, when it goes on.
func (w *Worker) Serve(path string, body []byte, reply Reply) {
	if w.Hung {
		w.deferredRequests = append(w.deferredRequests, func() { reply(w.executeDirect(path, body)) })
		return
	}
	reply(w.executeDirect(path, body))
}

// executeDirect carries out a direct request. Commands under an earlier fencing token or of another
// session are refused.
func (w *Worker) executeDirect(path string, body []byte) (int, []byte) {
	if path == "/status" {
		return http.StatusOK, protocol.Encode(w.Heartbeat())
	}
	var request protocol.CommandRequest
	if err := protocol.Decode(body, &request); err != nil {
		w.fleet.reportViolation("commands can't be read: %v", err)
		return http.StatusBadRequest, nil
	}
	if request.Token < w.Token || request.Epoch != w.Epoch {
		return http.StatusConflict, protocol.Encode(w.Heartbeat())
	}
	w.advanceToken(request.Token)
	w.Execute(request.Commands)
	return http.StatusOK, protocol.Encode(w.Heartbeat())
}
