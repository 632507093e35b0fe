package controller

import (
	"testing"
	"time"

	"claybarrow/internal/emulator"
)

// TestLateCopyAfterAgentRestartStartsNothing guards against a task that runs twice, or after its cancellation, because its
// machine is back at once with an empty memory, in the first epoch and without a token, and accepts a copy of an old start.
func TestLateCopyAfterAgentRestartStartsNothing(t *testing.T) {
	for _, ending := range copyEndings {
		t.Run(ending.name, func(t *testing.T) {
			w := newWorld(t, 68)
			w.awaitLeader()
			w.submit("j-0", map[string]any{"shape": "service", "cores": 1.0, "shards": 2, "apart": true})
			w.until(90*second, "other replicas run", func() bool { return w.running("j-0") == 2 })
			w.machines.Copies = emulator.CopySettings{Share: 1, MaxCopies: 12, MinDelay: 500 * time.Millisecond, MaxDelay: 6 * second}
			machine := ending.end(w)
			w.run(300 * time.Millisecond)
			if machine.Deleted {
				t.Fatal("the machine is gone: the test checks nothing")
			}
			machine.InjectRestart()
			w.run(60 * time.Second)
			w.requireNoViolations()
		})
	}
}

// TestAgentRestartIsNoticedWithinALease checks that a machine that is back with an empty memory is served again, and that
// its tasks run elsewhere or there, once its first lease is over.
func TestAgentRestartIsNoticedWithinALease(t *testing.T) {
	w := newWorld(t, 69)
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "apart": true})
	machine := w.awaitRunning()
	w.until(90*second, "both replicas run", func() bool { return w.running("j-1") == 2 })
	w.run(5 * second)
	machine.InjectRestart()
	w.until(w.cfgs[0].WorkerLease()+10*second, "both replicas run again", func() bool { return w.running("j-1") == 2 })
	w.settle()
}
