package membership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// rankKeyPrefix separates the keys of ranks from all other keys. All controllers of a group must use
// the same, also those of other versions.
const rankKeyPrefix = "succession/"

// Owner is the candidate that a key is assigned to by rendezvous hashing; "" without candidates. When a
// candidate is removed its keys alone move, spread over the others.
func Owner(key string, candidates []string) string {
	if len(candidates) == 0 {
		return ""
	}
	// The library breaks ties of equal hashes by the order of the candidates.
	sorted := slices.Sorted(slices.Values(candidates))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(key)
}

// Assignment assigns keys to candidates that seldom change. The zero value is ready for use.
type Assignment struct {
	candidates []string
	table      *rendezvous.Rendezvous
}

// Owner is the same as the function Owner for candidates that are sorted. It keeps the hashes of the
// candidates until they change.
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

// Rank is the place of a label in the order in which the candidates may follow the leader with a fencing
// token: 0 for the first, and the number of candidates for a label that is not among them. The order
// comes from rendezvous hashing of the token, so that all agree on it without a message, and the
// first is not always the same.
func Rank(label string, token uint64, candidates []string) int {
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
