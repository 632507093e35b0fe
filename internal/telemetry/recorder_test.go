package telemetry

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/controller"
	"claybarrow/internal/featuregate"
	"claybarrow/internal/membership"
	"claybarrow/internal/transport"
)

// newTestConfig returns the settings of a controller with two peers and metrics enabled. The trace file is optional.
func newTestConfig(t *testing.T, traceFile string) *config.Config {
	t.Helper()
	cfg := &config.Config{}
	cfg.Label = "n0"
	cfg.Siblings = []config.Peer{{Label: "n1"}, {Label: "n2"}}
	cfg.Operator.Telemetry.Metrics = true
	cfg.Operator.Telemetry.TraceFile = traceFile
	return cfg
}

func TestMetrics(t *testing.T) {
	r, err := New(newTestConfig(t, ""), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	r.DetectorSampled(2, membership.Counters{Probes: 7, FalseSuspicions: 1})
	r.MemberChanged(membership.StateChange{Label: "n1", From: membership.Alive, To: membership.Suspect})
	r.MemberChanged(membership.StateChange{Label: "unheard-of", To: membership.Dead})
	r.PeerMessageDropped(membership.DroppedMessage{Label: "n1", Reason: membership.DropSequence})
	r.MachineRedirected("i-1", "n2")
	r.MachinesExcluded(map[controller.ExclusionReason]int{controller.ExcludedFaulty: 2})
	r.QuarantineChanged(controller.QuarantineChange{Machine: "i-1", To: clusterstate.BreakerOpen, Reason: "probe failed"})
	r.QuarantineChanged(controller.QuarantineChange{Machine: "i-1", To: clusterstate.BreakerClosed, Reason: "task succeeded"})
	r.RequestRerouted()
	r.RequestRetried()
	r.RequestRefused("records not loaded")
	r.ReadinessChanged(false, "no leader known")
	r.InvariantViolated(controller.Violation{Invariant: controller.StartNeedsAuthority})
	r.UnrecordedAttemptReported(true)
	r.CommandsRejected(controller.RejectedByToken)
	r.AdmissionViolated(transport.AdmissionViolation{Invariant: transport.NoClassStarves})
	r.ClassSampled("question", transport.ClassSample{Waiting: 3, LongestWait: time.Second, Served: 8, Rejected: 2, Busy: time.Minute})
	r.PoolSampled("user_relay", transport.PoolSample{Waiting: 4, LongestWait: time.Second, Sent: 9, GaveUp: 5})
	r.ProcessResumed(2*time.Second, true)
	r.GateChanged(controller.GateChange{Token: 3, From: featuregate.Closed, To: featuregate.Opening})
	r.GateChanged(controller.GateChange{Token: 3, From: featuregate.Opening, To: featuregate.Open})
	r.JournalSized(controller.JournalSize{Values: 4, Entries: 60, Unreadable: 1})
	r.FailedOver(controller.Failover{Token: 3, LeaderKeyRemoved: time.Second, Elected: 2 * time.Second, Loaded: 3 * time.Second})
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`claybarrow_unrecorded_attempts_total{ended="true"} 1`,
		`claybarrow_commands_rejected_total{cause="token"} 1`,
		"claybarrow_observer_health 2", "claybarrow_membership_probes_total 7", "claybarrow_membership_false_suspicions_total 1",
		`claybarrow_member_state{controller="n1"} 1`, `claybarrow_member_state{controller="n2"} 0`,
		`claybarrow_messages_dropped_total{reason="sequence_went_backwards"} 1`, `claybarrow_machines_sent_total{to="n2"} 1`,
		`claybarrow_machines_excluded{reason="faulty"} 2`, `claybarrow_machines_excluded{reason="draining"} 0`,
		`claybarrow_machine_quarantine_changes_total{to="open",reason="probe_failed"} 1`,
		`claybarrow_machine_quarantine_changes_total{to="closed",reason="task_succeeded"} 1`,
		"claybarrow_requests_detoured_total 1", "claybarrow_requests_retried_total 1", `claybarrow_standstills_total{led="true"} 1`,
		`claybarrow_requests_refused_total{reason="records_not_loaded"} 1`, "claybarrow_ready 0",
		`claybarrow_invariant_violations_total{invariant="start_without_authority"} 1`,
		`claybarrow_invariant_violations_total{invariant="class_of_events_starved"} 1`, `claybarrow_events_waiting{class="question"} 3`,
		`claybarrow_events_longest_wait_seconds{class="question"} 1`, `claybarrow_events_busy_seconds{class="question"} 60`,
		`claybarrow_events_total{class="question",outcome="served"} 8`, `claybarrow_events_total{class="question",outcome="rejected"} 2`,
		`claybarrow_peer_messages_waiting{kind="user_relay"} 4`, `claybarrow_peer_messages_total{kind="user_relay",outcome="no_connection"} 5`,
		"claybarrow_handovers_total 1", "claybarrow_feature_gate_state 2", `claybarrow_feature_gate_changes_total{to="open"} 1`,
		"claybarrow_end_journal_values 4", "claybarrow_end_journal_ends 60", "claybarrow_end_journal_unreadable 1",
	} {
		if !strings.Contains(w.Body.String(), line) {
			t.Errorf("metrics do not contain %s:\n%s", line, w.Body.String())
		}
	}
	if err := r.Close(context.Background()); err != nil {
		t.Error(err)
	}
}

