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

// A world consists of controllers with the emulator's state service, cloud and workers, and a
// network between them, on a simulated clock. A script injects faults; the world checks the rules
// all the time.

const (
	tick    = 100 * time.Millisecond
	latency = 2 * time.Millisecond
)

// deliveryFault is the fault that the script injects into one call: the request is delayed or lost,
// or its response is lost.
type deliveryFault struct {
	lost, answerLost bool
	refused          bool // the connection is refused at once
	hold             time.Duration
}

type world struct {
	t            testing.TB
	topology     topology
	queue        *emulator.EventQueue
	rng          *rand.Rand
	cfgs         []*config.Config
	nodes        []*simNode
	state        *emulator.StateService
	cloud        *emulator.Cloud
	machines     *emulator.Fleet
	copies       map[string][][]byte // heartbeats by machine, for late copies of them
	finished     map[string]bool     // tasks that have completed
	specs        map[string]map[string]any
	lastReplies  map[string]protocol.JobState // the last state that users were told
	lastReplyAt  map[string]time.Duration     // since when
	cancelledAt  map[string]time.Duration     // when a cancellation was confirmed to users
	violations   []string
	leaderEvents int // events that leaders have handled
	effects      *effectRecorder
	checker
	// script returns the fault of a call from a node; nil: there are no faults.
	script func(node int, c Call) deliveryFault
	// heartbeatFault returns the fault of a worker's heartbeat to a node; nil: there are no faults.
	heartbeatFault func(w *emulator.Worker, node int) deliveryFault
	runs           func(task string) time.Duration
	// pulls returns how long a task waits for its image; nil: a moment.
	pulls func(task string) time.Duration
	// fails reports whether a task fails as soon as it begins; failures counts those that did.
	fails    func(worker *emulator.Worker, uid string) bool
	failures int
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout time.Duration
	// unreachable are the addresses that accept no connections.
	unreachable map[string]bool
	// logged is called with each line that a controller logs; nil: it is dropped.
	logged func(node int, line []byte)
}

type simNode struct {
	controller  *Controller
	alive       bool
	incarnation int
	startedAt   time.Duration // the monotonic clock of a process starts with it
	last        uint64
	waiters     map[uint64]func(Reply)
	// older: its version knows no probes; withoutGate: it knows no feature gate either, see
	// olderCall.
	older, withoutGate bool
	// paused: the process handles nothing; held are the events that wait for it.
	paused bool
	held   []func()
	// drift is how much faster its monotonic clock runs.
	drift    float64
	observer *worldObserver
	// scripted answers in place of a process that is not alive; nil: there is no answer.
	scripted func(Request) Reply
}

func newWorld(t testing.TB, seed uint64) *world {
	t.Helper()
	return newWorldWith(t, seed, testOperator)
}

// newWorldWith creates a world whose controllers have these operators' settings.
func newWorldWith(t testing.TB, seed uint64, operator []byte) *world {
	t.Helper()
	return newWorldWithTopology(t, seed, operator, defaultTopology)
}

// topology is what the settings of a world describe: the zone of each controller, the zones of the
// cloud, and the teams.
type topology struct {
	controllers, zones []string
	teams              string
}

var defaultTopology = topology{controllers: []string{"a", "a", "b"}, zones: []string{"a", "b"},
	teams: `{"name":"red","cpus":16,"cpus_max":32},{"name":"blue","cpus":8,"cpus_max":16}`}

// newWorldWithTopology creates a world of another topology than the default one.
func newWorldWithTopology(t testing.TB, seed uint64, operator []byte, shape topology) *world {
	t.Helper()
	w := &world{topology: shape, t: t, effects: newEffectRecorder(t), queue: &emulator.EventQueue{}, rng: rand.New(rand.NewPCG(seed, 1)), specs: map[string]map[string]any{},
		copies: map[string][][]byte{}, finished: map[string]bool{},
		lastReplies: map[string]protocol.JobState{}, lastReplyAt: map[string]time.Duration{}, cancelledAt: map[string]time.Duration{}, checker: newChecker(), heartbeatTimeout: 4 * time.Second,
		runs: func(string) time.Duration { return 30 * time.Second }}
	limits := testSite.state
	w.state = emulator.NewStateService(w.queue, emulator.StateLimits{ValueBytes: limits.valueKB << 10, Changes: limits.changes})
	w.state.MaxChanges, w.state.Violation = limits.changes, func(what string) { w.violated("%s", what) }
	w.newCloud()
	w.newMachines()
	for i := range shape.controllers {
		w.cfgs = append(w.cfgs, testConfig(t, shape, i, operator))
		w.nodes = append(w.nodes, &simNode{})
		w.boot(i)
	}
	w.watch()
	return w
}

// Now returns the world's time.
func (w *world) Now() time.Duration { return w.queue.Now() }

