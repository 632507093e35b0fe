package transport

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// slowCore is a core that takes a fixed time for each kind of event, and answers every request.
type slowCore struct {
	requestCost map[controller.Op]time.Duration
	resultCost  time.Duration
	tickCost    time.Duration

	mu sync.Mutex
	// lastTickAt is when the last tick began, and longestTickGap the longest time between two.
	lastTickAt     time.Time
	longestTickGap time.Duration
	// stallFor is how long the next request takes longer.
	stallFor time.Duration
	handled  map[controller.Op]int
}

// stall makes the next request take longer.
func (c *slowCore) stall(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stallFor = duration
}

// count returns how many requests of an operation the core has received.
func (c *slowCore) count(op controller.Op) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handled[op]
}

// countTick measures the time since the last tick.
func (c *slowCore) countTick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastTickAt.IsZero() {
		c.longestTickGap = max(c.longestTickGap, time.Since(c.lastTickAt))
	}
	c.lastTickAt = time.Now()
}

// tickGap returns the longest time between two ticks.
func (c *slowCore) tickGap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestTickGap
}

// begin counts a request and returns how long it takes.
func (c *slowCore) begin(op controller.Op) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled[op]++
	duration := c.requestCost[op] + c.stallFor
	c.stallFor = 0
	return duration
}

func (c *slowCore) Handle(_ controller.Clock, event controller.Event) []controller.Effect {
	switch event := event.(type) {
	case controller.Request:
		time.Sleep(c.begin(event.Op))
		return []controller.Effect{controller.Reply{ID: event.ID, Status: http.StatusOK}}
	case controller.Result:
		time.Sleep(c.resultCost)
	case controller.Tick:
		c.countTick()
		time.Sleep(c.tickCost)
	}
	return nil
}

// overloadWorld is a server with a slow core, workers, users and a load balancer, in simulated time.
type overloadWorld struct {
	t       *testing.T
	server  *Server
	core    *slowCore
	clients http.Handler
	peers   http.Handler
	random  *rand.Rand
	ctx     context.Context
}

// Settings of an overloadWorld.
const (
	overloadLease      = 10 * time.Second
	overloadSockets    = 600
	overloadHeartbeatS = 1
	overloadSeed       = 1
)

// Timeouts of the clients, by the protocol.
const (
	questionTimeout  = 2 * time.Second
	readinessTimeout = time.Second
	reportTimeout    = 4 * time.Second
)

// runOverload runs a function with a world in a bubble of simulated time.
func runOverload(t *testing.T, core *slowCore, play func(*overloadWorld)) {
	synctest.Test(t, func(t *testing.T) {
		cfg := &config.Config{}
		cfg.Cluster.Workers = config.Workers{HeartbeatS: overloadHeartbeatS, LeaseS: overloadLease.Seconds(), CancelS: 35}
		cfg.Cluster.Resources.FDs = overloadSockets
		cfg.Cluster.Resources.Cores = 1
		cfg.Cluster.State.RPS = 1000
		core.handled = map[controller.Op]int{}
		ctx, cancel := context.WithCancel(t.Context())
		server := New(cfg, core, slog.New(slog.DiscardHandler))
		w := &overloadWorld{t: t, server: server, core: core, clients: server.clientRoutes(), peers: server.peerRoutes(),
			random: rand.New(rand.NewPCG(overloadSeed, 0)), ctx: ctx}
		server.queue.onViolation = func(violation AdmissionViolation) { t.Errorf("violated: %+v", violation) }
		loopEnded := make(chan struct{})
		go server.runEventLoop(ctx, ctx, loopEnded)
		play(w)
		cancel()
		<-loopEnded
	})
}

// request sends a request and reports whether it was answered with 200 within the client's timeout.
func (w *overloadWorld) request(handler http.Handler, method, path string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	recorder := httptest.NewRecorder()
	recorder.Code = 0
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, path, nil))
	return recorder.Code == http.StatusOK && ctx.Err() == nil
}

// tally counts the requests of one client.
type tally struct {
	mu             sync.Mutex
	sent, answered int
	lastAnsweredAt time.Time
	longestGap     time.Duration
}

