package membership

// State is the state of a controller as another one sees it. Its numbers are on the wire and in a metric.
type State uint8

// The states; the package comment has the table of changes. Alive is the zero value, as nobody is
// suspected before it was probed.
const (
	Alive   State = iota
	Suspect       // answers neither us nor the helpers that we asked
	Dead          // suspected for the whole timeout: its machines go to others
	Left          // told the group that it leaves
)

// String names the state for logs and metrics.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Incarnation orders the processes of a label and their refutations: the Unix time in
// milliseconds when the process started, and one more for each claim that it refuted.
type Incarnation uint64

// Reason is why a member's state changed. Its text is logged, and docs/operations.md explains it.
type Reason string

// The reasons.
const (
	ReasonUnreachable      Reason = "neither we nor others reach it"
	ReasonUnconfirmed      Reason = "we don't reach it, and there is nobody else to ask"
	ReasonSuspicionTimeout Reason = "suspected for the whole timeout"
	ReasonAck              Reason = "it answered"
	ReasonIndirectAck      Reason = "others reach it"
	ReasonRefuted          Reason = "it refuted by a later incarnation"
	ReasonLeftGracefully   Reason = "it said so"
)

// String is the text for logs.
func (r Reason) String() string { return string(r) }

// DropReason is why a message was not taken. Its text is logged and is a metric's label.
type DropReason string

// The reasons.
const (
	DropMalformed   DropReason = "malformed"               // not a message, or beyond a bound
	DropVersion     DropReason = "higher version"          // of a version that we can't read
	DropUnknown     DropReason = "unknown label"           // of or about nobody in the group
	DropIncarnation DropReason = "older incarnation"       // of a former process
	DropSequence    DropReason = "sequence went backwards" // a copy, or overtaken by a later message
	DropFuture      DropReason = "from the future"         // beyond the bound on the clocks' error
)

// String is the text for logs.
func (r DropReason) String() string { return string(r) }
