package controller

import (
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
	"claybarrow/internal/stateclient"
)

// outbox collects the effects of the event that is being handled, and keeps the calls whose results are
// still to come. It accounts for the requests to the state service and the cloud.
type outbox struct {
	// state and cloud are the clients of the state service and the cloud.
	state *stateclient.Client
	cloud *cloudclient.Client

	env   *environment
	pause *pauseRecovery

	effects       []Effect
	lastCall      uint64
	calls         map[uint64]func(Result)
	stateRequests ratelimit.TokenBucket
	stateChanges  ratelimit.TokenBucket
	cloudRequests ratelimit.TokenBucket
}

// Shares of the limits of the state service and the cloud that a controller uses. Most of the state
// service's is the leader's; the rest is left to the other controllers and to what is counted wrongly.
const (
	stateRequestShare = 0.8
	stateChangeShare  = 0.9
	stateChangeBurst  = 0.8
	cloudRequestShare = 0.8
)

func newOutbox(env *environment) *outbox {
	state, cloud := env.cfg.Cluster.State.Both(), env.cfg.Cluster.Cloud
	o := &outbox{env: env, calls: map[uint64]func(Result){},
		stateRequests: ratelimit.New(state.RPS*stateRequestShare, state.RPS*stateRequestShare),
		stateChanges:  ratelimit.New(state.WriteRPS*stateChangeShare, state.WriteRPS*stateChangeBurst),
		cloudRequests: ratelimit.New(cloud.RPS*cloudRequestShare, cloud.RPS),
	}
	o.state, o.cloud = newStateClient(o), newCloudClient(o)
	return o
}

func (o *outbox) call(t Target, addr, method, path string, body any, timeout time.Duration, then func(Result)) {
	o.callUntil(t, addr, method, path, body, timeout, 0, then)
}

// callUntil is a call that must not leave after a moment.
func (o *outbox) callUntil(t Target, addr, method, path string, body any, timeout, until time.Duration, then func(Result)) {
	o.lastCall++
	o.calls[o.lastCall] = then
	e := Call{ID: o.lastCall, Target: t, Addr: addr, Method: method, Path: path, Timeout: timeout, ValidUntil: until}
	if b, ok := body.([]byte); ok {
		e.Body = b
	} else if body != nil {
		e.Body = protocol.Encode(body)
	}
	o.effects = append(o.effects, e)
}

func (o *outbox) stateCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	o.stateRequests.Take(o.env.now, 1)
	sent := o.env.now
	o.call(ToState, o.env.cfg.Services.State, method, path, body, timeout, func(r Result) {
		o.pause.noteAnswer(sent, r.Status != 0)
		then(r)
	})
}

func (o *outbox) cloudCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	o.cloudRequests.Take(o.env.now, 1)
	o.call(ToCloud, o.env.cfg.Services.Cloud, method, path, body, timeout, then)
}

// revokeLease gives a lease back, if that can be done.
func (o *outbox) revokeLease(lease uint64) {
	o.state.RevokeLease(lease, o.env.cfg.LeaderTTL()/2, func(error) {})
}

func (o *outbox) reply(to requester, status int, body []byte, retryAfter int) {
	o.replyUntil(to, status, body, retryAfter, 0)
}

func (o *outbox) replyUntil(to requester, status int, body []byte, retryAfter int, until time.Duration) {
	if to.relay {
		body = protocol.EncodePeer(protocol.RelayReply{Status: status, Body: body, RetryAfter: retryAfter})
		status, retryAfter = 200, 0
	}
	o.effects = append(o.effects, Reply{ID: to.id, Status: status, Body: body, RetryAfter: retryAfter, ValidUntil: until})
}

// replyUnavailable answers at once that it can't be decided now.
func (o *outbox) replyUnavailable(to requester) { o.reply(to, 503, nil, retryAfterSeconds) }

func (o *outbox) replyStatus(to requester, status int, s protocol.JobStatus) {
	o.reply(to, status, protocol.Encode(s), 0)
}
