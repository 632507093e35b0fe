package controller

import (
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// A new leader computes the fleet's capacity once for all counters that it loads. When it was
// computed for each job, loading 3,600 machines and 1,700 jobs took longer than the leader's lease, so
// each new leader lost its lease in turn: eight leaders in ten seconds.
func TestCapacityIsComputedOnceForAllCounters(t *testing.T) {
	w := newWorld(t, 73)
	c := w.nodes[w.awaitLeader()].controller
	l := newLeadership(c, &leaderRecord{Token: 99, LeaseID: 1}, 1, c.env.now)
	job := func(uid string) *clusterstate.Job {
		j := l.state.AddJob(&protocol.JobSpec{UID: uid, Team: "red", Tasks: 1, Cores: 1, MemoryGB: 1}, c.env.wall)
		j.Stored = true
		m := l.state.AddMachine("i-" + uid)
		m.Type, m.Zone, m.EverReported, m.Size = "m8", "a", true, l.machines.machineSize("m8")
		l.state.AddAttempt(m, j, 0, l.attemptNumbers.allocate(), c.env.now)
		return j
	}
	load := func(uid string) {
		l.loader.loadCounters(clusterstate.Counters{At: c.env.wall - time.Minute.Milliseconds(), Jobs: map[string]clusterstate.CounterRow{uid: {Slots: 1}}})
	}
	first, second := job("j-1"), job("j-2")
	load("j-1")
	for range 50 {
		m := l.state.AddMachine("i-" + string(rune('a'+len(l.state.Machines))))
		m.EverReported, m.Size = true, l.machines.machineSize("m8")
	}
	load("j-2")
	if first.Scale.Attained == 0 || first.Scale.Attained != second.Scale.Attained {
		t.Errorf("attained service of the same minute is %v for the first job and %v for the second, want equal and not 0", first.Scale.Attained, second.Scale.Attained)
	}
}
