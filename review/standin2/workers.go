package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// fleet holds the workers and what the rules say about their tasks. One lock guards all of it: no method waits for
// anything while it holds the lock.
type fleet struct {
	mu                  sync.Mutex
	world               *world
	site                *site
	workers             map[string]*worker
	jobs                map[string]*submission
	done                map[string]bool                           // tasks that have completed; their results are kept
	gangs               map[gangAttempt]map[*task]*worker         // tasks that wait for the others of their attempt
	on                  map[string]map[*worker]protocol.TaskState // by task: the machines that it is on
	client              *http.Client
	ran                 map[string]bool // gangs that have run with all their tasks
	begun               map[string]bool // jobs of which a task has been on a machine
	breaches            []string
	starts, completions int
}

type gangAttempt struct {
	uid     string
	attempt uint64
}

// worker is the agent of one machine.
type worker struct {
	fleet                  *fleet
	id, addr, typ, zone    string
	spot, up, gone         bool
	size                   protocol.MachineType
	epoch, sequence, token uint64
	tasks                  map[string]*task
	images                 map[string]time.Time // when the fetch of an image ends
	renewedAt              time.Time            // when the last answered report was sent
	controller             int
	wake                   chan struct{}
	// cut: no message leaves or reaches the machine. mute: its reports and their answers are lost, direct requests arrive.
	cut, mute bool
}

// task is an attempt on a machine.
type task struct {
	name, uid string
	attempt   uint64
	state     protocol.TaskState
	cause     protocol.ExitCause
	stored    bool
}

func (t *task) key() string { return fmt.Sprintf("%s@%d", t.name, t.attempt) }

func newFleet(w *world, s *site) *fleet {
	return &fleet{world: w, site: s, workers: map[string]*worker{}, jobs: map[string]*submission{}, done: map[string]bool{},
		gangs: map[gangAttempt]map[*task]*worker{}, ran: map[string]bool{}, begun: map[string]bool{}, on: map[string]map[*worker]protocol.TaskState{},
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 400, MaxIdleConns: 1200}}}
}

// breach records that a rule was broken. The caller holds the lock.
func (f *fleet) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.world.record.printf("BREACH %s", text)
	f.breaches = append(f.breaches, text)
}

// add adds the worker of a rented machine and opens its address. The machine boots after the site's boot time.
func (f *fleet) add(m *emulator.Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[m.ID]
	w.typ, w.zone, w.spot = m.Type, m.Zone, m.Spot
	for _, t := range f.site.Types {
		if t.Name == m.Type {
			w.size = t
		}
	}
	for i, c := range f.world.controllers {
		if c.zone == m.Zone {
			w.controller = i
		}
	}
	f.world.record.printf("machine %s rented: %s in %s", m.ID, m.Type, m.Zone)
	time.AfterFunc(f.site.Boot, func() { go w.run(f.world.ctx) })
}

