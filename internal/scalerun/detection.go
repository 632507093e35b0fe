package scalerun

import (
	"bufio"
	"os"
	"regexp"
	"strings"
	"time"
)

// detection follows how the controllers notice that one of them has failed: by their logs, and by the
// first task that is started under a new leader.
type detection struct {
	faults []*controllerFault
	now    func() time.Time
}

// controllerFault is a controller that was killed or frozen.
type controllerFault struct {
	label  string
	kind   string
	at     time.Time
	lasts  time.Duration // 0: it was killed
	token  uint64        // of the leader then
	placed time.Time     // first start under a later token
}

// Detection is what became of one fault. Times are in milliseconds from the fault; 0: it did not
// happen.
type Detection struct {
	Kind       string  `json:"kind"`
	ForS       float64 `json:"for_s,omitempty"`
	SuspectMS  float64 `json:"first_suspect_ms"`
	SuspectAll float64 `json:"last_suspect_ms"`
	DeadMS     float64 `json:"first_dead_ms"`
	DeadAll    float64 `json:"last_dead_ms"`
	AliveMS    float64 `json:"alive_again_ms"`
	ElectedMS  float64 `json:"elected_ms"`
	LoadedMS   float64 `json:"loaded_ms"`
	PlacedMS   float64 `json:"first_placement_ms"`
}

func newDetection() *detection { return &detection{now: time.Now} }

// faultInjected notes a fault as it is brought about, under a leader's token.
func (d *detection) faultInjected(label, kind string, lasts time.Duration, token uint64) {
	d.faults = append(d.faults, &controllerFault{label: label, kind: kind, at: d.now(), lasts: lasts, token: token})
}

// taskStarted notes a start under a token.
func (d *detection) taskStarted(token uint64) {
	for _, f := range d.faults {
		if f.placed.IsZero() && token > f.token {
			f.placed = d.now()
		}
	}
}

// logLine is a line of a controller's log that tells of a member or of the leadership.
type logLine struct {
	at                        time.Time
	message, node, controller string
}

var logPattern = regexp.MustCompile(`^time=(\S+) level=\S+ msg=("[^"]*"|\S+) node=(\S+)(?:.* controller=(\S+))?`)

// readLog reads what a log tells of members and leaders.
func readLog(path string) []logLine {
	file, err := os.Open(path)
	if err != nil {
		return nil // the controller did not start
	}
	defer file.Close()
	var out []logLine
	lines := bufio.NewScanner(file)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	for lines.Scan() {
		found := logPattern.FindStringSubmatch(lines.Text())
		if found == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, found[1])
		if err != nil {
			continue
		}
		out = append(out, logLine{at, strings.Trim(found[2], `"`), found[3], found[4]})
	}
	return out
}

// results reads the logs of all controllers and says what became of each fault.
func (d *detection) results(logs []string) []Detection {
	var lines []logLine
	for _, path := range logs {
		lines = append(lines, readLog(path)...)
	}
	var out []Detection
	for i, f := range d.faults {
		until := time.Time{}
		if i+1 < len(d.faults) && d.faults[i+1].label == f.label {
			until = d.faults[i+1].at
		}
		out = append(out, f.result(lines, until))
	}
	return out
}

func (f *controllerFault) result(lines []logLine, until time.Time) Detection {
	out := Detection{Kind: f.kind, ForS: f.lasts.Seconds()}
	since := func(t time.Time) float64 { return float64(t.Sub(f.at).Microseconds()) / microsPerMilli }
	first := func(to *float64, t time.Time) {
		if *to == 0 || since(t) < *to {
			*to = since(t)
		}
	}
	for _, l := range lines {
		if l.at.Before(f.at) || !until.IsZero() && l.at.After(until) {
			continue
		}
		switch {
		case l.message == "controller is suspect" && l.controller == f.label:
			first(&out.SuspectMS, l.at)
			out.SuspectAll = max(out.SuspectAll, since(l.at))
		case l.message == "controller is dead" && l.controller == f.label:
			first(&out.DeadMS, l.at)
			out.DeadAll = max(out.DeadAll, since(l.at))
		case l.message == "controller is alive" && l.controller == f.label:
			first(&out.AliveMS, l.at)
		case l.message == "leader" && l.node != f.label:
			first(&out.ElectedMS, l.at)
		case l.message == "ledger read" && l.node != f.label:
			first(&out.LoadedMS, l.at)
		}
	}
	if !f.placed.IsZero() {
		out.PlacedMS = since(f.placed)
	}
	return out
}
