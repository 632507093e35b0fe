package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Timing holds the workers' times, those of the settings and those of the protocol's page.
type Timing struct {
	// Report is the time between two reports, give or take Jitter of it.
	Report time.Duration
	Jitter float64
	// LeastPause is the least time between two reports when something has changed; 0: changes
	// wait for the next report.
	LeastPause time.Duration
	// ReportWait is how long the answer to a report is waited for, NextController how long
	// until the next one is tried.
	ReportWait, NextController, SentAway time.Duration
	Lease                                time.Duration
	GangWait, GangPeer                   time.Duration
	// Look is how often lapses of leases and the ends of tasks of hanging machines are
	// looked for.
	Look time.Duration
}

// Job is what a worker knows of a job: its description comes from the user.
type Job struct {
	Image   string
	ImageGB float64
	Tasks   int
	Gang    bool
	Service bool
	SaveS   float64
	Cores   float64
	Accel   float64
	Memory  float64
}

// Carrier takes a worker's report to a controller, and the answer back: status 0 if there
// was none in time.
type Carrier func(worker *Worker, controller int, body []byte, answer Reply)

// Observer is told of what happens on workers. Nil functions are not called.
type Observer struct {
	// Begins is told that a task begins to be on its machine, Leaves that it no longer is.
	Begins func(worker *Worker, task string, t *Task)
	Leaves func(worker *Worker, task string, t *Task)
	// Done is told of each task that completed.
	Done func(task string, t *Task)
	// Died is told of a machine that has ended.
	Died func(worker *Worker)
	// Halted is told of the first command to stop a gang's task.
	Halted func(t *Task, graceS float64)
	// Wrong is told of messages that no controller may send.
	Wrong func(what string)
}

// Fleet is all workers, and what is the same for all of them.
type Fleet struct {
	queue   *EventQueue
	Timing  Timing
	Workers map[string]*Worker
	Carrier Carrier
	Observer
	// Controllers is how many there are; Label gives the number of the one with a name,
	// negative if there is none.
	Controllers int
	Label       func(name string) int
	// Jobs finds a job's description; nil: there is no such job.
	Jobs func(uid string) *Job
	// RunTime is how long a task runs, FetchTime how long it waits for its image.
	RunTime   func(task string) time.Duration
	FetchTime func(worker *Worker, task string, j *Job) time.Duration
	// Fails says whether a task fails as soon as it begins; nil: none does.
	Fails func(worker *Worker, t *Task) bool
	// Random gives numbers from 0 to 1, for the jitter.
	Random func() float64
	// RefuseUnfit has workers refuse tasks that they have no room for or have already.
	RefuseUnfit bool

	gangs             map[GangAttempt]map[*Task]*Worker
	checkpointedTasks map[GangAttempt]int
	// Wholes counts how often a gang has begun to run, whole, and Saves how often one was
	// stopped with its progress saved.
	Wholes, Saves map[string]int
}

// GangAttempt names an attempt of a gang.
type GangAttempt struct {
	UID     string
	Attempt uint64
}

// NewFleet makes a fleet without workers.
func NewFleet(queue *EventQueue, timing Timing) *Fleet {
	return &Fleet{queue: queue, Timing: timing, Workers: map[string]*Worker{}, gangs: map[GangAttempt]map[*Task]*Worker{},
		checkpointedTasks: map[GangAttempt]int{}, Wholes: map[string]int{}, Saves: map[string]int{}}
}

// Task is an attempt of a task on a worker.
type Task struct {
	UID               string
	Try               uint64
	State             protocol.TaskState
	Cause             protocol.ExitCause
	Stored            bool          // its progress was saved
	Halted            time.Duration // when a gang's task was told to stop
	peersMissingSince time.Duration // since when it misses another one
	generation        int           // which life of the task this is
}

// Here says whether a task is on its machine, as the protocol's page counts it.
func (t *Task) Here() bool {
	return t.State == protocol.Running || t.State == protocol.Saving || t.State == protocol.WaitingForGang
}

