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

// RuleViolation is an invariant of the protocol that did not hold, with the history of the job.
type RuleViolation struct {
	Rule    string   `json:"rule"`
	Problem string   `json:"what"`
	AtS     float64  `json:"at_s"`
	Region  int      `json:"region"`
	History []string `json:"history"`
}

// Error gives the rule, what happened, and the job's history.
func (v *RuleViolation) Error() string {
	return fmt.Sprintf("rule broken: %s: %s\n  %s", v.Rule, v.Problem, strings.Join(v.History, "\n  "))
}

// teamUsage is what a team's tasks use now, and its limits (0: none).
type teamUsage struct{ cores, accel, coresMax, accelMax float64 }

// quotaSlack is what rounding may add to a team's usage.
const quotaSlack = 1e-3

// overLimit says whether the usage is above one of the limits.
func (u *teamUsage) overLimit() bool {
	return u.coresMax > 0 && u.cores > u.coresMax+quotaSlack || u.accelMax > 0 && u.accel > u.accelMax+quotaSlack
}

// invariants checks the protocol's rules at each event. Only the event loop uses it.
type invariants struct {
	queue  *emulator.EventQueue
	region int
	jobs   map[string]*job
	teams  map[string]*teamUsage
	// cancelDeadline is how long after a job was reported cancelled a task of it may still run.
	cancelDeadline time.Duration
	violations     chan *RuleViolation
}

func newInvariants(queue *emulator.EventQueue, region int, plan *Plan) *invariants {
	checks := &invariants{queue: queue, region: region, jobs: map[string]*job{}, teams: map[string]*teamUsage{},
		cancelDeadline: seconds(plan.Workers.CancelS), violations: make(chan *RuleViolation, 1)}
	regions := float64(plan.Fleet.Regions)
	for n := range plan.Teams.Count {
		checks.teams[teamName(n)] = &teamUsage{coresMax: plan.Teams.CoresMax / regions, accelMax: plan.Teams.AcceleratorsMax / regions}
	}
	return checks
}

func teamName(i int) string { return "team-" + strconv.Itoa(i) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// violate reports a violation. The first one ends the run; later ones are dropped. The job may be nil.
func (i *invariants) violate(j *job, rule, format string, args ...any) {
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
		i.violate(nil, "invented", "%s runs, and nobody submitted its job", task)
		return
	}
	j.note(i.queue.Now(), "%s begins on %s (%s, attempt %d)", task, worker.ID, worker.Zone, t.Attempt)
	if other := j.placements[task]; other != nil {
		i.violate(j, "ran_twice", "%s begins on %s while it is on %s", task, worker.ID, other.worker.ID)
	}
	if j.reportedCancelledAt > 0 {
		i.violate(j, "ran_cancelled", "%s begins after its user was told of the cancellation", task)
	}
	j.placements[task] = &placement{worker, t}
	j.tasksByZone[worker.Zone]++
	if maxInZone := (j.Tasks + 1) / 2; j.spread && j.tasksByZone[worker.Zone] > maxInZone {
		i.violate(j, "wrong_place", "%d of %d tasks of %s in zone %s", j.tasksByZone[worker.Zone], j.Tasks, j.uid, worker.Zone)
	}
	team := i.teams[j.team]
	team.cores += j.Cores
	team.accel += j.Accelerators
	if team.overLimit() {
		i.violate(j, "quota", "%s uses %.1f cores and %.1f accelerators", j.team, team.cores, team.accel)
	}
}

// taskStopped records that a task is no longer on its machine.
func (i *invariants) taskStopped(worker *emulator.Worker, task string, t *emulator.Task) {
	j := i.jobs[t.UID]
	if j == nil || j.placements[task] == nil || j.placements[task].task != t {
		return
	}
	j.note(i.queue.Now(), "%s leaves %s (%s %s)", task, worker.ID, t.State, t.Cause)
	delete(j.placements, task)
	j.tasksByZone[worker.Zone]--
	team := i.teams[j.team]
	team.cores -= j.Cores
	team.accel -= j.Accelerators
}

// statusReported checks the state of a job that its client was told, in answer to a request that was
// sent at a time. A request that was under way while the client was told something newer may be
// answered with the state before, which is no violation.
func (i *invariants) statusReported(j *job, state protocol.JobState, sent time.Duration) {
	before := j.reportedState
	if state == before || sent < j.reportedAt {
		return
	}
	j.note(i.queue.Now(), "its user is told %s", state)
	if before == protocol.JobDone || before == protocol.JobCancelled {
		i.violate(j, "went_back", "%s was %s, now %s", j.uid, before, state)
	}
	if state == protocol.JobDone && len(j.completed) < j.Tasks {
		i.violate(j, "not_done", "%s: %d of %d tasks have completed", j.uid, len(j.completed), j.Tasks)
	}
	if state == protocol.JobCancelled {
		i.cancellationReported(j)
	}
	j.reportedState, j.reportedAt = state, i.queue.Now()
}

// cancellationReported checks that the client asked for the cancellation that it is told of, and that
// no task of the job is left after the deadline.
func (i *invariants) cancellationReported(j *job) {
	if !j.cancelRequested {
		i.violate(j, "went_back", "%s is called cancelled, and nobody asked for it", j.uid)
	}
	j.reportedCancelledAt = i.queue.Now()
	i.queue.After(i.cancelDeadline, func() {
		if len(j.placements) > 0 {
			i.violate(j, "ran_cancelled", "%s still has %d tasks", j.uid, len(j.placements))
		}
	})
}

// answerReceived checks the status of an answer about a job: an accepted job must stay known.
func (i *invariants) answerReceived(j *job, op string, status int) {
	rejected := op == opSubmit && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity)
	if j.acceptedAt > 0 && (status == http.StatusNotFound || rejected) {
		i.violate(j, "forgotten", "%s answered %d to %s", j.uid, status, op)
	}
}

// How long no question about a job may be answered while those about most other jobs are.
const (
	forgottenTimeout = 90 * time.Second // during the run
	// orphanTimeout applies at the end of a run: four of the client's questions.
	orphanTimeout = 4 * pollInterval
)

// checkForgottenJobs looks for jobs about which no question was answered for forgottenTimeout.
func (i *invariants) checkForgottenJobs() {
	if example, _ := i.unansweredJobs(forgottenTimeout); example != nil {
		i.violate(example, "forgotten", "no question about %s was answered for %v", example.uid, forgottenTimeout)
	}
}

// checkOrphanedJobs counts, at the end of a run, the jobs about which no question was answered for
// orphanTimeout.
func (i *invariants) checkOrphanedJobs() int {
	example, n := i.unansweredJobs(orphanTimeout)
	if example != nil {
		i.violate(example, "orphaned", "nobody answers for %s and %d others", example.uid, n-1)
	}
	return n
}

// unansweredJobs counts the accepted jobs that are not finished and about which no question was
// answered for a time, and returns one of them. Unless the other jobs are the majority it finds none:
// a region that answers nobody has not lost jobs, it is down.
func (i *invariants) unansweredJobs(timeout time.Duration) (example *job, n int) {
	now, answered := i.queue.Now(), 0
	for _, j := range i.jobs {
		switch {
		case j.acceptedAt == 0 || j.finished():
		case now > max(j.answeredAt, j.acceptedAt)+timeout:
			example = j
			n++
		default:
			answered++
		}
	}
	if answered <= n {
		return nil, 0
	}
	return example, n
}
