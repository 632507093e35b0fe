package scalerun

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Operations of a client; they are keys of RegionResult.Statuses.
const (
	opSubmit = "submit"
	opPoll   = "poll"
	opCancel = "cancel"
)

// Times of the protocol's clients. A submission that is not decided within submitDeadline is given up.
const (
	pollInterval    = 5 * time.Second
	pollTimeout     = 2 * time.Second
	decisionTimeout = 5 * time.Second
	retryPause      = time.Second
	maxRetryPause   = 30 * time.Second
	submitDeadline  = 60 * time.Second
)

// users are the clients of a region. They submit jobs at set rates, whatever becomes of those before
// (an open-loop load), poll each until it has ended, and cancel some.
type users struct {
	region  *region
	client  *http.Client
	random  *rand.Rand // used by the event loop alone
	lastJob int
}

func newUsers(r *region) *users {
	return &users{region: r, random: rand.New(rand.NewPCG(r.plan.Run.Seed, uint64(r.number)+100)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// startArrivals starts the arrivals of each class. The event loop calls it.
func (u *users) startArrivals() {
	for i := range u.region.plan.Load {
		load := &u.region.plan.Load[i]
		rate := load.StartsPerS / float64(load.Tasks) / float64(u.region.plan.Fleet.Regions)
		u.scheduleArrival(load, rate)
	}
}

// scheduleArrival submits a job of a class after an exponentially distributed time, and schedules the
// next one (a Poisson process).
func (u *users) scheduleArrival(load *LoadPlan, perSecond float64) {
	u.region.loop.queue.After(time.Duration(u.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if u.region.closing {
			return
		}
		u.submit(load)
		u.scheduleArrival(load, perSecond)
	})
}

// submit makes a job of a class and submits it until it is decided.
func (u *users) submit(load *LoadPlan) {
	r := u.region
	u.lastJob++
	uid := fmt.Sprintf("j-%d%07d", r.number, u.lastJob)
	j := &job{uid: uid, class: load.Name, team: teamName(u.random.IntN(r.plan.Teams.Count)), load: load, spread: load.Spread,
		Job: emulator.Job{Image: load.Name + "-" + strconv.Itoa(u.random.IntN(load.Images)), ImageGB: load.ImageGB, Tasks: load.Tasks,
			Gang: load.Shape == "group", Service: load.Shape == "service", Cores: load.Cores, Accel: load.Accelerators, Memory: load.MemoryGB},
		submittedAt: r.loop.queue.Now(), completed: map[string]bool{}, started: map[string]bool{}, placements: map[string]*placement{}, tasksByZone: map[string]int{}}
	r.invariants.jobs[uid] = j
	u.requestUntilDecided(j, opSubmit, u.description(j), func() { u.onAccepted(j) })
}

// description is the body of a submission.
func (u *users) description(j *job) []byte {
	estimate := j.load.RunS
	if j.Service {
		estimate = 0
	}
	return protocol.Encode(map[string]any{"uid": j.uid, "tier": j.class, "owner": j.team, "shape": j.load.Shape, "rank": j.load.Priority,
		"shards": j.Tasks, "cores": j.Cores, "accelerators": j.Accel, "ramGb": j.Memory, "bundle": j.Image, "sizeGb": j.ImageGB,
		"flavours": nil, "yard": nil, "together": false, "apart": j.spread, "borrowed": false, "expectS": estimate,
		"saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil})
}

// onAccepted begins to poll a job, and schedules its cancellation: services are cancelled at the end of
// their time, a share of the other jobs halfway.
func (u *users) onAccepted(j *job) {
	r := u.region
	if j.acceptedAt == 0 {
		j.acceptedAt = r.loop.queue.Now()
		r.metrics.accepted(j.acceptedAt - j.submittedAt)
		u.poll(j)
	}
	end := j.load.RunS
	switch {
	case j.Service:
	case u.random.Float64() < j.load.Cancelled:
		end /= 2
	default:
		return
	}
	r.loop.queue.After(seconds(end), func() {
		if !j.finished() && !r.closing {
			j.cancelRequested = true
			j.note(r.loop.queue.Now(), "its user asks to cancel it")
			u.requestUntilDecided(j, opCancel, nil, func() {})
		}
	})
}

// poll asks about a job every pollInterval until the client is told that it has ended.
func (u *users) poll(j *job) {
	r := u.region
	r.loop.queue.After(pollInterval, func() {
		if j.finished() || r.closing {
			u.forgetFinished(j)
			return
		}
		u.send(j, opPoll, nil, func(int, time.Duration) {})
		u.poll(j)
	})
}

// forgetFinished drops the record of a job that has ended, once the deadline for its tasks has passed
// twice and they are gone; it bounds the memory of a long run.
func (u *users) forgetFinished(j *job) {
	r := u.region
	r.loop.queue.After(2*r.invariants.cancelDeadline, func() {
		if len(j.placements) == 0 {
			delete(r.invariants.jobs, j.uid)
		}
	})
}

// requestUntilDecided retries a request until it succeeds, after the pause that the answer names. It gives
// up when the run is over, and a submission after submitDeadline.
func (u *users) requestUntilDecided(j *job, op string, body []byte, decided func()) {
	r := u.region
	first := r.loop.queue.Now()
	var again func()
	again = func() {
		u.send(j, op, body, func(status int, wait time.Duration) {
			if succeeded(status) {
				decided()
				return
			}
			if r.closing || r.loop.queue.Now() > first+submitDeadline && op == opSubmit {
				r.metrics.givenUp++
				return
			}
			r.loop.queue.After(max(retryPause, min(wait, maxRetryPause)), again)
		})
	}
	again()
}

// succeeded says whether a status accepts a request.
func succeeded(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// send makes one request, and calls then with its answer on the event loop; status 0: there was none.
func (u *users) send(j *job, op string, body []byte, then func(status int, retryAfter time.Duration)) {
	r := u.region
	c := r.controlPlane.pick()
	if c == nil {
		r.metrics.answer(op, 0)
		then(0, 0)
		return
	}
	sent := r.loop.queue.Now()
	go func() {
		status, answer, wait := u.exchange(c.clientAddress, op, j.uid, body)
		r.loop.post(func() {
			r.metrics.answer(op, status)
			u.checkAnswer(j, op, status, answer, sent)
			then(status, wait)
		})
	}()
}

// checkAnswer checks an answer against the invariants.
func (u *users) checkAnswer(j *job, op string, status int, body []byte, sent time.Duration) {
	r := u.region
	r.invariants.answerReceived(j, op, status)
	if !succeeded(status) {
		return
	}
	var s protocol.JobStatus
	if err := protocol.Decode(body, &s); err != nil {
		r.fail(fmt.Errorf("an answer about %s can't be read: %w", j.uid, err))
		return
	}
	j.answeredAt = r.loop.queue.Now()
	r.invariants.statusReported(j, s.State, sent)
}

// exchange makes one request and reads its answer; status 0: there was none in time.
func (u *users) exchange(addr, op, uid string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	method, path, wait := "POST", "/api/jobs", decisionTimeout
	switch op {
	case opPoll:
		method, path, wait = "GET", "/api/jobs/"+uid, pollTimeout
	case opCancel:
		path = "/api/jobs/" + uid + "/withdraw"
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	response, err := u.client.Do(request)
	if err != nil {
		return 0, nil, 0
	}
	defer closeQuietly(response.Body)
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, 0
	}
	after, _ := strconv.Atoi(strings.TrimSpace(response.Header.Get("Retry-After"))) // absent: 0
	return response.StatusCode, answer, time.Duration(after) * time.Second
}
