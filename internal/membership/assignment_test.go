package membership

import (
	"fmt"
	"testing"
)

// Removing a candidate moves only the keys of that candidate, and spreads them evenly over the others.
func TestRendezvousOwners(t *testing.T) {
	candidates := []string{"n0", "n1", "n2", "n3"}
	const keys = 4000
	keysMovedTo := map[string]int{}
	keysOf := map[string]int{}
	var assignment Assignment
	for i := range keys {
		key := fmt.Sprintf("i-%06d", i)
		owner := assignment.Owner(key, candidates)
		keysOf[owner]++
		if owner != Owner(key, []string{"n3", "n1", "n0", "n2"}) {
			t.Fatalf("the owner of %s depends on the order of the candidates", key)
		}
		newOwner := Owner(key, []string{"n0", "n2", "n3"})
		if owner != "n1" && newOwner != owner {
			t.Errorf("%s moves from %s to %s though only n1 was removed", key, owner, newOwner)
		}
		if owner == "n1" {
			keysMovedTo[newOwner]++
		}
	}
	for _, label := range candidates {
		if keysOf[label] < keys/4*9/10 || keysOf[label] > keys/4*11/10 {
			t.Errorf("%s owns %d of %d keys, not an even share", label, keysOf[label], keys)
		}
		if label != "n1" && keysMovedTo[label] < keysOf["n1"]/3*8/10 {
			t.Errorf("%s gets %d of the %d keys of n1, not an even share", label, keysMovedTo[label], keysOf["n1"])
		}
	}
	if Owner("i-1", nil) != "" {
		t.Error("Owner returned an owner though there are no candidates")
	}
}

// The ranks of the candidates are a permutation, and the first candidate varies with the token.
func TestRendezvousRanks(t *testing.T) {
	candidates := []string{"n0", "n1", "n2", "n3", "n4"}
	timesFirst := map[string]int{}
	for token := range uint64(200) {
		ranks := map[int]bool{}
		for _, label := range candidates {
			rank := SuccessionRank(label, token, candidates)
			ranks[rank] = true
			if rank == 0 {
				timesFirst[label]++
			}
		}
		if len(ranks) != len(candidates) {
			t.Fatalf("token %d: the ranks are not unique: %v", token, ranks)
		}
	}
	if len(timesFirst) != len(candidates) {
		t.Errorf("not every candidate is first for some token: %v", timesFirst)
	}
	if SuccessionRank("unknown", 1, candidates) != len(candidates) {
		t.Error("a label that is not a candidate has a candidate's rank")
	}
}