func (w *world) at(d time.Duration, do func()) { w.queue.After(d, do) }

func (w *world) run(d time.Duration) { w.queue.RunUntil(w.Now() + d) }

// until runs the world until a condition holds, and fails the test after the limit.
func (w *world) until(limit time.Duration, what string, holds func() bool) {
	w.t.Helper()
	end := w.Now() + limit
	for !holds() {
		if w.Now() >= end {
			w.t.Fatalf("after %v: still not: %s", limit, what)
		}
		w.run(tick)
	}
}

func (w *world) violated(format string, args ...any) {
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, args...))
	}
}

func (w *world) requireNoViolations() {
	w.t.Helper()
	for _, b := range w.violations {
		w.t.Error(b)
	}
}

// --- controllers

func (w *world) boot(i int) {
	n := w.nodes[i]
	n.alive, n.incarnation, n.startedAt, n.scripted = true, n.incarnation+1, w.Now(), nil
	n.paused, n.held = false, nil
	incarnation := n.incarnation
	n.waiters = map[uint64]func(Reply){}
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
	var beat func()
	beat = func() {
		if n.alive && n.incarnation == incarnation {
			if !n.paused {
				w.feed(i, Tick{})
			}
			w.at(tick, beat)
		}
	}
	w.at(time.Duration(i)*time.Millisecond, beat)
}

func (w *world) crash(i int) { w.nodes[i].alive = false }

func (w *world) feed(i int, ev Event) {
	n := w.nodes[i]
	if n.paused {
		incarnation := n.incarnation
		n.held = append(n.held, func() {
			if n.alive && n.incarnation == incarnation {
				w.feed(i, ev)
			}
		})
		return
	}
	steady := time.Duration(float64(w.Now()-n.startedAt) * (1 + n.drift))
	effects := n.controller.Handle(Clock{Steady: steady, Wall: 1_700_000_000_000 + w.Now().Milliseconds()}, ev)
	w.effects.record(w, i, effects)
	if l := n.controller.leadership; l != nil && l.loader.ready {
		w.checkSchedulerCache(l)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Reply:
			if f := n.waiters[e.ID]; f != nil {
				delete(n.waiters, e.ID)
				f(e)
			}
		case Call:
			w.deliver(i, e)
		default:
			w.t.Errorf("an effect of an unknown type: %T", e)
		}
	}
}

// ask sends a request to a node; the answer may be none (status 0).
func (w *world) ask(i int, req Request, then func(Reply)) {
	n := w.nodes[i]
	if !n.alive && n.scripted != nil {
		answer := n.scripted(req)
		w.at(latency, func() { then(answer) })
		return
	}
	if !n.alive {
		then(Reply{})
		return
	}
	n.last++
	req.ID = n.last
	incarnation, done := n.incarnation, false
	n.waiters[req.ID] = func(r Reply) { done = true; then(r) }
	w.feed(i, req)
	w.at(5*time.Second, func() {
		if !done && n.incarnation == incarnation {
			delete(n.waiters, req.ID)
		}
		if !done {
			done = true
			then(Reply{})
		}
	})
}

func (w *world) deliver(i int, c Call) {
	incarnation, answered := w.nodes[i].incarnation, false
	result := func(status int, body []byte) {
		if answered || w.nodes[i].incarnation != incarnation || !w.nodes[i].alive {
			return
		}
		answered = true
		if w.nodes[i].withoutGate {
			body = olderAnswer(c, body)
		}
		w.feed(i, Result{ID: c.ID, Status: status, Body: body, ConnectionFailed: status == 0 && w.unreachable[c.Addr]})
	}
	if w.nodes[i].withoutGate {
		c = olderCall(c)
	}
	var f deliveryFault
	if w.script != nil {
		f = w.script(i, c)
	}
	w.at(c.Timeout, func() { result(0, nil) })
	if f.refused {
		w.at(latency, func() {
			if !answered && w.nodes[i].incarnation == incarnation && w.nodes[i].alive {
				answered = true
				w.feed(i, Result{ID: c.ID, ConnectionFailed: true})
			}
		})
		return
	}
	if f.lost {
		return
	}
	w.at(latency+f.hold, func() {
		reply := func(status int, body []byte) {
			if !f.answerLost {
				w.at(latency, func() { result(status, body) })
			}
		}
		w.serve(i, c, reply)
	})
}

