package controller

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// eventsPerComparison is the number of events between two comparisons of complete snapshots. It is odd so that the
// comparisons follow every kind of event, also when events alternate.
const eventsPerComparison = 499

// checkSchedulerCache compares a leader's scheduler cache with the cluster state. After each event it compares the
// cache entries that are not marked as changed. After every eventsPerComparison events it compares complete snapshots
// with snapshots that are built without the cache. Every simulated world runs this check.
func (w *world) checkSchedulerCache(l *leadership) {
	for _, e := range l.cache.cachedMachines {
		if l.state.Machines[e.machine.ID] == e.machine && !l.cache.matchesState(e) {
			w.recordViolation("the scheduler cache of %s differs from the cluster state", e.machine.ID)
		}
	}
	for _, j := range l.state.Jobs {
		cached := l.cache.cachedJobs[j]
		if cached == nil {
			if j.Stored && (j.OpenTasks() > 0 || j.ActiveAttempts == 0) && !slices.Contains(l.state.JobsToSchedule(), j) {
				w.recordViolation("job %s waits but is not in the scheduler cache", j.Spec.UID)
			}
			continue
		}
		if fresh, _ := j.WaitingTasks(maxWaitingTasks); cached.filled && cached.revision == j.Revision() && j.Gang == nil && !j.Cancelling && !j.Finalizing && !slices.Equal(fresh, cached.waiting) {
			w.recordViolation("%s: waiting tasks %v, the scheduler cache has %v", j.Spec.UID, fresh, cached.waiting)
		}
	}
	if w.leaderEvents++; w.leaderEvents%eventsPerComparison == 0 {
		if d := compareSnapshots(l); d != "" {
			w.recordViolation("the cached snapshot differs from one built without the cache: %s", d)
		}
	}
}

// compareSnapshots compares the cached snapshots for fills, plans and rounds with snapshots that are built without the
// cache. It returns the first difference, or an empty string.
func compareSnapshots(l *leadership) string {
	waitingSince := map[*clusterstate.Job]time.Duration{}
	for _, j := range l.state.Jobs {
		waitingSince[j] = j.WaitingSince
	}
	defer func() {
		for j, at := range waitingSince {
			j.WaitingSince = at
		}
	}()
	want, got := l.snapshot(false, false), l.cache.snapshotForFill()
	if len(want.Jobs) == 0 || len(want.Machines)+len(want.Probation) == 0 {
		if got != nil {
			return "fill: a snapshot although there are no jobs or no machines"
		}
	} else if got == nil {
		return "fill: no snapshot although there are jobs and machines"
	} else if d := firstDifference(want, got); d != "" {
		return "fill: " + d
	}
	if d := firstDifference(want, l.cache.fullSnapshot()); d != "" {
		return "full: " + d
	}
	got = l.cache.snapshotForPlan()
	d := firstDifference(l.snapshot(false, true), got)
	l.cache.endPlan(got)
	if d != "" {
		return "plan: " + d
	}
	got = l.cache.snapshotForRound()
	d = firstDifference(l.snapshot(true, false), got)
	l.cache.endRound()
	if d != "" {
		return "round: " + d
	}
	return ""
}

func firstDifference(want, got *scheduler.Snapshot) string {
	sorted := func(s scheduler.Snapshot) *scheduler.Snapshot {
		s.Jobs, s.Machines = slices.Clone(s.Jobs), slices.Clone(s.Machines)
		slices.SortFunc(s.Jobs, func(a, b *scheduler.Job) int { return strings.Compare(a.ID, b.ID) })
		slices.SortFunc(s.Machines, func(a, b *scheduler.Machine) int { return strings.Compare(a.ID, b.ID) })
		return &s
	}
	return cmp.Diff(sorted(*want), sorted(*got), cmpopts.IgnoreUnexported(scheduler.Snapshot{}, scheduler.Machine{}, scheduler.Job{}),
		cmpopts.IgnoreFields(scheduler.Snapshot{}, "Fleet"), cmpopts.IgnoreFields(scheduler.Machine{}, "Dirty"), cmpopts.EquateEmpty())
}

