package controller

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"claybarrow/internal/protocol"
)

// requestHashWithoutGate holds, by test site, the hash of all requests and their times that 0eeb63e, the last version
// without a feature gate, sends to the state service in this test, in the form of canonicalRequest. It was taken from
// 8cd77f2, whose requests are byte-identical to those of 0eeb63e.
var requestHashWithoutGate = map[string]string{
	"":       "bab4c5cb4e441718",
	"scarce": "5988d781025c2913",
}

// canonicalRequest returns the text of a request's body in which fencing tokens, and the attempt numbers in their blocks, are
// those of a version whose leaders reserve no tokens beside that of their election: the first leader has token 1, the next 2.
func canonicalRequest(t *testing.T, body []byte) string {
	t.Helper()
	if len(body) == 0 {
		return ""
	}
	var request any
	if err := protocol.Decode(body, &request); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(withOrdinalTokens(request, false))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// withOrdinalTokens replaces the tokens and attempt numbers in a decoded value. isToken is true for a value of the leader keys.
func withOrdinalTokens(value any, isToken bool) any {
	switch value := value.(type) {
	case map[string]any:
		key, _ := value["put"].(string)
		for name, field := range value {
			value[name] = withOrdinalTokens(field, isToken && name == "n" || name == "data" && strings.HasPrefix(key, keyPrefix))
		}
		return value
	case []any:
		for i, element := range value {
			value[i] = withOrdinalTokens(element, false)
		}
		return value
	}
	number := reflect.ValueOf(value)
	switch {
	case number.CanInt():
		return ordinalOf(uint64(number.Int()), isToken)
	case number.CanUint():
		return ordinalOf(number.Uint(), isToken)
	}
	return value
}

// ordinalOf returns the ordinal of a token's leader, or the attempt number in the block of that ordinal. Other numbers stay.
func ordinalOf(number uint64, isToken bool) uint64 {
	const tokensOfALeader = (tokenBlock + 1)
	if isToken {
		return (number-1)/tokensOfALeader + 1
	}
	block := number >> attemptBlockBits
	if block == 0 || block > maxLeaders*tokensOfALeader {
		return number // a count, a version or the time of day
	}
	return ordinalOf(block, true)<<attemptBlockBits | number&attemptsPerBlock
}

// maxLeaders bounds the number of leaders in the test.
const maxLeaders = 8

// TestStoredBytesWithoutJournal checks that with the completion journal off, the requests to the state service have the same
// content as the requests of the last version without a feature gate, but for the values of the tokens, and are sent at the
// same times. The history contains services, arrays, gangs, a cancellation and failovers.
func TestStoredBytesWithoutJournal(t *testing.T) {
	w := newWorldWith(t, 191, nil)
	hash := xxhash.New()
	w.callFault = func(node int, c Call) deliveryFault {
		if c.Target == ToState && c.Method != "GET" {
			// Writing to a hash never fails.
			_, _ = fmt.Fprintf(hash, "%v %d %s %s %s\n", w.Now(), node, c.Method, c.Path, canonicalRequest(t, c.Body))
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