// Worker plays one machine's worker.
type Worker struct {
	fleet *Fleet

	ID, Addr, Type, Zone string
	Spot, Up, Deleted    bool
	Size                 protocol.MachineType
	// Cut: nothing reaches it and nothing leaves it. AnswersLost: reports arrive, answers
	// and direct commands don't. ReportsLost: the other way round. Hung: it does nothing
	// until it goes on, or for ever.
	Cut, AnswersLost, ReportsLost, Hung bool
	deferredRequests                    []func() // commands that came while it hung

	Session, Seq, Token uint64
	Tasks               map[string]*Task // by task and attempt, see Name
	Answered            time.Duration    // sending time of the last answered report
	Controller          int              // whom it reports to
	Lives               int              // tasks that it has been told to run
	// Taken is when the cloud takes the machine back, of which it has notice; 0: it does not.
	Taken time.Duration
	// Reported is told of each report's body before it leaves; nil: nobody is.
	Reported func(body []byte)

	heartbeatInFlight bool
	changePending     bool
	lastHeartbeat     time.Duration
	heartbeatTimer    int // of the timer of the next report
	images            imageCache
}

// Add makes a worker that is not up yet.
func (f *Fleet) Add(id, addr, typ, zone string, spot bool) *Worker {
	worker := &Worker{fleet: f, ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Session: 1, Tasks: map[string]*Task{}}
	f.Workers[id] = worker
	return worker
}

// Sorted lists the workers in a fixed order, so that runs repeat.
func (f *Fleet) Sorted() []*Worker {
	var out []*Worker
	for _, id := range slices.Sorted(maps.Keys(f.Workers)) {
		out = append(out, f.Workers[id])
	}
	return out
}

func (f *Fleet) reportViolation(format string, args ...any) {
	if f.Wrong != nil {
		f.Wrong(fmt.Sprintf(format, args...))
	}
}

// Reachable says whether direct commands get through.
func (w *Worker) Reachable() bool { return w.Up && !w.Deleted && !w.Cut && !w.AnswersLost }

// Boot brings the machine up: it reports from now on.
func (w *Worker) Boot() {
	if w.Deleted {
		return
	}
	w.Up, w.Answered = true, w.fleet.queue.Now()
	w.sendHeartbeat()
	w.checkLease()
}

// Die ends the machine with all that is on it.
func (w *Worker) Die() {
	w.Deleted, w.Up = true, false
	w.dropAllTasks()
	if w.fleet.Died != nil {
		w.fleet.Died(w)
	}
}

// dropAllTasks ends all tasks without a trace.
func (w *Worker) dropAllTasks() {
	for _, name := range slices.Sorted(maps.Keys(w.Tasks)) {
		w.dropTask(name)
	}
}

func (w *Worker) dropTask(name string) {
	t := w.Tasks[name]
	delete(w.Tasks, name)
	w.notifyLeft(name, t, t.Here())
	w.fleet.leaveGang(t)
}

// Hang stops a machine for a while. What comes meanwhile is executed when it goes on, if its
// lease still runs then.
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

// checkLease ends the session when the lease has run out.
func (w *Worker) checkLease() {
	f := w.fleet
	if w.Deleted {
		return
	}
	if f.queue.Now() > w.Answered+f.Timing.Lease {
		w.Session++
		w.dropAllTasks()
		w.Answered = f.queue.Now()
		w.heartbeatSoon()
	}
	wait := f.Timing.Look
	if left := w.Answered + f.Timing.Lease - f.queue.Now(); left > wait {
		wait = left
	}
	f.queue.After(wait, w.checkLease)
}

// Message is the worker's next report.
func (w *Worker) Message() protocol.WorkerHeartbeat {
	w.Seq++
	m := protocol.WorkerHeartbeat{Machine: w.ID, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Epoch: w.Session, Sequence: w.Seq, Token: w.Token,
		Tasks: []protocol.TaskStatus{}}
	if w.Taken > 0 {
		notice := max(0, (w.Taken - w.fleet.queue.Now()).Seconds())
		m.SpotNoticeS = &notice
	}
	for _, name := range slices.Sorted(maps.Keys(w.Tasks)) {
		t := w.Tasks[name]
		task, _, _ := strings.Cut(name, "@")
		m.Tasks = append(m.Tasks, protocol.TaskStatus{Task: task, Attempt: t.Try, State: t.State, Cause: t.Cause, CheckpointSaved: t.Stored})
	}
	return m
}

