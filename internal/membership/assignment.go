package membership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Owner is the label among the candidates that a key falls to by rendezvous hashing: when one
// is gone its keys go to the others, each once, and no other key moves.
func Owner(key string, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	// The library's answer to equal hashes depends on the order.
	sorted := slices.Sorted(slices.Values(candidates))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(key)
}

// Assignment gives keys their owners among candidates that seldom change.
type Assignment struct {
	candidates []string
	table      *rendezvous.Rendezvous
}

// Owner is as the function, and keeps what it worked out for the same candidates, which have
// to be sorted.
func (a *Assignment) Owner(key string, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	if a.table == nil || !slices.Equal(a.candidates, candidates) {
		a.candidates = slices.Clone(candidates)
		a.table = rendezvous.New(a.candidates, xxhash.Sum64String)
	}
	return a.table.Lookup(key)
}

// Rank is the place of a label among candidates for a succession, 0 for the first: by
// rendezvous hashing of the token, so that all agree without a message and the first is not
// always the same. It is the number of candidates for one that is not among them.
func Rank(label string, token uint64, candidates []string) int {
	left := slices.Sorted(slices.Values(candidates))
	for rank := range candidates {
		first := Owner("succession/"+strconv.FormatUint(token, 10), left)
		if first == label {
			return rank
		}
		left = slices.DeleteFunc(left, func(l string) bool { return l == first })
	}
	return len(candidates)
}
