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
	uid, class, team string
	load             *LoadPlan
	spread           bool
	submitted        time.Duration // first attempt
	accepted         time.Duration // 0: not yet
	told             protocol.JobState
	toldAt           time.Duration // when it was first told so
	cancelAsked      bool
	toldCancelled    time.Duration
	answered         time.Duration // when a question was last answered
	done             map[string]bool
	startedOnce      map[string]bool
	places           map[string]*place // tasks on machines, by task
	inZone           map[string]int
	history          []string
}

// place is where a task is.
type place struct {
	worker *emulator.Worker
	task   *emulator.Task
}

// mostHistory bounds what is kept of one job.
const mostHistory = 60

func (j *job) note(now time.Duration, format string, args ...any) {
	if len(j.history) < mostHistory {
		j.history = append(j.history, fmt.Sprintf("%.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// teamUse is what a team's tasks take now, and may take.
type teamUse struct{ cores, accel, coresMax, accelMax float64 }

// BrokenRule is a rule of the protocol that did not hold, with what is known of the job.
type BrokenRule struct {
	Rule    string   `json:"rule"`
	What    string   `json:"what"`
	AtS     float64  `json:"at_s"`
	Region  int      `json:"region"`
	History []string `json:"history"`
}

// Error is the rule and what happened.
func (b *BrokenRule) Error() string {
	return fmt.Sprintf("rule broken: %s: %s\n  %s", b.Rule, b.What, strings.Join(b.History, "\n  "))
}

// rules checks the protocol's rules as things happen.
type rules struct {
	agenda *emulator.EventQueue
	region int
	jobs   map[string]*job
	teams  map[string]*teamUse
	cancel time.Duration
	broken chan *BrokenRule
}

func newRules(agenda *emulator.EventQueue, region int, plan *Plan) *rules {
	r := &rules{agenda: agenda, region: region, jobs: map[string]*job{}, teams: map[string]*teamUse{},
		cancel: seconds(plan.Workers.CancelS), broken: make(chan *BrokenRule, 1)}
	for i := range plan.Teams.Count {
		r.teams[teamName(i)] = &teamUse{coresMax: plan.Teams.CoresMax / float64(plan.Fleet.Regions), accelMax: plan.Teams.AcceleratorsMax / float64(plan.Fleet.Regions)}
	}
	return r
}

func teamName(i int) string { return "team-" + strconv.Itoa(i) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// breaks reports a broken rule; the first one ends the run.
func (r *rules) breaks(j *job, rule, format string, args ...any) {
	b := &BrokenRule{Rule: rule, What: fmt.Sprintf(format, args...), AtS: r.agenda.Now().Seconds(), Region: r.region}
	if j != nil {
		b.History = j.history
	}
	select {
	case r.broken <- b:
	default:
	}
}

// begins checks the moment a task begins to be on its machine.
func (r *rules) begins(k *emulator.Worker, task string, t *emulator.Task) {
	j := r.jobs[t.UID]
	if j == nil {
		r.breaks(nil, "invented", "%s runs, and nobody submitted its job", task)
		return
	}
	now := r.agenda.Now()
	j.note(now, "%s begins on %s (%s, attempt %d)", task, k.ID, k.Zone, t.Try)
	if other := j.places[task]; other != nil {
		r.breaks(j, "ran_twice", "%s begins on %s while it is on %s", task, k.ID, other.worker.ID)
	}
	if j.toldCancelled > 0 {
		r.breaks(j, "ran_cancelled", "%s begins after its user was told of the cancellation", task)
	}
	j.places[task] = &place{k, t}
	j.inZone[k.Zone]++
	if most := (j.Tasks + 1) / 2; j.spread && j.inZone[k.Zone] > most {
		r.breaks(j, "wrong_place", "%d of %d tasks of %s in zone %s", j.inZone[k.Zone], j.Tasks, j.uid, k.Zone)
	}
	team := r.teams[j.team]
	team.cores += j.Cores
	team.accel += j.Accel
	const slack = 1e-3
	if team.coresMax > 0 && team.cores > team.coresMax+slack || team.accelMax > 0 && team.accel > team.accelMax+slack {
		r.breaks(j, "quota", "%s uses %.1f cores and %.1f accelerators", j.team, team.cores, team.accel)
	}
}

// leaves notes that a task is no longer on its machine.
func (r *rules) leaves(k *emulator.Worker, task string, t *emulator.Task) {
	j := r.jobs[t.UID]
	if j == nil || j.places[task] == nil || j.places[task].task != t {
		return
	}
	j.note(r.agenda.Now(), "%s leaves %s (%s %s)", task, k.ID, t.State, t.Cause)
	delete(j.places, task)
	j.inZone[k.Zone]--
	team := r.teams[j.team]
	team.cores -= j.Cores
	team.accel -= j.Accel
}

// tells checks what a user was told of a job, in answer to a request that was sent at a time. One
// that was under way while the user was told something may be answered with what held before.
func (r *rules) tells(j *job, state protocol.JobState, sent time.Duration) {
	before := j.told
	if state != before && sent < j.toldAt {
		return
	}
	if state != before {
		j.note(r.agenda.Now(), "its user is told %s", state)
	}
	if (before == protocol.Done || before == protocol.Cancelled) && state != before {
		r.breaks(j, "went_back", "%s was %s, now %s", j.uid, before, state)
	}
	if state == protocol.Done && before != state && len(j.done) < j.Tasks {
		r.breaks(j, "not_done", "%s: %d of %d tasks have completed", j.uid, len(j.done), j.Tasks)
	}
	if state == protocol.Cancelled && before != state {
		if !j.cancelAsked {
			r.breaks(j, "went_back", "%s is called cancelled, and nobody asked for it", j.uid)
		}
		j.toldCancelled = r.agenda.Now()
		r.agenda.After(r.cancel, func() {
			if len(j.places) > 0 {
				r.breaks(j, "ran_cancelled", "%s still has %d tasks", j.uid, len(j.places))
			}
		})
	}
	if state != before {
		j.told, j.toldAt = state, r.agenda.Now()
	}
}

// answers checks the status of an answer about a job.
func (r *rules) answers(j *job, op string, status int) {
	if j.accepted > 0 && (status == 404 || op == opSubmit && (status == 400 || status == 422)) {
		r.breaks(j, "forgotten", "%s answered %d to %s", j.uid, status, op)
	}
}

// over says whether its user has been told that the job has ended.
func (j *job) over() bool { return j.told == protocol.Done || j.told == protocol.Cancelled }

// lookForForgotten finds jobs about which no question was answered for long, while most other
// jobs' were. A region that answers nobody forgets nobody: it is down.
func (r *rules) lookForForgotten() {
	const most = 90 * time.Second
	var silent *job
	unanswered, answered := 0, 0
	for _, j := range r.jobs {
		switch {
		case j.accepted == 0 || j.over():
		case r.agenda.Now() > max(j.answered, j.accepted)+most:
			silent = j
			unanswered++
		default:
			answered++
		}
	}
	if silent != nil && answered > unanswered {
		r.breaks(silent, "forgotten", "no question about %s was answered for %v", silent.uid, most)
	}
}
