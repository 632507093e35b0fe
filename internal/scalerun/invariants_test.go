package scalerun

import (
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// invariantsFixture holds invariants with one job of four tasks (two cores each, in a team limited to five
// cores) and two workers in different zones.
type invariantsFixture struct {
	*invariants
	job                          *job
	workerInZoneA, workerInZoneB *emulator.Worker
}

func newInvariantsFixture() *invariantsFixture {
	plan := DefaultPlan()
	plan.Teams = TeamPlan{Count: 1, CoresMax: 5}
	plan.Workers.CancelS = 30
	queue := &emulator.EventQueue{}
	fleet := emulator.NewFleet(queue, emulator.Timing{})
	b := &invariantsFixture{invariants: newInvariants(queue, 0, &plan), workerInZoneA: fleet.Add("i-1", "", "m", "a", false), workerInZoneB: fleet.Add("i-2", "", "m", "b", false)}
	b.job = &job{uid: "j-1", team: teamName(0), Job: emulator.Job{Tasks: 4, Cores: 2}, completed: map[string]bool{}, starts: map[attemptStart]bool{}, placements: map[string]*placement{}, tasksByZone: map[string]int{}}
	b.jobs["j-1"] = b.job
	return b
}

// start starts tasks of the job on a worker.
func (b *invariantsFixture) start(worker *emulator.Worker, tasks ...string) {
	for _, task := range tasks {
		b.taskStarted(worker, task, runningTask())
	}
}

func runningTask() *emulator.Task {
	return &emulator.Task{UID: "j-1", Attempt: 1, State: protocol.TaskRunning}
}

// report delivers a state to the job's client, in response to a request sent now.
func (b *invariantsFixture) report(state protocol.JobState) {
	b.statusReported(b.job, state, b.queue.Now())
}

// violation returns the first violated rule, or "".
func (b *invariantsFixture) violation() string {
	select {
	case violation := <-b.violations:
		return violation.Rule
	default:
		return ""
	}
}

// invariantsCase is a sequence of events and the rule that it must violate; an empty rule means none.
type invariantsCase struct {
	name, rule string
	steps      func(b *invariantsFixture)
}

func testInvariants(t *testing.T, cases []invariantsCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newInvariantsFixture()
			tc.steps(b)
			if got := b.violation(); got != tc.rule {
				t.Errorf("violated rule %q, want %q", got, tc.rule)
			}
		})
	}
}

func TestPlacementInvariants(t *testing.T) {
	testInvariants(t, []invariantsCase{
		{"a task moves", "", func(b *invariantsFixture) {
			first := runningTask()
			b.taskStarted(b.workerInZoneA, "j-1/0", first)
			b.taskStopped(b.workerInZoneA, "j-1/0", first)
			b.start(b.workerInZoneB, "j-1/0")
		}},
		{"a task runs on two machines", "ran_twice", func(b *invariantsFixture) {
			b.start(b.workerInZoneA, "j-1/0")
			b.start(b.workerInZoneB, "j-1/0")
		}},
		{"an attempt starts again after its end", "restarted", func(b *invariantsFixture) {
			first := runningTask()
			b.taskStarted(b.workerInZoneA, "j-1/0", first)
			b.taskStopped(b.workerInZoneA, "j-1/0", first)
			b.start(b.workerInZoneA, "j-1/0")
		}},
		{"an attempt starts again in a later epoch", "", func(b *invariantsFixture) {
			first := runningTask()
			b.taskStarted(b.workerInZoneA, "j-1/0", first)
			b.taskStopped(b.workerInZoneA, "j-1/0", first)
			b.workerInZoneA.Epoch++
			b.start(b.workerInZoneA, "j-1/0")
		}},
		{"a team exceeds its limit", "quota", func(b *invariantsFixture) { b.start(b.workerInZoneA, "j-1/0", "j-1/1", "j-1/2") }},
		{"a spread job has three of four tasks in one zone", "wrong_place", func(b *invariantsFixture) {
			b.job.spread = true
			b.job.Cores = 0
			b.start(b.workerInZoneA, "j-1/0", "j-1/1", "j-1/2")
		}},
		{"a task of an unknown job", "invented", func(b *invariantsFixture) { b.taskStarted(b.workerInZoneA, "j-2/0", &emulator.Task{UID: "j-2"}) }},
		{"a task starts after the cancellation", "ran_cancelled", func(b *invariantsFixture) {
			b.job.cancelRequested = true
			b.queue.RunUntil(time.Second)
			b.report(protocol.JobCancelled)
			b.start(b.workerInZoneA, "j-1/0")
		}},
		{"a task keeps running after the cancellation", "ran_cancelled", func(b *invariantsFixture) {
			b.job.cancelRequested = true
			b.start(b.workerInZoneA, "j-1/0")
			b.queue.RunUntil(time.Second)
			b.report(protocol.JobCancelled)
			b.queue.RunUntil(time.Minute)
		}},
	})
}

