package scalerun

import (
	"slices"
	"time"
)

// The load balancer of the protocol: health checks, and the assignment of connections.
const (
	// failuresToRemove failed checks in a row, or failuresOfRecent among the last recentChecks, make a controller
	// unhealthy; successesToReturn in a row make it healthy again.
	failuresToRemove  = 2
	failuresOfRecent  = 3
	recentChecks      = 6
	successesToReturn = 2
	// A removed controller stays unhealthy for minRemoval, doubled for each further removal within removalMemory, up to
	// maxRemoval.
	minRemoval    = 3 * time.Second
	maxRemoval    = time.Minute
	removalMemory = 2 * time.Minute
	// raiseTime is the time in which a controller that becomes healthy is raised to its share of new connections.
	raiseTime = 10 * time.Second
	minRaise  = 0.1
	// resetAfter is how long a controller must be unhealthy until its open connections are reset.
	resetAfter = 5 * time.Second
	// maxConnectAttempts controllers are tried for a connection. One that has failed skipAfterFailures connections in a
	// row is skipped for skipTime.
	maxConnectAttempts = 3
	skipAfterFailures  = 3
	skipTime           = 3 * time.Second
)

// controllerHealth is what the load balancer knows of a controller. Times are those of the event queue.
type controllerHealth struct {
	healthy      bool
	everHealthy  bool
	changedAt    time.Duration   // when healthy last changed
	recent       []bool          // results of the last checks, oldest first
	removals     []time.Duration // within removalMemory
	returnableAt time.Duration   // not healthy before this time

	connectFailures int // in a row
	skippedUntil    time.Duration
	connections     int // open users' connections
}

// record records the result of a health check.
func (h *controllerHealth) record(now time.Duration, passed bool) {
	h.recent = append(h.recent, passed)
	if len(h.recent) > recentChecks {
		h.recent = h.recent[1:]
	}
	switch {
	case h.healthy && (h.lastAre(false, failuresToRemove) || h.failures() >= failuresOfRecent):
		h.remove(now)
	case !h.healthy && !h.everHealthy && passed:
		h.admit(now)
	case !h.healthy && now >= h.returnableAt && h.lastAre(true, successesToReturn):
		h.admit(now)
	}
}

// lastAre reports whether the last n checks had a result.
func (h *controllerHealth) lastAre(passed bool, n int) bool {
	if len(h.recent) < n {
		return false
	}
	for _, result := range h.recent[len(h.recent)-n:] {
		if result != passed {
			return false
		}
	}
	return true
}

// failures returns the number of failed checks among the recent ones.
func (h *controllerHealth) failures() int {
	count := 0
	for _, passed := range h.recent {
		if !passed {
			count++
		}
	}
	return count
}

// remove makes the controller unhealthy.
func (h *controllerHealth) remove(now time.Duration) {
	h.healthy, h.changedAt = false, now
	for len(h.removals) > 0 && now-h.removals[0] > removalMemory {
		h.removals = h.removals[1:]
	}
	pause := min(maxRemoval, minRemoval<<len(h.removals))
	h.removals = append(h.removals, now)
	h.returnableAt = now + pause
}

// admit makes the controller healthy.
func (h *controllerHealth) admit(now time.Duration) {
	h.healthy, h.everHealthy, h.changedAt = true, true, now
	h.recent, h.connectFailures = nil, 0
}

// weight returns the share of new connections that the controller gets, from 0 to 1.
func (h *controllerHealth) weight(now time.Duration) float64 {
	if !h.healthy || now < h.skippedUntil {
		return 0
	}
	if len(h.removals) == 0 {
		return 1 // it has not been removed, or long ago
	}
	return max(minRaise, min(1, (now-h.changedAt).Seconds()/raiseTime.Seconds()))
}

// connected records the result of a connection attempt.
func (h *controllerHealth) connected(now time.Duration, ok bool) {
	if ok {
		h.connectFailures = 0
		return
	}
	if h.connectFailures++; h.connectFailures >= skipAfterFailures {
		h.connectFailures, h.skippedUntil = 0, now+skipTime
	}
}

// loadBalancer assigns users' connections to controllers as the protocol describes it. Each job's user has one
// connection, which stays where it is until it breaks or is reset. It must be used on the event loop only.
type loadBalancer struct {
	now         func() time.Duration
	controllers []*controller
	health      map[*controller]*controllerHealth
	assigned    map[string]*controller // by job
	// noController counts the requests for which no controller was healthy.
	noController int64
}

func newLoadBalancer(now func() time.Duration, controllers []*controller) *loadBalancer {
	b := &loadBalancer{now: now, controllers: controllers, health: map[*controller]*controllerHealth{}, assigned: map[string]*controller{}}
	for _, c := range controllers {
		b.health[c] = &controllerHealth{}
	}
	return b
}

// checked records the result of a health check, and resets the connections of a controller that is unhealthy for too
// long. It returns whether the controller is healthy.
func (b *loadBalancer) checked(c *controller, passed bool) bool {
	health := b.health[c]
	health.record(b.now(), passed)
	if !health.healthy && health.connections > 0 && b.now() >= health.changedAt+resetAfter {
		b.reset(c)
	}
	return health.healthy
}

// reset closes all users' connections to a controller.
func (b *loadBalancer) reset(c *controller) {
	for uid, assigned := range b.assigned {
		if assigned == c {
			delete(b.assigned, uid)
		}
	}
	b.health[c].connections = 0
}

// route returns the controller that a job's user is connected to. For a user without a connection it chooses one,
// except those in tried. It returns nil if none is healthy.
func (b *loadBalancer) route(uid string, tried []*controller) *controller {
	if c := b.assigned[uid]; c != nil {
		return c
	}
	var best *controller
	bestLoad := 0.0
	for _, c := range b.controllers {
		health := b.health[c]
		weight := health.weight(b.now())
		if weight == 0 || slices.Contains(tried, c) {
			continue
		}
		if load := float64(health.connections+1) / weight; best == nil || load < bestLoad {
			best, bestLoad = c, load
		}
	}
	if best == nil {
		b.noController++
		return nil
	}
	b.assigned[uid] = best
	b.health[best].connections++
	return best
}

// answered records the end of a request: a user whose request got no answer connects anew.
func (b *loadBalancer) answered(uid string, c *controller, connected, answered bool) {
	b.health[c].connected(b.now(), connected)
	if !answered {
		b.forget(uid, c)
	}
}

// forget closes a user's connection to a controller.
func (b *loadBalancer) forget(uid string, c *controller) {
	if b.assigned[uid] == c {
		delete(b.assigned, uid)
		b.health[c].connections--
	}
}
