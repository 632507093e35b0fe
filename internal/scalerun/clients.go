package scalerun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Operations of a client. statusKey builds the keys of RegionResult.Answers from them.
const (
	opSubmit = "submit"
	opPoll   = "poll"
	opCancel = "cancel"
)

// Timing of the emulated clients. A client retries a submission, also a rejected one, until a controller accepts it or
// submitDeadline has passed.
const (
	pollInterval    = 5 * time.Second
	pollTimeout     = 2 * time.Second
	decisionTimeout = 5 * time.Second
	minRetryDelay   = time.Second
	maxRetryDelay   = 30 * time.Second
	submitDeadline  = 60 * time.Second
)

const (
	maxIdleConnections    = 64 // for each controller
	idleConnectionTimeout = 30 * time.Second
	// clientSeedOffset gives the clients a random sequence that differs from that of every region.
	clientSeedOffset = 100
)

// clients emulates all clients of a region. They submit jobs at fixed rates, independent of the progress of
// earlier jobs (an open-loop load), poll each job until it has ended, and cancel some of the jobs.
type clients struct {
	region        *region
	httpClient    *http.Client
	random        *rand.Rand // used by the event loop only
	jobsSubmitted int
}

func newClients(r *region) *clients {
	return &clients{region: r, random: rand.New(rand.NewPCG(r.plan.Run.Seed, uint64(r.number)+clientSeedOffset)),
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// startArrivals starts the arrival process of each job class. It must be called on the event loop.
func (c *clients) startArrivals() {
	for i := range c.region.plan.Load {
		load := &c.region.plan.Load[i]
		rate := load.StartsPerS / float64(load.Tasks) / float64(c.region.plan.Fleet.Regions)
		c.scheduleArrival(load, rate)
	}
}

// scheduleArrival submits a job of a class after an exponentially distributed delay and then schedules the next
// arrival (a Poisson process).
func (c *clients) scheduleArrival(load *LoadPlan, perSecond float64) {
	c.region.loop.queue.After(time.Duration(c.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if c.region.closing {
			return
		}
		c.submit(load)
		c.scheduleArrival(load, perSecond)
	})
}

// submit creates a job of a class and sends its submission until a controller accepts it or submitDeadline has passed.
func (c *clients) submit(load *LoadPlan) {
	r := c.region
	c.jobsSubmitted++
	uid := fmt.Sprintf("j-%d%07d", r.number, c.jobsSubmitted)
	j := &job{uid: uid, class: load.Name, team: teamName(c.random.IntN(r.plan.Teams.Count)), load: load, spread: load.Spread,
		Job: emulator.Job{Image: load.Name + "-" + strconv.Itoa(c.random.IntN(load.Images)), ImageGB: load.ImageGB, Tasks: load.Tasks,
			Gang: load.Shape == "group", Service: load.Shape == "service", Cores: load.Cores, Accelerators: load.Accelerators, MemoryGB: load.MemoryGB},
		submittedAt: r.loop.queue.Now(), completed: map[string]bool{}, started: map[string]bool{}, starts: map[attemptStart]bool{}, placements: map[string]*placement{}, tasksByZone: map[string]int{}}
	r.invariants.jobs[uid] = j
	c.requestUntilAccepted(j, opSubmit, c.submissionBody(j), func() { c.onAccepted(j) })
}

// submissionBody returns the encoded body of a job's submission.
func (c *clients) submissionBody(j *job) []byte {
	estimate := j.load.RunS
	if j.Service {
		estimate = 0
	}
	return protocol.Encode(map[string]any{"uid": j.uid, "tier": j.class, "owner": j.team, "shape": j.load.Shape, "rank": j.load.Priority,
		"shards": j.Tasks, "cores": j.Cores, "accelerators": j.Accelerators, "ramGb": j.MemoryGB, "bundle": j.Image, "sizeGb": j.ImageGB,
		"flavours": nil, "yard": nil, "together": false, "apart": j.spread, "borrowed": false, "expectS": estimate,
		"saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil})
}

// onAccepted starts polling an accepted job and schedules its cancellation: each service is cancelled after run_s,
// and the configured share of the other jobs after half of run_s.
func (c *clients) onAccepted(j *job) {
	r := c.region
	if j.acceptedAt == 0 {
		j.acceptedAt = r.loop.queue.Now()
		r.metrics.jobAccepted(j.acceptedAt - j.submittedAt)
		c.poll(j)
		if r.soakUsers != nil {
			r.soakUsers.accepted(j)
		}
	}
	cancelAfterS := j.load.RunS
	switch {
	case j.Service:
	case c.random.Float64() < j.load.Cancelled:
		cancelAfterS /= 2
	default:
		return
	}
	r.loop.queue.After(seconds(cancelAfterS), func() {
		c.cancel(j)
	})
}

// cancel requests to cancel a job that has not ended, until a controller confirms it.
func (c *clients) cancel(j *job) {
	r := c.region
	if j.finished() || j.cancelRequested || r.closing {
		return
	}
	j.cancelRequested = true
	j.addHistory(r.loop.queue.Now(), "client requests to cancel the job")
	c.requestUntilAccepted(j, opCancel, nil, func() {})
}

// cancelShare requests to cancel a random share of the accepted jobs at once.
func (c *clients) cancelShare(share float64) {
	for _, uid := range slices.Sorted(maps.Keys(c.region.invariants.jobs)) {
		if j := c.region.invariants.jobs[uid]; j.acceptedAt > 0 && c.random.Float64() < share {
			c.cancel(j)
		}
	}
}

// poll requests a job's status every pollInterval until a response reports that the job has ended.
func (c *clients) poll(j *job) {
	r := c.region
	r.loop.queue.After(pollInterval, func() {
		if j.finished() || r.closing {
			c.deleteFinished(j)
			return
		}
		c.send(j, opPoll, nil, func(int, time.Duration) {})
		c.poll(j)
	})
}

// deleteFinished deletes the record of a finished job after twice the cancellation deadline, if none of its tasks
// is still on a machine. This bounds the memory of a long run.
func (c *clients) deleteFinished(j *job) {
	r := c.region
	r.loop.queue.After(2*r.invariants.cancelDeadline, func() {
		if len(j.placements) == 0 {
			delete(r.invariants.jobs, j.uid)
		}
	})
}

// requestUntilAccepted retries a request until it succeeds. It waits for the response's Retry-After between attempts,
// limited to the range from minRetryDelay to maxRetryDelay. It stops retrying when the run is closing, and stops
// retrying a submission after submitDeadline.
func (c *clients) requestUntilAccepted(j *job, op string, body []byte, onSuccess func()) {
	r := c.region
	firstSentAt := r.loop.queue.Now()
	var attempt func()
	attempt = func() {
		c.send(j, op, body, func(status int, retryAfter time.Duration) {
			if succeeded(status) {
				onSuccess()
				return
			}
			if r.closing || r.loop.queue.Now() > firstSentAt+submitDeadline && op == opSubmit {
				r.metrics.requestsGivenUp++
				return
			}
			r.loop.queue.After(max(minRetryDelay, min(retryAfter, maxRetryDelay)), attempt)
		})
	}
	attempt()
}

// succeeded reports whether a status is 200 or 201.
func succeeded(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// send makes one request and calls onResult with its result on the event loop. Status 0 means that there was no
// response.
func (c *clients) send(j *job, op string, body []byte, onResult func(status int, retryAfter time.Duration)) {
	if balancer := c.region.controlPlane.balancer; balancer != nil {
		c.sendBalanced(balancer, nil, j, op, body, onResult)
		return
	}
	controller := c.region.controlPlane.pick()
	if controller == nil {
		c.region.metrics.responseReceived(op, 0)
		onResult(0, 0)
		return
	}
	c.sendTo(controller, j, op, body, func(status int, retryAfter time.Duration, _ bool) { onResult(status, retryAfter) })
}

// sendBalanced makes one request over the connection of the job's user. If a controller accepts no connection, it tries
// others, maxConnectAttempts in all; tried holds those before.
func (c *clients) sendBalanced(balancer *loadBalancer, tried []*controller, j *job, op string, body []byte, onResult func(status int, retryAfter time.Duration)) {
	controller := balancer.route(j.uid, tried)
	if controller == nil {
		c.region.metrics.responseReceived(op, 0)
		onResult(0, 0)
		return
	}
	c.sendTo(controller, j, op, body, func(status int, retryAfter time.Duration, connected bool) {
		balancer.answered(j.uid, controller, connected, status != 0)
		if tried = append(tried, controller); !connected && len(tried) < maxConnectAttempts {
			c.sendBalanced(balancer, tried, j, op, body, onResult)
			return
		}
		onResult(status, retryAfter)
	})
}

// sendTo is like send for a request to a given controller. connected tells whether it accepted a connection.
func (c *clients) sendTo(controller *controller, j *job, op string, body []byte, onResult func(status int, retryAfter time.Duration, connected bool)) {
	r := c.region
	sentAt := r.loop.queue.Now()
	go func() {
		status, answer, retryAfter, connected := c.roundTrip(controller.clientAddress, op, j.uid, body)
		r.loop.post(func() {
			r.metrics.responseReceived(op, status)
			c.checkResponse(j, op, status, answer, sentAt)
			if r.soakUsers != nil && succeeded(status) {
				r.soakUsers.answered(controller.label)
			}
			onResult(status, retryAfter, connected)
		})
	}()
}

// checkResponse checks a response against the invariants.
func (c *clients) checkResponse(j *job, op string, status int, body []byte, sentAt time.Duration) {
	r := c.region
	r.invariants.responseReceived(j, op, status)
	if !succeeded(status) {
		return
	}
	var reported protocol.JobStatus
	if err := protocol.Decode(body, &reported); err != nil {
		r.fail(fmt.Errorf("decode response about job %s: %w", j.uid, err))
		return
	}
	j.answeredAt = r.loop.queue.Now()
	r.invariants.statusReported(j, reported.State, sentAt)
}

// roundTrip makes one request and reads its response. Status 0 means that no complete response arrived in time, and
// connected is false if no connection could be made.
func (c *clients) roundTrip(addr, op, uid string, body []byte) (status int, answer []byte, retryAfter time.Duration, connected bool) {
	method, path, timeout := http.MethodPost, "/api/jobs", decisionTimeout
	switch op {
	case opPoll:
		method, path, timeout = http.MethodGet, "/api/jobs/"+uid, pollTimeout
	case opCancel:
		path = "/api/jobs/" + uid + "/withdraw"
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0, false
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		var failed *net.OpError
		return 0, nil, 0, !errors.As(err, &failed) || failed.Op != "dial"
	}
	defer closeQuietly(response.Body)
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, 0, true
	}
	retryAfterS, _ := strconv.Atoi(strings.TrimSpace(response.Header.Get("Retry-After"))) // absent: 0
	return response.StatusCode, answer, time.Duration(retryAfterS) * time.Second, true
}
