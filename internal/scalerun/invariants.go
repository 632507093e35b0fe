package scalerun

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// RuleViolation reports a violated invariant of the protocol, with the history of the job concerned.
type RuleViolation struct {
	Rule    string   `json:"rule"`
	Problem string   `json:"what"`
	AtS     float64  `json:"at_s"`
	Region  int      `json:"region"`
	History []string `json:"history"`
}

// Error returns the rule, the problem and the job's history, one history entry per line.
func (v *RuleViolation) Error() string {
	return fmt.Sprintf("rule broken: %s: %s\n  %s", v.Rule, v.Problem, strings.Join(v.History, "\n  "))
}

// teamUsage holds the resources that a team's tasks use now, and the team's limits (0: no limit).
type teamUsage struct{ cores, accelerators, coresMax, acceleratorsMax float64 }

// quotaSlack is the tolerance for rounding errors in a team's usage.
const quotaSlack = 1e-3

// overLimit reports whether the usage exceeds one of the limits.
func (u *teamUsage) overLimit() bool {
	return u.coresMax > 0 && u.cores > u.coresMax+quotaSlack || u.acceleratorsMax > 0 && u.accelerators > u.acceleratorsMax+quotaSlack
}

// invariants checks the protocol's rules at each event. It must be used on the event loop only.
type invariants struct {
	queue  *emulator.EventQueue
	region int
	jobs   map[string]*job
	teams  map[string]*teamUsage
	// cancelDeadline is how long a job's tasks may keep running after the job was reported cancelled.
	cancelDeadline time.Duration
	violations     chan *RuleViolation
	// faultsEndedAt is when the last injected fault ends; 0: faults may still occur.
	faultsEndedAt time.Duration
	// waitingSince is since when jobs have had no task although a machine has room for one.
	waitingSince map[string]time.Duration
}

func newInvariants(queue *emulator.EventQueue, region int, plan *Plan) *invariants {
	checks := &invariants{queue: queue, region: region, jobs: map[string]*job{}, teams: map[string]*teamUsage{},
		cancelDeadline: seconds(plan.Workers.CancelS), violations: make(chan *RuleViolation, 1), waitingSince: map[string]time.Duration{}}
	regions := float64(plan.Fleet.Regions)
	for n := range plan.Teams.Count {
		checks.teams[teamName(n)] = &teamUsage{coresMax: plan.Teams.CoresMax / regions, acceleratorsMax: plan.Teams.AcceleratorsMax / regions}
	}
	return checks
}

func teamName(i int) string { return "team-" + strconv.Itoa(i) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// reportViolation reports a violation. The first violation ends the run; later violations are dropped. j may be nil.
func (i *invariants) reportViolation(j *job, rule, format string, args ...any) {
	violation := &RuleViolation{Rule: rule, Problem: fmt.Sprintf(format, args...), AtS: i.queue.Now().Seconds(), Region: i.region}
	if j != nil {
		violation.History = j.history
	}
	select {
	case i.violations <- violation:
	default:
	}
}

// taskStarted checks the start of a task on a machine.
func (i *invariants) taskStarted(worker *emulator.Worker, task string, t *emulator.Task) {
	j := i.jobs[t.UID]
	if j == nil {
		i.reportViolation(nil, "invented", "%s runs, but no client submitted its job", task)
		return
	}
	j.addHistory(i.queue.Now(), "%s starts on %s (%s, attempt %d)", task, worker.ID, worker.Zone, t.Attempt)
	if current := j.placements[task]; current != nil {
		i.reportViolation(j, "ran_twice", "%s starts on %s while it is still on %s", task, worker.ID, current.worker.ID)
	}
	start := attemptStart{worker: worker.ID, epoch: worker.Epoch, task: task, attempt: t.Attempt}
	if j.starts[start] {
		i.reportViolation(j, "restarted", "attempt %d of %s starts again on %s after its end", t.Attempt, task, worker.ID)
	}
	j.starts[start] = true
	if j.reportedCancelledAt > 0 {
		i.reportViolation(j, "ran_cancelled", "%s starts after its job was reported cancelled", task)
	}
	j.placements[task] = &placement{worker, t}
	j.tasksByZone[worker.Zone]++
	if maxInZone := (j.Tasks + 1) / 2; j.spread && j.tasksByZone[worker.Zone] > maxInZone {
		i.reportViolation(j, "wrong_place", "%d of %d tasks of %s are in zone %s, at most %d may be in one zone", j.tasksByZone[worker.Zone], j.Tasks, j.uid, worker.Zone, maxInZone)
	}
	team := i.teams[j.team]
	team.cores += j.Cores
	team.accelerators += j.Accelerators
	if team.overLimit() {
		i.reportViolation(j, "quota", "%s uses %.1f cores and %.1f accelerators", j.team, team.cores, team.accelerators)
	}
}

// taskStopped records that a task is no longer on its machine.
func (i *invariants) taskStopped(worker *emulator.Worker, task string, t *emulator.Task) {
	j := i.jobs[t.UID]
	if j == nil || j.placements[task] == nil || j.placements[task].task != t {
		return
	}
	j.addHistory(i.queue.Now(), "%s stops on %s (%s %s)", task, worker.ID, t.State, t.Cause)
	delete(j.placements, task)
	j.tasksByZone[worker.Zone]--
	team := i.teams[j.team]
	team.cores -= j.Cores
	team.accelerators -= j.Accelerators
}

// statusReported checks a job state that a response reported to the client. sentAt is when the client sent the request.
// A response to a request that was sent before the client received the current state may carry an older state; it is
// ignored.
func (i *invariants) statusReported(j *job, state protocol.JobState, sentAt time.Duration) {
	previous := j.reportedState
	if state == previous || sentAt < j.reportedAt {
		return
	}
	j.addHistory(i.queue.Now(), "client receives state %s", state)
	if previous == protocol.JobDone || previous == protocol.JobCancelled {
		i.reportViolation(j, "went_back", "%s was reported %s, now %s", j.uid, previous, state)
	}
	if state == protocol.JobDone && len(j.completed) < j.Tasks {
		i.reportViolation(j, "not_done", "%s was reported done, but %d of %d tasks have completed", j.uid, len(j.completed), j.Tasks)
	}
	if state == protocol.JobCancelled {
		i.cancellationReported(j)
	}
	j.reportedState, j.reportedAt = state, i.queue.Now()
}

// cancellationReported checks that the client requested the reported cancellation, and that no task of the job runs
// after cancelDeadline.
func (i *invariants) cancellationReported(j *job) {
	if !j.cancelRequested {
		i.reportViolation(j, "went_back", "%s was reported cancelled, but its client did not request that", j.uid)
	}
	j.reportedCancelledAt = i.queue.Now()
	i.queue.After(i.cancelDeadline, func() {
		if len(j.placements) > 0 {
			i.reportViolation(j, "ran_cancelled", "%s still has %d tasks %v after it was reported cancelled", j.uid, len(j.placements), i.cancelDeadline)
		}
	})
}

// responseReceived checks the status of a response about a job: after acceptance, no request about the job may return
// 404 and no repeated submission may be rejected as invalid.
func (i *invariants) responseReceived(j *job, op string, status int) {
	rejected := op == opSubmit && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity)
	if j.acceptedAt > 0 && (status == http.StatusNotFound || rejected) {
		i.reportViolation(j, "forgotten", "%s was accepted, but status %d was returned to %s", j.uid, status, op)
	}
}