// scheduleHeartbeat has the next report leave after a while, in the place of what was due.
func (w *Worker) scheduleHeartbeat(d time.Duration) {
	w.heartbeatTimer++
	generation := w.heartbeatTimer
	w.fleet.queue.After(d, func() {
		if w.heartbeatTimer == generation {
			w.sendHeartbeat()
		}
	})
}

// heartbeatInterval is the time until the next report, if nothing changes.
func (w *Worker) heartbeatInterval() time.Duration {
	t := w.fleet.Timing
	if t.Jitter == 0 {
		return t.Report
	}
	return time.Duration(float64(t.Report) * (1 + t.Jitter*(2*w.fleet.Random()-1)))
}

// heartbeatSoon has a report leave soon, as something in it has changed.
func (w *Worker) heartbeatSoon() {
	f := w.fleet
	if f.Timing.LeastPause == 0 || !w.Up || w.Deleted {
		return
	}
	if w.changePending {
		return
	}
	w.changePending = true
	if !w.heartbeatInFlight {
		w.scheduleHeartbeat(max(0, w.lastHeartbeat+f.Timing.LeastPause-f.queue.Now()))
	}
}

func (w *Worker) sendHeartbeat() {
	f := w.fleet
	if w.Deleted {
		return
	}
	if w.Cut || w.Hung {
		w.scheduleHeartbeat(f.Timing.NextController)
		return
	}
	body := protocol.Encode(w.Message())
	if w.Reported != nil {
		w.Reported(body)
	}
	sent, session := f.queue.Now(), w.Session
	w.heartbeatInFlight, w.changePending, w.lastHeartbeat = true, false, sent
	f.Carrier(w, w.Controller, body, func(status int, answer []byte) {
		w.heartbeatInFlight = false
		w.handleHeartbeatReply(sent, session, status, answer)
	})
}

// handleHeartbeatReply does what the answer to a report asks for.
func (w *Worker) handleHeartbeatReply(sent time.Duration, session uint64, status int, body []byte) {
	f := w.fleet
	if w.Deleted {
		return
	}
	switch status {
	case 200:
		var reply protocol.WorkerHeartbeatReply
		if err := protocol.Decode(body, &reply); err != nil {
			f.reportViolation("a report's answer can't be read: %v", err)
		}
		if reply.Token >= w.Token && session == w.Session {
			w.advanceToken(reply.Token)
			w.Answered = sent
			w.Execute(reply.Commands)
		}
		wait := w.heartbeatInterval()
		if w.changePending {
			wait = max(0, w.lastHeartbeat+f.Timing.LeastPause-f.queue.Now())
		}
		w.scheduleHeartbeat(wait)
	case 421:
		var elsewhere protocol.Redirect
		_ = protocol.Decode(body, &elsewhere) // a missing name is allowed
		if n := f.Label(elsewhere.Leader); n >= 0 && n != w.Controller {
			w.Controller = n
			w.scheduleHeartbeat(f.Timing.SentAway)
			return
		}
		w.tryNextController()
	default:
		w.tryNextController()
	}
}

func (w *Worker) tryNextController() {
	w.Controller = (w.Controller + 1) % w.fleet.Controllers
	w.scheduleHeartbeat(w.fleet.Timing.NextController)
}

func (w *Worker) advanceToken(token uint64) {
	if token > w.Token {
		w.Token = token
		w.heartbeatSoon()
	}
}

// Serve answers a direct request, at once or, if the machine hangs, once it goes on.
func (w *Worker) Serve(path string, body []byte, reply Reply) {
	if w.Hung {
		w.deferredRequests = append(w.deferredRequests, func() { reply(w.executeDirect(path, body)) })
		return
	}
	reply(w.executeDirect(path, body))
}

func (w *Worker) executeDirect(path string, body []byte) (int, []byte) {
	if path == "/status" {
		return 200, protocol.Encode(w.Message())
	}
	var request protocol.Commands
	if err := protocol.Decode(body, &request); err != nil {
		w.fleet.reportViolation("commands can't be read: %v", err)
		return 400, nil
	}
	if request.Token < w.Token || request.Epoch != w.Session {
		return 409, protocol.Encode(w.Message())
	}
	w.advanceToken(request.Token)
	w.Execute(request.Commands)
	return 200, protocol.Encode(w.Message())
}
