package membership

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"claybarrow/internal/emulator"
)

// simulation runs detectors and the network between them on simulated time. A test replaces the functions
// to inject faults.
type simulation struct {
	events *emulator.EventQueue
	now    time.Duration
	random *rand.Rand
	nodes  map[string]*node
	labels []string
	// dropMessage reports whether a message is lost.
	dropMessage func(from, to string) bool
	// delay is the latency of a message.
	delay func(from, to string) time.Duration
	// onChange is called for each change of state.
	onChange func(at time.Duration, by string, change StateChange)
	bytes    map[string]int // bodies sent, by label
	sent     map[string]int // requests sent, by label
}

// node is a controller: its detector, and the process and network around it.
type node struct {
	label         string
	detector      *Detector
	up            bool
	paused        bool
	withoutProbes bool     // its version answers probes with 404
	deferred      []func() // what came while it was paused
	generation    int      // counts its processes
	clockOffset   time.Duration
	drift         float64 // of the monotonic clock, as a share
	drops         map[DropReason]int
	waiting       map[uint64]func(int, []byte) // probes not answered yet, by request
	request       uint64
}

const (
	testLease = 1500 * time.Millisecond // the leader's lease, of which config derives the settings
	testTick  = testLease / 15
	testWall  = int64(1_700_000_000_000)
)

func testSettings(self string, labels []string) Settings {
	s := Settings{Self: self, ProbeInterval: testLease / 5, ProbeTimeout: testLease / 10, SuspicionTimeout: 2 * testLease, SuspicionFactor: 3,
		RejoinDelay: 20 * time.Second, PauseThreshold: testLease * 3 / 10, ClockError: 25 * time.Millisecond}
	for _, l := range labels {
		if l != self {
			s.Peers = append(s.Peers, l)
		}
	}
	return s
}

// newSimulation starts n controllers, n00 and up.
func newSimulation(seed uint64, n int) *simulation {
	sim := &simulation{
		events: &emulator.EventQueue{}, random: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, bytes: map[string]int{}, sent: map[string]int{},
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

// after runs something after a time.
func (s *simulation) after(d time.Duration, do func()) {
	s.events.After(d, func() {
		s.now = s.events.Now()
		do()
	})
}

// run lets simulated time pass.
func (s *simulation) run(d time.Duration) {
	s.events.RunUntil(s.now + d)
	s.now = s.events.Now()
}

func (s *simulation) clock(n *node) Clock {
	drifted := time.Duration(float64(s.now) * (1 + n.drift))
	return Clock{Monotonic: drifted, Wall: testWall + (s.now + n.clockOffset).Milliseconds()}
}

// start starts a new process of a controller, and its ticks.
func (s *simulation) start(label string) {
	n := s.nodes[label]
	n.generation++
	n.up, n.paused, n.deferred = true, false, nil
	n.drops, n.waiting = map[DropReason]int{}, map[uint64]func(int, []byte){}
	n.detector = New(testSettings(label, s.labels), rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation || !n.up {
			return
		}
		if !n.paused && !n.withoutProbes {
			s.apply(n, n.detector.Tick(s.clock(n)))
		}
		s.after(testTick, tick)
	}
	s.after(time.Duration(s.random.Int64N(int64(testTick))), tick)
}

// crash ends the process without a word to its peers.
func (n *node) crash() { n.up = false }

// pause has a controller handle nothing for a while; what comes meanwhile is handled after it.
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
		for _, do := range deferred {
			do()
		}
	})
}

// handle runs something at a node, after its pause if it is paused, and not at all if the process ended.
func (s *simulation) handle(n *node, generation int, do func()) {
	switch {
	case !n.up || n.generation != generation:
	case n.paused:
		n.deferred = append(n.deferred, do)
	default:
		do()
	}
}

// apply carries out a detector's actions.
func (s *simulation) apply(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(n, a)
		case Respond:
			if answer := n.waiting[a.Request]; answer != nil {
				delete(n.waiting, a.Request)
				answer(a.Status, a.Body)
			}
		case StateChange:
			s.onChange(s.now, n.label, a)
		case DroppedMessage:
			n.drops[a.Reason]++
		}
	}
}

// send delivers a request and its response, or the timeout.
func (s *simulation) send(n *node, request Send) {
	s.sent[n.label]++
	s.bytes[n.label] += len(request.Body)
	generation, answered := n.generation, false
	result := func(status int, body []byte) {
		s.handle(n, generation, func() {
			if !answered {
				answered = true
				s.apply(n, n.detector.HandleResponse(s.clock(n), request.ID, Response{status, body}))
			}
		})
	}
	s.after(request.Timeout, func() { result(0, nil) })
	if s.dropMessage(n.label, request.To) {
		return
	}
	to := s.nodes[request.To]
	s.after(s.delay(n.label, request.To), func() {
		if !to.up {
			return
		}
		toGeneration := to.generation
		reply := func(status int, body []byte) {
			if s.dropMessage(request.To, n.label) {
				return
			}
			s.bytes[request.To] += len(body)
			s.after(s.delay(request.To, n.label), func() { result(status, body) })
		}
		s.handle(to, toGeneration, func() {
			switch {
			case request.Heartbeat:
				reply(http.StatusOK, nil)
			case to.withoutProbes:
				reply(http.StatusNotFound, nil)
			default:
				to.request++
				to.waiting[to.request] = reply
				s.apply(to, to.detector.HandleProbe(s.clock(to), to.request, request.Body))
			}
		})
	})
}

// state is what one controller holds another one for.
func (s *simulation) state(by, of string) State { return s.nodes[by].detector.StateOf(of) }

// others lists all labels except one.
func (s *simulation) others(except string) []string {
	var out []string
	for _, l := range s.labels {
		if l != except {
			out = append(out, l)
		}
	}
	return out
}
