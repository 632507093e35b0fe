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

// Prefix is the prefix of the journal's keys: g/<token>/<number>, both in decimal. The token is the fencing
// token of the leader that wrote the value, the number counts its values from 1.
const Prefix = "g/"

// FormatVersion is the version of the values' format that this program writes, and the newest that it reads.
const FormatVersion = 1

// Reasons why a value can't be read, as Decode returns them.
var (
	// ErrFormatVersion: a later version of the program has written the value.
	ErrFormatVersion = errors.New("a later format version")
	// ErrWrongKey: the value was written under another key.
	ErrWrongKey = errors.New("it belongs under another key")
	// ErrChecksum: the value was altered or truncated.
	ErrChecksum = errors.New("the checksum differs")
	// ErrMalformed: the key or the value is not one that this package writes.
	ErrMalformed = errors.New("malformed")
)

// Value is what a key of the journal holds. The state service takes text and numbers only, so the body is in
// base64. The writer measures a value as JSON with these field names, see envelopeBytes.
type Value struct {
	// Form is the version of the format.
	Form uint64 `msgpack:"v"`
	// Token and Number are those of the key.
	Token  uint64 `msgpack:"t"`
	Number uint64 `msgpack:"n"`
	// Sum is the xxhash of token, number and body.
	Sum uint64 `msgpack:"x"`
	// Body is a valueBody as CBOR, in base64.
	Body string `msgpack:"b"`
}

// Key is the key of a value.
func Key(token, number uint64) string {
	return Prefix + strconv.FormatUint(token, 10) + "/" + strconv.FormatUint(number, 10)
}

// ParseKey reads a key that Key has made; any other is refused.
func ParseKey(key string) (token, number uint64, ok bool) {
	first, second, found := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	token, errToken := strconv.ParseUint(first, 10, 64)
	number, errNumber := strconv.ParseUint(second, 10, 64)
	return token, number, found && errToken == nil && errNumber == nil && Key(token, number) == key
}

// Encode makes the value for the key of token and number.
func Encode(token, number uint64, entries []Entry) Value {
	body, err := cbor.Marshal(groupEntries(entries))
	if err != nil {
		panic(fmt.Sprintf("completionjournal: body: %v", err)) // values of our own types always encode
	}
	return Value{
		Form:   FormatVersion,
		Token:  token,
		Number: number,
		Sum:    checksum(token, number, body),
		Body:   base64.StdEncoding.EncodeToString(body),
	}
}

// Decode reads the value of a key. Its error wraps ErrFormatVersion, ErrWrongKey, ErrChecksum or
// ErrMalformed, and says what was found; there are no entries then.
func Decode(key string, v Value) ([]Entry, error) {
	token, number, ok := ParseKey(key)
	switch {
	case !ok:
		return nil, fmt.Errorf("%w: %q is no key of the journal", ErrMalformed, key)
	case v.Form > FormatVersion:
		return nil, fmt.Errorf("%w: %d, %d is read", ErrFormatVersion, v.Form, FormatVersion)
	case v.Form == 0:
		return nil, fmt.Errorf("%w: no format version", ErrMalformed)
	case v.Token != token || v.Number != number:
		return nil, fmt.Errorf("%w: %s", ErrWrongKey, Key(v.Token, v.Number))
	}
	packed, err := base64.StdEncoding.DecodeString(v.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: body: %w", ErrMalformed, err)
	}
	if checksum(token, number, packed) != v.Sum {
		return nil, ErrChecksum
	}
	var body valueBody
	if err := cbor.Unmarshal(packed, &body); err != nil {
		return nil, fmt.Errorf("%w: body: %w", ErrMalformed, err)
	}
	return listEntries(body)
}

// checksum covers token and number too, so that a value that was copied to another key is found out.
func checksum(token, number uint64, body []byte) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], token)
	binary.BigEndian.PutUint64(key[8:], number)
	digest := xxhash.New()
	_, _ = digest.Write(key[:]) // a hash never fails to take what is written
	_, _ = digest.Write(body)
	return digest.Sum64()
}
