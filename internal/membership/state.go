package membership

// State is the state of a controller in the view of another controller. Its numeric values are on the wire and
// in a metric.
type State uint8

// The states; the package comment lists the transitions. Alive is the zero value, as no member is suspect
// before the first probe.
const (
	Alive   State = iota
	Suspect       // answered neither this controller's probes nor the helpers' probes
	Dead          // suspicion timed out; its machines are reassigned
	Left          // left gracefully after announcing it
)

// String returns the name of the state in logs and metrics.
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

// Incarnation orders the processes of a label and their refutations. It is the Unix time in milliseconds
// when the process started, and is increased by each refutation to one more than the refuted claim's.
type Incarnation uint64

// Reason is why a member's state changed. Its text is logged; docs/operations.md documents each text.
type Reason string

// Reasons of state changes.
const (
	ReasonUnreachable      Reason = "neither we nor others reach it"
	ReasonUnconfirmed      Reason = "we don't reach it, and there is nobody else to ask"
	ReasonSuspicionTimeout Reason = "suspected for the whole timeout"
	ReasonAck              Reason = "it answered"
	ReasonIndirectAck      Reason = "others reach it"
	ReasonRefuted          Reason = "it refuted by a later incarnation"
	ReasonLeftGracefully   Reason = "it said so"
)

// String returns the text for logs.
func (r Reason) String() string { return string(r) }

// DropReason is why a message was dropped. Its text is logged and is a label value of a metric.
type DropReason string

// Reasons of dropped messages.
const (
	DropMalformed   DropReason = "malformed"               // cannot be decoded, or exceeds a bound
	DropVersion     DropReason = "higher version"          // unsupported protocol version
	DropUnknown     DropReason = "unknown label"           // label outside the group, or reply to another request
	DropIncarnation DropReason = "older incarnation"       // sent before a restart or a refutation
	DropSequence    DropReason = "sequence went backwards" // a duplicate, or overtaken by a later message
	DropFuture      DropReason = "from the future"         // incarnation or sequence number beyond its bound
)

// String returns the text for logs.
func (r DropReason) String() string { return string(r) }