// open opens the address of a new machine's worker.
func (f *fleet) open(id string) string {
	listener, addr, err := listen()
	if err != nil {
		f.world.record.printf("stand-in: no address for %s: %v", id, err)
		return loopbackHost() + ":1"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &worker{fleet: f, id: id, addr: addr, epoch: 1, tasks: map[string]*task{}, images: map[string]time.Time{}, wake: make(chan struct{}, 1)}
	f.workers[id] = w
	server := &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(f.world.ctx, func() { _ = server.Close() })
	return addr
}

// terminate ends a machine with all that is on it.
func (f *fleet) terminate(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.world.record.printf("machine %s deleted", id)
	w := f.workers[id]
	w.gone = true
	w.forget()
}

// forget kills and forgets all tasks. The caller holds the lock.
func (w *worker) forget() {
	for _, t := range w.tasks {
		w.set(t, protocol.TaskExited, protocol.CauseStopped)
	}
	w.tasks = map[string]*task{}
}

// set changes the state of a task, judges it by the rule ran_twice, and makes the worker report soon. The caller holds
// the lock.
func (w *worker) set(t *task, state protocol.TaskState, cause protocol.ExitCause) {
	f := w.fleet
	was := t.state
	t.state, t.cause = state, cause
	onBefore, onNow := occupies(was), occupies(state)
	switch {
	case onNow && !onBefore:
		f.starts++
		f.begun[t.uid] = true
		if f.on[t.name] == nil {
			f.on[t.name] = map[*worker]protocol.TaskState{}
		}
		for other := range f.on[t.name] {
			if other != w {
				f.breach("ran_twice: %s starts on %s while it is on %s", t.name, w.id, other.id)
			}
		}
		f.on[t.name][w] = state
		if f.world.verbose {
			f.world.record.printf("%s starts %s try %d", w.id, t.name, t.attempt)
		}
	case onBefore && !onNow:
		delete(f.on[t.name], w)
		if f.world.verbose {
			f.world.record.printf("%s ends %s try %d: %s", w.id, t.name, t.attempt, cause)
		}
	}
	if state == protocol.TaskExited {
		w.giveUpFetch(t)
		delete(f.gangs[gangAttempt{t.uid, t.attempt}], t)
	}
	w.changed()
}

func occupies(state protocol.TaskState) bool {
	return state == protocol.TaskRunning || state == protocol.TaskSavingCheckpoint || state == protocol.TaskWaitingForGang
}

// changed makes the worker report soon.
func (w *worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run reports to the controllers until the machine is gone.
func (w *worker) run(ctx context.Context) {
	f := w.fleet
	f.mu.Lock()
	w.up, w.renewedAt = true, time.Now()
	f.mu.Unlock()
	go w.watchLease(ctx)
	for ctx.Err() == nil {
		wait, last := w.report()
		if wait < 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-w.wake:
			if wait > 500*time.Millisecond {
				wait = 500 * time.Millisecond
			}
			time.Sleep(time.Until(last.Add(wait)))
		}
		timer.Stop()
	}
}

// report sends one report and handles the answer. It returns the time until the next one, negative if the machine is
// gone, and when the report was sent.
func (w *worker) report() (wait time.Duration, sent time.Time) {
	f := w.fleet
	f.mu.Lock()
	if w.gone {
		f.mu.Unlock()
		return -1, time.Time{}
	}
	body, epoch, number, lost := protocol.Encode(w.heartbeat()), w.epoch, w.controller, w.cut || w.mute
	f.mu.Unlock()
	sent = time.Now()
	status, reply := 0, []byte(nil)
	if lost {
		time.Sleep(4 * time.Second)
	} else {
		status, reply = post(f.client, "http://"+f.world.controllers[number].client+"/hello", body)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.cut || w.mute {
		status = 0
	}
	switch status {
	case http.StatusOK:
		var answer protocol.WorkerHeartbeatReply
		if protocol.Decode(reply, &answer) == nil && answer.Token >= w.token && w.epoch == epoch && !w.gone {
			w.renewedAt = sent
			w.raise(answer.Token)
			w.execute(answer.Commands)
		}
		return time.Duration(float64(f.site.report()) * (0.75 + rand.Float64()/2)), sent
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		_ = protocol.Decode(reply, &redirect) // the answer may name no leader
		next := slices.IndexFunc(f.world.controllers, func(c *controller) bool { return c.label == redirect.Leader })
		if next >= 0 && next != number {
			w.controller = next
			return 200 * time.Millisecond, sent
		}
	}
	w.controller = (number + 1) % len(f.world.controllers)
	return time.Second, sent
}

// raise raises the highest token that the worker has seen. The caller holds the lock.
func (w *worker) raise(token uint64) {
	if token > w.token {
		w.token = token
		w.changed()
	}
}

// watchLease ends the worker's tasks and its epoch when no report was answered for a lease.
func (w *worker) watchLease(ctx context.Context) {
	f := w.fleet
	for ctx.Err() == nil {
		f.mu.Lock()
		if w.gone {
			f.mu.Unlock()
			return
		}
		if time.Since(w.renewedAt) > f.site.lease() {
			f.world.record.printf("machine %s: lease over, %d tasks end", w.id, len(w.tasks))
			w.epoch++
			w.forget()
			w.renewedAt = time.Now()
			w.changed()
		}
		f.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// heartbeat returns the next report. The caller holds the lock.
func (w *worker) heartbeat() protocol.WorkerHeartbeat {
	w.sequence++
	report := protocol.WorkerHeartbeat{Machine: w.id, Addr: w.addr, Type: w.typ, Zone: w.zone, Spot: w.spot, Epoch: w.epoch, Sequence: w.sequence,
		Token: w.token, Tasks: []protocol.TaskStatus{}}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[key]
		report.Tasks = append(report.Tasks, protocol.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Cause: t.cause, CheckpointSaved: t.stored})
	}
	return report
}

// serve answers a direct request.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	f := w.fleet
	f.mu.Lock()
	if err != nil || !w.up || w.gone || w.cut {
		f.mu.Unlock()
		<-r.Context().Done() // no answer
		return
	}
	status := http.StatusOK
	var request protocol.CommandRequest
	switch {
	case r.URL.Path == "/status":
	case protocol.Decode(body, &request) != nil:
		status = http.StatusBadRequest
	case request.Token < w.token || request.Epoch != w.epoch:
		status = http.StatusConflict
	default:
		w.raise(request.Token)
		w.execute(request.Commands)
	}
	reply := protocol.Encode(w.heartbeat())
	f.mu.Unlock()
	out.Header().Set("Content-Type", "application/msgpack")
	out.WriteHeader(status)
	_, _ = out.Write(reply) // the controller may have given up
}

// execute executes commands in order. The caller holds the lock.
func (w *worker) execute(commands []protocol.Command) {
	for _, command := range commands {
		key := (&task{name: command.Task, attempt: command.Attempt}).key()
		t := w.tasks[key]
		switch {
		case command.Verb == protocol.VerbRun && t == nil:
			w.start(command.Task, command.Attempt)
		case command.Verb == protocol.VerbStop && t != nil && t.state != protocol.TaskExited:
			w.set(t, protocol.TaskExited, protocol.CauseStopped)
		case command.Verb == protocol.VerbClear && t != nil && t.state == protocol.TaskExited:
			delete(w.tasks, key)
			w.changed()
		}
	}
}

// start adds a task, which runs as soon as the machine has its image. The caller holds the lock.
func (w *worker) start(name string, attempt uint64) {
	f := w.fleet
	uid, _, _ := strings.Cut(name, "/")
	t := &task{name: name, uid: uid, attempt: attempt, state: protocol.TaskFetchingImage}
	w.tasks[t.key()] = t
	if cause := w.refusal(t); cause != "" {
		w.set(t, protocol.TaskExited, cause)
		return
	}
	job := f.jobs[uid]
	ready, fetching := w.images[job.Image]
	if !fetching {
		ready = time.Now().Add(time.Duration(job.ImageGB / w.fetchRate() * float64(time.Second)))
		w.images[job.Image] = ready
	}
	w.changed()
	w.later(time.Until(ready), t, func() { w.begin(t) })
}

// later runs a function under the lock after a delay, unless the task has ended or the machine is gone by then.
func (w *worker) later(delay time.Duration, t *task, fn func()) {
	time.AfterFunc(delay, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if !w.gone && w.tasks[t.key()] == t && t.state != protocol.TaskExited {
			fn()
		}
	})
}

