package transport

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/controller"
)

func TestLongestEventIsLoggedOncePerInterval(t *testing.T) {
	var output bytes.Buffer
	log := slog.New(slog.NewTextHandler(&output, nil))
	var longest longestEvent
	longest.record(controller.Tick{}, 300*time.Millisecond)
	longest.record(controller.Request{Op: controller.OpPoll}, time.Second)
	longest.logLongest(10*time.Second, 10*time.Second, 200*time.Millisecond, log)
	longest.record(controller.Tick{}, 2*time.Second)
	longest.logLongest(15*time.Second, 10*time.Second, 200*time.Millisecond, log)
	if lines := strings.Count(output.String(), "\n"); lines != 1 || !strings.Contains(output.String(), "duration_s=1") {
		t.Errorf("want one line with the longest event, logged:\n%s", output.String())
	}
	longest.logLongest(20*time.Second, 10*time.Second, 200*time.Millisecond, log)
	longest.record(controller.Tick{}, 100*time.Millisecond)
	longest.logLongest(30*time.Second, 10*time.Second, 200*time.Millisecond, log)
	if lines := strings.Count(output.String(), "\n"); lines != 2 {
		t.Errorf("want two lines, none for an interval without a long event, logged:\n%s", output.String())
	}
}
