package emulator

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"claybarrow/internal/protocol"
)

// Worker emulates the worker agent of one machine, and the machine itself.
type Worker struct {
	fleet *Fleet

	ID, Addr, Type, Zone string
	Spot, Up, Deleted    bool
	MachineType          protocol.MachineType
	// Injected faults. Partitioned: all messages to and from the worker are lost. RepliesLost: its heartbeats arrive,
	// but replies and direct requests to it are lost. HeartbeatsLost: its heartbeats are lost, but direct requests to
	// it arrive. Hung: the worker sends no heartbeats, defers direct requests and completes no tasks.
	Partitioned, RepliesLost, HeartbeatsLost, Hung bool
	deferredRequests                               []func() // direct requests that arrived while the worker was hung

	Epoch, Sequence, Token uint64
	Tasks                  map[string]*Task // by AttemptKey
	LeaseRenewedAt         time.Duration    // when the last answered heartbeat was sent
	Controller             int              // number of the controller that receives the worker's heartbeats
	TasksStarted           int              // number of tasks that commands have started, including refused tasks
	// PreemptedAt is when the cloud will preempt a spot machine, according to its notice; 0: no notice was given.
	PreemptedAt time.Duration
	// OnHeartbeat is called with the body of each heartbeat before it is sent; nil: not called.
	OnHeartbeat func(body []byte)

	heartbeatInFlight bool
	changePending     bool
	lastHeartbeat     time.Duration
	heartbeatTimerID  int // number of the current heartbeat timer; timers with a lower number are cancelled
	images            imageCache
	restarts          int // restarts of the agent so far; replies to heartbeats of an earlier process are dropped
}

// Reachable reports whether direct requests reach the worker.
func (w *Worker) Reachable() bool { return w.Up && !w.Deleted && !w.Partitioned && !w.RepliesLost }

// Boot brings the worker up: it starts to send heartbeats and to check its lease.
func (w *Worker) Boot() {
	if w.Deleted {
		return
	}
	w.Up, w.LeaseRenewedAt = true, w.fleet.queue.Now()
	w.sendHeartbeat()
	w.checkLease()
}

// Terminate terminates the machine and drops all its tasks.
func (w *Worker) Terminate() {
	w.Deleted, w.Up = true, false
	w.dropAllTasks()
	if w.fleet.WorkerTerminated != nil {
		w.fleet.WorkerTerminated(w)
	}
}

// dropAllTasks removes all tasks, which the worker no longer reports.
func (w *Worker) dropAllTasks() {
	for _, key := range slices.Sorted(maps.Keys(w.Tasks)) {
		w.dropTask(key)
	}
}

// dropTask removes a task, which the worker no longer reports.
func (w *Worker) dropTask(key string) {
	t := w.Tasks[key]
	delete(w.Tasks, key)
	w.notifyTaskStopped(key, t, t.OccupiesMachine())
	w.fleet.leaveGang(t)
}

// InjectHang makes the machine hang for a duration. Direct requests that arrive in the meantime are served when the
// machine resumes. Commands among them are refused if the lease has expired by then, because the worker has begun a new
// epoch.
func (w *Worker) InjectHang(duration time.Duration) {
	w.Hung = true
	w.fleet.queue.After(duration, func() {
		w.Hung = false
		deferred := w.deferredRequests
		w.deferredRequests = nil
		if w.Deleted {
			return
		}
		for _, handle := range deferred {
			handle()
		}
	})
}

// InjectRestart restarts the agent with an empty memory: its tasks have ended, and it begins with the first epoch and
// without a token again.
func (w *Worker) InjectRestart() {
	w.dropAllTasks()
	w.restarts++
	w.Epoch, w.Sequence, w.Token = 1, 0, 0
	w.heartbeatInFlight, w.changePending, w.LeaseRenewedAt = false, false, w.fleet.queue.Now()
	w.scheduleHeartbeat(0)
}

// checkLease drops all tasks and begins a new epoch if the lease has expired. It then schedules the next check.
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
	if remaining := w.LeaseRenewedAt + f.Timing.LeaseTTL - f.queue.Now(); remaining > wait {
		wait = remaining
	}
	f.queue.After(wait, w.checkLease)
}

// Serve handles a direct request: at once, or when the machine resumes if it is hung.
func (w *Worker) Serve(path string, body []byte, reply Reply) {
	if w.Hung {
		w.deferredRequests = append(w.deferredRequests, func() { reply(w.executeDirect(path, body)) })
		return
	}
	reply(w.executeDirect(path, body))
}

// executeDirect executes a direct request. It refuses commands with a fencing token that is lower than the worker's, or
// with another epoch.
func (w *Worker) executeDirect(path string, body []byte) (int, []byte) {
	if path == "/status" {
		return http.StatusOK, protocol.Encode(w.Heartbeat())
	}
	var request protocol.CommandRequest
	if err := protocol.Decode(body, &request); err != nil {
		w.fleet.reportViolation("command request cannot be decoded: %v", err)
		return http.StatusBadRequest, nil
	}
	status, answer := w.executeCommands(request)
	if status == http.StatusOK {
		w.scheduleCopies(body)
	}
	return status, answer
}

// executeCommands executes the commands of a direct request, or refuses them.
func (w *Worker) executeCommands(request protocol.CommandRequest) (int, []byte) {
	if request.Token < w.Token || request.Epoch != w.Epoch {
		return http.StatusConflict, protocol.Encode(w.Heartbeat())
	}
	w.advanceToken(request.Token)
	w.Execute(request.Commands)
	return http.StatusOK, protocol.Encode(w.Heartbeat())
}
