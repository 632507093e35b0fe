package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// If the images of a class take longer to fetch than its service-level objective lets tasks wait, a
// warning is logged once for the class, whatever the number of its jobs and of leaders. For a class
// whose images can be fetched in time, no warning is logged.
func TestFetchLongerThanTheObjectiveIsLogged(t *testing.T) {
	w := newWorld(t, 65)
	w.awaitLeader()
	var logOutput bytes.Buffer
	for _, n := range w.nodes {
		n.controller.env.log = slog.New(slog.NewTextHandler(&logOutput, nil))
	}
	w.submit("j-1", map[string]any{"tier": "web", "sizeGb": 4.0}) // at 1 GB a second, within 5 s
	w.run(10 * second)
	if strings.Contains(logOutput.String(), "shorter than the image fetch") {
		t.Errorf("a warning was logged for a fetch time of 4 s: %s", logOutput.String())
	}
	for _, uid := range []string{"j-2", "j-3"} {
		w.submit(uid, map[string]any{"tier": "web", "sizeGb": 9.0})
	}
	w.submit("j-4", map[string]any{"tier": "jobs", "sizeGb": 90.0}) // the class has no objective
	w.run(10 * second)
	if n := strings.Count(logOutput.String(), "shorter than the image fetch"); n != 1 || !strings.Contains(logOutput.String(), "class=web within_s=5 fetch_s=9") {
		t.Errorf("%d warnings were logged for a fetch time of 9 s, want 1: %s", n, logOutput.String())
	}
}
