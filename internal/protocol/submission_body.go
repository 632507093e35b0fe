package protocol

import "errors"

// Errors of a body that is not a submission.
var (
	ErrBodyTooLarge    = errors.New("submission body too large")
	ErrNestedTooDeeply = errors.New("submission body nested too deeply")
	ErrNotAMap         = errors.New("submission body is not a map")
)

// Bounds on the nesting of a submission.
const (
	maxDepth = 16
	// headersPerLevel times maxDepth is the maximum number of consecutive bytes that look like container
	// headers. It is larger than 1 because a text may contain such bytes, too.
	headersPerLevel = 20
)

// decodeSubmission decodes a map with text keys from an untrusted body.
func decodeSubmission(body []byte) (map[string]any, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	// The decoder recurses once per level, so the depth is checked before decoding.
	if nestedTooDeeply(body) {
		return nil, ErrNestedTooDeeply
	}
	var value any
	if err := Decode(body, &value); err != nil {
		return nil, err
	}
	values, ok := value.(map[string]any)
	if !ok {
		return nil, ErrNotAMap
	}
	return values, nil
}

// nestedTooDeeply reports whether the body may be nested too deeply. The check is approximate: it counts
// consecutive bytes that look like container headers. A very long run of such bytes indicates nesting, because
// each container has a header of at least one byte before its first scalar.
func nestedTooDeeply(body []byte) bool {
	consecutiveHeaders := 0
	for _, b := range body {
		if !isContainerHeader(b) {
			consecutiveHeaders = 0
			continue
		}
		consecutiveHeaders++
		if consecutiveHeaders > headersPerLevel*maxDepth {
			return true
		}
	}
	return false
}

// isContainerHeader reports whether a byte is the header of a map or an array in MessagePack.
func isContainerHeader(b byte) bool {
	const (
		fixedMap   = 0x80 // the lower four bits are the length
		fixedArray = 0x90
		array16    = 0xdc
		map32      = 0xdf // array32 and map16 are in between
	)
	return b&0xf0 == fixedMap || b&0xf0 == fixedArray || (b >= array16 && b <= map32)
}
