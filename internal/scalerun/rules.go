package scalerun

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// job is a job of this run, with what its user and its workers saw of it.
type job struct {
	emulator.Job
	uid, class, team    string
	load                *LoadPlan
	spread              bool
	submittedAt         time.Duration // first attempt
	acceptedAt          time.Duration // 0: not yet
	reportedState       protocol.JobState
	reportedAt          time.Duration // when it was first told so
	cancelRequested     bool
	reportedCancelledAt time.Duration
	answeredAt          time.Duration // when a question was last answered
	completed           map[string]bool
	started             map[string]bool
	placements          map[string]*placement // tasks on machines, by task
	tasksByZone         map[string]int
	history             []string
}

// placement is where a task is.
type placement struct {
	worker *emulator.Worker
	task   *emulator.Task
}

// maxHistory bounds what is kept of one job.
const maxHistory = 60

func (j *job) note(now time.Duration, format string, args ...any) {
	if len(j.history) < maxHistory {
		j.history = append(j.history, fmt.Sprintf("%.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// teamUse is what a team's tasks take now, and may take.
type teamUse struct{ cores, accel, coresMax, accelMax float64 }

// RuleViolation is a rule of the protocol that did not hold, with what is known of the job.
type RuleViolation struct {
	Rule    string   `json:"rule"`
	What    string   `json:"what"`
	AtS     float64  `json:"at_s"`
	Region  int      `json:"region"`
	History []string `json:"history"`
}

// Error is the rule and what happened.
func (b *RuleViolation) Error() string {
	return fmt.Sprintf("rule broken: %s: %s\n  %s", b.Rule, b.What, strings.Join(b.History, "\n  "))
}

// invariants checks the protocol's rules as things happen.
type invariants struct {
	queue          *emulator.EventQueue
	region         int
	jobs           map[string]*job
	teams          map[string]*teamUse
	cancelDeadline time.Duration
	violations     chan *RuleViolation
}

func newInvariants(agenda *emulator.EventQueue, region int, plan *Plan) *invariants {
	r := &invariants{queue: agenda, region: region, jobs: map[string]*job{}, teams: map[string]*teamUse{},
		cancelDeadline: seconds(plan.Workers.CancelS), violations: make(chan *RuleViolation, 1)}
	for i := range plan.Teams.Count {
		r.teams[teamName(i)] = &teamUse{coresMax: plan.Teams.CoresMax / float64(plan.Fleet.Regions), accelMax: plan.Teams.AcceleratorsMax / float64(plan.Fleet.Regions)}
	}
	return r
}

func teamName(i int) string { return "team-" + strconv.Itoa(i) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// violate reports a broken rule; the first one ends the run.
func (c *invariants) violate(j *job, rule, format string, args ...any) {
	b := &RuleViolation{Rule: rule, What: fmt.Sprintf(format, args...), AtS: c.queue.Now().Seconds(), Region: c.region}
	if j != nil {
		b.History = j.history
	}
	select {
	case c.violations <- b:
	default:
	}
}

// taskStarted checks the moment a task begins to be on its machine.
func (c *invariants) taskStarted(worker *emulator.Worker, task string, t *emulator.Task) {
	j := c.jobs[t.UID]
	if j == nil {
		c.violate(nil, "invented", "%s runs, and nobody submitted its job", task)
		return
	}
	now := c.queue.Now()
	j.note(now, "%s begins on %s (%s, attempt %d)", task, worker.ID, worker.Zone, t.Try)
	if other := j.placements[task]; other != nil {
		c.violate(j, "ran_twice", "%s begins on %s while it is on %s", task, worker.ID, other.worker.ID)
	}
	if j.reportedCancelledAt > 0 {
		c.violate(j, "ran_cancelled", "%s begins after its user was told of the cancellation", task)
	}
	j.placements[task] = &placement{worker, t}
	j.tasksByZone[worker.Zone]++
	if most := (j.Tasks + 1) / 2; j.spread && j.tasksByZone[worker.Zone] > most {
		c.violate(j, "wrong_place", "%d of %d tasks of %s in zone %s", j.tasksByZone[worker.Zone], j.Tasks, j.uid, worker.Zone)
	}
	team := c.teams[j.team]
	team.cores += j.Cores
	team.accel += j.Accel
	const slack = 1e-3
	if team.coresMax > 0 && team.cores > team.coresMax+slack || team.accelMax > 0 && team.accel > team.accelMax+slack {
		c.violate(j, "quota", "%s uses %.1f cores and %.1f accelerators", j.team, team.cores, team.accel)
	}
}

// taskStopped notes that a task is no longer on its machine.
func (c *invariants) taskStopped(worker *emulator.Worker, task string, t *emulator.Task) {
	j := c.jobs[t.UID]
	if j == nil || j.placements[task] == nil || j.placements[task].task != t {
		return
	}
	j.note(c.queue.Now(), "%s leaves %s (%s %s)", task, worker.ID, t.State, t.Cause)
	delete(j.placements, task)
	j.tasksByZone[worker.Zone]--
	team := c.teams[j.team]
	team.cores -= j.Cores
	team.accel -= j.Accel
}

// statusReported checks what a user was told of a job, in answer to a request that was sent at a time. One
// that was under way while the user was told something may be answered with what held before.
func (c *invariants) statusReported(j *job, state protocol.JobState, sent time.Duration) {
	before := j.reportedState
	if state != before && sent < j.reportedAt {
		return
	}
	if state != before {
		j.note(c.queue.Now(), "its user is told %s", state)
	}
	if (before == protocol.Done || before == protocol.Cancelled) && state != before {
		c.violate(j, "went_back", "%s was %s, now %s", j.uid, before, state)
	}
	if state == protocol.Done && before != state && len(j.completed) < j.Tasks {
		c.violate(j, "not_done", "%s: %d of %d tasks have completed", j.uid, len(j.completed), j.Tasks)
	}
	if state == protocol.Cancelled && before != state {
		if !j.cancelRequested {
			c.violate(j, "went_back", "%s is called cancelled, and nobody asked for it", j.uid)
		}
		j.reportedCancelledAt = c.queue.Now()
		c.queue.After(c.cancelDeadline, func() {
			if len(j.placements) > 0 {
				c.violate(j, "ran_cancelled", "%s still has %d tasks", j.uid, len(j.placements))
			}
		})
	}
	if state != before {
		j.reportedState, j.reportedAt = state, c.queue.Now()
	}
}

// answerReceived checks the status of an answer about a job.
func (c *invariants) answerReceived(j *job, op string, status int) {
	if j.acceptedAt > 0 && (status == 404 || op == opSubmit && (status == 400 || status == 422)) {
		c.violate(j, "forgotten", "%s answered %d to %s", j.uid, status, op)
	}
}

// finished says whether its user has been told that the job has ended.
func (j *job) finished() bool {
	return j.reportedState == protocol.Done || j.reportedState == protocol.Cancelled
}

// checkForgottenJobs finds jobs about which no question was answered for long, while most other
// jobs' were. A region that answers nobody forgets nobody: it is down.
func (c *invariants) checkForgottenJobs() {
	const most = 90 * time.Second
	var silent *job
	unanswered, answered := 0, 0
	for _, j := range c.jobs {
		switch {
		case j.acceptedAt == 0 || j.finished():
		case c.queue.Now() > max(j.answeredAt, j.acceptedAt)+most:
			silent = j
			unanswered++
		default:
			answered++
		}
	}
	if silent != nil && answered > unanswered {
		c.violate(silent, "forgotten", "no question about %s was answered for %v", silent.uid, most)
	}
}
