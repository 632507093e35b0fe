package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxBodyBytes is the maximum size of a request or response body, in bytes. Responses of the state service may
// be larger (see package transport).
const MaxBodyBytes = 64 << 10

// ErrMalformed means that a body is not exactly one complete MessagePack value.
var ErrMalformed = errors.New("malformed MessagePack value")

// Encode encodes a value as MessagePack. It panics if the value cannot be encoded; all message types of this
// module can.
func Encode(v any) []byte {
	var b bytes.Buffer
	encoder := msgpack.NewEncoder(&b)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return b.Bytes()
}

// Decode decodes one MessagePack value into v, which must be a pointer. Unknown fields are ignored. The error is
// ErrMalformed if the body is not exactly one complete value, and the decoder's error if the value does not
// fit v. A panic of the decoder is returned as ErrMalformed, so that a damaged body cannot end the process.
func Decode(b []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrMalformed, r)
		}
	}()
	// Decoding a header that claims four thousand million elements allocated so much memory that the
	// process ended. Skipping the value first allocates nothing, and fails if the body is shorter than
	// its headers claim.
	body := bytes.NewReader(b)
	if err := msgpack.NewDecoder(body).Skip(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if body.Len() > 0 {
		return fmt.Errorf("%w: %d bytes after the end", ErrMalformed, body.Len())
	}
	return msgpack.Unmarshal(b, v)
}

// EncodePeer encodes a message between controllers as CBOR. It panics if the value cannot be encoded; all message
// types of this module can.
func EncodePeer(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return b
}

// DecodePeer decodes a message between controllers into v, which must be a pointer. Unknown fields are ignored, so
// that later versions can add fields. The error is the decoder's.
func DecodePeer(b []byte, v any) error { return cbor.Unmarshal(b, v) }
