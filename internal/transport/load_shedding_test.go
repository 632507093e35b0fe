package transport

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A spell in which requests are turned away is logged once when it begins and once when it is over.
func TestLoadSheddingIsLoggedTwice(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var away loadShedding
	for second := range 30 {
		if second >= 5 && second < 10 {
			away.countRejection()
			away.countRejection()
		}
		away.logChanges(time.Duration(second)*time.Second, 10*time.Second, log)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "are turned away") || !strings.Contains(lines[1], "requests=10 seconds=4") {
		t.Errorf("logged:\n%s", out.String())
	}
}
