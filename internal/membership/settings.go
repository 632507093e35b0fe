package membership

import "time"

// Settings holds the labels and the timing of a detector. Package config derives the durations from the
// leases of the leader and of the workers.
type Settings struct {
	Self  string   // label of this controller
	Peers []string // labels of the other controllers
	// ProbeInterval is the time between two rounds of probes, see maxProbesPerRound.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct ack may take before helpers are asked to probe the peer. Indirect
	// acks may take indirectTimeoutFactor times as long.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time after which a suspect is declared dead if enough members confirm the
	// suspicion. Without any confirmation, the time is UnconfirmedSuspicionFactor times as long.
	SuspicionTimeout           time.Duration
	UnconfirmedSuspicionFactor float64
	// RejoinDelay is how long a member that was dead or left must be alive again before it serves machines.
	RejoinDelay time.Duration
	// PauseThreshold is the gap between two events beyond which this process counts as having been paused.
	PauseThreshold time.Duration
	// ClockError bounds the difference between the wall clocks of two controllers.
	ClockError time.Duration
}

// Bounds and ratios of the protocol.
const (
	// indirectTimeoutFactor is the timeout of indirect acks, in probe timeouts.
	indirectTimeoutFactor = 2
	// maxHelpers bounds the number of members that are asked to probe a peer indirectly.
	maxHelpers = 3
	// maxProbesPerRound bounds the probes of a round; larger groups are probed in round-robin order.
	maxProbesPerRound = 8
	// absentProbeRounds is the number of rounds between two probes of a dead or left member.
	absentProbeRounds = 4
	// unconfirmedFailuresToSuspect is how many consecutive probes must fail before a peer becomes suspect
	// if no helper answered either. In that case this controller is more likely to be cut off than the peer.
	unconfirmedFailuresToSuspect = 3
	// maxProbesForPeers bounds the probes in flight on behalf of other members.
	maxProbesForPeers = 32
	// reportLifetimeIntervals is how many probe intervals a peer's suspicion report stays valid, and how
	// many an indirect ack proves a relay route.
	reportLifetimeIntervals = 6
)
