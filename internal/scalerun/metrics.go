package scalerun

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shirou/gopsutil/v4/process"
)

// Quantiles sum up a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// distribution is a histogram of durations, in microseconds up to ten minutes.
type distribution struct{ histogram *hdrhistogram.Histogram }

const (
	longestMicros      = 600_000_000
	significantFigures = 3
	microsPerMilli     = 1000.0
	millisPerSecond    = 1000
)

func newDistribution() distribution {
	return distribution{hdrhistogram.New(1, longestMicros, significantFigures)}
}

func (d distribution) add(t time.Duration) {
	_ = d.histogram.RecordValue(min(longestMicros, max(1, t.Microseconds()))) // clipped to its range, so that it takes every value
}

func (d distribution) quantiles() Quantiles {
	return Quantiles{Count: d.histogram.TotalCount(), P50: float64(d.histogram.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(d.histogram.ValueAtQuantile(99)) / microsPerMilli, Max: float64(d.histogram.Max()) / microsPerMilli}
}

// ProcessUse is what the processes of one label used in the measured part of a run. CPUShare is in
// cores, PeakMB the largest resident memory of one process in MiB.
type ProcessUse struct {
	CPUSeconds float64 `json:"cpu_s"` // user and system
	CPUShare   float64 `json:"cpu_share"`
	PeakMB     float64 `json:"peak_rss_mb"`
	Restarts   int     `json:"restarts"`
}

// watchedProcess is the present process of a label, with the use of CPU time in seconds.
type watchedProcess struct {
	handle       *process.Process
	starts       int
	cpuOfEarlier float64 // of earlier processes of the same label, in the measured part
	cpuBase      float64
	cpuLast      float64
	peakRSS      uint64
}

// metrics are the counts of one region. Only the event loop uses them, but for the processes, which
// mu guards.
type metrics struct {
	measuring bool
	began     time.Duration

	starts             int64
	tasksCompleted     int64
	running            int
	peakRunning        int
	peakSecond         int64
	startsThisSecond   int64
	timeToStart        map[string]distribution
	timeToAccept       distribution
	heartbeatRoundTrip distribution
	answers            map[string]int64
	heartbeats         int64
	heartbeatsRefused  int64
	workerBytes        int64
	directMessages     int64
	leaderChanges      int
	leaderGaps         distribution
	requestsGivenUp    int64

	mu        sync.Mutex
	processes map[string]*watchedProcess
}

func newMetrics() *metrics {
	return &metrics{timeToStart: map[string]distribution{}, timeToAccept: newDistribution(), heartbeatRoundTrip: newDistribution(), leaderGaps: newDistribution(),
		answers: map[string]int64{}, processes: map[string]*watchedProcess{}}
}

// begin starts the measured part.
func (m *metrics) begin(now time.Duration) {
	m.measuring, m.began = true, now
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		p.cpuBase, p.cpuOfEarlier, p.peakRSS = p.cpuLast, 0, 0
	}
}

// heartbeat records a heartbeat's exchange, with its traffic in bytes.
func (m *metrics) heartbeat(status int, took time.Duration, bytes int64) {
	if !m.measuring {
		return
	}
	m.workerBytes += bytes
	if status == http.StatusOK {
		m.heartbeats++
		m.heartbeatRoundTrip.add(took)
	} else {
		m.heartbeatsRefused++
	}
}

// directHeader is about how many bytes the lines before the body of a direct request or answer take.
const directHeader = 150

// direct records a direct request or its answer, with the size of its body in bytes.
func (m *metrics) direct(bytes int) {
	if m.measuring {
		m.directMessages++
		m.workerBytes += int64(bytes + directHeader)
	}
}

// jobAccepted records how long a job took from its first submission to its acceptance.
func (m *metrics) jobAccepted(took time.Duration) {
	if m.measuring {
		m.timeToAccept.add(took)
	}
}

// answer counts the answers to clients, by operation and status (0: none).
func (m *metrics) answer(op string, status int) {
	if m.measuring {
		m.answers[statusKey(op, status)]++
	}
}

// taskStarted records the first start of a task, with the time since its job was submitted.
func (m *metrics) taskStarted(class string, wait time.Duration) {
	m.startsThisSecond++
	if !m.measuring {
		return
	}
	m.starts++
	if _, known := m.timeToStart[class]; !known {
		m.timeToStart[class] = newDistribution()
	}
	m.timeToStart[class].add(wait)
}

// endSecond ends a second of the counts by second.
func (m *metrics) endSecond() {
	if m.measuring {
		m.peakSecond = max(m.peakSecond, m.startsThisSecond)
		m.peakRunning = max(m.peakRunning, m.running)
	}
	m.startsThisSecond = 0
}

// watchProcess measures a process under a label, in the place of an earlier one of that label.
func (m *metrics) watchProcess(label string, pid int) {
	handle, err := process.NewProcess(int32(pid))
	if err != nil {
		return // it has ended already, which its owner notices
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.processes[label]
	if p == nil {
		p = &watchedProcess{}
		m.processes[label] = p
	}
	p.cpuOfEarlier += p.cpuLast - p.cpuBase
	p.handle, p.cpuBase, p.cpuLast = handle, 0, 0
	p.starts++
}

// sample reads the CPU time and memory of the processes, and returns the memory of all in bytes.
func (m *metrics) sample() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := uint64(0)
	for _, p := range m.processes {
		if times, err := p.handle.Times(); err == nil {
			p.cpuLast = times.User + times.System
		}
		if memory, err := p.handle.MemoryInfo(); err == nil {
			p.peakRSS = max(p.peakRSS, memory.RSS)
			total += memory.RSS
		}
	}
	return total
}

// processUse sums up the use of the processes over the measured part.
func (m *metrics) processUse(measured time.Duration) map[string]ProcessUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]ProcessUse{}
	for label, p := range m.processes {
		cpu := p.cpuOfEarlier + p.cpuLast - p.cpuBase
		out[label] = ProcessUse{CPUSeconds: cpu, CPUShare: cpu / measured.Seconds(), PeakMB: float64(p.peakRSS) / (1 << 20), Restarts: p.starts - 1}
	}
	return out
}