// serve has the target of a node's call answer it.
func (w *world) serve(i int, c Call, reply func(status int, body []byte)) {
	switch c.Target {
	case ToState:
		w.state.Serve(i, c.Method, c.Path, c.Body, reply)
	case ToCloud:
		reply(w.cloud.Serve(c.Method, c.Path, c.Body))
	case ToWorker:
		if worker := w.byAddr(c.Addr); worker != nil && worker.Reachable() {
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

// serveAsPeer has a node answer a call of another controller.
func (w *world) serveAsPeer(k int, c Call, reply func(status int, body []byte)) {
	n := w.nodes[k]
	if c.Path == probePath && n.older {
		if n.alive {
			reply(http.StatusNotFound, nil)
		}
		return
	}
	op := map[string]Op{"/relay": OpRelay, "/heartbeat": OpPeerHeartbeat, "/forward": OpForwardedHeartbeat, probePath: OpProbe}[c.Path]
	w.ask(k, Request{Op: op, Body: c.Body}, func(r Reply) {
		if r.Status == 0 {
			return
		}
		if n.withoutGate {
			r.Body = olderReply(c, r.Body)
		}
		reply(r.Status, r.Body)
	})
}

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

func (w *world) awaitLeader() int {
	w.t.Helper()
	w.until(30*time.Second, "a leader", func() bool { return w.leader() >= 0 })
	return w.leader()
}

// --- users

func (w *world) spec(uid string, change map[string]any) map[string]any {
	m := map[string]any{"uid": uid, "tier": "jobs", "owner": "red", "shape": "batch", "rank": "normal", "shards": 1,
		"cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "bundle": "img", "sizeGb": 1.0, "flavours": nil, "yard": nil,
		"together": false, "apart": false, "borrowed": false, "expectS": 30.0, "saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil}
	maps.Copy(m, change)
	w.specs[uid] = m
	return m
}

// user sends one request and records the answer.
func (w *world) user(node int, op Op, uid string, then func(int, protocol.JobStatus)) {
	req := Request{Op: op, UID: uid}
	if op == OpSubmit {
		req.Body = protocol.Encode(w.specs[uid])
	}
	if op == OpCancel {
		w.cancelRequested[uid] = true
	}
	sent := w.Now()
	w.ask(node, req, func(r Reply) {
		var s protocol.JobStatus
		if r.Status == http.StatusOK || r.Status == http.StatusCreated {
			if err := protocol.Decode(r.Body, &s); err != nil {
				w.violated("an answer can't be read: %v", err)
			}
			w.recordStatus(uid, s, sent)
			w.startPolling(uid)
		}
		w.checkAnswer(op, uid, r.Status)
		if r.Status == http.StatusNotFound && w.lastReplies[uid] != "" {
			w.violated("forgotten: %s", uid)
		}
		if (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests) && r.RetryAfter == 0 {
			w.violated("%d without Retry-After", r.Status)
		}
		if then != nil {
			then(r.Status, s)
		}
	})
}

// recordStatus checks and records the status that a user got in answer to a request that was sent
// at a time. A poll that was in flight while the user got another answer may be answered with the
// earlier state: the leader answered it first, and its answer took longer.
func (w *world) recordStatus(uid string, s protocol.JobStatus, sent time.Duration) {
	before := w.lastReplies[uid]
	if s.State != before && sent < w.lastReplyAt[uid] {
		return
	}
	if (before == protocol.JobDone || before == protocol.JobCancelled) && s.State != before {
		w.violated("went_back: %s was %s, now %s", uid, before, s.State)
	}
	if s.State == protocol.JobDone {
		n := w.specs[uid]["shards"].(int)
		for k := range n {
			if !w.finished[uid+"/"+strconv.Itoa(k)] {
				w.violated("not_done: %s/%d", uid, k)
			}
		}
	}
	if s.State == protocol.JobCancelled && before != s.State {
		w.cancelledAt[uid] = w.Now()
		if !w.cancelRequested[uid] {
			w.violated("went_back: %s is called cancelled, and nobody asked for it", uid)
		}
	}
	if s.State != before {
		w.lastReplyAt[uid] = w.Now()
	}
	w.lastReplies[uid] = s.State
}

// persist repeats a request at the nodes in turn until an answer satisfies ok, as users do.
func (w *world) persist(op Op, uid string, ok func(int, protocol.JobStatus) bool) {
	node := 0
	var again func()
	again = func() {
		node++
		w.user(node%len(w.nodes), op, uid, func(status int, s protocol.JobStatus) {
			if !ok(status, s) {
				w.at(time.Second, again)
			}
		})
	}
	again()
}

func (w *world) submit(uid string, change map[string]any) {
	w.spec(uid, change)
	w.persist(OpSubmit, uid, func(s int, _ protocol.JobStatus) bool { return s == http.StatusOK || s == http.StatusCreated })
}

func (w *world) cancel(uid string) {
	w.persist(OpCancel, uid, func(s int, _ protocol.JobStatus) bool { return s == http.StatusOK })
}

func (w *world) awaitStatus(limit time.Duration, uid string, state protocol.JobState) {
	w.t.Helper()
	n := 0
	w.until(limit, uid+" is answered "+string(state), func() bool {
		if n++; n%20 == 1 {
			w.user(n/20%len(w.nodes), OpPoll, uid, nil)
		}
		return w.lastReplies[uid] == state
	})
}
