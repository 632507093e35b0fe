package controller

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// A world simulates a deployment on a simulated clock: controllers, the emulators of the state
// service, the cloud and the workers, and the network between them. Tests inject faults; the world
// checks the scheduler's invariants continuously.

const (
	tick    = 100 * time.Millisecond
	latency = 2 * time.Millisecond
)

// deliveryFault is a fault that a test injects into the delivery of one call: the request is refused,
// delayed or lost, or its response is lost.
type deliveryFault struct {
	lost, replyLost bool
	refused         bool          // the connection is refused at once
	delay           time.Duration // delay of the request
}

// world is a simulated deployment.
type world struct {
	t              testing.TB
	topology       topology
	queue          *emulator.EventQueue
	rng            *rand.Rand
	cfgs           []*config.Config
	nodes          []*simNode
	state          *emulator.StateService
	cloud          *emulator.Cloud
	machines       *emulator.Fleet
	sentHeartbeats map[string][][]byte // bodies of sent heartbeats by machine, to be delivered again later
	completedTasks map[string]bool     // tasks that have completed
	specs          map[string]map[string]any
	lastReplies    map[string]protocol.JobState // the job's state in the last reply to its user
	lastReplyAt    map[string]time.Duration     // time of the first reply with that state
	cancelledAt    map[string]time.Duration     // time of the reply that confirmed the cancellation
	violations     []string
	leaderEvents   int // events that leaders have handled
	effects        *effectRecorder
	checker
	// callFault returns the fault to inject into a call from a node; nil: no faults.
	callFault func(node int, c Call) deliveryFault
	// copyDelay returns the delay after which a copy of a node's call, whose answer is dropped, reaches the call's target; 0: no
	// copy is sent. Copies of direct calls to workers are injected by emulator.Fleet.Copies; nil: no copies.
	copyDelay func(c Call) time.Duration
	// heartbeatFault returns the fault to inject into a worker's heartbeat to a node; nil: no faults.
	heartbeatFault func(w *emulator.Worker, node int) deliveryFault
	// runTime returns the run time of a task.
	runTime func(task string) time.Duration
	// fetchTime returns the time to fetch a task's image; nil: the fetch time of testSite.
	fetchTime func(task string) time.Duration
	// failsAtStart reports whether a task fails as soon as it starts; nil: no task fails.
	failsAtStart func(worker *emulator.Worker, uid string) bool
	// failures counts the tasks that failed.
	failures int
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout time.Duration
	// unreachable holds the addresses to which no connection can be established: a call that gets no
	// answer from there is reported as a failed connection.
	unreachable map[string]bool
	// logged is called with each line that a controller logs; nil: it is not called.
	logged func(node int, line []byte)
}

// simNode is a controller process of a world.
type simNode struct {
	controller     *Controller
	alive          bool
	incarnation    int
	startedAt      time.Duration // zero of the process's monotonic clock, in the world's time
	lastRequestID  uint64        // ID of the last request to the controller
	pendingReplies map[uint64]func(Reply)
	// withoutProbes: the node's version does not support probes. withoutGate: it supports neither probes nor
	// the feature gate, see olderCall.
	withoutProbes, withoutGate bool
	// paused: the process handles no events. queuedEvents holds the events that arrive in the meantime.
	paused       bool
	queuedEvents []func()
	// drift is the relative error of the monotonic clock; a positive value makes it run fast.
	drift    float64
	observer *worldObserver
	// scriptedReply answers requests while the process is not alive; nil: requests get no answer.
	scriptedReply func(Request) Reply
}

func newWorld(t testing.TB, seed uint64) *world {
	t.Helper()
	return newWorldWith(t, seed, testOperator)
}

// newWorldWith creates a world of the default topology with the given operators' settings.
func newWorldWith(t testing.TB, seed uint64, operator []byte) *world {
	t.Helper()
	return newWorldWithTopology(t, seed, operator, defaultTopology)
}

// topology describes a world: the zone of each controller, the zones of the cloud, and the teams as
// JSON objects.
type topology struct {
	controllers, zones []string
	teams              string
}

var defaultTopology = topology{controllers: []string{"a", "a", "b"}, zones: []string{"a", "b"},
	teams: `{"name":"red","cpus":16,"cpus_max":32},{"name":"blue","cpus":8,"cpus_max":16}`}

