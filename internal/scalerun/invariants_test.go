package scalerun

import (
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Each rule, broken once, is seen; what keeps it is not.
func TestRulesAreSeen(t *testing.T) {
	type bench struct {
		*invariants
		job *job
		one *emulator.Worker
		two *emulator.Worker
	}
	task := func() *emulator.Task { return &emulator.Task{UID: "j-1", Try: 1, State: protocol.Running} }
	for _, tc := range []struct {
		rule string
		do   func(b *bench)
	}{
		{"", func(b *bench) {
			first := task()
			b.taskStarted(b.one, "j-1/0", first)
			b.taskStopped(b.one, "j-1/0", first)
			b.taskStarted(b.two, "j-1/0", task())
		}},
		{"ran_twice", func(b *bench) {
			b.taskStarted(b.one, "j-1/0", task())
			b.taskStarted(b.two, "j-1/0", task())
		}},
		{"quota", func(b *bench) {
			for _, name := range []string{"j-1/0", "j-1/1", "j-1/2"} {
				b.taskStarted(b.one, name, task())
			}
		}},
		{"wrong_place", func(b *bench) {
			b.job.spread = true
			b.job.Cores = 0
			for _, name := range []string{"j-1/0", "j-1/1", "j-1/2"} {
				b.taskStarted(b.one, name, task())
			}
		}},
		{"invented", func(b *bench) { b.taskStarted(b.one, "j-2/0", &emulator.Task{UID: "j-2"}) }},
		{"ran_cancelled", func(b *bench) {
			b.job.cancelRequested = true
			b.queue.RunUntil(time.Second)
			b.statusReported(b.job, protocol.Cancelled, b.queue.Now())
			b.taskStarted(b.one, "j-1/0", task())
		}},
		{"ran_cancelled", func(b *bench) {
			b.job.cancelRequested = true
			b.taskStarted(b.one, "j-1/0", task())
			b.queue.RunUntil(time.Second)
			b.statusReported(b.job, protocol.Cancelled, b.queue.Now())
			b.queue.RunUntil(time.Minute)
		}},
		{"went_back", func(b *bench) { b.statusReported(b.job, protocol.Cancelled, b.queue.Now()) }},
		{"went_back", func(b *bench) {
			b.job.cancelRequested = true
			b.statusReported(b.job, protocol.Cancelled, b.queue.Now())
			b.statusReported(b.job, protocol.Active, b.queue.Now())
		}},
		{"", func(b *bench) { // the question was under way when the user was told
			b.job.cancelRequested = true
			b.queue.RunUntil(time.Second)
			b.statusReported(b.job, protocol.Cancelled, b.queue.Now())
			b.statusReported(b.job, protocol.Pending, b.queue.Now()/2)
		}},
		{"not_done", func(b *bench) { b.statusReported(b.job, protocol.Done, b.queue.Now()) }},
		{"forgotten", func(b *bench) {
			b.job.acceptedAt = 1
			b.answerReceived(b.job, opPoll, 404)
		}},
		{"forgotten", func(b *bench) {
			b.job.acceptedAt = 1
			b.queue.RunUntil(2 * time.Minute)
			b.jobs["j-2"] = &job{uid: "j-2", acceptedAt: 1, answeredAt: time.Minute}
			b.jobs["j-3"] = &job{uid: "j-3", acceptedAt: 1, answeredAt: time.Minute}
			b.checkForgottenJobs()
		}},
		{"", func(b *bench) { // nobody is answered
			b.job.acceptedAt = 1
			b.queue.RunUntil(2 * time.Minute)
			b.jobs["j-2"] = &job{uid: "j-2", acceptedAt: 1}
			b.checkForgottenJobs()
		}},
		{"", func(b *bench) {
			b.answerReceived(b.job, opPoll, 404) // it has not been accepted
			b.job.completed["j-1/0"], b.job.completed["j-1/1"], b.job.completed["j-1/2"], b.job.completed["j-1/3"] = true, true, true, true
			b.statusReported(b.job, protocol.Done, b.queue.Now())
			b.statusReported(b.job, protocol.Done, b.queue.Now())
		}},
	} {
		plan := DefaultPlan()
		plan.Teams = TeamPlan{Count: 1, CoresMax: 5}
		plan.Workers.CancelS = 30
		agenda := &emulator.EventQueue{}
		fleet := emulator.NewFleet(agenda, emulator.Timing{})
		b := &bench{invariants: newInvariants(agenda, 0, &plan), one: fleet.Add("i-1", "", "m", "a", false), two: fleet.Add("i-2", "", "m", "b", false)}
		b.job = &job{uid: "j-1", team: teamName(0), Job: emulator.Job{Tasks: 4, Cores: 2}, completed: map[string]bool{}, placements: map[string]*placement{}, tasksByZone: map[string]int{}}
		b.jobs["j-1"] = b.job
		tc.do(b)
		got := ""
		select {
		case broken := <-b.violations:
			got = broken.Rule
		default:
		}
		if got != tc.rule {
			t.Errorf("seen %q, want %q", got, tc.rule)
		}
	}
}
