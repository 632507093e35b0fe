package transport

import (
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// eventClass is a class of events that wait for the event loop. Classes compete for the loop's time by their weights.
type eventClass int

// The classes. Of classes with the same claim, the one that stands first here is served first.
const (
	classStateResult  eventClass = iota // responses of the state service; served before all other classes
	classTick                           // ticks, which renew the leader's lease
	classPeer                           // heartbeats and probes of other controllers
	classReadiness                      // the load balancer's readiness checks
	classPeerResult                     // responses of other controllers, among them the answers to relayed requests
	classWorkerResult                   // responses of workers and the cloud
	classHeartbeat                      // workers' heartbeats, direct and forwarded
	classQuestion                       // users' questions about jobs
	classChange                         // users' submissions and cancellations
	classRelay                          // users' requests that other controllers relay
)

// classCount is the number of classes.
const classCount = int(classRelay) + 1

// String returns the name of the class in log lines and metrics.
func (c eventClass) String() string {
	return [classCount]string{"state_result", "tick", "peer", "readiness", "peer_result", "worker_result", "heartbeat",
		"question", "change", "relay"}[c]
}

// classWeights are the shares of the event loop's time that the classes get while all of them have events waiting.
// An unused share goes to the other classes. The users' classes together get a ninth, so that an overload by users
// leaves the workers the time that their heartbeats need.
var classWeights = [classCount]float64{
	classTick:         6,
	classPeer:         3,
	classReadiness:    1,
	classPeerResult:   4,
	classWorkerResult: 4,
	classHeartbeat:    6,
	classQuestion:     1,
	classChange:       1,
	classRelay:        1,
}

// classOf returns the class of a request.
func classOf(op controller.Op) eventClass {
	switch op {
	case controller.OpSubmit, controller.OpCancel:
		return classChange
	case controller.OpPoll:
		return classQuestion
	case controller.OpReady:
		return classReadiness
	case controller.OpRelay:
		return classRelay
	case controller.OpWorkerHeartbeat, controller.OpForwardedHeartbeat:
		return classHeartbeat
	case controller.OpPeerHeartbeat, controller.OpProbe:
		return classPeer
	}
	return classChange
}

// resultClass returns the class of the response to a call.
func resultClass(target controller.Target) eventClass {
	switch target {
	case controller.ToState:
		return classStateResult
	case controller.ToPeer:
		return classPeerResult
	case controller.ToCloud, controller.ToWorker:
		return classWorkerResult
	}
	return classWorkerResult
}

// classCapacity returns how many requests of a class may wait. Responses and ticks are bounded by the calls in flight
// and need no limit of their own.
func classCapacity(class eventClass, maxSockets int) int {
	switch class {
	case classHeartbeat:
		// Each worker waits for one response at a time, so the connection limit bounds the heartbeats, too.
		return max(minRequestQueueSize, maxSockets/2)
	case classQuestion, classChange, classRelay:
		return max(minRequestQueueSize, maxSockets/4)
	case classPeer, classReadiness:
		return max(minRequestQueueSize, maxSockets/8)
	case classStateResult, classTick, classPeerResult, classWorkerResult:
		return 0 // not limited here
	}
	return minRequestQueueSize
}

// queueWaitPercent is the share of a client's timeout that its request may wait for the event loop. The rest is for
// the way there and back, and for the answer itself.
const queueWaitPercent = 75

// queueWait returns how long a request may wait for the event loop.
func queueWait(cfg *config.Config, op controller.Op) time.Duration {
	return controller.ClientTimeout(cfg, op) * queueWaitPercent / 100
}

// shortestQueueWait returns the shortest time that a request of any operation may wait.
func shortestQueueWait(cfg *config.Config) time.Duration {
	shortest := queueWait(cfg, controller.OpReady)
	for _, op := range []controller.Op{controller.OpRelay, controller.OpForwardedHeartbeat, controller.OpPeerHeartbeat, controller.OpProbe} {
		shortest = min(shortest, queueWait(cfg, op))
	}
	return shortest
}
