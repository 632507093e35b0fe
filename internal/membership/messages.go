package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version of the message format. An incompatible change increments it. Adding a field
// does not, because decoders ignore unknown fields.
const ProtocolVersion = 1

// Bounds on messages from peers.
const (
	// MaxMessageBytes bounds the size of a message. The claims of 24 controllers take less than 1 KiB.
	MaxMessageBytes = 8 << 10
	// maxClaims bounds the number of claims in a message.
	maxClaims = 64
	// maxSequence bounds sequence numbers: a process would take thousands of years to reach it.
	maxSequence = 1 << 40
	// maxMapPairs and maxNestedLevels are the decoder's limits, with room for fields of later versions.
	maxMapPairs     = 32
	maxNestedLevels = 6
)

// Claim is the state of a controller in the view of the sender of a message.
type Claim struct {
	Label       string      `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
}

// Probe asks a controller for an ack (ping in SWIM) or, with a Target, to probe a third controller (ping-req
// in SWIM).
type Probe struct {
	Version     int         `cbor:"1,keyasint"`
	From        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Sequence increases with every message of an incarnation.
	Sequence uint64  `cbor:"4,keyasint"`
	Target   string  `cbor:"5,keyasint,omitempty"`
	Claims   []Claim `cbor:"6,keyasint,omitempty"`
}

// ProbeReply answers a probe.
type ProbeReply struct {
	Version     int         `cbor:"1,keyasint"`
	From        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Sequence is the sequence number of the probe.
	Sequence uint64 `cbor:"4,keyasint"`
	// Reached is whether the target answered (ack or nack).
	Reached bool `cbor:"5,keyasint,omitempty"`
	// TargetIncarnation is the incarnation of the target; 0: unknown, because the target's version does not
	// support probes.
	TargetIncarnation Incarnation `cbor:"6,keyasint,omitempty"`
	Claims            []Claim     `cbor:"7,keyasint,omitempty"`
}

// message is a Probe or a ProbeReply.
type message interface{ version() int }

func (p Probe) version() int      { return p.Version }
func (r ProbeReply) version() int { return r.Version }

// Errors of messages that cannot be accepted.
var (
	errMessageTooLarge    = errors.New("message too large")
	errUnsupportedVersion = errors.New("message of a higher version")
)

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxClaims, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("membership: the CBOR decoder's options are invalid: %v", err))
	}
	return mode
}()

// encode encodes a message as CBOR. It panics on an error, as every message type of this package can be
// encoded.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("membership: encode %T: %v", v, err))
	}
	return b
}

// decode decodes a body of at most MaxMessageBytes into a message.
func decode(body []byte, into any) error {
	if len(body) > MaxMessageBytes {
		return errMessageTooLarge
	}
	if err := decodeMode.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode %T: %w", into, err)
	}
	return nil
}

// decodeMessage decodes a message and checks its version. With errUnsupportedVersion it also returns the
// fields that this version could decode, so that the sender can be logged. Any other error means that the
// message is malformed.
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

// dropReasonOf returns the drop reason for an error of decodeMessage.
func dropReasonOf(err error) DropReason {
	if errors.Is(err, errUnsupportedVersion) {
		return DropVersion
	}
	return DropMalformed
}
