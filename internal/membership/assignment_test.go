package membership

import (
	"fmt"
	"testing"
)

// Without one of the candidates its keys alone move, and evenly to the others.
func TestRendezvousOwners(t *testing.T) {
	all := []string{"n0", "n1", "n2", "n3"}
	const keys = 4000
	moved := map[string]int{}
	share := map[string]int{}
	var a Assignment
	for i := range keys {
		key := fmt.Sprintf("i-%06d", i)
		owner := a.Owner(key, all)
		share[owner]++
		if owner != Owner(key, []string{"n3", "n1", "n0", "n2"}) {
			t.Fatalf("the owner of %s depends on the order", key)
		}
		without := Owner(key, []string{"n0", "n2", "n3"})
		if owner != "n1" && without != owner {
			t.Errorf("%s moves from %s to %s though only n1 was removed", key, owner, without)
		}
		if owner == "n1" {
			moved[without]++
		}
	}
	for _, l := range all {
		if share[l] < keys/4*9/10 || share[l] > keys/4*11/10 {
			t.Errorf("%s has %d of %d", l, share[l], keys)
		}
		if l != "n1" && moved[l] < share["n1"]/3*8/10 {
			t.Errorf("%s gets %d of %d", l, moved[l], share["n1"])
		}
	}
	if Owner("i-1", nil) != "" {
		t.Error("an owner without candidates")
	}
}

// The ranks of the candidates are a permutation that differs from token to token.
func TestRendezvousRanks(t *testing.T) {
	all := []string{"n0", "n1", "n2", "n3", "n4"}
	firsts := map[string]int{}
	for token := range uint64(200) {
		ranks := map[int]bool{}
		for _, l := range all {
			rank := Rank(l, token, all)
			ranks[rank] = true
			if rank == 0 {
				firsts[l]++
			}
		}
		if len(ranks) != len(all) {
			t.Fatalf("token %d: ranks %v", token, ranks)
		}
	}
	if len(firsts) != len(all) {
		t.Errorf("firsts: %v", firsts)
	}
	if Rank("unknown", 1, all) != len(all) {
		t.Error("a label that is no candidate has a rank")
	}
}
