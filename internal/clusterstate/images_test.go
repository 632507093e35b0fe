package clusterstate

import (
	"testing"

	"claybarrow/internal/protocol"
)

// The least recently used images are evicted once the cache is full, except those that a task needs. Without the
// eviction replicas were placed on machines for cached images that the machines no longer had.
func TestLeastRecentlyUsedImagesAreEvicted(t *testing.T) {
	state := New(1024, 1024)
	m := state.AddMachine("i-1")
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 1, Image: "needed"}, 0)
	state.AddAttempt(m, j, 0, 1, 0)
	for _, name := range []string{"needed", "old", "recent", "old-but-used"} {
		m.UseImage(name, 30, 0)
	}
	m.UseImage("old", 30, 130)
	m.UseImage("new", 30, 130)
	for name, want := range map[string]bool{"needed": true, "old": true, "recent": false, "old-but-used": true, "new": true} {
		if m.Images[name] != want {
			t.Errorf("image %s is wrongly cached or evicted, cached: %v", name, m.Images[name])
		}
	}
	m.UseImage("huge", 200, 130)
	if !m.Images["needed"] || m.Images["new"] {
		t.Errorf("after an image larger than the cache was used: cached images %v", m.Images)
	}
}
