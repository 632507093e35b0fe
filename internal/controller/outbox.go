package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
	"claybarrow/internal/stateclient"
)

// outbox collects the effects of the event that is being handled, and holds what is to be done with the
// results of the calls that are under way. It counts the requests to the state service and the cloud against
// their limits. It belongs to the process: calls of a leadership that has ended still get their results, and
// their callbacks must check whether they still matter.
type outbox struct {
	// state and cloud are the clients of the state service and the cloud.
	state *stateclient.Client
	cloud *cloudclient.Client

	env   *environment
	pause *pauseRecovery

	effects  []Effect
	lastCall uint64 // the last ID given to a call
	calls    map[uint64]func(Result)

	stateRequests ratelimit.TokenBucket
	stateChanges  ratelimit.TokenBucket
	cloudRequests ratelimit.TokenBucket
}

// Shares of the limits of the state service and the cloud that a controller uses. Most of the state service's
// is the leader's; the rest is left to the other controllers and to requests that are counted at another
// moment here than there.
const (
	stateRequestShare = 0.8
	stateChangeShare  = 0.9
	stateChangeBurst  = 0.8
	cloudRequestShare = 0.8
)

// retryAfterSeconds is when a requester that is refused should come back.
const retryAfterSeconds = 1

func newOutbox(env *environment) *outbox {
	state, cloud := env.cfg.Cluster.State.EffectiveLimits(), env.cfg.Cluster.Cloud
	o := &outbox{env: env, calls: map[uint64]func(Result){},
		stateRequests: ratelimit.New(state.RPS*stateRequestShare, state.RPS*stateRequestShare),
		stateChanges:  ratelimit.New(state.WriteRPS*stateChangeShare, state.WriteRPS*stateChangeBurst),
		cloudRequests: ratelimit.New(cloud.RPS*cloudRequestShare, cloud.RPS),
	}
	o.state, o.cloud = newStateClient(o), newCloudClient(o)
	return o
}

// call sends a request and has then called with its result. A body that is no []byte is encoded as the users'
// protocol has it.
func (o *outbox) call(target Target, addr, method, path string, body any, timeout time.Duration, then func(Result)) {
	o.callUntil(target, addr, method, path, body, timeout, 0, then)
}

// callUntil is call for a request that must not be sent after a steady time; 0: no limit.
func (o *outbox) callUntil(
	target Target, addr, method, path string, body any, timeout, until time.Duration, then func(Result),
) {
	o.lastCall++
	o.calls[o.lastCall] = then
	call := Call{ID: o.lastCall, Target: target, Addr: addr, Method: method, Path: path, Timeout: timeout, ValidUntil: until}
	if encoded, ok := body.([]byte); ok {
		call.Body = encoded
	} else if body != nil {
		call.Body = protocol.Encode(body)
	}
	o.effects = append(o.effects, call)
}

// stateCall sends a request to the state service. Its answer proves after a process pause that this controller
// is in contact again.
func (o *outbox) stateCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	o.stateRequests.Take(o.env.now, 1)
	sent := o.env.now
	o.call(ToState, o.env.cfg.Services.State, method, path, body, timeout, func(res Result) {
		o.pause.noteAnswer(sent, res.Status != 0)
		then(res)
	})
}

// cloudCall sends a request to the cloud's API.
func (o *outbox) cloudCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	o.cloudRequests.Take(o.env.now, 1)
	o.call(ToCloud, o.env.cfg.Services.Cloud, method, path, body, timeout, then)
}

// peerCall sends a request to another controller, with a body in the encoding of the protocol between
// controllers.
func (o *outbox) peerCall(label, path string, body []byte, timeout time.Duration, then func(Result)) {
	o.call(ToPeer, o.env.peerAddr(label), http.MethodPost, path, body, timeout, then)
}

// revokeLease ends a lease at the state service ahead of its time. If the request fails the lease expires.
func (o *outbox) revokeLease(lease uint64) {
	o.state.RevokeLease(lease, o.env.cfg.LeaderLease()/stateCallTimeoutDivisor, func(error) {})
}

// deliver hands the result of a call to the function that waits for it.
func (o *outbox) deliver(res Result) {
	if then, ok := o.calls[res.ID]; ok {
		delete(o.calls, res.ID)
		then(res)
	}
}

// reply answers a request. retryAfter is in seconds; 0: not stated.
func (o *outbox) reply(to requester, status int, body []byte, retryAfter int) {
	o.replyUntil(to, status, body, retryAfter, 0)
}

// replyUntil is reply for an answer that must not be sent after a steady time; 0: no limit. What was relayed is
// answered with status 200 and the real answer inside, so that the relaying controller can tell the leader's
// refusal from a failure on the way.
func (o *outbox) replyUntil(to requester, status int, body []byte, retryAfter int, until time.Duration) {
	if to.relayed {
		body = protocol.EncodePeer(protocol.ForwardedReply{Status: status, Body: body, RetryAfter: retryAfter})
		status, retryAfter = http.StatusOK, 0
	}
	o.effects = append(o.effects, Reply{ID: to.id, Status: status, Body: body, RetryAfter: retryAfter, ValidUntil: until})
}

// replyUnavailable refuses a request that can't be decided here and now, and says when to come back.
func (o *outbox) replyUnavailable(to requester) {
	o.reply(to, http.StatusServiceUnavailable, nil, retryAfterSeconds)
}

// replyStatus answers a request with the status of a job.
func (o *outbox) replyStatus(to requester, status int, job protocol.JobStatus) {
	o.reply(to, status, protocol.Encode(job), 0)
}

// replyRedirect tells a worker to send its heartbeats to another controller.
func (o *outbox) replyRedirect(to requester, label string) {
	o.reply(to, http.StatusMisdirectedRequest, protocol.Encode(protocol.Redirect{Leader: label}), 0)
}
