package membership

import "time"

// Settings are the labels and times of a detector. Package config derives the times from the
// leader's lease.
type Settings struct {
	Self  string   // label of this controller
	Peers []string // labels of the other controllers
	// ProbeInterval is the time between two probes of a peer.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct ack may take before other members are asked to probe the
	// peer. Indirect probes have twice as long.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the least time from suspicion to death, when enough members confirm the
	// suspicion. If nobody does, the time is UnconfirmedSuspicionFactor times as long.
	SuspicionTimeout time.Duration
	SuspicionFactor  float64
	// RejoinDelay is how long a member that came back must have been alive to serve machines.
	RejoinDelay time.Duration
	// PauseThreshold is the gap between two events after which the observer counts as having been paused.
	PauseThreshold time.Duration
	// ClockError bounds the difference between the times of day of two controllers.
	ClockError time.Duration
}

// Bounds and ratios of the protocol.
const (
	// indirectTimeoutFactor is how many probe timeouts an indirect probe has.
	indirectTimeoutFactor = 2
	// maxHelpers is how many members are asked to probe a peer indirectly.
	maxHelpers = 3
	// maxProbesPerRound bounds a round: larger groups are probed in turn.
	maxProbesPerRound = 8
	// absentProbeRounds is the number of rounds between two probes of the members that are dead
	// or left.
	absentProbeRounds = 4
	// unconfirmedFailuresToSuspect is how many probes must fail in a row before a peer is
	// suspected though none of the helpers answered either: then the fault is rather ours.
	unconfirmedFailuresToSuspect = 3
	// maxProbesForPeers bounds the indirect probes in flight for other members.
	maxProbesForPeers = 32
	// reportLifetimeIntervals is for how many probe intervals a peer's report of a suspicion
	// counts, and a helper's ack as proof of a relay route.
	reportLifetimeIntervals = 6
)
