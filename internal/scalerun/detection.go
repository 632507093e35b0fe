package scalerun

import (
	"bufio"
	"os"
	"regexp"
	"strings"
	"time"
)

// detection measures how soon the controllers notice that one of them has failed, and how soon a new
// leader works: by the controllers' logs, and by the first task that starts under a later token.
type detection struct {
	faults []*controllerFault
	now    func() time.Time
}

// controllerFault is an injected fault of a controller: it was killed or frozen.
type controllerFault struct {
	label  string
	kind   string
	at     time.Time
	lasts  time.Duration // 0: it was killed
	token  uint64        // fencing token of the leader at that time
	placed time.Time     // first start of a task under a later token
}

// Detection is how one fault was detected and repaired. Times are in milliseconds from the fault; 0: it
// did not happen.
type Detection struct {
	Kind             string  `json:"kind"`
	ForS             float64 `json:"for_s,omitempty"`
	FirstSuspectMS   float64 `json:"first_suspect_ms"`
	LastSuspectMS    float64 `json:"last_suspect_ms"`
	FirstDeadMS      float64 `json:"first_dead_ms"`
	LastDeadMS       float64 `json:"last_dead_ms"`
	AliveAgainMS     float64 `json:"alive_again_ms"`
	ElectedMS        float64 `json:"elected_ms"`
	LoadedMS         float64 `json:"loaded_ms"`
	FirstPlacementMS float64 `json:"first_placement_ms"`
}

func newDetection() *detection { return &detection{now: time.Now} }

// faultInjected records a fault at the time it is injected, with the fencing token of the leader.
func (d *detection) faultInjected(label, kind string, lasts time.Duration, token uint64) {
	d.faults = append(d.faults, &controllerFault{label: label, kind: kind, at: d.now(), lasts: lasts, token: token})
}

// taskStarted records the start of a task under a fencing token.
func (d *detection) taskStarted(token uint64) {
	for _, f := range d.faults {
		if f.placed.IsZero() && token > f.token {
			f.placed = d.now()
		}
	}
}

// Messages of the controllers' logs that are measured. Those with Before are of older versions, whose logs
// a plan with an upgrade reads too.
const (
	messageSuspect = "controller is suspect"
	messageDead    = "controller is dead"
	messageAlive   = "controller is alive"

	messageElected       = "elected leader"
	messageElectedBefore = "leader"
	messageLoaded        = "cluster state loaded"
	messageLoadedBefore  = "ledger read"

	messageUnreadable       = "stored record is unreadable"
	messageUnreadableBefore = "a record can't be read"
)

// logLine is a line of a controller's log that has a message and the node that wrote it; controller is
// the member that it is about, if any.
type logLine struct {
	at                        time.Time
	message, node, controller string
}

var logPattern = regexp.MustCompile(`^time=(\S+) level=\S+ msg=("[^"]*"|\S+) node=(\S+)(?:.* controller=(\S+))?`)

const (
	logBufferBytes  = 64 << 10
	maxLogLineBytes = 1 << 20
)

// readLog returns the lines of a log that match logPattern, or none if it can't be read.
func readLog(path string) []logLine {
	file, err := os.Open(path)
	if err != nil {
		return nil // the controller did not start
	}
	defer closeQuietly(file)
	var out []logLine
	lines := bufio.NewScanner(file)
	lines.Buffer(make([]byte, logBufferBytes), maxLogLineBytes)
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

// results evaluates each fault by the logs of all controllers. Lines after the next fault of the same
// controller count for that one.
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

// result evaluates the fault by the log lines from the fault on, up to a time (zero: to the end).
func (f *controllerFault) result(lines []logLine, until time.Time) Detection {
	out := Detection{Kind: f.kind, ForS: f.lasts.Seconds()}
	for _, l := range lines {
		if l.at.Before(f.at) || !until.IsZero() && l.at.After(until) {
			continue
		}
		if l.controller == f.label {
			out.addMembership(l.message, f.millisTo(l.at))
		}
		if l.node != f.label {
			out.addLeadership(l.message, f.millisTo(l.at))
		}
	}
	if !f.placed.IsZero() {
		out.FirstPlacementMS = f.millisTo(f.placed)
	}
	return out
}

// millisTo returns the milliseconds from the fault to a time.
func (f *controllerFault) millisTo(t time.Time) float64 {
	return float64(t.Sub(f.at).Microseconds()) / microsPerMilli
}

// addMembership takes in that a controller changed the state of the failed one, at a time in
// milliseconds from the fault.
func (d *Detection) addMembership(message string, atMS float64) {
	switch message {
	case messageSuspect:
		setEarliest(&d.FirstSuspectMS, atMS)
		d.LastSuspectMS = max(d.LastSuspectMS, atMS)
	case messageDead:
		setEarliest(&d.FirstDeadMS, atMS)
		d.LastDeadMS = max(d.LastDeadMS, atMS)
	case messageAlive:
		setEarliest(&d.AliveAgainMS, atMS)
	}
}

// addLeadership takes in that another controller has been elected or has loaded the state, at a time
// in milliseconds from the fault.
func (d *Detection) addLeadership(message string, atMS float64) {
	switch message {
	case messageElected, messageElectedBefore:
		setEarliest(&d.ElectedMS, atMS)
	case messageLoaded, messageLoadedBefore:
		setEarliest(&d.LoadedMS, atMS)
	}
}

// setEarliest lowers a time to an earlier one; 0 is none.
func setEarliest(earliest *float64, at float64) {
	if *earliest == 0 || at < *earliest {
		*earliest = at
	}
}
