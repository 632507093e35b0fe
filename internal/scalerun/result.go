package scalerun

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/emulator"
)

// RegionResult holds the measurements of one region.
type RegionResult struct {
	Region             int                   `json:"region"`
	MeasuredS          float64               `json:"measured_s"`
	Workers            int                   `json:"workers"`
	Starts             int64                 `json:"starts"`
	StartsPerS         float64               `json:"starts_per_s"`
	PeakStartsPerS     int64                 `json:"peak_starts_per_s"`
	TasksDone          int64                 `json:"tasks_done"`
	PeakRunning        int                   `json:"peak_tasks_running"`
	TimeToStart        map[string]Quantiles  `json:"time_to_start"`
	TimeToAccept       Quantiles             `json:"accept"`
	Answers            map[string]int64      `json:"answers"`
	RequestsGivenUp    int64                 `json:"requests_given_up"`
	HeartbeatRoundTrip Quantiles             `json:"report_round_trip"`
	HeartbeatsPerS     float64               `json:"reports_per_s"`
	HeartbeatsFailed   int64                 `json:"reports_refused"`
	DirectMessagesPerS float64               `json:"direct_messages_per_s"`
	WorkerBytesPerS    float64               `json:"bytes_per_s_by_worker"`
	LeaderChanges      int                   `json:"leader_changes"`
	LeaderGaps         Quantiles             `json:"leader_gaps"`
	StateRequestsPerS  float64               `json:"state_requests_per_s"`
	StateChangesPerS   float64               `json:"state_changes_per_s"`
	StateBytesPerS     float64               `json:"state_bytes_per_s"`
	StateRateLimited   int64                 `json:"state_429s"`
	StateConflicts     int64                 `json:"state_409s"`
	StateKeys          int                   `json:"state_keys"`
	Ownership          Ownership             `json:"ownership"`
	Detections         []Detection           `json:"detections,omitempty"`
	Upgrade            *UpgradeResult        `json:"upgrade,omitempty"`
	Processes          map[string]ProcessUse `json:"processes"`
	MaxEventDelayS     float64               `json:"stand_in_latest_s"`
	Copies             emulator.CopyOutcomes `json:"copies"`
	HeldExits          HeldExits             `json:"held_exits"`
}

// result returns the measurements of the measured phase. It must be called on the event loop.
func (r *region) result(measured time.Duration) *RegionResult {
	m, stateStats, statsAtBegin := r.metrics, r.state.Stats, r.stateStatsAtBegin
	perSecond := func(n float64) float64 { return n / measured.Seconds() }
	result := &RegionResult{Region: r.number, MeasuredS: measured.Seconds(), Workers: len(r.fleet.Workers),
		Starts: m.starts, StartsPerS: perSecond(float64(m.starts)), PeakStartsPerS: m.peakStartsPerSecond, TasksDone: m.tasksCompleted, PeakRunning: m.peakRunning,
		TimeToStart: map[string]Quantiles{}, TimeToAccept: m.timeToAccept.quantiles(), Answers: m.answers, RequestsGivenUp: m.requestsGivenUp,
		HeartbeatRoundTrip: m.heartbeatRoundTrip.quantiles(), HeartbeatsPerS: perSecond(float64(m.heartbeats)), HeartbeatsFailed: m.heartbeatsRefused,
		DirectMessagesPerS: perSecond(float64(m.directMessages)), WorkerBytesPerS: perSecond(float64(m.workerBytes)) / float64(max(1, len(r.fleet.Workers))),
		LeaderChanges: m.leaderChanges, LeaderGaps: m.leaderGaps.quantiles(),
		StateRequestsPerS: perSecond(float64(stateStats.Requests - statsAtBegin.Requests)), StateChangesPerS: perSecond(float64(stateStats.Changes - statsAtBegin.Changes)),
		StateBytesPerS: perSecond(float64(stateStats.Bytes - statsAtBegin.Bytes)), StateRateLimited: stateStats.RateLimited - statsAtBegin.RateLimited, StateConflicts: stateStats.Conflicts - statsAtBegin.Conflicts,
		StateKeys: len(r.state.Keys()), Processes: m.processUse(measured), MaxEventDelayS: r.loop.maxDelay.Seconds()}
	result.Copies, result.HeldExits = r.fleet.CopyOutcomes, m.heldExits.summary()
	result.Ownership = r.ownership.totals()
	result.Ownership.JobsOwnedTwice = r.jobsOwnedTwice
	result.Ownership.SessionsExpired = expiredSessions(r.fleet)
	logs := r.controlPlane.logs()
	result.Detections = r.detection.results(logs)
	if r.plan.Run.Older != "" {
		result.Upgrade = r.upgrade.result(logs)
	}
	for class, d := range m.timeToStart {
		result.TimeToStart[class] = d.quantiles()
	}
	return result
}

// Result is the result of a whole run. Its plan gives the programs' file names without their directories.
type Result struct {
	Plan      *Plan           `json:"plan"`
	Version   string          `json:"version,omitempty"`
	Regions   []*RegionResult `json:"regions"`
	Violation *RuleViolation  `json:"broken_rule,omitempty"`
	Error     string          `json:"error,omitempty"`
}