func (a *tally) record(ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent++
	if !ok {
		return
	}
	a.answered++
	a.longestGap = max(a.longestGap, time.Since(a.lastAnsweredAt))
	a.lastAnsweredAt = time.Now()
}

// client describes a client that repeats one request.
type client struct {
	handler      http.Handler
	method, path string
	timeout      time.Duration
	period       time.Duration
	// retryAfter is the pause after a request without a 200; 0: the period.
	retryAfter time.Duration
}

// start starts a number of equal clients until stop is closed, each at a random phase of its period.
func (w *overloadWorld) start(count int, c client, stop <-chan struct{}) []*tally {
	tallies := make([]*tally, count)
	for i := range tallies {
		tallies[i] = &tally{lastAnsweredAt: time.Now()}
		phase := time.Duration(w.random.Int64N(int64(c.period)))
		go w.repeat(c, tallies[i], phase, stop)
	}
	return tallies
}

func (w *overloadWorld) repeat(c client, counts *tally, phase time.Duration, stop <-chan struct{}) {
	pause := phase
	for {
		select {
		case <-stop:
			return
		case <-w.ctx.Done():
			return
		case <-time.After(pause):
		}
		ok := w.request(c.handler, c.method, c.path, c.timeout)
		counts.record(ok)
		pause = c.period
		if !ok && c.retryAfter > 0 {
			pause = c.retryAfter
		}
	}
}

// share returns the share of the clients' requests that were answered in time.
func share(tallies []*tally) float64 {
	sent, answered := 0, 0
	for _, counts := range tallies {
		counts.mu.Lock()
		sent += counts.sent
		answered += counts.answered
		counts.mu.Unlock()
	}
	return float64(answered) / float64(max(1, sent))
}

// reset forgets what was counted so far.
func reset(tallies []*tally) {
	for _, counts := range tallies {
		counts.mu.Lock()
		counts.sent, counts.answered, counts.longestGap, counts.lastAnsweredAt = 0, 0, 0, time.Now()
		counts.mu.Unlock()
	}
}

// longestSilence returns the longest time that one of the clients was without an answer.
func longestSilence(tallies []*tally) time.Duration {
	longest := time.Duration(0)
	for _, counts := range tallies {
		counts.mu.Lock()
		longest = max(longest, counts.longestGap, time.Since(counts.lastAnsweredAt))
		counts.mu.Unlock()
	}
	return longest
}

func (w *overloadWorld) question() client {
	return client{handler: w.clients, method: http.MethodGet, path: "/api/jobs/j-1", timeout: questionTimeout, period: 5 * time.Second}
}

func (w *overloadWorld) readiness() client {
	return client{handler: w.clients, method: http.MethodGet, path: "/ready", timeout: readinessTimeout, period: time.Second}
}

func (w *overloadWorld) report() client {
	return client{handler: w.clients, method: http.MethodPost, path: "/hello", timeout: reportTimeout,
		period: overloadHeartbeatS * time.Second, retryAfter: time.Second}
}

// While workers' heartbeats alone exceed the capacity, questions and readiness checks still get their share.
func TestHeartbeatOverloadDoesNotStarveQuestionsAndReadiness(t *testing.T) {
	core := &slowCore{requestCost: map[controller.Op]time.Duration{controller.OpWorkerHeartbeat: 10 * time.Millisecond, controller.OpPoll: 2 * time.Millisecond}}
	runOverload(t, core, func(w *overloadWorld) {
		stopOverload, stop := make(chan struct{}), make(chan struct{})
		users := w.start(20, w.question(), stop)
		loadBalancer := w.start(1, w.readiness(), stop)
		w.start(60, w.report(), stop)
		w.start(140, w.report(), stopOverload)
		time.Sleep(time.Minute)
		if got := share(users); got < 0.9 {
			t.Errorf("during the overload by heartbeats %.0f%% of the questions were answered within 2 s, want 90%%", 100*got)
		}
		if got := share(loadBalancer); got < 1 {
			t.Errorf("during the overload by heartbeats %.0f%% of the readiness checks were answered within 1 s, want all", 100*got)
		}
		close(stopOverload)
		time.Sleep(5 * time.Second)
		reset(users)
		time.Sleep(30 * time.Second)
		if got := share(users); got < 1 {
			t.Errorf("after the overload %.0f%% of the questions were answered within 2 s, want all", 100*got)
		}
		close(stop)
		time.Sleep(10 * time.Second)
	})
}

