package controller

import (
	"strings"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// placementStep is a step in the placement of a replica at which the leader crashes.
type placementStep struct {
	name string
	// matches reports whether a call of the leader is this step. If delivered is set, the call still arrives.
	matches   func(c Call) bool
	delivered bool
}

func sendsCommand(c Call, verb string) bool {
	var body protocol.CommandRequest
	if c.Target != ToWorker || protocol.Decode(c.Body, &body) != nil {
		return false
	}
	for _, command := range body.Commands {
		if command.Verb == verb {
			return true
		}
	}
	return false
}

// putsKeyWithPrefix reports whether a transaction puts a key with the prefix.
func putsKeyWithPrefix(c Call, prefix string) bool {
	var body struct {
		Then []protocol.Change `msgpack:"apply"`
	}
	if c.Target != ToState || c.Path != "/multi" || protocol.Decode(c.Body, &body) != nil {
		return false
	}
	for _, change := range body.Then {
		if strings.HasPrefix(change.Put, prefix) {
			return true
		}
	}
	return false
}

var placementSteps = []placementStep{
	{"before the job's write", func(c Call) bool { return putsKeyWithPrefix(c, "j/") }, false},
	{"after the job's write, before its reply", func(c Call) bool { return putsKeyWithPrefix(c, "j/") }, true},
	{"before the machine record's write", func(c Call) bool { return putsKeyWithPrefix(c, "m/") }, false},
	{"after the machine record's write, before its reply", func(c Call) bool { return putsKeyWithPrefix(c, "m/") }, true},
	{"before the run command", func(c Call) bool { return sendsCommand(c, protocol.VerbRun) }, false},
	{"after the run command, before its reply", func(c Call) bool { return sendsCommand(c, protocol.VerbRun) }, true},
	{"before the completion's write", func(c Call) bool { return putsKeyWithPrefix(c, "d/") }, false},
	{"after the completion's write", func(c Call) bool { return putsKeyWithPrefix(c, "d/") }, true},
	{"before the clear command", func(c Call) bool { return sendsCommand(c, protocol.VerbClear) }, false},
	{"after the clear command", func(c Call) bool { return sendsCommand(c, protocol.VerbClear) }, true},
}

// placementFault is an additional fault around the crash of the leader.
type placementFault struct {
	name string
	// fault applies to each call. If crashSecondLeader is set, the next leader crashes too, while it loads the stored
	// records.
	fault             func(w *world, c Call) deliveryFault
	crashSecondLeader bool
}

var placementFaults = []placementFault{
	{name: "no other fault"},
	{name: "slow state service", fault: func(w *world, c Call) deliveryFault {
		if c.Target == ToState {
			return deliveryFault{delay: time.Duration(w.rng.Int64N(int64(400 * time.Millisecond)))}
		}
		return deliveryFault{}
	}},
	{name: "a second crash during the failover", crashSecondLeader: true},
}

// TestLeaderCrashAtEachPlacementStep crashes the leader at each step of a placement, alone and combined with a second
// fault. No task may run twice, and no job may be orphaned.
func TestLeaderCrashAtEachPlacementStep(t *testing.T) {
	for s, step := range placementSteps {
		for k, fault := range placementFaults {
			t.Run(step.name+", "+fault.name, func(t *testing.T) {
				w := newMembershipWorld(t, uint64(910+100*s+k))
				crashLeaderWhilePlacing(w, step, fault)
			})
		}
	}
}

func crashLeaderWhilePlacing(w *world, step placementStep, fault placementFault) {
	w.runTime = func(string) time.Duration { return 6 * second }
	w.submit("j-1", map[string]any{"shape": "service", "shards": 3})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 3 })
	w.run(10 * second)
	crashed, secondCrashed := false, false
	w.callFault = func(node int, c Call) deliveryFault {
		f := deliveryFault{}
		if fault.fault != nil {
			f = fault.fault(w, c)
		}
		switch {
		case !crashed && step.matches(c):
			crashed = true
			w.restart(node, 3*second)
			w.crash(node)
			f.lost, f.replyLost = !step.delivered, true
		case crashed && fault.crashSecondLeader && !secondCrashed && c.Target == ToState && strings.HasPrefix(c.Path, "/store?under=j/"):
			secondCrashed = true
			w.restart(node, 3*second)
			w.crash(node)
			f.lost = true
		}
		return f
	}
	w.submit("j-2", map[string]any{"shards": 2})
	w.submit("j-3", map[string]any{"shape": "service", "shards": 2, "owner": "blue"})
	w.until(60*second, "the leader crashes "+step.name, func() bool { return crashed })
	w.until(120*second, "all replicas run", func() bool { return w.running("j-1") == 3 && w.running("j-3") == 2 })
	w.awaitStatus(120*second, "j-2", protocol.JobDone)
	if fault.crashSecondLeader && !secondCrashed {
		w.t.Error("the second leader did not crash")
	}
	w.settle()
}

// TestDelayedTransactionOfCrashedLeader checks that a delayed transaction of a crashed leader, which arrives after the
// failover, violates no invariant, whichever kind of record it writes.
func TestDelayedTransactionOfCrashedLeader(t *testing.T) {
	for _, prefix := range []string{"j/", "m/", "d/"} {
		t.Run("a write under "+strings.TrimSuffix(prefix, "/"), func(t *testing.T) {
			w := newMembershipWorld(t, 931)
			w.runTime = func(string) time.Duration { return 6 * second }
			w.startReplicas()
			crashed := false
			w.callFault = func(node int, c Call) deliveryFault {
				if !crashed && putsKeyWithPrefix(c, prefix) {
					crashed = true
					w.restart(node, 2*second)
					w.crash(node)
					return deliveryFault{delay: 15 * second, replyLost: true}
				}
				return deliveryFault{}
			}
			w.submit("j-3", map[string]any{"shards": 2})
			w.until(60*second, "the leader crashes", func() bool { return crashed })
			w.awaitStatus(120*second, "j-3", protocol.JobDone)
			w.run(20 * second)
			w.settle()
		})
	}
}
