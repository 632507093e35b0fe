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
type Carrier func(k *Worker, controller int, body []byte, answer Reply)

// Observer is told of what happens on workers. Nil functions are not called.
type Observer struct {
	// Begins is told that a task begins to be on its machine, Leaves that it no longer is.
	Begins func(k *Worker, task string, t *Task)
	Leaves func(k *Worker, task string, t *Task)
	// Done is told of each task that completed.
	Done func(task string, t *Task)
	// Died is told of a machine that has ended.
	Died func(k *Worker)
	// Halted is told of the first command to stop a gang's task.
	Halted func(t *Task, graceS float64)
	// Wrong is told of messages that no controller may send.
	Wrong func(what string)
}

// Fleet is all workers, and what is the same for all of them.
type Fleet struct {
	agenda  *Agenda
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
	FetchTime func(k *Worker, task string, j *Job) time.Duration
	// Fails says whether a task fails as soon as it begins; nil: none does.
	Fails func(k *Worker, t *Task) bool
	// Random gives numbers from 0 to 1, for the jitter.
	Random func() float64
	// RefuseUnfit has workers refuse tasks that they have no room for or have already.
	RefuseUnfit bool

	gangs      map[GangTry]map[*Task]*Worker
	savedTasks map[GangTry]int
	// Wholes counts how often a gang has begun to run, whole, and Saves how often one was
	// stopped with its progress saved.
	Wholes, Saves map[string]int
}

// GangTry names an attempt of a gang.
type GangTry struct {
	UID string
	Try uint64
}

// NewFleet makes a fleet without workers.
func NewFleet(agenda *Agenda, timing Timing) *Fleet {
	return &Fleet{agenda: agenda, Timing: timing, Workers: map[string]*Worker{}, gangs: map[GangTry]map[*Task]*Worker{},
		savedTasks: map[GangTry]int{}, Wholes: map[string]int{}, Saves: map[string]int{}}
}

// Task is an attempt of a task on a worker.
type Task struct {
	UID    string
	Try    uint64
	State  protocol.TaskState
	Cause  protocol.ExitCause
	Stored bool          // its progress was saved
	Halted time.Duration // when a gang's task was told to stop
	alone  time.Duration // since when it misses another one
	began  int           // which life of the task this is
}

// Here says whether a task is on its machine, as the protocol's page counts it.
func (t *Task) Here() bool {
	return t.State == protocol.Running || t.State == protocol.Saving || t.State == protocol.WaitingForGang
}

// Worker plays one machine's worker.
type Worker struct {
	fleet *Fleet

	ID, Addr, Type, Zone string
	Spot, Up, Gone       bool
	Size                 protocol.MachineType
	// Cut: nothing reaches it and nothing leaves it. AnswersLost: reports arrive, answers
	// and direct commands don't. ReportsLost: the other way round. Hung: it does nothing
	// until it goes on, or for ever.
	Cut, AnswersLost, ReportsLost, Hung bool
	held                                []func() // commands that came while it hung

	Session, Seq, Token uint64
	Tasks               map[string]*Task // by task and attempt, see Name
	Answered            time.Duration    // sending time of the last answered report
	Controller          int              // whom it reports to
	Lives               int              // tasks that it has been told to run
	// Taken is when the cloud takes the machine back, of which it has notice; 0: it does not.
	Taken time.Duration
	// Reported is told of each report's body before it leaves; nil: nobody is.
	Reported func(body []byte)

	reporting  bool
	changed    bool
	lastReport time.Duration
	generation int // of the timer of the next report
	images     imageCache
}

// Add makes a worker that is not up yet.
func (f *Fleet) Add(id, addr, typ, zone string, spot bool) *Worker {
	k := &Worker{fleet: f, ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Session: 1, Tasks: map[string]*Task{}}
	f.Workers[id] = k
	return k
}

// Sorted lists the workers in a fixed order, so that runs repeat.
func (f *Fleet) Sorted() []*Worker {
	var out []*Worker
	for _, id := range slices.Sorted(maps.Keys(f.Workers)) {
		out = append(out, f.Workers[id])
	}
	return out
}

func (f *Fleet) wrong(format string, args ...any) {
	if f.Wrong != nil {
		f.Wrong(fmt.Sprintf(format, args...))
	}
}

// Reachable says whether direct commands get through.
func (k *Worker) Reachable() bool { return k.Up && !k.Gone && !k.Cut && !k.AnswersLost }

// Boot brings the machine up: it reports from now on.
func (k *Worker) Boot() {
	if k.Gone {
		return
	}
	k.Up, k.Answered = true, k.fleet.agenda.Now()
	k.report()
	k.watchLease()
}

// Die ends the machine with all that is on it.
func (k *Worker) Die() {
	k.Gone, k.Up = true, false
	k.forget()
	if k.fleet.Died != nil {
		k.fleet.Died(k)
	}
}

// forget ends all tasks without a trace.
func (k *Worker) forget() {
	for _, name := range slices.Sorted(maps.Keys(k.Tasks)) {
		k.drop(name)
	}
}

func (k *Worker) drop(name string) {
	t := k.Tasks[name]
	delete(k.Tasks, name)
	k.noteLeft(name, t, t.Here())
	k.fleet.forgetGang(t)
}

// Hang stops a machine for a while. What comes meanwhile is executed when it goes on, if its
// lease still runs then.
func (k *Worker) Hang(d time.Duration) {
	k.Hung = true
	k.fleet.agenda.After(d, func() {
		k.Hung = false
		held := k.held
		k.held = nil
		if k.Gone {
			return
		}
		for _, do := range held {
			do()
		}
	})
}