// refusal returns the cause with which the worker refuses a task, or "". The caller holds the lock.
func (w *worker) refusal(t *task) protocol.ExitCause {
	job := w.fleet.jobs[t.uid]
	if job == nil {
		return "no_such"
	}
	cores, accelerators, memory := 0.0, 0.0, 0.0
	for _, other := range w.tasks {
		if other.state == protocol.TaskExited {
			continue
		}
		if other != t && other.name == t.name {
			return protocol.CauseBusy
		}
		o := w.fleet.jobs[other.uid]
		cores, accelerators, memory = cores+o.Cores, accelerators+o.Accelerators, memory+o.MemoryGB
	}
	if cores > w.size.Cores+1e-6 || accelerators > w.size.Accelerators+1e-6 || memory > w.size.MemoryGB+1e-6 {
		return protocol.CauseInsufficientResources
	}
	return ""
}

// begin handles a task whose image is there. The caller holds the lock.
func (w *worker) begin(t *task) {
	f := w.fleet
	job := f.jobs[t.uid]
	if job.mistaken {
		w.fleet.world.record.printf("%s fails on %s", t.name, w.id)
		w.set(t, protocol.TaskExited, protocol.CauseError)
		return
	}
	if f.done[t.name] {
		w.set(t, protocol.TaskExited, protocol.CauseDone)
		return
	}
	if job.Shape != "group" {
		w.set(t, protocol.TaskRunning, "")
		if job.Shape == "batch" {
			w.later(f.site.RunTime, t, func() { w.complete(t) })
		}
		return
	}
	w.set(t, protocol.TaskWaitingForGang, "")
	attempt := gangAttempt{t.uid, t.attempt}
	if f.gangs[attempt] == nil {
		f.gangs[attempt] = map[*task]*worker{}
	}
	f.gangs[attempt][t] = w
	w.later(30*time.Second, t, func() {
		if t.state == protocol.TaskWaitingForGang {
			w.set(t, protocol.TaskExited, protocol.CauseIncomplete)
		}
	})
	if len(f.gangs[attempt]) == job.Tasks {
		f.startGang(attempt)
	}
}

