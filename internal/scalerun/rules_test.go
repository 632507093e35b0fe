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
		*rules
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
			b.begins(b.one, "j-1/0", first)
			b.leaves(b.one, "j-1/0", first)
			b.begins(b.two, "j-1/0", task())
		}},
		{"ran_twice", func(b *bench) {
			b.begins(b.one, "j-1/0", task())
			b.begins(b.two, "j-1/0", task())
		}},
		{"quota", func(b *bench) {
			for _, name := range []string{"j-1/0", "j-1/1", "j-1/2"} {
				b.begins(b.one, name, task())
			}
		}},
		{"wrong_place", func(b *bench) {
			b.job.spread = true
			b.job.Cores = 0
			for _, name := range []string{"j-1/0", "j-1/1", "j-1/2"} {
				b.begins(b.one, name, task())
			}
		}},
		{"invented", func(b *bench) { b.begins(b.one, "j-2/0", &emulator.Task{UID: "j-2"}) }},
		{"ran_cancelled", func(b *bench) {
			b.job.cancelAsked = true
			b.agenda.RunUntil(time.Second)
			b.tells(b.job, protocol.Cancelled, b.agenda.Now())
			b.begins(b.one, "j-1/0", task())
		}},
		{"ran_cancelled", func(b *bench) {
			b.job.cancelAsked = true
			b.begins(b.one, "j-1/0", task())
			b.agenda.RunUntil(time.Second)
			b.tells(b.job, protocol.Cancelled, b.agenda.Now())
			b.agenda.RunUntil(time.Minute)
		}},
		{"went_back", func(b *bench) { b.tells(b.job, protocol.Cancelled, b.agenda.Now()) }},
		{"went_back", func(b *bench) {
			b.job.cancelAsked = true
			b.tells(b.job, protocol.Cancelled, b.agenda.Now())
			b.tells(b.job, protocol.Active, b.agenda.Now())
		}},
		{"", func(b *bench) { // the question was under way when the user was told
			b.job.cancelAsked = true
			b.agenda.RunUntil(time.Second)
			b.tells(b.job, protocol.Cancelled, b.agenda.Now())
			b.tells(b.job, protocol.Pending, b.agenda.Now()/2)
		}},
		{"not_done", func(b *bench) { b.tells(b.job, protocol.Done, b.agenda.Now()) }},
		{"forgotten", func(b *bench) {
			b.job.accepted = 1
			b.answers(b.job, opPoll, 404)
		}},
		{"forgotten", func(b *bench) {
			b.job.accepted = 1
			b.agenda.RunUntil(2 * time.Minute)
			b.jobs["j-2"] = &job{uid: "j-2", accepted: 1, answered: time.Minute}
			b.jobs["j-3"] = &job{uid: "j-3", accepted: 1, answered: time.Minute}
			b.lookForForgotten()
		}},
		{"", func(b *bench) { // nobody is answered
			b.job.accepted = 1
			b.agenda.RunUntil(2 * time.Minute)
			b.jobs["j-2"] = &job{uid: "j-2", accepted: 1}
			b.lookForForgotten()
		}},
		{"", func(b *bench) {
			b.answers(b.job, opPoll, 404) // it has not been accepted
			b.job.done["j-1/0"], b.job.done["j-1/1"], b.job.done["j-1/2"], b.job.done["j-1/3"] = true, true, true, true
			b.tells(b.job, protocol.Done, b.agenda.Now())
			b.tells(b.job, protocol.Done, b.agenda.Now())
		}},
	} {
		plan := DefaultPlan()
		plan.Teams = TeamPlan{Count: 1, CoresMax: 5}
		plan.Workers.CancelS = 30
		agenda := &emulator.EventQueue{}
		fleet := emulator.NewFleet(agenda, emulator.Timing{})
		b := &bench{rules: newRules(agenda, 0, &plan), one: fleet.Add("i-1", "", "m", "a", false), two: fleet.Add("i-2", "", "m", "b", false)}
		b.job = &job{uid: "j-1", team: teamName(0), Job: emulator.Job{Tasks: 4, Cores: 2}, done: map[string]bool{}, places: map[string]*place{}, inZone: map[string]int{}}
		b.jobs["j-1"] = b.job
		tc.do(b)
		got := ""
		select {
		case broken := <-b.broken:
			got = broken.Rule
		default:
		}
		if got != tc.rule {
			t.Errorf("seen %q, want %q", got, tc.rule)
		}
	}
}