// Summary renders the result as text for the terminal. The result is nil if the run did not begin.
func (r *Result) Summary() string {
	if r == nil {
		return "the run did not begin\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d workers planned in %d region(s), %.0f s measured after a warm-up of %.0f s\n", r.Plan.Fleet.Workers, r.Plan.Fleet.Regions, r.Plan.Run.DurationS, r.Plan.Run.WarmupS)
	for _, region := range r.Regions {
		region.writeSummary(&b)
		region.writeShares(&b, &r.Plan.Control)
	}
	switch {
	case r.Violation != nil:
		fmt.Fprintf(&b, "RULE BROKEN: %v\n", r.Violation)
	case r.Error != "":
		fmt.Fprintf(&b, "ended early: %s\n", r.Error)
	default:
		b.WriteString("no rule was broken\n")
	}
	return b.String()
}

func (r *RegionResult) writeSummary(b *strings.Builder) {
	fmt.Fprintf(b, "\nregion %d: %d workers at the end, at most %d tasks running\n", r.Region, r.Workers, r.PeakRunning)
	fmt.Fprintf(b, "  starts            %.1f/s, at most %d in one second\n", r.StartsPerS, r.PeakStartsPerS)
	for _, class := range slices.Sorted(maps.Keys(r.TimeToStart)) {
		fmt.Fprintf(b, "  %-17s %s\n", "start: "+class, r.TimeToStart[class])
	}
	fmt.Fprintf(b, "  accepted          %s\n", r.TimeToAccept)
	fmt.Fprintf(b, "  heartbeats        %.0f/s, round trip %s, other than 200: %d\n", r.HeartbeatsPerS, r.HeartbeatRoundTrip, r.HeartbeatsFailed)
	fmt.Fprintf(b, "  per worker        %.0f bytes/s\n", r.WorkerBytesPerS)
	fmt.Fprintf(b, "  held exits        %.2f in a heartbeat, at most %d\n", r.HeldExits.Mean, r.HeldExits.Most)
	if r.Copies != (emulator.CopyOutcomes{}) {
		fmt.Fprintf(b, "  late copies       executed %d, refused by token %d, by epoch %d, lost %d\n", r.Copies.Executed, r.Copies.RefusedByToken, r.Copies.RefusedByEpoch, r.Copies.Lost)
	}
	fmt.Fprintf(b, "  state service     %.0f requests/s, %.0f changes/s, %.0f bytes/s, 429s %d, 409s %d, %d keys\n", r.StateRequestsPerS, r.StateChangesPerS, r.StateBytesPerS, r.StateRateLimited, r.StateConflicts, r.StateKeys)
	fmt.Fprintf(b, "  leader changes    %d, time without a leader %s\n", r.LeaderChanges, r.LeaderGaps)
	ownership := r.Ownership
	fmt.Fprintf(b, "  machines          %d, changed their controller %d times, one machine at most %d times; %d leases expired\n", ownership.Machines, ownership.MachineMoves, ownership.MaxMachineMoves, ownership.SessionsExpired)
	fmt.Fprintf(b, "  jobs              %d, handed over %d times, owned twice %d, orphaned %d\n", ownership.Jobs, ownership.JobHandovers, ownership.JobsOwnedTwice, ownership.JobsOrphaned)
	for _, d := range r.Detections {
		fmt.Fprintf(b, "  %-17s suspect %.0f to %.0f ms, dead %.0f to %.0f ms, alive %.0f ms; elected %.0f ms, loaded %.0f ms, placed %.0f ms\n",
			d.Kind, d.FirstSuspectMS, d.LastSuspectMS, d.FirstDeadMS, d.LastDeadMS, d.AliveAgainMS, d.ElectedMS, d.LoadedMS, d.FirstPlacementMS)
	}
	if u := r.Upgrade; u != nil {
		fmt.Fprintf(b, "  upgrade           placements dropped %d, unreadable records %d, gate %s\n", u.DroppedPlacements, u.UnreadableRecords, strings.Join(u.GateChanges, ", "))
	}
	for _, key := range slices.Sorted(maps.Keys(r.Answers)) {
		fmt.Fprintf(b, "  %-17s %d\n", key, r.Answers[key])
	}
	for _, label := range slices.Sorted(maps.Keys(r.Processes)) {
		p := r.Processes[label]
		fmt.Fprintf(b, "  %s: %.3f cores, %.0f MB, %d restarts\n", label, p.CPUShare, p.PeakMB, p.Restarts)
	}
	fmt.Fprintf(b, "  emulated events ran at most %.3f s late\n", r.MaxEventDelayS)
}

// maxShareExcess is how far a process that is held to a share of a core may exceed it, as a factor.
const maxShareExcess = 1.1

// writeShares says whether the controllers kept to the share of a core that they were held to.
func (r *RegionResult) writeShares(b *strings.Builder, control *ControlPlan) {
	if !control.HoldCores {
		return
	}
	fmt.Fprintf(b, "  held to           %.3f cores\n", control.Cores)
	for _, label := range slices.Sorted(maps.Keys(r.Processes)) {
		if use := r.Processes[label]; label != processLabel && use.CPUShare > maxShareExcess*control.Cores {
			fmt.Fprintf(b, "  MISSED ITS SHARE  %s used %.3f cores\n", label, use.CPUShare)
		}
	}
}

// String returns the quantiles as one line.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms, max %.1f ms (%d)", q.P50, q.P99, q.Max, q.Count)
}

// statusKey returns the key of RegionResult.Answers for an operation and a status (0: no response).
func statusKey(op string, status int) string {
	if status == 0 {
		return op + ": no answer"
	}
	return op + ": " + strconv.Itoa(status)
}
