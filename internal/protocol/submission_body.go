package protocol

import "errors"

// Errors of a body that holds no submission at all.
var (
	ErrBodyTooLarge    = errors.New("body too large")
	ErrNestedTooDeeply = errors.New("nested too deeply")
	ErrNotAMap         = errors.New("not a map")
)

// Bounds of a submission's nesting.
const (
	maxDepth = 16
	// headersPerLevel is how many bytes that look like containers' headers are allowed in a row
	// for each level of maxDepth: a text may hold such bytes, too.
	headersPerLevel = 20
)

// decodeSubmission reads a map with texts as keys from a body of any origin.
func decodeSubmission(body []byte) (map[string]any, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	// The decoder recurses once a level: the depth is bounded before it runs.
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

// nestedTooDeeply is a rough bound: very many headers of containers in a row can only be nesting,
// as each container needs a byte or more before its first scalar.
func nestedTooDeeply(body []byte) bool {
	inARow := 0
	for _, b := range body {
		if !isContainerHeader(b) {
			inARow = 0
			continue
		}
		inARow++
		if inARow > headersPerLevel*maxDepth {
			return true
		}
	}
	return false
}

// isContainerHeader says whether a byte starts a map or an array in MessagePack.
func isContainerHeader(b byte) bool {
	const (
		fixedMap   = 0x80 // with the length in the lower half
		fixedArray = 0x90
		array16    = 0xdc
		map32      = 0xdf // array32 and map16 are in between
	)
	return b&0xf0 == fixedMap || b&0xf0 == fixedArray || (b >= array16 && b <= map32)
}
