package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is that of the messages. A change that earlier versions can't read raises it; fields
// may be added without, as unknown ones are ignored.
const ProtocolVersion = 1

// Bounds on what is taken from a peer.
const (
	// MaxMessageBytes bounds a message: 24 controllers' claims take under 1 KiB.
	MaxMessageBytes = 8 << 10
	// maxClaims bounds the claims of a message.
	maxClaims = 64
	// maxSequence is beyond what a process sends in thousands of years.
	maxSequence = 1 << 40
	// maxMapPairs and maxNestedLevels bound what the decoder takes, with room for fields of later
	// versions.
	maxMapPairs     = 32
	maxNestedLevels = 6
)

// Claim is the state of a controller as the sender of a message sees it.
type Claim struct {
	Label       string      `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
}

// Probe asks a controller for an ack: its own, or with a Target that of a third controller (ping and
// ping-req in SWIM).
type Probe struct {
	Version     int         `cbor:"1,keyasint"`
	From        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Sequence grows with every message of an incarnation.
	Sequence uint64  `cbor:"4,keyasint"`
	Target   string  `cbor:"5,keyasint,omitempty"`
	Claims   []Claim `cbor:"6,keyasint,omitempty"`
}

// ProbeReply answers a probe.
type ProbeReply struct {
	Version     int         `cbor:"1,keyasint"`
	From        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Sequence is that of the probe.
	Sequence uint64 `cbor:"4,keyasint"`
	// Reached is whether the target answered (ack or nack).
	Reached bool `cbor:"5,keyasint,omitempty"`
	// TargetIncarnation is which incarnation of the target answered; 0: it has none, as its
	// version knows no probes.
	TargetIncarnation Incarnation `cbor:"6,keyasint,omitempty"`
	Claims            []Claim     `cbor:"7,keyasint,omitempty"`
}

// message is a probe or a reply.
type message interface{ version() int }

func (p Probe) version() int      { return p.Version }
func (r ProbeReply) version() int { return r.Version }

// Errors of messages that can't be taken.
var (
	errMessageTooLarge    = errors.New("message too large")
	errUnsupportedVersion = errors.New("message of a higher version")
)

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxClaims, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("membership: decoder's options: %v", err))
	}
	return mode
}()

// encode writes a message. It panics on an error, as values of this package's types can't fail to
// encode.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("membership: encode %T: %v", v, err))
	}
	return b
}

// decode reads a body of bounded length into a message.
func decode(body []byte, into any) error {
	if len(body) > MaxMessageBytes {
		return errMessageTooLarge
	}
	if err := decodeMode.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode %T: %w", into, err)
	}
	return nil
}

// decodeMessage reads a message. With errUnsupportedVersion the message is returned as far as this
// version can read it, so that its sender can be logged; other errors are of malformed messages.
func decodeMessage[M message](body []byte) (M, error) {
	var m M
	if err := decode(body, &m); err != nil {
		return m, err
	}
	if m.version() > ProtocolVersion {
		return m, errUnsupportedVersion
	}
	return m, nil
}

// dropReasonOf is the reason for which a message with a decoding error is dropped.
func dropReasonOf(err error) DropReason {
	if errors.Is(err, errUnsupportedVersion) {
		return DropVersion
	}
	return DropMalformed
}