// startGang starts a gang whose tasks all wait. They run and complete together. The caller holds the lock.
func (f *fleet) startGang(attempt gangAttempt) {
	f.world.record.printf("gang %s try %d runs whole", attempt.uid, attempt.attempt)
	f.ran[attempt.uid] = true
	members := maps.Clone(f.gangs[attempt])
	for t, w := range members {
		w.set(t, protocol.TaskRunning, "")
	}
	time.AfterFunc(f.site.RunTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.gangs[attempt]) != len(members) {
			for t, w := range f.gangs[attempt] {
				w.set(t, protocol.TaskExited, protocol.CausePeersLost)
			}
			return
		}
		for t, w := range members {
			w.complete(t)
		}
	})
}

// complete completes a task. The caller holds the lock.
func (w *worker) complete(t *task) {
	w.fleet.completions++
	w.fleet.done[t.name] = true
	w.set(t, protocol.TaskExited, protocol.CauseDone)
}

// post sends a request and returns the status, 0 if there was no answer.
func post(client *http.Client, url string, body []byte) (int, []byte) {
	response, err := client.Post(url, "application/msgpack", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, reply
}

// know uploads a job's description, as users do before they submit it.
func (f *fleet) know(s *submission) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[s.UID] = s
}

// fetchRate returns the rate at which the machine fetches images, in GB a second.
func (w *worker) fetchRate() float64 {
	if w.fleet.site.FetchFactor != nil {
		return w.size.FetchGBPerS * w.fleet.site.FetchFactor(w.id)
	}
	return w.size.FetchGBPerS
}

// giveUpFetch gives up the fetch of the image of a task that has ended if no other task waits for it. The caller holds
// the lock.
func (w *worker) giveUpFetch(ended *task) {
	job := w.fleet.jobs[ended.uid]
	if job == nil || time.Now().After(w.images[job.Image]) {
		return
	}
	for _, t := range w.tasks {
		if t != ended && t.state == protocol.TaskFetchingImage && w.fleet.jobs[t.uid].Image == job.Image {
			return
		}
	}
	w.fleet.world.record.printf("machine %s gives up the fetch of %s", w.id, job.Image)
	delete(w.images, job.Image)
}
