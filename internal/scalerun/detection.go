package scalerun

import (
	"bufio"
	"os"
	"regexp"
	"strings"
	"time"
)

// detection measures how long the other controllers take to detect a failed controller and how long a new leader
// takes to become active. It uses the controllers' logs and the first task start under a later fencing token.
type detection struct {
	faults []*controllerFault
	now    func() time.Time
}

// controllerFault is an injected fault that killed or froze a controller.
type controllerFault struct {
	label      string
	kind       string
	at         time.Time
	duration   time.Duration // how long the controller was frozen; 0: it was killed
	token      uint64        // fencing token of the leader at the time of the fault
	firstStart time.Time     // first start of a task under a later token
}

// Detection reports how one fault was detected and how leadership failed over. Times are in milliseconds since the
// fault; 0 means that the event did not happen.
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

// faultInjected records a fault with the current time and the leader's fencing token.
func (d *detection) faultInjected(label, kind string, duration time.Duration, token uint64) {
	d.faults = append(d.faults, &controllerFault{label: label, kind: kind, at: d.now(), duration: duration, token: token})
}

// taskStarted records the start of a task under a fencing token.
func (d *detection) taskStarted(token uint64) {
	for _, f := range d.faults {
		if f.firstStart.IsZero() && token > f.token {
			f.firstStart = d.now()
		}
	}
}

// Messages in the controllers' logs that detection and upgradeMonitor evaluate. Constants with the suffix Legacy are
// the wording of older program versions, which plans with an upgrade also run.
const (
	messageSuspect = "controller is suspect"
	messageDead    = "controller is dead"
	messageAlive   = "controller is alive"

	messageElected       = "elected leader"
	messageElectedLegacy = "leader"
	messageLoaded        = "cluster state loaded"
	messageLoadedLegacy  = "ledger read"

	messageUnreadable       = "stored record is unreadable"
	messageUnreadableLegacy = "a record can't be read"
)

// logLine is a parsed line of a controller's log: its time, its message and the node that wrote it. controller is the
// label of the member that the line refers to, or empty.
type logLine struct {
	at                        time.Time
	message, node, controller string
}

var logPattern = regexp.MustCompile(`^time=(\S+) level=\S+ msg=("[^"]*"|\S+) node=(\S+)(?:.* controller=(\S+))?`)

const (
	logBufferBytes  = 64 << 10
	maxLogLineBytes = 1 << 20
)

// readLog returns the lines of a log that match logPattern. It returns none if the file can't be opened.
func readLog(path string) []logLine {
	file, err := os.Open(path)
	if err != nil {
		return nil // the controller never started
	}
	defer closeQuietly(file)
	var matched []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, logBufferBytes), maxLogLineBytes)
	for scanner.Scan() {
		groups := logPattern.FindStringSubmatch(scanner.Text())
		if groups == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, groups[1])
		if err != nil {
			continue
		}
		matched = append(matched, logLine{at, strings.Trim(groups[2], `"`), groups[3], groups[4]})
	}
	return matched
}

// results evaluates each fault from the logs of all controllers. If the next fault hits the same controller, log
// lines after that fault count only for it.
func (d *detection) results(logs []string) []Detection {
	var lines []logLine
	for _, path := range logs {
		lines = append(lines, readLog(path)...)
	}
	var detections []Detection
	for i, f := range d.faults {
		until := time.Time{}
		if i+1 < len(d.faults) && d.faults[i+1].label == f.label {
			until = d.faults[i+1].at
		}
		detections = append(detections, f.result(lines, until))
	}
	return detections
}

// result evaluates the fault from the log lines between the fault and until. If until is the zero time, there is no
// upper bound.
func (f *controllerFault) result(lines []logLine, until time.Time) Detection {
	measured := Detection{Kind: f.kind, ForS: f.duration.Seconds()}
	for _, line := range lines {
		if line.at.Before(f.at) || !until.IsZero() && line.at.After(until) {
			continue
		}
		if line.controller == f.label {
			measured.recordMembership(line.message, f.millisTo(line.at))
		}
		if line.node != f.label {
			measured.recordLeadership(line.message, f.millisTo(line.at))
		}
	}
	if !f.firstStart.IsZero() {
		measured.FirstPlacementMS = f.millisTo(f.firstStart)
	}
	return measured
}

// millisTo returns the milliseconds from the fault to t.
func (f *controllerFault) millisTo(t time.Time) float64 {
	return float64(t.Sub(f.at).Microseconds()) / microsPerMilli
}

// recordMembership records that a controller changed the membership state of the failed controller. atMS is in
// milliseconds since the fault.
func (d *Detection) recordMembership(message string, atMS float64) {
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

// recordLeadership records that another controller was elected or has loaded the cluster state. atMS is in
// milliseconds since the fault.
func (d *Detection) recordLeadership(message string, atMS float64) {
	switch message {
	case messageElected, messageElectedLegacy:
		setEarliest(&d.ElectedMS, atMS)
	case messageLoaded, messageLoadedLegacy:
		setEarliest(&d.LoadedMS, atMS)
	}
}

// setEarliest sets *earliest to at if at is earlier or *earliest is unset (0).
func setEarliest(earliest *float64, at float64) {
	if *earliest == 0 || at < *earliest {
		*earliest = at
	}
}
