package scalerun

import (
	"testing"
	"time"
)

// balancerFixture is a load balancer in front of two controllers, with a clock that the test sets.
type balancerFixture struct {
	*loadBalancer
	time time.Duration
	a, b *controller
}

func newBalancerFixture() *balancerFixture {
	f := &balancerFixture{a: &controller{label: "a"}, b: &controller{label: "b"}}
	f.loadBalancer = newLoadBalancer(func() time.Duration { return f.time }, []*controller{f.a, f.b})
	return f
}

// checks records one health check of a controller a second, "+" for a passed one, and returns whether it is healthy.
func (f *balancerFixture) checks(c *controller, results string) bool {
	healthy := false
	for _, result := range results {
		f.time += time.Second
		healthy = f.checked(c, result == '+')
	}
	return healthy
}

func TestHealthChecksOfTheLoadBalancer(t *testing.T) {
	for _, tc := range []struct {
		name, results string
		healthy       bool
	}{
		{"one success is enough at first", "+", true},
		{"one failure is tolerated", "++-", true},
		{"two failures in a row remove", "++--", false},
		{"three of six remove", "++-+-+-", false},
		{"two of six do not", "++-+-++", true},
		{"two successes return, but not within 3 s", "++--++", false},
		{"two successes return after 3 s", "++--+++", true},
		{"the second pause is 6 s", "++--+++--+++++", false},
		{"and ends", "++--+++--++++++", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newBalancerFixture()
			if got := f.checks(f.a, tc.results); got != tc.healthy {
				t.Errorf("healthy: %v", got)
			}
		})
	}
}

func TestPauseOfTheLoadBalancerIsDoubledUpToAMinute(t *testing.T) {
	h := &controllerHealth{}
	for n, want := range []time.Duration{3, 6, 12, 24, 48, 60, 60} {
		now := time.Duration(n) * time.Second
		h.remove(now)
		if got := h.returnableAt - now; got != want*time.Second {
			t.Errorf("removal %d: pause %s, want %d s", n, got, want)
		}
	}
	now := removalMemory + time.Minute
	h.remove(now)
	if got := h.returnableAt - now; got != minRemoval {
		t.Errorf("two minutes after the others: pause %s", got)
	}
}

func TestConnectionsStayAndAreReset(t *testing.T) {
	f := newBalancerFixture()
	if f.route("j-1", nil) != nil || f.noController != 1 {
		t.Error("a connection without a healthy controller")
	}
	f.checks(f.a, "+")
	first := f.route("j-1", nil)
	f.checks(f.b, "+")
	if first != f.a || f.route("j-1", nil) != f.a {
		t.Error("the connection does not stay at the first controller")
	}
	if got := f.route("j-2", nil); got != f.b {
		t.Errorf("a new connection goes to %s, not to the controller with fewer", got.label)
	}
	if got := f.route("j-3", []*controller{f.a}); got != f.b {
		t.Errorf("a connection that a refused goes to %s", got.label)
	}
	f.answered("j-2", f.b, true, false)
	if f.assigned["j-2"] != nil || f.health[f.b].connections != 1 {
		t.Error("a connection without an answer stays open")
	}
	if f.checks(f.a, "--") || f.assigned["j-1"] != f.a {
		t.Error("the connection of an unhealthy controller is reset at once")
	}
	if f.checks(f.a, "-----"); f.assigned["j-1"] != nil || f.route("j-1", nil) != f.b {
		t.Error("the connection of an unhealthy controller is not reset after 5 s")
	}
}

func TestRefusingControllerIsSkipped(t *testing.T) {
	f := newBalancerFixture()
	f.checks(f.a, "+")
	for range skipAfterFailures {
		f.answered("j-1", f.route("j-1", nil), false, false)
	}
	if f.route("j-1", nil) != nil {
		t.Error("a controller that refused three connections in a row is not skipped")
	}
	f.time += skipTime
	if f.route("j-1", nil) != f.a {
		t.Error("a controller is skipped for more than 3 s")
	}
}