// recordTraces calls record with a new recorder, closes the recorder and returns the contents of its trace file.
func recordTraces(t *testing.T, start time.Time, record func(*Recorder)) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "trace.json")
	r, err := New(newTestConfig(t, file), start)
	if err != nil {
		t.Fatal(err)
	}
	record(r)
	if err := r.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	traces, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(traces)
}

// A failover is recorded as a span from the suspicion to the first placement, with a child span for each step.
func TestTraceOfFailover(t *testing.T) {
	start := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	traces := recordTraces(t, start, func(r *Recorder) {
		r.FailedOver(controller.Failover{
			Token:            3,
			FormerLeader:     "n1",
			Suspected:        10 * time.Second,
			LeaderKeyRemoved: 11 * time.Second,
			Elected:          11*time.Second + 20*time.Millisecond,
			Loaded:           11*time.Second + 90*time.Millisecond,
			FirstPlacement:   12 * time.Second,
			Jobs:             5,
			Machines:         7,
		})
	})
	durations := map[string]time.Duration{}
	decoder := json.NewDecoder(strings.NewReader(traces))
	for decoder.More() {
		var span struct {
			Name               string
			StartTime, EndTime time.Time
		}
		if err := decoder.Decode(&span); err != nil {
			t.Fatal(err)
		}
		durations[span.Name] = span.EndTime.Sub(span.StartTime)
	}
	for name, want := range map[string]time.Duration{
		"handover":  2 * time.Second,
		"suspicion": time.Second,
		"election":  20 * time.Millisecond,
		"load":      70 * time.Millisecond,
		"placement": 910 * time.Millisecond,
	} {
		if durations[name] != want {
			t.Errorf("span %s has duration %v, want %v", name, durations[name], want)
		}
	}
}

// A change of the feature gate is recorded as a span with its reason and the statements of the other controllers.
func TestTraceOfFeatureGate(t *testing.T) {
	traces := recordTraces(t, time.Now(), func(r *Recorder) {
		r.GateChanged(controller.GateChange{Token: 3, At: time.Second, From: featuregate.Open, To: featuregate.Closing, Reason: "n1 holds the gate closed",
			Statements: map[string]string{"n1": "reads 1, writes 1, holds", "n2": "no statement"}})
	})
	for _, text := range []string{`"feature gate"`, `"closing"`, "n1 holds the gate closed", "statement.n1", "reads 1, writes 1, holds", "no statement"} {
		if !strings.Contains(traces, text) {
			t.Errorf("traces do not contain %s: %s", text, traces)
		}
	}
}

func TestTraceFileCannotBeOpened(t *testing.T) {
	if _, err := New(newTestConfig(t, filepath.Join(t.TempDir(), "no", "such", "folder")), time.Now()); err == nil || !strings.Contains(err.Error(), "telemetry.trace_file") {
		t.Errorf("error %v, want an error that names telemetry.trace_file", err)
	}
}
