package controller

import (
	"time"

	"claybarrow/internal/membership"
)

// Observer receives the events and measurements behind the controller's metrics and traces. Its methods are called on
// the controller's goroutine while an event is handled, so they must not block. They return nothing, so that an
// observer can't influence the controller's decisions.
type Observer interface {
	// DetectorSampled reports the state of the failure detector once per workers' lease: its local health score, from 0
	// (healthy: it trusts its own observations) to 8 (it hardly trusts them), and its counters since the process
	// started.
	DetectorSampled(health int, counters membership.Counters)
	// MemberChanged reports a change of another controller's state in the failure detector.
	MemberChanged(membership.StateChange)
	// PeerMessageDropped reports a message from another controller's failure detector that was rejected.
	PeerMessageDropped(membership.DroppedMessage)
	// FailedOver reports a finished failover. The new leader calls it at its first placement, or a workers' lease after
	// the records were loaded if there was no placement.
	FailedOver(Failover)
	// GateChanged reports a change of the feature gate's state. Only the leader calls it.
	GateChanged(GateChange)
	// JournalSized reports the size of the completion journal. The leader calls it once per workers' lease.
	JournalSized(JournalSize)
	// MachineRedirected reports that the worker of a machine was redirected to the controller with the label to.
	MachineRedirected(machine, to string)
	// MachinesExcluded reports how many machines get no tasks, by reason. The leader calls it once per workers' lease.
	MachinesExcluded(countByReason map[ExclusionReason]int)
	// QuarantineChanged reports that a machine's circuit breaker was opened, made half-open or closed.
	QuarantineChanged(QuarantineChange)
	// RequestRerouted reports a request that was sent to the leader through another controller.
	RequestRerouted()
	// RequestRetried reports a request to the leader whose retry was scheduled.
	RequestRetried()
	// RequestRefused reports a user's request that was answered with status 503 or 429, and the reason.
	RequestRefused(reason string)
	// ReadinessChanged reports a change of the answer to the load balancer's readiness check. The reason is empty if
	// the controller is ready.
	ReadinessChanged(ready bool, reason string)
	// InvariantViolated reports an action that the leader has refused because it would have violated an invariant.
	InvariantViolated(Violation)
	// UnrecordedAttemptReported reports a task on a machine whose attempt the cluster state lacks. ended is true if this
	// leader had started the attempt and removed it after its end.
	UnrecordedAttemptReported(ended bool)
	// CommandsRejected reports a direct call that a worker rejected, and the cause.
	CommandsRejected(cause RejectionCause)
	// ProcessResumed reports the length of a process pause that has just ended, and whether this controller was the
	// leader before the pause.
	ProcessResumed(pause time.Duration, led bool)
}

// RejectionCause is the cause for which a worker rejected a direct call.
type RejectionCause string

// Causes of rejections.
const (
	// RejectedByEpoch: the call was addressed to another agent epoch than the worker's.
	RejectedByEpoch RejectionCause = "epoch"
	// RejectedByToken: the worker has seen a higher fencing token than the call's.
	RejectedByToken RejectionCause = "token"
	// RejectedUnexplained: the worker's epoch and token give no cause.
	RejectedUnexplained RejectionCause = "unexplained"
)

// Failover is a change of leader as observed by the new leader. Times are monotonic times of the new leader's process;
// 0: the step did not happen or was not observed.
type Failover struct {
	Token            uint64        // fencing token of the new leader
	FormerLeader     string        // label of the former leader; empty: unknown
	Suspected        time.Duration // when the former leader became suspected
	LeaderKeyRemoved time.Duration // when the new leader observed that the state service named no leader
	Elected          time.Duration // when the election was won
	Loaded           time.Duration // when all records were loaded
	FirstPlacement   time.Duration // when the first task was started
	// Jobs and Machines are the numbers of loaded jobs and machines.
	Jobs     int
	Machines int
	// Preloaded is the number of records that were read before the election.
	Preloaded int
}

// FailoverStep is one step of a failover, with its start and end in monotonic time.
type FailoverStep struct {
	Name     string
	From, To time.Duration
}

// Names of the steps. Log attributes and trace span names contain them.
const (
	stepSuspicion = "suspicion"
	stepElection  = "election"
	stepLoad      = "load"
	stepPlacement = "placement"
)

// Steps returns the steps that happened, in order. The election is always included.
func (f *Failover) Steps() []FailoverStep {
	var steps []FailoverStep
	if f.Suspected > 0 && f.LeaderKeyRemoved >= f.Suspected {
		steps = append(steps, FailoverStep{stepSuspicion, f.Suspected, f.LeaderKeyRemoved})
	}
	electionFrom := f.LeaderKeyRemoved
	if electionFrom == 0 || electionFrom > f.Elected {
		electionFrom = f.Elected
	}
	steps = append(steps, FailoverStep{stepElection, electionFrom, f.Elected})
	if f.Loaded > 0 {
		steps = append(steps, FailoverStep{stepLoad, f.Elected, f.Loaded})
	}
	if f.FirstPlacement > 0 {
		steps = append(steps, FailoverStep{stepPlacement, f.Loaded, f.FirstPlacement})
	}
	return steps
}

// noObserver is an Observer that does nothing. It is the default.
type noObserver struct{}

func (noObserver) DetectorSampled(int, membership.Counters)     {}
func (noObserver) MemberChanged(membership.StateChange)         {}
func (noObserver) PeerMessageDropped(membership.DroppedMessage) {}
func (noObserver) FailedOver(Failover)                          {}
func (noObserver) GateChanged(GateChange)                       {}
func (noObserver) JournalSized(JournalSize)                     {}
func (noObserver) MachineRedirected(string, string)             {}
func (noObserver) MachinesExcluded(map[ExclusionReason]int)     {}
func (noObserver) QuarantineChanged(QuarantineChange)           {}
func (noObserver) RequestRerouted()                             {}
func (noObserver) RequestRetried()                              {}
func (noObserver) RequestRefused(string)                        {}
func (noObserver) ReadinessChanged(bool, string)                {}
func (noObserver) InvariantViolated(Violation)                  {}
func (noObserver) UnrecordedAttemptReported(bool)               {}
func (noObserver) CommandsRejected(RejectionCause)              {}
func (noObserver) ProcessResumed(time.Duration, bool)           {}
