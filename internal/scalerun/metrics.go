package scalerun

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shirou/gopsutil/v4/process"
)

// Quantiles summarizes a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// distribution is a histogram of durations from one microsecond to ten minutes.
type distribution struct{ histogram *hdrhistogram.Histogram }

const (
	maxDurationMicros  = 600_000_000
	significantFigures = 3
	microsPerMilli     = 1000.0
	millisPerSecond    = 1000
)

func newDistribution() distribution {
	return distribution{hdrhistogram.New(1, maxDurationMicros, significantFigures)}
}

func (d distribution) add(t time.Duration) {
	_ = d.histogram.RecordValue(min(maxDurationMicros, max(1, t.Microseconds()))) // can't fail: the value is clamped to the histogram's range
}

func (d distribution) quantiles() Quantiles {
	return Quantiles{Count: d.histogram.TotalCount(), P50: float64(d.histogram.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(d.histogram.ValueAtQuantile(99)) / microsPerMilli, Max: float64(d.histogram.Max()) / microsPerMilli}
}

// ProcessUse is the resource usage of the processes of one label in the measured phase of a run. CPUShare is in cores.
// PeakMB is the largest resident memory of a single process, in MiB.
type ProcessUse struct {
	CPUSeconds float64 `json:"cpu_s"` // user and system
	CPUShare   float64 `json:"cpu_share"`
	PeakMB     float64 `json:"peak_rss_mb"`
	Restarts   int     `json:"restarts"`
}

// watchedProcess is the current process of a label. CPU times are in seconds, peakRSS is in bytes.
type watchedProcess struct {
	handle     *process.Process
	starts     int
	earlierCPU float64 // used by earlier processes of the label in the measured phase
	cpuAtBegin float64 // at the start of the measured phase; 0 for a process that started later
	lastCPU    float64 // last sample
	peakRSS    uint64
}

// metrics holds the counters of one region. All fields except processes must be used on the event loop only; mu guards
// processes.
type metrics struct {
	measuring bool
	beganAt   time.Duration

	starts              int64
	tasksCompleted      int64
	running             int
	peakRunning         int
	peakStartsPerSecond int64
	startsThisSecond    int64
	timeToStart         map[string]distribution
	timeToAccept        distribution
	heartbeatRoundTrip  distribution
	answers             map[string]int64
	heartbeats          int64
	heartbeatsRefused   int64
	workerBytes         int64
	directMessages      int64
	leaderChanges       int
	leaderGaps          distribution
	requestsGivenUp     int64
	heldExits           exitCounter

	mu        sync.Mutex
	processes map[string]*watchedProcess
}

func newMetrics() *metrics {
	return &metrics{timeToStart: map[string]distribution{}, timeToAccept: newDistribution(), heartbeatRoundTrip: newDistribution(), leaderGaps: newDistribution(),
		answers: map[string]int64{}, processes: map[string]*watchedProcess{}}
}

// begin starts the measured phase.
func (m *metrics) begin(now time.Duration) {
	m.measuring, m.beganAt = true, now
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		p.cpuAtBegin, p.earlierCPU, p.peakRSS = p.lastCPU, 0, 0
	}
}

// heartbeatCompleted records the exchange of a heartbeat and its response, and their size in bytes.
func (m *metrics) heartbeatCompleted(status int, duration time.Duration, bytes int64) {
	if !m.measuring {
		return
	}
	m.workerBytes += bytes
	if status == http.StatusOK {
		m.heartbeats++
		m.heartbeatRoundTrip.add(duration)
	} else {
		m.heartbeatsRefused++
	}
}

// directHeaderBytes is the approximate size of the HTTP header of a direct request or response, in bytes.
const directHeaderBytes = 150

// directMessage records a direct request to a worker or its response, with the size of the body in bytes.
func (m *metrics) directMessage(bytes int) {
	if m.measuring {
		m.directMessages++
		m.workerBytes += int64(bytes + directHeaderBytes)
	}
}

// jobAccepted records the time from a job's first submission attempt to its acceptance.
func (m *metrics) jobAccepted(duration time.Duration) {
	if m.measuring {
		m.timeToAccept.add(duration)
	}
}

// responseReceived counts the responses to clients by operation and status (0: no response).
func (m *metrics) responseReceived(op string, status int) {
	if m.measuring {
		m.answers[statusKey(op, status)]++
	}
}

// taskStarted records the first start of a task. wait is the time since its job was submitted.
func (m *metrics) taskStarted(class string, wait time.Duration) {
	m.startsThisSecond++
	if !m.measuring {
		return
	}
	m.starts++
	if _, exists := m.timeToStart[class]; !exists {
		m.timeToStart[class] = newDistribution()
	}
	m.timeToStart[class].add(wait)
}

// endSecond updates the peaks and resets the counter of starts per second. It must be called once a second.
func (m *metrics) endSecond() {
	if m.measuring {
		m.peakStartsPerSecond = max(m.peakStartsPerSecond, m.startsThisSecond)
		m.peakRunning = max(m.peakRunning, m.running)
	}
	m.startsThisSecond = 0
}

// watchProcess starts measuring a process under a label. It replaces an earlier process of the same label.
func (m *metrics) watchProcess(label string, pid int) {
	handle, err := process.NewProcess(int32(pid))
	if err != nil {
		return // the process has already exited; controlPlane.awaitExit handles that
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.processes[label]
	if p == nil {
		p = &watchedProcess{}
		m.processes[label] = p
	}
	p.earlierCPU += p.lastCPU - p.cpuAtBegin
	p.handle, p.cpuAtBegin, p.lastCPU = handle, 0, 0
	p.starts++
}

// sample reads the CPU time and memory of all processes and returns the sum of their resident memory in bytes.
func (m *metrics) sample() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := uint64(0)
	for _, p := range m.processes {
		if times, err := p.handle.Times(); err == nil {
			p.lastCPU = times.User + times.System
		}
		if memory, err := p.handle.MemoryInfo(); err == nil {
			p.peakRSS = max(p.peakRSS, memory.RSS)
			total += memory.RSS
		}
	}
	return total
}

// processUse returns the resource usage in the measured phase, by label.
func (m *metrics) processUse(measured time.Duration) map[string]ProcessUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	use := map[string]ProcessUse{}
	for label, p := range m.processes {
		cpu := p.earlierCPU + p.lastCPU - p.cpuAtBegin
		use[label] = ProcessUse{CPUSeconds: cpu, CPUShare: cpu / measured.Seconds(), PeakMB: float64(p.peakRSS) / (1 << 20), Restarts: p.starts - 1}
	}
	return use
}