// After a stall, users who repeat their requests do not keep the server busy with requests that they gave up.
func TestRequestsGivenUpByUsersDoNotKeepOthersUnanswered(t *testing.T) {
	core := &slowCore{requestCost: map[controller.Op]time.Duration{controller.OpPoll: 20 * time.Millisecond}}
	runOverload(t, core, func(w *overloadWorld) {
		stop := make(chan struct{})
		impatient := w.question()
		impatient.retryAfter = time.Second
		users := w.start(220, impatient, stop) // 44 questions a second while they are answered, of 50 that the core can do
		time.Sleep(20 * time.Second)
		if got := share(users); got < 1 {
			t.Fatalf("before the stall %.0f%% of the questions were answered within 2 s, want all", 100*got)
		}
		core.stall(10 * time.Second)
		time.Sleep(30 * time.Second)
		reset(users)
		time.Sleep(75 * time.Second)
		if got := longestSilence(users); got >= 60*time.Second {
			t.Errorf("a user got no answer for %s from 20 s after the stall on", got)
		}
		if got := share(users); got < 0.5 {
			t.Errorf("from 20 s after the stall on, %.0f%% of the questions were answered within 2 s, want half", 100*got)
		}
		close(stop)
		time.Sleep(10 * time.Second)
	})
}

// An overload by users and other controllers' users delays neither the renewal of the leader's lease nor the answers
// that workers need to keep theirs, although the workers' heartbeats alone take all of the core's time.
func TestUserOverloadCostsNeitherLeadershipNorWorkersLeases(t *testing.T) {
	core := &slowCore{resultCost: time.Millisecond, tickCost: 20 * time.Millisecond, requestCost: map[controller.Op]time.Duration{
		controller.OpWorkerHeartbeat: 10 * time.Millisecond, controller.OpPoll: 5 * time.Millisecond,
		controller.OpSubmit: 20 * time.Millisecond, controller.OpRelay: 5 * time.Millisecond}}
	runOverload(t, core, func(w *overloadWorld) {
		stop := make(chan struct{})
		workers := w.start(100, w.report(), stop) // one heartbeat a second each, of 10 ms
		loadBalancer := w.start(1, w.readiness(), stop)
		followers := w.start(4, client{handler: w.peers, method: http.MethodPost, path: "/heartbeat", timeout: overloadLease / 10,
			period: 500 * time.Millisecond}, stop)
		impatient := w.question()
		impatient.period, impatient.retryAfter = 500*time.Millisecond, 100*time.Millisecond
		w.start(300, impatient, stop)
		impatient.method, impatient.path = http.MethodPost, "/api/jobs"
		w.start(100, impatient, stop)
		impatient.handler, impatient.path = w.peers, "/relay"
		w.start(300, impatient, stop)
		longestRenewal := w.renewLease(time.Minute)
		if got := longestSilence(workers); got > overloadLease/2 {
			t.Errorf("a worker got no answer for %s, want half of its lease of %s at the most", got, overloadLease)
		}
		if got := share(loadBalancer); got < 1 {
			t.Errorf("%.0f%% of the readiness checks were answered within 1 s, want all", 100*got)
		}
		if got := share(followers); got < 1 {
			t.Errorf("%.0f%% of the other controllers' heartbeats were answered in time, want all", 100*got)
		}
		w.checkRenewals(longestRenewal)
		close(stop)
		time.Sleep(10 * time.Second)
	})
}

