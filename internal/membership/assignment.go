package membership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// rankKeyPrefix keeps the keys of ranks distinct from all other keys. All controllers of a group, of
// every version, must use the same prefix.
const rankKeyPrefix = "succession/"

// Owner returns the candidate that rendezvous hashing assigns a key to, or "" if there are no candidates.
// Removing a candidate moves only the keys of that candidate and spreads them over the others.
func Owner(key string, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	// The library breaks ties of equal hashes by the order of the candidates.
	sorted := slices.Sorted(slices.Values(candidates))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(key)
}

// Assignment assigns keys to a set of candidates that rarely changes. The zero value is ready for use.
type Assignment struct {
	candidates []string
	table      *rendezvous.Rendezvous
}

// Owner returns the same candidate as the function Owner. The candidates must be sorted. Their hashes are
// cached until the candidates change.
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

// SuccessionRank returns the position of a label in the order of succession to the leader with the given fencing
// token: 0 for the first candidate, and the number of candidates for a label that is not a candidate.
// The order comes from rendezvous hashing of the token: all controllers compute the same order without
// exchanging messages, and the first candidate varies with the token.
func SuccessionRank(label string, token uint64, candidates []string) int {
	key := rankKeyPrefix + strconv.FormatUint(token, 10)
	remaining := slices.Sorted(slices.Values(candidates))
	for rank := range candidates {
		first := Owner(key, remaining)
		if first == label {
			return rank
		}
		remaining = slices.DeleteFunc(remaining, func(candidate string) bool { return candidate == first })
	}
	return len(candidates)
}
