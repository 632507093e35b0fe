package telemetry

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/controller"
	"claybarrow/internal/membership"
	"claybarrow/internal/transport"
)

// ServeHTTP responds with the metrics in the Prometheus text format.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.metricSet.WritePrometheus(w)
}

func (r *Recorder) setGauge(name string, value float64) {
	r.metricSet.GetOrCreateGauge(name, nil).Set(value)
}

func (r *Recorder) incrementCounter(name string) { r.metricSet.GetOrCreateCounter(name).Inc() }

func (r *Recorder) observeSeconds(name string, d time.Duration) {
	r.metricSet.GetOrCreateHistogram(name).Update(d.Seconds())
}

// DetectorSampled records the failure detector's local health (0 is healthy) and its counters.
func (r *Recorder) DetectorSampled(health int, counters membership.Counters) {
	r.setGauge("claybarrow_observer_health", float64(health))
	for name, value := range map[string]uint64{
		"probes":            counters.Probes,
		"answers":           counters.Replies,
		"failures":          counters.ProbeFailures,
		"witnesses_asked":   counters.IndirectProbes,
		"witnesses_reached": counters.IndirectAcks,
		"suspicions":        counters.Suspicions,
		"deaths":            counters.Deaths,
		"refutations":       counters.Refutations,
		"false_suspicions":  counters.FalseSuspicions,
		"false_deaths":      counters.FalseDeaths,
		"stalls":            counters.Pauses,
		"bytes_sent":        counters.BytesSent,
		"bytes_received":    counters.BytesReceived,
		"probes_for_others": counters.ProbesForPeers,
	} {
		r.metricSet.GetOrCreateCounter("claybarrow_membership_" + name + "_total").Set(value)
	}
}

// MemberChanged records a change of another controller's membership state: 0 alive, 1 suspect, 2 dead, 3 left.
func (r *Recorder) MemberChanged(change membership.StateChange) {
	if gauge := r.memberStates[change.Label]; gauge != nil {
		gauge.Set(float64(change.To))
	}
	r.incrementCounter(fmt.Sprintf(`claybarrow_member_changes_total{controller=%q,to=%q}`, change.Label, change.To))
}

// PeerMessageDropped counts a rejected message of another controller, by the reason for the rejection.
func (r *Recorder) PeerMessageDropped(drop membership.DroppedMessage) {
	reason := strings.ReplaceAll(string(drop.Reason), " ", "_")
	r.incrementCounter(fmt.Sprintf(`claybarrow_messages_dropped_total{reason=%q}`, reason))
}

// recordGateMetrics sets the gauge of the feature gate's state (0 closed, 1 opening, 2 open, 3 closing) and counts the
// change.
func (r *Recorder) recordGateMetrics(change controller.GateChange) {
	r.setGauge("claybarrow_feature_gate_state", float64(change.To))
	r.incrementCounter(fmt.Sprintf(`claybarrow_feature_gate_changes_total{to=%q}`, change.To))
}

// JournalSized records the size of the journal of task completions.
func (r *Recorder) JournalSized(size controller.JournalSize) {
	for name, value := range map[string]int{
		"values":     size.Values,
		"ends":       size.Entries,
		"waiting":    size.Waiting,
		"unreadable": size.Unreadable,
	} {
		r.setGauge("claybarrow_end_journal_"+name, float64(value))
	}
}

// MachineRedirected counts a machine that was redirected to another controller.
func (r *Recorder) MachineRedirected(_, to string) {
	r.incrementCounter(fmt.Sprintf(`claybarrow_machines_sent_total{to=%q}`, to))
}

// MachinesExcluded records how many machines get no tasks, by reason. The gauge of a reason without machines is 0.
func (r *Recorder) MachinesExcluded(countByReason map[controller.ExclusionReason]int) {
	for _, reason := range controller.ExclusionReasons() {
		r.setGauge(fmt.Sprintf(`claybarrow_machines_excluded{reason=%q}`, reason), float64(countByReason[reason]))
	}
}

// QuarantineChanged counts a change of a machine's circuit breaker by its new state and the reason.
func (r *Recorder) QuarantineChanged(change controller.QuarantineChange) {
	state := change.To
	if state == clusterstate.BreakerClosed {
		state = "closed"
	}
	r.incrementCounter(fmt.Sprintf(`claybarrow_machine_quarantine_changes_total{to=%q,reason=%q}`, state, strings.ReplaceAll(change.Reason, " ", "_")))
}

// RequestRerouted counts a request that was sent to the leader through another controller.
func (r *Recorder) RequestRerouted() { r.incrementCounter("claybarrow_requests_detoured_total") }

// RequestRetried counts a retry of a request to the leader.
func (r *Recorder) RequestRetried() { r.incrementCounter("claybarrow_requests_retried_total") }