// watchLease ends the session when the lease has run out.
func (k *Worker) watchLease() {
	f := k.fleet
	if k.Gone {
		return
	}
	if f.agenda.Now() > k.Answered+f.Timing.Lease {
		k.Session++
		k.forget()
		k.Answered = f.agenda.Now()
		k.noteChange()
	}
	wait := f.Timing.Look
	if left := k.Answered + f.Timing.Lease - f.agenda.Now(); left > wait {
		wait = left
	}
	f.agenda.After(wait, k.watchLease)
}

// Message is the worker's next report.
func (k *Worker) Message() protocol.WorkerHeartbeat {
	k.Seq++
	m := protocol.WorkerHeartbeat{Machine: k.ID, Addr: k.Addr, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Epoch: k.Session, Sequence: k.Seq, Token: k.Token,
		Tasks: []protocol.TaskStatus{}}
	if k.Taken > 0 {
		notice := max(0, (k.Taken - k.fleet.agenda.Now()).Seconds())
		m.SpotNoticeS = &notice
	}
	for _, name := range slices.Sorted(maps.Keys(k.Tasks)) {
		t := k.Tasks[name]
		task, _, _ := strings.Cut(name, "@")
		m.Tasks = append(m.Tasks, protocol.TaskStatus{Task: task, Attempt: t.Try, State: t.State, Cause: t.Cause, CheckpointSaved: t.Stored})
	}
	return m
}

// nextReport has the next report leave after a while, in the place of what was due.
func (k *Worker) nextReport(d time.Duration) {
	k.generation++
	generation := k.generation
	k.fleet.agenda.After(d, func() {
		if k.generation == generation {
			k.report()
		}
	})
}

// interval is the time until the next report, if nothing changes.
func (k *Worker) interval() time.Duration {
	t := k.fleet.Timing
	if t.Jitter == 0 {
		return t.Report
	}
	return time.Duration(float64(t.Report) * (1 + t.Jitter*(2*k.fleet.Random()-1)))
}

// noteChange has a report leave soon, as something in it has changed.
func (k *Worker) noteChange() {
	f := k.fleet
	if f.Timing.LeastPause == 0 || !k.Up || k.Gone {
		return
	}
	if k.changed {
		return
	}
	k.changed = true
	if !k.reporting {
		k.nextReport(max(0, k.lastReport+f.Timing.LeastPause-f.agenda.Now()))
	}
}

func (k *Worker) report() {
	f := k.fleet
	if k.Gone {
		return
	}
	if k.Cut || k.Hung {
		k.nextReport(f.Timing.NextController)
		return
	}
	body := protocol.Encode(k.Message())
	if k.Reported != nil {
		k.Reported(body)
	}
	sent, session := f.agenda.Now(), k.Session
	k.reporting, k.changed, k.lastReport = true, false, sent
	f.Carrier(k, k.Controller, body, func(status int, answer []byte) {
		k.reporting = false
		k.takeAnswer(sent, session, status, answer)
	})
}

// takeAnswer does what the answer to a report asks for.
func (k *Worker) takeAnswer(sent time.Duration, session uint64, status int, body []byte) {
	f := k.fleet
	if k.Gone {
		return
	}
	switch status {
	case 200:
		var reply protocol.WorkerHeartbeatReply
		if err := protocol.Decode(body, &reply); err != nil {
			f.wrong("a report's answer can't be read: %v", err)
		}
		if reply.Token >= k.Token && session == k.Session {
			k.raiseToken(reply.Token)
			k.Answered = sent
			k.Execute(reply.Commands)
		}
		wait := k.interval()
		if k.changed {
			wait = max(0, k.lastReport+f.Timing.LeastPause-f.agenda.Now())
		}
		k.nextReport(wait)
	case 421:
		var elsewhere protocol.Redirect
		_ = protocol.Decode(body, &elsewhere) // a missing name is allowed
		if n := f.Label(elsewhere.Leader); n >= 0 && n != k.Controller {
			k.Controller = n
			k.nextReport(f.Timing.SentAway)
			return
		}
		k.tryNext()
	default:
		k.tryNext()
	}
}

func (k *Worker) tryNext() {
	k.Controller = (k.Controller + 1) % k.fleet.Controllers
	k.nextReport(k.fleet.Timing.NextController)
}

func (k *Worker) raiseToken(token uint64) {
	if token > k.Token {
		k.Token = token
		k.noteChange()
	}
}

// Serve answers a direct request, at once or, if the machine hangs, once it goes on.
func (k *Worker) Serve(path string, body []byte, reply Reply) {
	if k.Hung {
		k.held = append(k.held, func() { reply(k.serve(path, body)) })
		return
	}
	reply(k.serve(path, body))
}

func (k *Worker) serve(path string, body []byte) (int, []byte) {
	if path == "/status" {
		return 200, protocol.Encode(k.Message())
	}
	var request protocol.Commands
	if err := protocol.Decode(body, &request); err != nil {
		k.fleet.wrong("commands can't be read: %v", err)
		return 400, nil
	}
	if request.Token < k.Token || request.Epoch != k.Session {
		return 409, protocol.Encode(k.Message())
	}
	k.raiseToken(request.Token)
	k.Execute(request.Commands)
	return 200, protocol.Encode(k.Message())
}
