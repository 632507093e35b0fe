package controller

import "claybarrow/internal/ratelimit"

// outbox collects the effects of the event that is being handled, and keeps the calls whose results are
// still to come. It accounts for the requests to the state service and the cloud.
type outbox struct {
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
	return &outbox{env: env, calls: map[uint64]func(Result){},
		stateRequests: ratelimit.New(state.RPS*stateRequestShare, state.RPS*stateRequestShare),
		stateChanges:  ratelimit.New(state.WriteRPS*stateChangeShare, state.WriteRPS*stateChangeBurst),
		cloudRequests: ratelimit.New(cloud.RPS*cloudRequestShare, cloud.RPS),
	}
}
