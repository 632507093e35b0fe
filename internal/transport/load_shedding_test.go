package transport

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A period of load shedding is logged once when it starts and once after it has ended.
func TestLoadSheddingIsLoggedTwice(t *testing.T) {
	var logOutput bytes.Buffer
	log := slog.New(slog.NewTextHandler(&logOutput, nil))
	var shedding loadShedding
	for second := range 30 {
		if second >= 5 && second < 10 {
			shedding.countRejection()
			shedding.countRejection()
		}
		shedding.logChanges(time.Duration(second)*time.Second, 10*time.Second, log)
	}
	lines := strings.Split(strings.TrimSpace(logOutput.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "load shedding started") ||
		!strings.Contains(lines[1], "load shedding ended") || !strings.Contains(lines[1], "requests=10 duration_s=4") {
		t.Errorf("want one line for the start and one for the end of load shedding, logged:\n%s", logOutput.String())
	}
}