// RequestRefused counts a refused user's request by its reason.
func (r *Recorder) RequestRefused(reason string) {
	r.incrementCounter(fmt.Sprintf(`claybarrow_requests_refused_total{reason=%q}`, strings.ReplaceAll(reason, " ", "_")))
}

// ReadinessChanged counts a change of the answer to readiness checks, and sets the gauge of the present answer.
func (r *Recorder) ReadinessChanged(ready bool, reason string) {
	value := 0.0
	if ready {
		value = 1
	}
	r.setGauge("claybarrow_ready", value)
	r.incrementCounter(fmt.Sprintf(`claybarrow_readiness_changes_total{reason=%q}`, strings.ReplaceAll(reason, " ", "_")))
}

// InvariantViolated counts a violated invariant.
func (r *Recorder) InvariantViolated(violation controller.Violation) {
	r.incrementCounter(fmt.Sprintf(`claybarrow_invariant_violations_total{invariant=%q}`, strings.ReplaceAll(string(violation.Invariant), " ", "_")))
}

// UnrecordedAttemptReported counts a task on a machine whose attempt the leader had not recorded, by whether the leader had
// seen the attempt end before.
func (r *Recorder) UnrecordedAttemptReported(ended bool) {
	r.incrementCounter(fmt.Sprintf(`claybarrow_unrecorded_attempts_total{ended="%t"}`, ended))
}

// CommandsRejected counts a direct call that a worker rejected, by the cause.
func (r *Recorder) CommandsRejected(cause controller.RejectionCause) {
	r.incrementCounter(fmt.Sprintf(`claybarrow_commands_rejected_total{cause=%q}`, cause))
}

// AdmissionViolated counts a violated invariant of the admission.
func (r *Recorder) AdmissionViolated(violation transport.AdmissionViolation) {
	r.incrementCounter(fmt.Sprintf(`claybarrow_invariant_violations_total{invariant=%q}`, strings.ReplaceAll(string(violation.Invariant), " ", "_")))
}

// ClassSampled records the state of a class of events that wait for the event loop.
func (r *Recorder) ClassSampled(class string, sample transport.ClassSample) {
	label := fmt.Sprintf(`{class=%q}`, class)
	r.setGauge("claybarrow_events_waiting"+label, float64(sample.Waiting))
	r.setGauge("claybarrow_events_longest_wait_seconds"+label, sample.LongestWait.Seconds())
	r.setGauge("claybarrow_events_busy_seconds"+label, sample.Busy.Seconds())
	for outcome, count := range map[string]uint64{
		"served":    sample.Served,
		"rejected":  sample.Rejected,
		"expired":   sample.Expired,
		"abandoned": sample.Abandoned,
	} {
		r.metricSet.GetOrCreateCounter(fmt.Sprintf(`claybarrow_events_total{class=%q,outcome=%q}`, class, outcome)).Set(count)
	}
}

// PoolSampled records the state of the connections for a kind of message to other controllers.
func (r *Recorder) PoolSampled(kind string, sample transport.PoolSample) {
	label := fmt.Sprintf(`{kind=%q}`, kind)
	r.setGauge("claybarrow_peer_messages_waiting"+label, float64(sample.Waiting))
	r.setGauge("claybarrow_peer_messages_longest_wait_seconds"+label, sample.LongestWait.Seconds())
	r.metricSet.GetOrCreateCounter(fmt.Sprintf(`claybarrow_peer_messages_total{kind=%q,outcome="sent"}`, kind)).Set(sample.Sent)
	r.metricSet.GetOrCreateCounter(fmt.Sprintf(`claybarrow_peer_messages_total{kind=%q,outcome="no_connection"}`, kind)).Set(sample.GaveUp)
}

// ProcessResumed records the length of a process pause and whether the controller was the leader before it.
func (r *Recorder) ProcessResumed(pause time.Duration, wasLeader bool) {
	r.incrementCounter(fmt.Sprintf(`claybarrow_standstills_total{led="%t"}`, wasLeader))
	r.observeSeconds("claybarrow_standstill_seconds", pause)
}

// recordFailoverMetrics counts a failover and records the durations of its load and election steps. A step is omitted
// if its start or end is unknown.
func (r *Recorder) recordFailoverMetrics(failover controller.Failover) {
	r.incrementCounter("claybarrow_handovers_total")
	if failover.Loaded > 0 {
		r.observeSeconds("claybarrow_handover_load_seconds", failover.Loaded-failover.Elected)
	}
	if failover.LeaderKeyRemoved > 0 {
		r.observeSeconds("claybarrow_handover_election_seconds", failover.Elected-failover.LeaderKeyRemoved)
	}
}
