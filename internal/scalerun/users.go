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

// What a user asks for.
const (
	opSubmit = "submit"
	opPoll   = "poll"
	opCancel = "cancel"
)

// Times of the protocol's users.
const (
	pollEvery    = 5 * time.Second
	pollWait     = 2 * time.Second
	decisionWait = 5 * time.Second
	retryPause   = time.Second
	mostRetry    = 30 * time.Second
	giveUp       = 60 * time.Second
)

// users submit at set rates whatever becomes of their jobs, ask about each until it is over,
// and cancel some.
type users struct {
	region *region
	client *http.Client
	random *rand.Rand // by the loop alone
	last   int
}

func newUsers(r *region) *users {
	return &users{region: r, random: rand.New(rand.NewPCG(r.plan.Run.Seed, uint64(r.number)+100)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
			DialContext: (&net.Dialer{Timeout: dialWithin}).DialContext}}}
}

// begin starts the arrivals of each class, by the loop.
func (u *users) begin() {
	for i := range u.region.plan.Load {
		load := &u.region.plan.Load[i]
		rate := load.StartsPerS / float64(load.Tasks) / float64(u.region.plan.Fleet.Regions)
		u.arrive(load, rate)
	}
}

// arrive submits a job of a class, and the next one after an exponential time.
func (u *users) arrive(load *LoadPlan, perSecond float64) {
	u.region.loop.agenda.After(time.Duration(u.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if u.region.closing {
			return
		}
		u.submit(load)
		u.arrive(load, perSecond)
	})
}

func (u *users) submit(load *LoadPlan) {
	r := u.region
	u.last++
	uid := fmt.Sprintf("j-%d%07d", r.number, u.last)
	j := &job{uid: uid, class: load.Name, team: teamName(u.random.IntN(r.plan.Teams.Count)), load: load, spread: load.Spread,
		Job: emulator.Job{Image: load.Name + "-" + strconv.Itoa(u.random.IntN(load.Images)), ImageGB: load.ImageGB, Tasks: load.Tasks,
			Gang: load.Shape == "group", Service: load.Shape == "service", Cores: load.Cores, Accel: load.Accelerators, Memory: load.MemoryGB},
		submitted: r.loop.agenda.Now(), done: map[string]bool{}, startedOnce: map[string]bool{}, places: map[string]*place{}, inZone: map[string]int{}}
	r.rules.jobs[uid] = j
	u.ask(j, opSubmit, u.description(j), func() { u.accepted(j) })
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

func (u *users) accepted(j *job) {
	r := u.region
	if j.accepted == 0 {
		j.accepted = r.loop.agenda.Now()
		r.measure.accepted(j.accepted - j.submitted)
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
	r.loop.agenda.After(seconds(end), func() {
		if !j.over() && !r.closing {
			j.cancelAsked = true
			j.note(r.loop.agenda.Now(), "its user asks to cancel it")
			u.ask(j, opCancel, nil, func() {})
		}
	})
}

// poll asks about a job every five seconds until it is over.
func (u *users) poll(j *job) {
	r := u.region
	r.loop.agenda.After(pollEvery, func() {
		if j.over() || r.closing {
			u.forget(j)
			return
		}
		u.send(j, opPoll, nil, func(int, time.Duration) {})
		u.poll(j)
	})
}

// forget drops what is no longer needed of a job that is over, once all its tasks are gone.
func (u *users) forget(j *job) {
	r := u.region
	r.loop.agenda.After(2*r.rules.cancel, func() {
		if len(j.places) == 0 {
			delete(r.rules.jobs, j.uid)
		}
	})
}

// ask repeats a request until it is decided.
func (u *users) ask(j *job, op string, body []byte, decided func()) {
	r := u.region
	first := r.loop.agenda.Now()
	var again func()
	again = func() {
		u.send(j, op, body, func(status int, wait time.Duration) {
			if status == 200 || status == 201 {
				decided()
				return
			}
			if r.closing || r.loop.agenda.Now() > first+giveUp && op == opSubmit {
				r.measure.givenUp++
				return
			}
			r.loop.agenda.After(max(retryPause, min(wait, mostRetry)), again)
		})
	}
	again()
}

// send makes one request, and tells of its answer by the loop; status 0: there was none.
func (u *users) send(j *job, op string, body []byte, then func(status int, retryAfter time.Duration)) {
	r := u.region
	c := r.pick()
	if c == nil {
		r.measure.answer(op, 0, 0)
		then(0, 0)
		return
	}
	started, sent := time.Now(), r.loop.agenda.Now()
	go func() {
		status, answer, wait := u.exchange(c.users, op, j.uid, body)
		took := time.Since(started)
		r.loop.post(func() {
			r.measure.answer(op, status, took)
			u.take(j, op, status, answer, sent)
			then(status, wait)
		})
	}()
}

// take checks an answer against the rules.
func (u *users) take(j *job, op string, status int, body []byte, sent time.Duration) {
	r := u.region
	r.rules.answers(j, op, status)
	if status != 200 && status != 201 {
		return
	}
	var s protocol.JobStatus
	if err := protocol.Decode(body, &s); err != nil {
		r.fail(fmt.Errorf("an answer about %s can't be read: %w", j.uid, err))
		return
	}
	j.answered = r.loop.agenda.Now()
	r.rules.tells(j, s.State, sent)
}

func (u *users) exchange(addr, op, uid string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	method, path, wait := "POST", "/api/jobs", decisionWait
	switch op {
	case opPoll:
		method, path, wait = "GET", "/api/jobs/"+uid, pollWait
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
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err != nil {
		return 0, nil, 0
	}
	after, _ := strconv.Atoi(strings.TrimSpace(response.Header.Get("Retry-After"))) // absent: 0
	return response.StatusCode, answer, time.Duration(after) * time.Second
}
