package controller

import (
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"testing"
)

// effectsFileVariable is the environment variable with the path of a file to which each simulated
// world appends a line at the end of its test: the test's name and a hash of all effects of the
// world's controllers. Two versions of the program with equal hashes behave the same, which verifies
// a refactoring against the version before it. A few tests are not deterministic: their hashes
// differ from run to run.
const effectsFileVariable = "CLAYBARROW_TEST_EFFECTS"

// effectRecorder hashes the effects of a world's controllers: node, time, target, path, status and
// length of the body. The bytes of a body are left out because maps are encoded in random order.
type effectRecorder struct {
	hash hash.Hash64
}

// newEffectRecorder returns nil if effectsFileVariable is not set or t is a benchmark.
func newEffectRecorder(t testing.TB) *effectRecorder {
	t.Helper()
	file := os.Getenv(effectsFileVariable)
	test, isTest := t.(*testing.T) // the number of iterations of a benchmark varies
	if file == "" || !isTest {
		return nil
	}
	recorder := &effectRecorder{hash: fnv.New64a()}
	test.Cleanup(func() { recorder.write(test, file) })
	return recorder
}

// record adds the effects of one event to the hash. Writes to a hash never return an error.
func (r *effectRecorder) record(w *world, node int, effects []Effect) {
	if r == nil {
		return
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case Reply:
			_, _ = fmt.Fprintf(r.hash, "%d %d reply %d %d %d %d %d\n", node, w.Now(), e.ID, e.Status, len(e.Body), e.RetryAfter,
				e.ValidUntil)
		case Call:
			_, _ = fmt.Fprintf(r.hash, "%d %d call %d %d %s %s %s %d %d %d\n", node, w.Now(), e.ID, e.Target, e.Addr, e.Method,
				e.Path, len(e.Body), e.Timeout, e.ValidUntil)
		default:
			w.t.Errorf("unknown type of effect: %T", e)
		}
	}
}

// write appends the world's line to the file.
func (r *effectRecorder) write(t *testing.T, name string) {
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(file, "%s %016x\n", t.Name(), r.hash.Sum64()); err != nil {
		t.Error(err)
	}
	if err := file.Close(); err != nil {
		t.Error(err)
	}
}
