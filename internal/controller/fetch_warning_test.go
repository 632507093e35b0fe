package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A class whose images take longer to fetch than its service-level objective lets tasks wait is
// logged once, whatever the number of its jobs and leaders; one whose images are fetched in time is
// not.
func TestFetchLongerThanTheObjectiveIsLogged(t *testing.T) {
	w := newWorld(t, 65)
	w.awaitLeader()
	var out bytes.Buffer
	for _, n := range w.nodes {
		n.controller.env.log = slog.New(slog.NewTextHandler(&out, nil))
	}
	w.submit("j-1", map[string]any{"tier": "web", "sizeGb": 4.0}) // at 1 GB a second, within 5 s
	w.run(10 * second)
	if strings.Contains(out.String(), "shorter than the image fetch") {
		t.Errorf("a fetch of 4 s is logged: %s", out.String())
	}
	for _, uid := range []string{"j-2", "j-3"} {
		w.submit(uid, map[string]any{"tier": "web", "sizeGb": 9.0})
	}
	w.submit("j-4", map[string]any{"tier": "jobs", "sizeGb": 90.0}) // no objective
	w.run(10 * second)
	if n := strings.Count(out.String(), "shorter than the image fetch"); n != 1 || !strings.Contains(out.String(), "class=web within_s=5 fetch_s=9") {
		t.Errorf("a fetch of 9 s is logged %d times: %s", n, out.String())
	}
}
