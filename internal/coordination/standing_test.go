package coordination

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
)

// compareEvery is how many events pass between two comparisons of whole snapshots: an odd
// number, so that they fall on all kinds of events.
const compareEvery = 499

// checkStanding compares a leader's standing view with the ledger: what nothing seems to have
// changed after each event, and now and then a whole snapshot with one drawn anew. All worlds
// are checked so.
func (w *world) checkStanding(r *term) {
	for _, e := range r.standing.machines {
		if r.Machines[e.machine.ID] == e.machine && !r.standing.agrees(e) {
			w.breaks("the standing view of %s differs from the ledger", e.machine.ID)
		}
	}
	for _, j := range r.Jobs {
		kept := r.standing.waiting[j]
		if kept == nil {
			if j.Stored && (j.Open() > 0 || j.HeldTotal == 0) && !slices.Contains(r.Opened(), j) {
				w.breaks("%s waits and is not in the standing view", j.Spec.UID)
			}
			continue
		}
		if fresh, _ := j.Waiting(mostWaiting); kept.drawn && kept.revision == j.Revision() && j.Gang == nil && !j.Cancelling && !j.Finishing && !slices.Equal(fresh, kept.waiting) {
			w.breaks("%s: waiting tasks %v, the standing view has %v", j.Spec.UID, fresh, kept.waiting)
		}
	}
	if w.events++; w.events%compareEvery == 0 {
		if d := differenceOfSnapshots(r); d != "" {
			w.breaks("the standing snapshot differs from one drawn anew: %s", d)
		}
	}
}

// differenceOfSnapshots compares what fills, plans and rounds would decide from with snapshots
// drawn anew.
func differenceOfSnapshots(r *term) string {
	since := map[*ledger.Job]time.Duration{}
	for _, j := range r.Jobs {
		since[j] = j.WaitingSince
	}
	defer func() {
		for j, at := range since {
			j.WaitingSince = at
		}
	}()
	want, got := r.snapshot(false, false), r.standing.forFill()
	if len(want.Jobs) == 0 || len(want.Machines) == 0 {
		if got != nil {
			return "there is nothing to decide"
		}
	} else if got == nil {
		return "there is something to decide"
	} else if d := differ(want, got); d != "" {
		return "fill: " + d
	}
	if d := differ(want, r.standing.whole()); d != "" {
		return "whole: " + d
	}
	got = r.standing.forPlan()
	d := differ(r.snapshot(false, true), got)
	r.standing.endPlan(got)
	if d != "" {
		return "plan: " + d
	}
	got = r.standing.forRound()
	d = differ(r.snapshot(true, false), got)
	r.standing.endRound()
	if d != "" {
		return "round: " + d
	}
	return ""
}

func differ(want, got *sched.Snapshot) string {
	sorted := func(s sched.Snapshot) *sched.Snapshot {
		s.Jobs, s.Machines = slices.Clone(s.Jobs), slices.Clone(s.Machines)
		slices.SortFunc(s.Jobs, func(a, b *sched.Job) int { return strings.Compare(a.ID, b.ID) })
		slices.SortFunc(s.Machines, func(a, b *sched.Machine) int { return strings.Compare(a.ID, b.ID) })
		return &s
	}
	return cmp.Diff(sorted(*want), sorted(*got), cmpopts.IgnoreUnexported(sched.Snapshot{}, sched.Machine{}, sched.Job{}),
		cmpopts.IgnoreFields(sched.Snapshot{}, "Fleet"), cmpopts.IgnoreFields(sched.Machine{}, "Changed"), cmpopts.EquateEmpty())
}

