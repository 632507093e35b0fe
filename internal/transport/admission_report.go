package transport

import (
	"log/slog"
	"time"
)

// Observer receives the measurements behind the metrics of the admission, once per workers' lease. Its methods are
// called on the event loop's goroutine, so they must not block.
type Observer interface {
	// ClassSampled reports the state of a class of events.
	ClassSampled(class string, sample ClassSample)
	// PoolSampled reports the state of the connections for a kind of message to other controllers.
	PoolSampled(kind string, sample PoolSample)
	// AdmissionViolated reports a violated invariant of the admission.
	AdmissionViolated(AdmissionViolation)
}

// ClassSample is the state of a class of events: how many wait, the longest wait since the sample before, and counters
// since the process started.
type ClassSample struct {
	Waiting     int
	LongestWait time.Duration
	Served      uint64
	Rejected    uint64        // the queue was full
	Expired     uint64        // waited until the deadline
	Abandoned   uint64        // the client had gone
	Busy        time.Duration // time that the core took
}

// PoolSample is the state of the connections for a kind of message to other controllers: how many messages wait for
// one, the longest wait since the sample before, and counters since the process started.
type PoolSample struct {
	Waiting     int
	LongestWait time.Duration
	Sent        uint64 // got a connection
	GaveUp      uint64 // got none in time
}

// noObserver ignores all measurements.
type noObserver struct{}

func (noObserver) ClassSampled(string, ClassSample)     {}
func (noObserver) PoolSampled(string, PoolSample)       {}
func (noObserver) AdmissionViolated(AdmissionViolation) {}

// admissionReport remembers what was reported last. It is accessed only by the event loop's goroutine.
type admissionReport struct {
	dueAt time.Duration // reading of the monotonic clock
	last  [classCount]classStats
	// lastGaveUp holds how many messages had given up waiting for a connection, by kind.
	lastGaveUp [peerMessageKinds]uint64
}

// reportAdmission samples all classes once per workers' lease. It logs a line if requests were shed, with the classes
// that they belong to.
func (s *Server) reportAdmission(now time.Duration) {
	if now < s.report.dueAt {
		return
	}
	s.report.dueAt = now + s.cfg.WorkerLease()
	stats, waiting := s.queue.takeStats()
	var affected []any
	for class := range eventClass(classCount) {
		current, last := stats[class], s.report.last[class]
		s.observer.ClassSampled(class.String(), ClassSample{Waiting: waiting[class], LongestWait: current.longestWait, Served: current.served,
			Rejected: current.rejected, Expired: current.expired, Abandoned: current.abandoned, Busy: current.busy})
		if current.shed() > last.shed() {
			affected = append(affected, slog.Group(class.String(), "waiting", waiting[class], "longest_wait_s", current.longestWait.Seconds(),
				"rejected", current.rejected-last.rejected, "expired", current.expired-last.expired,
				"abandoned", current.abandoned-last.abandoned, "served", current.served-last.served, "busy_s", (current.busy-last.busy).Seconds()))
		}
	}
	s.report.last = stats
	if len(affected) > 0 {
		s.log.Info("requests shed", affected...)
	}
	s.reportPools()
}

// reportPools samples the connections to other controllers. It logs a line if messages got none in time.
func (s *Server) reportPools() {
	var affected []any
	for kind, stats := range s.peers.takeStats() {
		kind := peerMessage(kind)
		s.observer.PoolSampled(kind.String(), PoolSample{Waiting: stats.waiting, LongestWait: stats.longestWait, Sent: stats.sent, GaveUp: stats.gaveUp})
		if gaveUp := stats.gaveUp - s.report.lastGaveUp[kind]; gaveUp > 0 {
			affected = append(affected, slog.Group(kind.String(), "waiting", stats.waiting, "longest_wait_s", stats.longestWait.Seconds(), "gave_up", gaveUp))
		}
		s.report.lastGaveUp[kind] = stats.gaveUp
	}
	if len(affected) > 0 {
		s.log.Info("no free connection to other controllers", affected...)
	}
}

// shed returns how many events were not served.
func (c *classStats) shed() uint64 { return c.rejected + c.expired + c.abandoned }

// onAdmissionViolation logs a violated invariant and reports it to the observer.
func (s *Server) onAdmissionViolation(violation AdmissionViolation) {
	s.log.Error("invariant violated", "invariant", string(violation.Invariant), "subject", violation.Class,
		"waited_s", violation.Waited.Seconds(), "bound_s", violation.Bound.Seconds())
	s.observer.AdmissionViolated(violation)
}
