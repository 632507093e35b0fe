package controller

import (
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"testing"
)

// effectsFileVariable names a file to which each simulated world appends a line at the end of its
// test: the test's name and a hash of every effect of its controllers. Two versions of the program
// with the same hashes behave the same, so a clean-up can be checked against the version before it.
// The worlds of a few tests differ from run to run by themselves.
const effectsFileVariable = "CLAYBARROW_TEST_EFFECTS"

// effectRecorder hashes the effects of a world's controllers: who, when, to whom, path, status and
// the length of the body (its bytes are not compared, as maps are encoded in no order).
type effectRecorder struct {
	hash hash.Hash64
}

// newEffectRecorder returns nil unless effects are to be recorded.
func newEffectRecorder(t testing.TB) *effectRecorder {
	t.Helper()
	file := os.Getenv(effectsFileVariable)
	test, isTest := t.(*testing.T) // benchmarks run as many rounds as they have time for
	if file == "" || !isTest {
		return nil
	}
	recorder := &effectRecorder{hash: fnv.New64a()}
	test.Cleanup(func() { recorder.write(test, file) })
	return recorder
}

// record adds the effects of one event; it writes to memory, which does not fail.
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
			w.t.Errorf("an effect of an unknown type: %T", e)
		}
	}
}

// write adds the world's line to the file.
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
