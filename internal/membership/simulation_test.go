package membership

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"claybarrow/internal/emulator"
)

// simulation runs detectors and the network between them in simulated time. Tests replace the function fields to
// inject faults.
type simulation struct {
	events *emulator.EventQueue
	now    time.Duration
	random *rand.Rand
	nodes  map[string]*node
	labels []string
	// dropMessage reports whether a message is lost.
	dropMessage func(from, to string) bool
	// delay returns the latency of a message.
	delay func(from, to string) time.Duration
	// onChange is called for each state change.
	onChange     func(at time.Duration, observer string, change StateChange)
	bytesSent    map[string]int // body bytes sent, by label
	requestsSent map[string]int // requests sent, by label
}

// node is a simulated controller: its detector, process and clock.
type node struct {
	label          string
	detector       *Detector
	running        bool
	paused         bool
	withoutProbes  bool     // the controller's version answers probes with 404
	deferred       []func() // events that arrived during a pause
	generation     int      // number of processes started so far
	clockOffset    time.Duration
	drift          float64 // relative drift of the monotonic clock
	drops          map[DropReason]int
	pendingReplies map[uint64]func(int, []byte) // reply functions of unanswered probes, by request ID
	lastRequestID  uint64
}

const (
	testLease = 1500 * time.Millisecond // leader's lease, from which package config derives the settings
	testTick  = testLease / 15
	testWall  = int64(1_700_000_000_000)
)

func testSettings(self string, labels []string) Settings {
	s := Settings{Self: self, ProbeInterval: testLease / 5, ProbeTimeout: testLease / 10, SuspicionTimeout: 2 * testLease, UnconfirmedSuspicionFactor: 3,
		RejoinDelay: 20 * time.Second, PauseThreshold: testLease * 3 / 10, ClockError: 25 * time.Millisecond}
	for _, l := range labels {
		if l != self {
			s.Peers = append(s.Peers, l)
		}
	}
	return s
}

// newSimulation creates a simulation of n controllers, labelled n00, n01 and so on.
func newSimulation(seed uint64, n int) *simulation {
	sim := &simulation{
		events: &emulator.EventQueue{}, random: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, bytesSent: map[string]int{}, requestsSent: map[string]int{},
		dropMessage: func(string, string) bool { return false },
		delay:       func(string, string) time.Duration { return 2 * time.Millisecond },
		onChange:    func(time.Duration, string, StateChange) {},
	}
	for i := range n {
		sim.labels = append(sim.labels, fmt.Sprintf("n%02d", i))
	}
	for _, l := range sim.labels {
		sim.nodes[l] = &node{label: l}
		sim.start(l)
	}
	return sim
}

// after calls run after a duration of simulated time.
func (s *simulation) after(d time.Duration, run func()) {
	s.events.After(d, func() {
		s.now = s.events.Now()
		run()
	})
}

// run advances simulated time.
func (s *simulation) run(d time.Duration) {
	s.events.RunUntil(s.now + d)
	s.now = s.events.Now()
}

func (s *simulation) clock(n *node) Clock {
	drifted := time.Duration(float64(s.now) * (1 + n.drift))
	return Clock{Monotonic: drifted, Wall: testWall + (s.now + n.clockOffset).Milliseconds()}
}

// start starts a new process of a controller, with its own ticks.
func (s *simulation) start(label string) {
	n := s.nodes[label]
	n.generation++
	n.running, n.paused, n.deferred = true, false, nil
	n.drops, n.pendingReplies = map[DropReason]int{}, map[uint64]func(int, []byte){}
	n.detector = New(testSettings(label, s.labels), rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation || !n.running {
			return
		}
		if !n.paused && !n.withoutProbes {
			s.apply(n, n.detector.Tick(s.clock(n)))
		}
		s.after(testTick, tick)
	}
	s.after(time.Duration(s.random.Int64N(int64(testTick))), tick)
}

// crash ends the process without announcing it to the peers.
func (n *node) crash() { n.running = false }

// pause stops a controller from handling events for a duration. Events that arrive during the pause are handled
// at its end.
func (s *simulation) pause(label string, d time.Duration) {
	n := s.nodes[label]
	n.paused = true
	generation := n.generation
	s.after(d, func() {
		if n.generation != generation {
			return
		}
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		s.apply(n, n.detector.Tick(s.clock(n)))
		for _, run := range deferred {
			run()
		}
	})
}

// handle calls run as an event of a process of the node: at the end of the pause if the node is paused, and never
// if the process has ended.
func (s *simulation) handle(n *node, generation int, run func()) {
	switch {
	case !n.running || n.generation != generation:
	case n.paused:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

// apply carries out a detector's actions.
func (s *simulation) apply(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(n, a)
		case Respond:
			if answer := n.pendingReplies[a.Request]; answer != nil {
				delete(n.pendingReplies, a.Request)
				answer(a.Status, a.Body)
			}
		case StateChange:
			s.onChange(s.now, n.label, a)
		case DroppedMessage:
			n.drops[a.Reason]++
		}
	}
}

// send delivers a request and its response, or lets the request time out.
func (s *simulation) send(n *node, request Send) {
	s.requestsSent[n.label]++
	s.bytesSent[n.label] += len(request.Body)
	generation, answered := n.generation, false
	deliverResult := func(status int, body []byte) {
		s.handle(n, generation, func() {
			if !answered {
				answered = true
				s.apply(n, n.detector.HandleResponse(s.clock(n), request.ID, Response{status, body}))
			}
		})
	}
	s.after(request.Timeout, func() { deliverResult(0, nil) })
	if s.dropMessage(n.label, request.To) {
		return
	}
	target := s.nodes[request.To]
	s.after(s.delay(n.label, request.To), func() {
		if !target.running {
			return
		}
		targetGeneration := target.generation
		reply := func(status int, body []byte) {
			if s.dropMessage(request.To, n.label) {
				return
			}
			s.bytesSent[request.To] += len(body)
			s.after(s.delay(request.To, n.label), func() { deliverResult(status, body) })
		}
		s.handle(target, targetGeneration, func() {
			switch {
			case request.Heartbeat:
				reply(http.StatusOK, nil)
			case target.withoutProbes:
				reply(http.StatusNotFound, nil)
			default:
				target.lastRequestID++
				target.pendingReplies[target.lastRequestID] = reply
				s.apply(target, target.detector.HandleProbe(s.clock(target), target.lastRequestID, request.Body))
			}
		})
	})
}

// state returns the state of one controller (subject) in the view of another (observer).
func (s *simulation) state(observer, subject string) State {
	return s.nodes[observer].detector.StateOf(subject)
}

// others lists all labels except the given one.
func (s *simulation) others(except string) []string {
	var labels []string
	for _, l := range s.labels {
		if l != except {
			labels = append(labels, l)
		}
	}
	return labels
}