// An overload by workers, with their heartbeats and their responses, does not delay the renewal of the leader's lease.
func TestWorkerOverloadDoesNotCostTheLeadership(t *testing.T) {
	core := &slowCore{resultCost: time.Millisecond, tickCost: 20 * time.Millisecond, requestCost: map[controller.Op]time.Duration{
		controller.OpWorkerHeartbeat: 10 * time.Millisecond}}
	runOverload(t, core, func(w *overloadWorld) {
		stop := make(chan struct{})
		w.start(200, w.report(), stop) // twice the core's time
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond): // responses of workers take all of the core's time once more
					w.server.queue.add(&queuedEvent{class: classWorkerResult, event: controller.Result{}, arrivedAt: w.server.now().Monotonic})
				}
			}
		}()
		w.checkRenewals(w.renewLease(20 * time.Second))
		close(stop)
		time.Sleep(10 * time.Second)
	})
}

// checkRenewals checks that the ticks, which renew the leader's lease, and the state service's answers to that came in
// time. The lease is renewed five times while it lasts.
func (w *overloadWorld) checkRenewals(longestAnswer time.Duration) {
	limit := w.server.cfg.LeaderLease() / 5
	if longestAnswer > limit {
		w.t.Errorf("the state service's answer waited for %s, want %s at the most", longestAnswer, limit)
	}
	if got := w.core.tickGap(); got > limit {
		w.t.Errorf("%s passed between two ticks, want %s at the most", got, limit)
	}
}

// renewLease delivers an answer of the state service each tick for a time, and returns the longest wait of one.
func (w *overloadWorld) renewLease(duration time.Duration) time.Duration {
	longest := time.Duration(0)
	for began := time.Now(); time.Since(began) < duration; time.Sleep(w.server.cfg.TickInterval()) {
		w.server.queue.add(&queuedEvent{class: classStateResult, event: controller.Result{}, arrivedAt: w.server.now().Monotonic})
		stats, _ := w.server.queue.takeStats()
		longest = max(longest, stats[classStateResult].longestWait)
	}
	return longest
}

// A request whose client has gone is not handed to the core.
func TestRequestOfADisconnectedClientIsNotServed(t *testing.T) {
	core := &slowCore{requestCost: map[controller.Op]time.Duration{controller.OpWorkerHeartbeat: time.Second}}
	runOverload(t, core, func(w *overloadWorld) {
		go w.request(w.clients, http.MethodPost, "/hello", reportTimeout) // keeps the core busy
		time.Sleep(time.Millisecond)
		if w.request(w.clients, http.MethodGet, "/api/jobs/j-1", 100*time.Millisecond) {
			t.Error("a question was answered while the core was busy")
		}
		time.Sleep(5 * time.Second)
		if core.count(controller.OpPoll) != 0 {
			t.Error("the core received a question that its user had given up")
		}
	})
}

// A request that has waited for too long is refused while its client still listens.
func TestExpiredRequestIsRefusedBeforeItsClientGivesUp(t *testing.T) {
	core := &slowCore{requestCost: map[controller.Op]time.Duration{controller.OpWorkerHeartbeat: 10 * time.Second}}
	runOverload(t, core, func(w *overloadWorld) {
		go w.request(w.clients, http.MethodPost, "/hello", reportTimeout) // keeps the core busy
		time.Sleep(time.Millisecond)
		recorder := httptest.NewRecorder()
		began := time.Now()
		w.clients.ServeHTTP(recorder, httptest.NewRequestWithContext(w.ctx, http.MethodGet, "/api/jobs/j-1", nil))
		if waited := time.Since(began); recorder.Code != http.StatusServiceUnavailable || waited >= questionTimeout {
			t.Errorf("status %d after %s, want 503 within %s", recorder.Code, waited, questionTimeout)
		}
		time.Sleep(10 * time.Second)
	})
}

// A request that the core has received is answered, also if that takes longer than the request might have waited for it.
func TestRequestInTheCoreIsStillAnswered(t *testing.T) {
	core := &slowCore{requestCost: map[controller.Op]time.Duration{controller.OpPoll: 1900 * time.Millisecond}}
	runOverload(t, core, func(w *overloadWorld) {
		if !w.request(w.clients, http.MethodGet, "/api/jobs/j-1", questionTimeout) {
			t.Error("a question that the core answered within the user's timeout got another answer")
		}
	})
}