// snapshot builds a snapshot of all machines and jobs from the cluster state, without the scheduler cache. It is the
// test oracle of the cache.
func (l *leadership) snapshot(running, booting bool) *scheduler.Snapshot {
	c := l.controller
	s := &scheduler.Snapshot{Quotas: map[string]*scheduler.Quota{}, UpperQueueCap: c.env.cfg.Operator.Green.UpperCap, Capacity: l.views.readyCapacity()}
	for name, t := range l.state.Quotas {
		clone := *t
		s.Quotas[name] = &clone
	}
	l.views.reserveServiceQuota(s.Quotas)
	jobs := map[*clusterstate.Job]*scheduler.Job{}
	reservations := l.placement.activeReservations()
	for _, j := range l.state.SortedJobs() {
		if !j.Stored {
			continue
		}
		waiting, resume := l.views.waitingTasks(j)
		if len(waiting) == 0 && !running {
			continue
		}
		sj := &scheduler.Job{}
		l.views.updateJobView(sj, j, waiting, resume, reservations[j.Spec.UID])
		if len(waiting) > 0 {
			sj.InZone = j.AttemptsByZone()
		}
		jobs[j] = sj
		s.Jobs = append(s.Jobs, sj)
	}
	views := make([]scheduler.Machine, 0, len(l.state.Machines)) // allocated once for all machines
	for _, m := range l.machines.sortedMachines() {
		t := c.catalog.machineType(m.Type)
		if t == nil {
			continue
		}
		if c.env.now < m.DrainUntil {
			s.Draining = s.Draining || movesReplicas(m)
		}
		views = append(views, l.views.machineView(m, t))
		sm := &views[len(views)-1]
		switch {
		case l.health.isSchedulable(m):
			setImages(sm, m)
			if running {
				sm.Running = l.views.appendRunningTasks(nil, m, jobs)
			}
		case booting && l.views.bootingType(m) != nil:
			sm.Booting = true
		case l.health.mayProbe(m):
			setImages(sm, m)
			l.quarantine.describeProbation(sm, m)
			s.Probation = append(s.Probation, sm)
			continue
		default:
			continue
		}
		s.Machines = append(s.Machines, sm)
	}
	return s
}

// TestCacheDriftIsDetectedAndRepaired changes the cluster state without notifying the cache. The cache's own
// verification must detect the difference, log it once, and rebuild the cache for the next fill.
func TestCacheDriftIsDetectedAndRepaired(t *testing.T) {
	w := newWorld(t, 91)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "apart": true})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	c := w.nodes[lead].controller
	var logged bytes.Buffer
	c.env.log = slog.New(slog.NewTextHandler(&logged, nil))
	l := c.leadership
	j := l.state.AddJob(&protocol.JobSpec{UID: "j-9", Class: "x", Team: "red", Tasks: 1, Cores: 1, MemoryGB: 1, Types: []string{"none"}}, c.env.wall)
	j.Stored = true // no machine type matches, so that each fill has a waiting job
	l.placement.runFill()
	if d := compareSnapshots(l); d != "" {
		t.Fatal(d)
	}
	m := w.leadership().machines.sortedMachines()[0]
	m.Used = m.Used.Plus(scheduler.Resources{Cores: 1})
	for range 3 {
		l.cache.verify()
	}
	if n := strings.Count(logged.String(), "differs from the cluster state"); n != 1 || !strings.Contains(logged.String(), m.ID) {
		t.Errorf("the difference was logged %d times: %s", n, logged.String())
	}
	if d := compareSnapshots(l); d != "" {
		t.Errorf("difference after the repair: %s", d)
	}
}

// TestFillReservationsDoNotOutliveTheFill checks that a fill leaves no reservations in the scheduler cache: capacity
// that it reserves for forecast arrivals or for a waiting gang must be released at its end.
func TestFillReservationsDoNotOutliveTheFill(t *testing.T) {
	w := newWorld(t, 92)
	w.awaitLeader()
	w.run(20 * second)
	l := w.leadership()
	c := l.controller
	for i := range 4 {
		m := l.state.AddMachine("i-90000" + string(rune('0'+i)))
		m.Type, m.Zone, m.Addr, m.Size = "m8", "a", "10.2.0.1:1", l.machines.machineSize("m8")
		m.Seen, m.TokenAcknowledged, m.EverReported, m.Epoch, m.LastSeen, m.LastAnswered = true, true, true, 1, c.env.now, c.env.now
	}
	add := func(uid string, change func(*protocol.JobSpec)) *clusterstate.Job {
		spec := &protocol.JobSpec{UID: uid, Class: "web", Team: "red", Tasks: 3, Cores: 8, MemoryGB: 1}
		change(spec)
		j := l.state.AddJob(spec, c.env.wall)
		j.Stored = true
		return j
	}
	l.forecast.recordArrival(add("j-1", func(s *protocol.JobSpec) { s.Service, s.Tasks, s.Cores = true, 1, 4 }))
	gang := add("j-2", func(s *protocol.JobSpec) { s.Gang, s.Tasks, s.Cores = true, 7, 8 })
	gang.WaitingSince = 1
	add("j-3", func(s *protocol.JobSpec) { s.Cores = 7 })
	for range 3 {
		l.placement.runFill()
		if d := compareSnapshots(l); d != "" {
			t.Fatal(d)
		}
	}
}
