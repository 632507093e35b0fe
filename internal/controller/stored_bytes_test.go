package controller

import (
	"encoding/hex"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestHashWithoutGate holds, by test site, the hash of all requests and their times that 0eeb63e, the last version
// without a feature gate, sends to the state service in this test.
var requestHashWithoutGate = map[string]string{
	"":       "c8a6f7db8bba2b04",
	"scarce": "e4f172e11ea81db6",
}

// TestStoredBytesWithoutJournal checks that with the completion journal off, the requests to the state service are
// byte-identical to the requests of the last version without a feature gate, and are sent at the same times. The
// history contains services, arrays, gangs, a cancellation and failovers.
func TestStoredBytesWithoutJournal(t *testing.T) {
	w := newWorldWith(t, 191, nil)
	hash := xxhash.New()
	w.callFault = func(node int, c Call) deliveryFault {
		if c.Target == ToState && c.Method != "GET" {
			// Writing to a hash never fails.
			_, _ = fmt.Fprintf(hash, "%v %d %s %s %s\n", w.Now(), node, c.Method, c.Path, hex.EncodeToString(c.Body))
		}
		return deliveryFault{}
	}
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	for i := range 6 {
		w.submit(fmt.Sprintf("j-1%d", i), map[string]any{"shards": 5, "cores": 1.0})
		w.submit(fmt.Sprintf("j-2%d", i), gangChanges(2, 1, map[string]any{"owner": "blue"}))
		w.run(7 * second)
		if i%2 == 1 {
			w.crash(w.awaitLeader())
		}
		w.run(7 * second)
		for node, n := range w.nodes {
			if !n.alive {
				w.boot(node)
			}
		}
	}
	w.cancel("j-1")
	w.run(60 * time.Second)
	w.requireNoViolations()
	got, want := fmt.Sprintf("%016x", hash.Sum64()), requestHashWithoutGate[os.Getenv("CLAYBARROW_TEST_SITE")]
	if got != want {
		t.Errorf("hash %s of the requests to the state service, want %s as for 0eeb63e", got, want)
	}
}