// snapshot draws all machines and jobs anew, as each pass did before there was a standing view.
// It is the oracle of that view.
func (r *term) snapshot(running, booting bool) *sched.Snapshot {
	c := r.c
	s := &sched.Snapshot{Teams: map[string]*sched.Team{}, UpperCap: c.cfg.Operator.Green.UpperCap, Capacity: r.capacity()}
	for name, t := range r.Teams {
		clone := *t
		s.Teams[name] = &clone
	}
	r.keepLimits(s.Teams)
	jobs := map[*ledger.Job]*sched.Job{}
	claims := r.liveClaims()
	for _, j := range r.SortedJobs() {
		if !j.Stored {
			continue
		}
		waiting, resume := r.waitingTasks(j)
		if len(waiting) == 0 && !running {
			continue
		}
		sj := &sched.Job{}
		r.viewJob(sj, j, waiting, resume, claims[j.Spec.UID])
		if len(waiting) > 0 {
			sj.InZone = j.InZone()
		}
		jobs[j] = sj
		s.Jobs = append(s.Jobs, sj)
	}
	views := make([]sched.Machine, 0, len(r.Machines)) // one allocation for all
	for _, m := range r.machines() {
		t := c.typeOf(m.Type)
		if t == nil {
			continue
		}
		if c.now < m.DrainUntil {
			s.Moving = s.Moving || movesReplicas(m)
		}
		views = append(views, r.machineView(m, t))
		sm := &views[len(views)-1]
		switch {
		case r.usable(m):
			showImages(sm, m)
			if running {
				sm.Running = r.runningOn(nil, m, jobs)
			}
		case booting && r.boots(m) != nil:
			sm.Booting = true
		default:
			continue
		}
		s.Machines = append(s.Machines, sm)
	}
	return s
}

// A change of the ledger that nobody told of is found by the check, logged once, and the next
// fill decides by the ledger.
func TestDriftIsFoundAndMended(t *testing.T) {
	w := newWorld(t, 91)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "apart": true})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	c := w.nodes[lead].core
	var logged bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&logged, nil))
	r := c.term
	j := r.AddJob(&protocol.Spec{UID: "j-9", Class: "x", Team: "red", Tasks: 1, Cores: 1, MemoryGB: 1, Types: []string{"none"}}, c.wall)
	j.Stored = true // it waits for ever, so that fills have something to look at
	r.fill()
	if d := differenceOfSnapshots(r); d != "" {
		t.Fatal(d)
	}
	m := w.term().machines()[0]
	m.Used = m.Used.Plus(sched.Need{Cores: 1})
	for range 3 {
		r.standing.check()
	}
	if n := strings.Count(logged.String(), "differs from the ledger"); n != 1 || !strings.Contains(logged.String(), m.ID) {
		t.Errorf("logged %d times: %s", n, logged.String())
	}
	if d := differenceOfSnapshots(r); d != "" {
		t.Errorf("after it was found: %s", d)
	}
}

// A fill that nothing can be placed by leaves the standing view as it was: room that is kept for
// what is expected, or held back for a gang, is nothing that outlives the fill.
func TestWhatAFillKeepsBackDoesNotOutliveIt(t *testing.T) {
	w := newWorld(t, 92)
	w.awaitLeader()
	w.run(20 * second)
	r := w.term()
	c := r.c
	for i := range 4 {
		m := r.AddMachine("i-90000" + string(rune('0'+i)))
		m.Type, m.Zone, m.Addr, m.Size = "m8", "a", "10.2.0.1:1", r.sizeOf("m8")
		m.Known, m.Fresh, m.Up, m.Session, m.Heard, m.Answered = true, true, true, 1, c.now, c.now
	}
	add := func(uid string, change func(*protocol.Spec)) *ledger.Job {
		spec := &protocol.Spec{UID: uid, Class: "web", Team: "red", Tasks: 3, Cores: 8, MemoryGB: 1}
		change(spec)
		j := r.AddJob(spec, c.wall)
		j.Stored = true
		return j
	}
	r.noteArrival(add("j-1", func(s *protocol.Spec) { s.Service, s.Tasks, s.Cores = true, 1, 4 }))
	gang := add("j-2", func(s *protocol.Spec) { s.Gang, s.Tasks, s.Cores = true, 7, 8 })
	gang.WaitingSince = 1
	add("j-3", func(s *protocol.Spec) { s.Cores = 7 })
	for range 3 {
		r.fill()
		if d := differenceOfSnapshots(r); d != "" {
			t.Fatal(d)
		}
	}
}
