package scalerun

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// soakUsers makes the clients of a soak run behave as inconveniently as the protocol allows: they ask all controllers at
// once, repeat submissions of jobs that may be over, ask for jobs that nobody submitted, and send submissions that are
// malformed or can never run. It must be used on the event loop only.
type soakUsers struct {
	region *region
	random *rand.Rand
	// answeredAt is when each controller last answered a question, by label.
	answeredAt  map[string]time.Duration
	unknownJobs int
}

// Behavior of the clients of a soak run.
const (
	askEverywhereInterval  = 3 * time.Second
	invalidRequestInterval = 700 * time.Millisecond
	maxRepeatDelay         = 40 * time.Second
	repeatShare            = 0.5
	cancelShareOfJobs      = 0.15
	maxCancelDelay         = 15 * time.Second
)

func newSoakUsers(r *region, seed uint64) *soakUsers {
	return &soakUsers{region: r, random: rand.New(rand.NewPCG(seed, soakStream+2)), answeredAt: map[string]time.Duration{}}
}

// start starts the requests that belong to no accepted job.
func (u *soakUsers) start() {
	u.region.loop.every(invalidRequestInterval, u.sendInvalidRequest)
}

// answered records that a controller answered a question.
func (u *soakUsers) answered(label string) { u.answeredAt[label] = u.region.loop.queue.Now() }

// accepted begins to ask about an accepted job everywhere, and may repeat its submission or cancel it later.
func (u *soakUsers) accepted(j *job) {
	u.askEverywhere(j)
	queue := u.region.loop.queue
	if u.random.Float64() < repeatShare {
		queue.After(u.delay(maxRepeatDelay), func() {
			u.region.clients.send(j, opSubmit, u.region.clients.submissionBody(j), func(int, time.Duration) {})
		})
	}
	if !j.Service && u.random.Float64() < cancelShareOfJobs {
		queue.After(u.delay(maxCancelDelay), func() { u.region.clients.cancel(j) })
	}
}

func (u *soakUsers) delay(most time.Duration) time.Duration {
	return time.Duration(u.random.Float64() * float64(most))
}

// askEverywhere asks all healthy controllers about a job at once, again and again until some time after its end.
func (u *soakUsers) askEverywhere(j *job) {
	r := u.region
	if r.closing {
		return
	}
	for _, c := range r.controlPlane.controllers {
		if c.isHealthy() {
			r.clients.sendTo(c, j, opPoll, nil, func(int, time.Duration, bool) {})
		}
	}
	if !j.finished() || r.loop.queue.Now() < j.reportedAt+2*askEverywhereInterval {
		r.loop.queue.After(askEverywhereInterval, func() { u.askEverywhere(j) })
	}
}

// sendInvalidRequest sends a request that no controller may answer with success.
func (u *soakUsers) sendInvalidRequest() {
	r := u.region
	controller := r.controlPlane.pick()
	if controller == nil || r.closing {
		return
	}
	u.unknownJobs++
	j := u.unknownJob()
	body := protocol.Encode(u.invalidSubmission(j))
	op := []string{opPoll, opCancel, opSubmit}[u.unknownJobs%3]
	go func() {
		status, _, _, _ := r.clients.roundTrip(controller.clientAddress, op, j.uid, body)
		r.loop.post(func() { r.invariants.unknownJobAnswered(j, op, status) })
	}()
}

// unknownJob returns a job that is never submitted.
func (u *soakUsers) unknownJob() *job {
	load := &u.region.plan.Load[0]
	return &job{uid: fmt.Sprintf("j-9%07d", u.unknownJobs), class: load.Name, team: teamName(0), load: load,
		Job: emulator.Job{Image: "none", Tasks: 1, Cores: load.Cores, MemoryGB: load.MemoryGB}}
}

// invalidSubmission returns a submission that is malformed or can never run.
func (u *soakUsers) invalidSubmission(j *job) map[string]any {
	var fields map[string]any
	if err := protocol.Decode(u.region.clients.submissionBody(j), &fields); err != nil {
		u.region.fail(fmt.Errorf("decode an own submission: %w", err))
	}
	changed := maps.Clone(fields)
	switch u.random.IntN(4) {
	case 0:
		delete(changed, "owner")
	case 1:
		changed["shards"] = 0
	case 2:
		changed["owner"] = "nobody"
	default:
		changed["cores"] = 1e6
	}
	return changed
}

// unknownJobAnswered reports a violation if a request about a job that nobody submitted, or an invalid submission, was
// answered with success.
func (i *invariants) unknownJobAnswered(j *job, op string, status int) {
	if status != http.StatusOK && status != http.StatusCreated {
		return
	}
	rule := "invented"
	if op == opSubmit {
		rule = "invalid_accepted"
	}
	i.reportViolation(j, rule, "status %d was returned to %s of %s, which is no valid job", status, op, j.uid)
}
