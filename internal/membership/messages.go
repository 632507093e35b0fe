package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is that of the messages. A change that older versions can't read raises it; fields
// may be added without.
const Version = 1

// Bounds of what is taken from a peer.
const (
	// MostBytes bounds a message: 24 controllers' claims take under 1 KiB.
	MostBytes = 8 << 10
	// maxClaims bounds the claims of a message.
	maxClaims = 64
	// maxSequence is beyond what a process sends in thousands of years.
	maxSequence = 1 << 40
)

// Claim is what a controller holds another one for.
type Claim struct {
	Label       string      `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
}

// Probe asks a controller for a sign of life: its own, or that of Target.
type Probe struct {
	Version     int         `cbor:"1,keyasint"`
	From        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Sequence grows with every message of an incarnation.
	Sequence uint64  `cbor:"4,keyasint"`
	Target   string  `cbor:"5,keyasint,omitempty"`
	Claims   []Claim `cbor:"6,keyasint,omitempty"`
}

// ProbeReply answers a probe. Sequence repeats the probe's.
type ProbeReply struct {
	Version     int         `cbor:"1,keyasint"`
	From        string      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	Sequence    uint64      `cbor:"4,keyasint"`
	// Reached says whether the target answered, TargetIncarnation which one did; 0: it
	// has none, as its version knows no probes.
	Reached           bool        `cbor:"5,keyasint,omitempty"`
	TargetIncarnation Incarnation `cbor:"6,keyasint,omitempty"`
	Claims            []Claim     `cbor:"7,keyasint,omitempty"`
}

// Errors of messages that can't be taken.
var (
	errMessageTooLarge    = errors.New("message too large")
	errUnsupportedVersion = errors.New("message of a higher version")
)

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxClaims, MaxMapPairs: 32, MaxNestedLevels: 6}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("membership: decoder's options: %v", err))
	}
	return mode
}()

// encode writes a message. Values of this package's types can't fail to encode.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("membership: encode %T: %v", v, err))
	}
	return b
}

func decode(body []byte, v any) error {
	if len(body) > MostBytes {
		return errMessageTooLarge
	}
	return decodeMode.Unmarshal(body, v)
}

// decodeProbe reads a probe. One of a higher version is read as far as its sender, for the log.
func decodeProbe(body []byte) (Probe, error) {
	var p Probe
	if err := decode(body, &p); err != nil {
		return p, err
	}
	if p.Version > Version {
		return p, errUnsupportedVersion
	}
	return p, nil
}

func decodeReply(body []byte) (ProbeReply, error) {
	var r ProbeReply
	if err := decode(body, &r); err != nil {
		return r, err
	}
	if r.Version > Version {
		return r, errUnsupportedVersion
	}
	return r, nil
}
