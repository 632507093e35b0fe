package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxBodyBytes is the largest body of a request or a response, in bytes. The state service's answers
// may be larger (see package transport).
const MaxBodyBytes = 64 << 10

// ErrMalformed is the error of a body that is not one complete MessagePack value.
var ErrMalformed = errors.New("malformed")

// Encode writes MessagePack. It panics on a value that has no MessagePack form, which this
// module's message types all have.
func Encode(v any) []byte {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return b.Bytes()
}

// Decode reads one MessagePack value into v, which must be a pointer. Unknown fields are ignored.
// The error is ErrMalformed if the body is not one complete value, and the decoder's own if the
// value does not fit v. A damaged body never ends the process, whatever the decoder does with it.
func Decode(b []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrMalformed, r)
		}
	}()
	// A header that claims four thousand million elements made the decoder ask for memory that
	// ended the process. Skipping allocates nothing, and fails where the body is shorter than
	// its headers say.
	body := bytes.NewReader(b)
	if err := msgpack.NewDecoder(body).Skip(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if body.Len() > 0 {
		return fmt.Errorf("%w: %d bytes after the end", ErrMalformed, body.Len())
	}
	return msgpack.Unmarshal(b, v)
}

// EncodePeer writes a message between controllers as CBOR. It panics on a value that has no CBOR
// form, which this module's message types all have.
func EncodePeer(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return b
}

// DecodePeer reads a message between controllers into v, which must be a pointer. Unknown fields
// are ignored, so that a later version may add some. The error is the decoder's.
func DecodePeer(b []byte, v any) error { return cbor.Unmarshal(b, v) }
