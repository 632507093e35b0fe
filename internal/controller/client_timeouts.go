package controller

import (
	"time"

	"claybarrow/internal/config"
)

// Timeouts of clients that the protocol fixes.
const (
	questionTimeout       = 2 * time.Second // a user who asks for a job's status
	userChangeTimeout     = 5 * time.Second // a user who submits or cancels a job
	readinessCheckTimeout = time.Second     // the load balancer
)

// ClientTimeout returns how long the sender of a request waits for the reply.
func ClientTimeout(cfg *config.Config, op Op) time.Duration {
	switch op {
	case OpPoll:
		return questionTimeout
	case OpSubmit, OpCancel:
		return userChangeTimeout
	case OpReady:
		return readinessCheckTimeout
	case OpRelay:
		return relayTimeout
	case OpWorkerHeartbeat:
		return heartbeatTimeout
	case OpForwardedHeartbeat:
		return forwardTimeout(cfg)
	case OpPeerHeartbeat:
		return peerHeartbeatTimeout(cfg)
	case OpProbe:
		return cfg.LeaderLease() // a suspicious detector waits for longer than its configured timeout
	}
	return questionTimeout
}

// forwardTimeout returns the timeout of a worker's heartbeat that is forwarded to the leader.
func forwardTimeout(cfg *config.Config) time.Duration {
	return min(cfg.WorkerLease()/forwardTimeoutDivisor, maxForwardTimeout)
}

// peerHeartbeatTimeout returns the timeout of a heartbeat to another controller.
func peerHeartbeatTimeout(cfg *config.Config) time.Duration {
	return cfg.WorkerLease() / peerHeartbeatTimeoutDivisor
}
