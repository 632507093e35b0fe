package completionjournal

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Prefix is the prefix of the journal's keys, which have the form g/<token>/<number> with decimal numbers. The token
// is the fencing token of the leader that wrote the value; the leader numbers its values from 1.
const Prefix = "g/"

// FormatVersion is the version of the value format that this program writes, and the newest version that it reads.
const FormatVersion = 1

// Errors that Decode wraps if a value can't be decoded.
var (
	// ErrFormatVersion means that a later version of the program wrote the value.
	ErrFormatVersion = errors.New("value has a later format version")
	// ErrWrongKey means that the value was written under another key.
	ErrWrongKey = errors.New("value was written under another key")
	// ErrChecksum means that the value was altered or truncated.
	ErrChecksum = errors.New("checksum mismatch")
	// ErrMalformed means that the key or the value does not have the format that this package writes.
	ErrMalformed = errors.New("malformed journal key or value")
)

// Value is the value of a journal key. The state service accepts text and numbers only, so the body is encoded in
// base64. The writer measures a value by its JSON encoding with these field names; see envelopeBytes.
type Value struct {
	// Form is the format version.
	Form uint64 `msgpack:"v"`
	// Token and Number are the token and the number in the key.
	Token  uint64 `msgpack:"t"`
	Number uint64 `msgpack:"n"`
	// Sum is the xxhash of token, number and body.
	Sum uint64 `msgpack:"x"`
	// Body is a valueBody in CBOR, encoded in base64.
	Body string `msgpack:"b"`
}

// Key returns the key of the value with the fencing token and the number.
func Key(token, number uint64) string {
	return Prefix + strconv.FormatUint(token, 10) + "/" + strconv.FormatUint(number, 10)
}

// ParseKey parses a key in the format of Key. ok is false for any other key.
func ParseKey(key string) (token, number uint64, ok bool) {
	first, second, found := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	token, errToken := strconv.ParseUint(first, 10, 64)
	number, errNumber := strconv.ParseUint(second, 10, 64)
	return token, number, found && errToken == nil && errNumber == nil && Key(token, number) == key
}

// Encode encodes entries as the value for the key of token and number.
func Encode(token, number uint64, entries []Entry) Value {
	body, err := cbor.Marshal(groupEntries(entries))
	if err != nil {
		panic(fmt.Sprintf("completionjournal: body can't be encoded: %v", err)) // a valueBody can always be encoded
	}
	return Value{
		Form:   FormatVersion,
		Token:  token,
		Number: number,
		Sum:    checksum(token, number, body),
		Body:   base64.StdEncoding.EncodeToString(body),
	}
}

// Decode returns the entries of a value that is stored under key. An error wraps ErrFormatVersion, ErrWrongKey,
// ErrChecksum or ErrMalformed; the entries are nil then.
func Decode(key string, v Value) ([]Entry, error) {
	token, number, ok := ParseKey(key)
	switch {
	case !ok:
		return nil, fmt.Errorf("%w: %q is not a journal key", ErrMalformed, key)
	case v.Form > FormatVersion:
		return nil, fmt.Errorf("%w: %d, newest supported version is %d", ErrFormatVersion, v.Form, FormatVersion)
	case v.Form == 0:
		return nil, fmt.Errorf("%w: no format version", ErrMalformed)
	case v.Token != token || v.Number != number:
		return nil, fmt.Errorf("%w: %s", ErrWrongKey, Key(v.Token, v.Number))
	}
	packed, err := base64.StdEncoding.DecodeString(v.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: base64 of the body: %w", ErrMalformed, err)
	}
	if checksum(token, number, packed) != v.Sum {
		return nil, ErrChecksum
	}
	var body valueBody
	if err := cbor.Unmarshal(packed, &body); err != nil {
		return nil, fmt.Errorf("%w: CBOR of the body: %w", ErrMalformed, err)
	}
	return listEntries(body)
}

// checksum returns the checksum of a value. It includes token and number, so that a value under another key is
// detected even if its Token and Number were changed to match.
func checksum(token, number uint64, body []byte) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], token)
	binary.BigEndian.PutUint64(key[8:], number)
	digest := xxhash.New()
	_, _ = digest.Write(key[:]) // writing to a hash never fails
	_, _ = digest.Write(body)
	return digest.Sum64()
}
