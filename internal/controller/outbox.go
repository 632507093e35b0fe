package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
	"claybarrow/internal/stateclient"
)

// outbox collects the effects of the current event, and holds the callbacks of the calls in flight. It counts the
// requests to the state service and the cloud against their rate limits. It exists for the lifetime of the process: a
// call receives its result even after the leadership that made it has ended, so its callback must check for that.
type outbox struct {
	// state and cloud are the clients of the state service and the cloud.
	state *stateclient.Client
	cloud *cloudclient.Client

	env   *environment
	pause *pauseRecovery
	// refusals counts the refused users' requests.
	refusals *refusalCounter

	effects    []Effect
	lastCallID uint64                  // the ID of the latest call
	callbacks  map[uint64]func(Result) // the callbacks of the calls in flight, by the call's ID

	stateRequests ratelimit.TokenBucket
	stateChanges  ratelimit.TokenBucket
	cloudRequests ratelimit.TokenBucket
}

// Shares of the rate limits of the state service and the cloud that a controller may use. The leader uses most of the
// state service's limits. The rest is for the other controllers, and for requests that the state service counts at a
// different time than this process.
const (
	stateRequestShare = 0.8
	stateChangeShare  = 0.9
	stateChangeBurst  = 0.8
	cloudRequestShare = 0.8
)

// retryAfterSeconds is the delay after which a refused requester should retry.
const retryAfterSeconds = 1

func newOutbox(env *environment) *outbox {
	state, cloud := env.cfg.Cluster.State.EffectiveLimits(), env.cfg.Cluster.Cloud
	o := &outbox{env: env, refusals: &refusalCounter{env: env, counts: map[refusal]int{}}, callbacks: map[uint64]func(Result){},
		stateRequests: ratelimit.New(state.RPS*stateRequestShare, state.RPS*stateRequestShare),
		stateChanges:  ratelimit.New(state.WriteRPS*stateChangeShare, state.WriteRPS*stateChangeBurst),
		cloudRequests: ratelimit.New(cloud.RPS*cloudRequestShare, cloud.RPS),
	}
	o.state, o.cloud = newStateClient(o), newCloudClient(o)
	return o
}

// call sends a request and calls onResult with its result. A body of any type other than []byte is encoded in the
// users' protocol.
func (o *outbox) call(target Target, addr, method, path string, body any, timeout time.Duration, onResult func(Result)) {
	o.callUntil(target, addr, method, path, body, timeout, 0, onResult)
}

// callUntil is like call for a request that must not be sent after the monotonic time validUntil; 0: no limit.
func (o *outbox) callUntil(
	target Target, addr, method, path string, body any, timeout, validUntil time.Duration, onResult func(Result),
) {
	o.lastCallID++
	o.callbacks[o.lastCallID] = onResult
	call := Call{ID: o.lastCallID, Target: target, Addr: addr, Method: method, Path: path, Timeout: timeout, ValidUntil: validUntil}
	if encoded, ok := body.([]byte); ok {
		call.Body = encoded
	} else if body != nil {
		call.Body = protocol.Encode(body)
	}
	o.effects = append(o.effects, call)
}

// stateCall sends a request to the state service. Any answer ends the recovery from a process pause, as it proves that
// this controller has contact with the state service again.
func (o *outbox) stateCall(method, path string, body any, timeout time.Duration, onResult func(Result)) {
	o.stateRequests.Take(o.env.now, 1)
	sent := o.env.now
	o.call(ToState, o.env.cfg.Services.State, method, path, body, timeout, func(res Result) {
		o.pause.recordAnswer(sent, res.Status != 0)
		onResult(res)
	})
}

// cloudCall sends a request to the cloud's API.
func (o *outbox) cloudCall(method, path string, body any, timeout time.Duration, onResult func(Result)) {
	o.cloudRequests.Take(o.env.now, 1)
	o.call(ToCloud, o.env.cfg.Services.Cloud, method, path, body, timeout, onResult)
}

// peerCall sends a request to another controller, with a body in the encoding of the protocol between
// controllers.
func (o *outbox) peerCall(label, path string, body []byte, timeout time.Duration, onResult func(Result)) {
	o.call(ToPeer, o.env.peerAddr(label), http.MethodPost, path, body, timeout, onResult)
}

// revokeLease revokes a lease at the state service before it expires. If the request fails the lease expires later.
func (o *outbox) revokeLease(lease uint64) {
	o.state.RevokeLease(lease, o.env.cfg.LeaderLease()/stateCallTimeoutDivisor, func(error) {})
}

// deliver passes the result of a call to the call's callback.
func (o *outbox) deliver(res Result) {
	if callback, ok := o.callbacks[res.ID]; ok {
		delete(o.callbacks, res.ID)
		callback(res)
	}
}

// reply answers a request. retryAfter is in seconds; 0: not stated.
func (o *outbox) reply(to requester, status int, body []byte, retryAfter int) {
	o.replyUntil(to, status, body, retryAfter, 0)
}

// replyUntil is like reply for an answer that must not be sent after the monotonic time validUntil; 0: no limit. A
// relayed request is answered with status 200 and the actual answer in the body, so that the relaying controller can
// distinguish the leader's refusal from a failure between the two controllers.
func (o *outbox) replyUntil(to requester, status int, body []byte, retryAfter int, validUntil time.Duration) {
	if to.relayed {
		body = protocol.EncodePeer(protocol.ForwardedReply{Status: status, Body: body, RetryAfter: retryAfter})
		status, retryAfter = http.StatusOK, 0
	}
	o.effects = append(o.effects, Reply{ID: to.id, Status: status, Body: body, RetryAfter: retryAfter, ValidUntil: validUntil})
}

// replyUnavailable refuses a request that this controller can't decide now, and states when to retry.
func (o *outbox) replyUnavailable(to requester) {
	o.reply(to, http.StatusServiceUnavailable, nil, retryAfterSeconds)
}

// refuse refuses a user's request that this controller can't decide now, and counts the reason.
func (o *outbox) refuse(to requester, reason refusal) {
	o.refusals.record(reason)
	o.replyUnavailable(to)
}

// replyStatus answers a request with the status of a job.
func (o *outbox) replyStatus(to requester, status int, job protocol.JobStatus) {
	o.reply(to, status, protocol.Encode(job), 0)
}

// replyRedirect answers a worker's heartbeat with the label of the controller that the worker should send its
// heartbeats to.
func (o *outbox) replyRedirect(to requester, label string) {
	o.reply(to, http.StatusMisdirectedRequest, protocol.Encode(protocol.Redirect{Leader: label}), 0)
}