// newWorldWithTopology creates a world of the given topology.
func newWorldWithTopology(t testing.TB, seed uint64, operator []byte, shape topology) *world {
	t.Helper()
	w := &world{topology: shape, t: t, effects: newEffectRecorder(t), queue: &emulator.EventQueue{}, rng: rand.New(rand.NewPCG(seed, 1)), specs: map[string]map[string]any{},
		sentHeartbeats: map[string][][]byte{}, completedTasks: map[string]bool{},
		lastReplies: map[string]protocol.JobState{}, lastReplyAt: map[string]time.Duration{}, cancelledAt: map[string]time.Duration{}, checker: newChecker(), heartbeatTimeout: 4 * time.Second,
		runTime: func(string) time.Duration { return 30 * time.Second }}
	limits := testSite.state
	w.state = emulator.NewStateService(w.queue, emulator.StateLimits{ValueBytes: limits.valueKB << 10, Changes: limits.changes})
	w.state.MaxChanges, w.state.OnViolation = limits.changes, func(description string) { w.recordViolation("%s", description) }
	w.newCloud()
	w.newMachines()
	for i := range shape.controllers {
		w.cfgs = append(w.cfgs, testConfig(t, shape, i, operator))
		w.nodes = append(w.nodes, &simNode{})
		w.boot(i)
	}
	w.scheduleChecks()
	return w
}

// Now returns the world's time.
func (w *world) Now() time.Duration { return w.queue.Now() }

// after calls do after a delay.
func (w *world) after(d time.Duration, do func()) { w.queue.After(d, do) }

// run advances the world by a duration.
func (w *world) run(d time.Duration) { w.queue.RunUntil(w.Now() + d) }

// until runs the world until a condition holds. If it does not hold within the limit, the test fails.
func (w *world) until(limit time.Duration, description string, holds func() bool) {
	w.t.Helper()
	end := w.Now() + limit
	for !holds() {
		if w.Now() >= end {
			w.t.Fatalf("condition not met within %v: %s", limit, description)
		}
		w.run(tick)
	}
}

// recordViolation records the violation of an invariant; only the first 20 are kept.
func (w *world) recordViolation(format string, args ...any) {
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, args...))
	}
}

// requireNoViolations fails the test if violations of invariants have been recorded.
func (w *world) requireNoViolations() {
	w.t.Helper()
	for _, violation := range w.violations {
		w.t.Error(violation)
	}
}

// --- controllers