func TestReportedStateInvariants(t *testing.T) {
	testInvariants(t, []invariantsCase{
		{"cancelled without a request", "went_back", func(b *invariantsFixture) { b.report(protocol.JobCancelled) }},
		{"running after cancelled", "went_back", func(b *invariantsFixture) {
			b.job.cancelRequested = true
			b.report(protocol.JobCancelled)
			b.report(protocol.JobRunning)
		}},
		{"an older state answers a request sent before the cancellation was reported", "", func(b *invariantsFixture) {
			b.job.cancelRequested = true
			b.queue.RunUntil(time.Second)
			b.report(protocol.JobCancelled)
			b.statusReported(b.job, protocol.JobPending, b.queue.Now()/2)
		}},
		{"done before its tasks have completed", "not_done", func(b *invariantsFixture) { b.report(protocol.JobDone) }},
		{"done reported twice, and not found before acceptance", "", func(b *invariantsFixture) {
			b.responseReceived(b.job, opPoll, 404)
			b.job.completed["j-1/0"], b.job.completed["j-1/1"], b.job.completed["j-1/2"], b.job.completed["j-1/3"] = true, true, true, true
			b.report(protocol.JobDone)
			b.report(protocol.JobDone)
		}},
	})
}

func TestForgottenJobs(t *testing.T) {
	testInvariants(t, []invariantsCase{
		{"an accepted job is not found", "forgotten", func(b *invariantsFixture) {
			b.job.acceptedAt = 1
			b.responseReceived(b.job, opPoll, 404)
		}},
		{"requests about one job of three are unanswered", "forgotten", func(b *invariantsFixture) {
			b.job.acceptedAt = 1
			b.queue.RunUntil(2 * time.Minute)
			b.jobs["j-2"] = &job{uid: "j-2", acceptedAt: 1, answeredAt: time.Minute}
			b.jobs["j-3"] = &job{uid: "j-3", acceptedAt: 1, answeredAt: time.Minute}
			b.checkForgottenJobs()
		}},
		{"requests about all jobs are unanswered", "", func(b *invariantsFixture) {
			b.job.acceptedAt = 1
			b.queue.RunUntil(2 * time.Minute)
			b.jobs["j-2"] = &job{uid: "j-2", acceptedAt: 1}
			b.checkForgottenJobs()
		}},
	})
}

func TestUnansweredJobsAfterTheLastFault(t *testing.T) {
	testInvariants(t, []invariantsCase{
		{"no request is answered after the last fault", "unanswered", func(b *invariantsFixture) {
			b.job.acceptedAt, b.job.answeredAt, b.faultsEndedAt = 1, 10*time.Second, 20*time.Second
			b.queue.RunUntil(20*time.Second + answerTimeout + 1)
			b.checkAnswered()
		}},
		{"the bound counts from the last fault", "", func(b *invariantsFixture) {
			b.job.acceptedAt, b.job.answeredAt, b.faultsEndedAt = 1, 10*time.Second, 20*time.Second
			b.queue.RunUntil(20*time.Second + answerTimeout)
			b.checkAnswered()
		}},
		{"faults go on", "", func(b *invariantsFixture) {
			b.job.acceptedAt = 1
			b.queue.RunUntil(time.Hour)
			b.checkAnswered()
		}},
		{"the job is over", "", func(b *invariantsFixture) {
			b.job.acceptedAt, b.job.reportedState, b.faultsEndedAt = 1, protocol.JobDone, time.Second
			b.queue.RunUntil(time.Hour)
			b.checkAnswered()
		}},
	})
}

func TestFaultsEndAfterTheLastRestart(t *testing.T) {
	plan := DefaultPlan()
	plan.Control.Controllers, plan.Control.RestartS = 3, 4
	plan.Faults = []FaultPlan{{AtS: 10, Kind: FaultRollRestart, ForS: 5}, {AtS: 12, Kind: FaultKillLeader}}
	if got := plan.faultsEndS(); got != 24 {
		t.Errorf("faults end after %v s, want 24", got)
	}
}