// How long a job may go without an answered request while requests about most other jobs are answered.
const (
	forgottenTimeout = 90 * time.Second // during the run
	// orphanTimeout applies at the end of a run and allows for four polls.
	orphanTimeout = 4 * pollInterval
)

// checkForgottenJobs reports a violation if requests about some job went unanswered for forgottenTimeout.
func (i *invariants) checkForgottenJobs() {
	if example, _ := i.unansweredJobs(forgottenTimeout); example != nil {
		i.reportViolation(example, "forgotten", "no request about %s was answered for %v", example.uid, forgottenTimeout)
	}
}

// answerTimeout is the operators' bound: after the end of all faults, no accepted job may go without an answer for
// longer, however the others fare.
const answerTimeout = 75 * time.Second

// checkAnswered reports a violation if, since the end of all faults, no request about some accepted job was answered
// for answerTimeout.
func (i *invariants) checkAnswered() {
	if i.faultsEndedAt == 0 {
		return
	}
	now := i.queue.Now()
	for _, j := range i.jobs {
		if j.acceptedAt > 0 && !j.finished() && now > max(j.answeredAt, j.acceptedAt, i.faultsEndedAt)+answerTimeout {
			i.reportViolation(j, "unanswered", "no request about %s was answered for %v after the end of all faults", j.uid, answerTimeout)
			return
		}
	}
}

// checkOrphanedJobs reports a violation at the end of a run if requests about some jobs went unanswered for
// orphanTimeout, and returns the number of these jobs.
func (i *invariants) checkOrphanedJobs() int {
	example, unanswered := i.unansweredJobs(orphanTimeout)
	if example != nil {
		i.reportViolation(example, "orphaned", "no controller answers requests about %s and %d other jobs", example.uid, unanswered-1)
	}
	return unanswered
}

// unansweredJobs counts the accepted, unfinished jobs for which no request was answered within timeout, and returns one
// of them. It returns none unless the other accepted, unfinished jobs are the majority: a region that answers no
// requests at all is down and has not lost jobs.
func (i *invariants) unansweredJobs(timeout time.Duration) (example *job, unanswered int) {
	now, answered := i.queue.Now(), 0
	for _, j := range i.jobs {
		switch {
		case j.acceptedAt == 0 || j.finished():
		case now > max(j.answeredAt, j.acceptedAt)+timeout:
			example = j
			unanswered++
		default:
			answered++
		}
	}
	if answered <= unanswered {
		return nil, 0
	}
	return example, unanswered
}