// boot starts a new process of a controller.
func (w *world) boot(i int) {
	n := w.nodes[i]
	n.alive, n.incarnation, n.startedAt, n.scriptedReply = true, n.incarnation+1, w.Now(), nil
	n.paused, n.queuedEvents = false, nil
	incarnation := n.incarnation
	n.pendingReplies = map[uint64]func(Reply){}
	sink := io.Discard
	if os.Getenv("CLAYBARROW_TEST_LOG") != "" {
		sink = os.Stderr
	}
	if w.logged != nil {
		sink = io.MultiWriter(sink, logSink(func(line []byte) { w.logged(i, line) }))
	}
	log := slog.New(slog.NewTextHandler(sink, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", i)
	n.controller = New(w.cfgs[i], rand.New(rand.NewPCG(w.rng.Uint64(), 2)), log)
	n.observer = &worldObserver{w: w, node: i}
	n.controller.Observe(n.observer)
	var sendTick func()
	sendTick = func() {
		if n.alive && n.incarnation == incarnation {
			if !n.paused {
				w.handleEvent(i, Tick{})
			}
			w.after(tick, sendTick)
		}
	}
	w.after(time.Duration(i)*time.Millisecond, sendTick)
}

// crash ends a controller's process without a graceful shutdown.
func (w *world) crash(i int) { w.nodes[i].alive = false }

// handleEvent has a node handle an event and carries out the resulting effects. Events for a paused node are
// queued until it resumes.
func (w *world) handleEvent(i int, ev Event) {
	n := w.nodes[i]
	if n.paused {
		incarnation := n.incarnation
		n.queuedEvents = append(n.queuedEvents, func() {
			if n.alive && n.incarnation == incarnation {
				w.handleEvent(i, ev)
			}
		})
		return
	}
	monotonic := time.Duration(float64(w.Now()-n.startedAt) * (1 + n.drift))
	effects := n.controller.Handle(Clock{Monotonic: monotonic, Wall: 1_700_000_000_000 + w.Now().Milliseconds()}, ev)
	w.effects.record(w, i, effects)
	if l := n.controller.leadership; l != nil && l.loader.ready {
		w.checkSchedulerCache(l)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			if f := n.pendingReplies[e.ID]; f != nil {
				delete(n.pendingReplies, e.ID)
				f(e)
			}
		case Call:
			w.deliver(i, e)
		default:
			w.t.Errorf("unknown type of effect: %T", e)
		}
	}
}

// sendRequest sends a request to a node and passes the reply to then. If the node is not alive or does not
// answer within five seconds, the reply has status 0.
func (w *world) sendRequest(i int, req Request, then func(Reply)) {
	n := w.nodes[i]
	if !n.alive && n.scriptedReply != nil {
		answer := n.scriptedReply(req)
		w.after(latency, func() { then(answer) })
		return
	}
	if !n.alive {
		then(Reply{})
		return
	}
	n.lastRequestID++
	req.ID = n.lastRequestID
	incarnation, answered := n.incarnation, false
	n.pendingReplies[req.ID] = func(r Reply) { answered = true; then(r) }
	w.handleEvent(i, req)
	w.after(5*time.Second, func() {
		if !answered && n.incarnation == incarnation {
			delete(n.pendingReplies, req.ID)
		}
		if !answered {
			answered = true
			then(Reply{})
		}
	})
}

// deliver carries out a node's call, subject to the test's faults, and feeds the result to the node.
func (w *world) deliver(i int, c Call) {
	incarnation, answered := w.nodes[i].incarnation, false
	result := func(status int, body []byte) {
		if answered || w.nodes[i].incarnation != incarnation || !w.nodes[i].alive {
			return
		}
		answered = true
		if w.nodes[i].withoutGate {
			body = olderStateReply(c, body)
		}
		w.handleEvent(i, Result{ID: c.ID, Status: status, Body: body, ConnectionFailed: status == 0 && w.unreachable[c.Addr]})
	}
	if w.nodes[i].withoutGate {
		c = olderCall(c)
	}
	var f deliveryFault
	if w.callFault != nil {
		f = w.callFault(i, c)
	}
	w.after(c.Timeout, func() { result(0, nil) })
	if f.refused {
		w.after(latency, func() {
			if !answered && w.nodes[i].incarnation == incarnation && w.nodes[i].alive {
				answered = true
				w.handleEvent(i, Result{ID: c.ID, ConnectionFailed: true})
			}
		})
		return
	}
	if f.lost {
		return
	}
	w.after(latency+f.delay, func() {
		reply := func(status int, body []byte) {
			if !f.replyLost {
				w.after(latency, func() { result(status, body) })
			}
		}
		w.serve(i, c, reply)
	})
	if w.copyDelay == nil || c.Target == ToWorker {
		return
	}
	if delay := w.copyDelay(c); delay > 0 {
		w.after(latency+f.delay+delay, func() { w.serve(i, c, func(int, []byte) {}) })
	}
}

// serve passes a node's call to its target, which answers through reply.
func (w *world) serve(i int, c Call, reply func(status int, body []byte)) {
	switch c.Target {
	case ToState:
		w.state.Serve(i, c.Method, c.Path, c.Body, reply)
	case ToCloud:
		reply(w.cloud.Serve(c.Method, c.Path, c.Body))
	case ToWorker:
		if worker := w.workerByAddr(c.Addr); worker != nil && worker.Reachable() {
			worker.Serve(c.Path, c.Body, reply)
		}
	case ToPeer:
		for k := range w.nodes {
			if c.Addr == fmt.Sprintf("10.0.0.%d:1", k) {
				w.serveAsPeer(k, c, reply)
			}
		}
	}
}

// serveAsPeer passes a call of another controller to node k, which answers through reply.
func (w *world) serveAsPeer(k int, c Call, reply func(status int, body []byte)) {
	n := w.nodes[k]
	if c.Path == ProbePath && n.withoutProbes {
		if n.alive {
			reply(http.StatusNotFound, nil)
		}
		return
	}
	op := map[string]Op{"/relay": OpRelay, "/heartbeat": OpPeerHeartbeat, "/forward": OpForwardedHeartbeat, ProbePath: OpProbe}[c.Path]
	w.sendRequest(k, Request{Op: op, Body: c.Body}, func(r Reply) {
		if r.Status == 0 {
			return
		}
		if n.withoutGate {
			r.Body = olderReply(c, r.Body)
		}
		reply(r.Status, r.Body)
	})
}

// leader returns the index of the first live controller that has loaded the cluster state and holds
// the leader's lease, or -1 if there is none.
func (w *world) leader() int {
	for i, n := range w.nodes {
		if n.alive && n.controller.leadership != nil && n.controller.leadership.loader.ready && n.controller.leadership.lease.holdsLease() {
			return i
		}
	}
	return -1
}

// leadership waits for a leader and returns its leadership.
func (w *world) leadership() *leadership { return w.nodes[w.awaitLeader()].controller.leadership }

// awaitLeader waits for a leader and returns its index.
func (w *world) awaitLeader() int {
	w.t.Helper()
	w.until(30*time.Second, "a controller leads", func() bool { return w.leader() >= 0 })
	return w.leader()
}

// --- users

// spec records and returns the submission of a job: the default one with the given changes.
func (w *world) spec(uid string, change map[string]any) map[string]any {
	m := map[string]any{"uid": uid, "tier": "jobs", "owner": "red", "shape": "batch", "rank": "normal", "shards": 1,
		"cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "bundle": "img", "sizeGb": 1.0, "flavours": nil, "yard": nil,
		"together": false, "apart": false, "borrowed": false, "expectS": 30.0, "saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil}
	maps.Copy(m, change)
	w.specs[uid] = m
	return m
}

// user sends one request to a node, checks the answer and records the job's status.
func (w *world) user(node int, op Op, uid string, then func(int, protocol.JobStatus)) {
	req := Request{Op: op, UID: uid}
	if op == OpSubmit {
		req.Body = protocol.Encode(w.specs[uid])
	}
	if op == OpCancel {
		w.cancelRequested[uid] = true
	}
	sent := w.Now()
	w.sendRequest(node, req, func(r Reply) {
		var s protocol.JobStatus
		if r.Status == http.StatusOK || r.Status == http.StatusCreated {
			if err := protocol.Decode(r.Body, &s); err != nil {
				w.recordViolation("reply to %s of %s can't be decoded: %v", op, uid, err)
			}
			w.recordStatus(uid, s, sent)
			w.startPolling(uid)
		}
		w.checkAnswer(op, uid, r.Status)
		if r.Status == http.StatusNotFound && w.lastReplies[uid] != "" {
			w.recordViolation("forgotten: %s of the accepted job %s returned 404", op, uid)
		}
		if (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests) && r.RetryAfter == 0 {
			w.recordViolation("reply to %s of %s with status %d has no Retry-After", op, uid, r.Status)
		}
		if then != nil {
			then(r.Status, s)
		}
	})
}

// recordStatus checks and records the job status in the reply to a request that was sent at the given
// time. A reply to a request that was already in flight when the state last changed may hold the
// earlier state, as replies can arrive out of order; it is ignored.
func (w *world) recordStatus(uid string, s protocol.JobStatus, sent time.Duration) {
	previous := w.lastReplies[uid]
	if s.State != previous && sent < w.lastReplyAt[uid] {
		return
	}
	if (previous == protocol.JobDone || previous == protocol.JobCancelled) && s.State != previous {
		w.recordViolation("went_back: %s was %s, now %s", uid, previous, s.State)
	}
	if s.State == protocol.JobDone {
		n := w.specs[uid]["shards"].(int)
		for k := range n {
			if !w.completedTasks[uid+"/"+strconv.Itoa(k)] {
				w.recordViolation("not_done: %[1]s is reported as done, and task %[1]s/%[2]d has not completed", uid, k)
			}
		}
	}
	if s.State == protocol.JobCancelled && previous != s.State {
		w.cancelledAt[uid] = w.Now()
		if !w.cancelRequested[uid] {
			w.recordViolation("went_back: %s is reported as cancelled without a request for cancellation", uid)
		}
	}
	if s.State != previous {
		w.lastReplyAt[uid] = w.Now()
	}
	w.lastReplies[uid] = s.State
}

// requestUntil sends a request to the nodes in turn, one a second, until an answer satisfies ok.
func (w *world) requestUntil(op Op, uid string, ok func(int, protocol.JobStatus) bool) {
	node := 0
	var sendRequest func()
	sendRequest = func() {
		node++
		w.user(node%len(w.nodes), op, uid, func(status int, s protocol.JobStatus) {
			if !ok(status, s) {
				w.after(time.Second, sendRequest)
			}
		})
	}
	sendRequest()
}

// submit submits a job, and repeats the request until it is accepted.
func (w *world) submit(uid string, change map[string]any) {
	w.spec(uid, change)
	w.requestUntil(OpSubmit, uid, func(s int, _ protocol.JobStatus) bool { return s == http.StatusOK || s == http.StatusCreated })
}

// cancel requests a job's cancellation, and repeats the request until it succeeds.
func (w *world) cancel(uid string) {
	w.requestUntil(OpCancel, uid, func(s int, _ protocol.JobStatus) bool { return s == http.StatusOK })
}

// awaitStatus polls a job until its status is the given state, and fails the test after the limit.
func (w *world) awaitStatus(limit time.Duration, uid string, state protocol.JobState) {
	w.t.Helper()
	ticks := 0
	w.until(limit, uid+" is reported as "+string(state), func() bool {
		if ticks++; ticks%20 == 1 {
			w.user(ticks/20%len(w.nodes), OpPoll, uid, nil)
		}
		return w.lastReplies[uid] == state
	})
}
