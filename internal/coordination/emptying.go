package coordination

import (
	"cmp"
	"slices"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
)

// emptyingWork bounds what one go at emptying looks at, in machines: it copies
// the fleet for each machine that might be emptied, and a leader of thousands must
// renew its lease meanwhile.
const emptyingWork = 100_000

// consolidate empties dear machines whose tasks can go on elsewhere at once,
// where their images are: long-lived replicas, and the last tasks of batches when
// the load falls, would keep them for their few. The larger the fleet, the more
// machines it empties at a time.
func (r *term) consolidate() {
	c := r.c
	if c.now < r.drainAt || !r.certain() || r.manyLate() {
		return
	}
	s := r.standing.whole()
	s.Fill()
	if replicaWaits(s) {
		return
	}
	most := 1 + len(s.Machines)/10
	candidates := r.emptyingCandidates(s)
	s.Looked = 0
	for _, candidate := range candidates[:min(len(candidates), 2*most)] {
		if s.Looked > emptyingWork {
			break // what is left comes with the next time
		}
		rest := s.Emptied(candidate.id, candidate.tasks, r.expected)
		if rest == nil {
			continue
		}
		s = rest
		r.empty(r.Machines[candidate.id], len(candidate.tasks))
		if most--; most == 0 {
			break
		}
	}
}

// replicaWaits says whether a replica waits for room that its team may use.
func replicaWaits(s *sched.Snapshot) bool {
	return slices.ContainsFunc(s.Jobs, func(j *sched.Job) bool {
		return len(j.Waiting) > 0 && j.Service && s.Teams[j.Team].InLimit(j.Need)
	})
}

// emptyingCandidate is a machine that might be emptied, with its tasks.
type emptyingCandidate struct {
	id    string
	gain  float64
	tasks []*sched.Job
}

// emptyingCandidates lists the dear machines with much free room, those where that costs most
// first.
func (r *term) emptyingCandidates(s *sched.Snapshot) []emptyingCandidate {
	wanted := r.kindsWanted()
	var list []emptyingCandidate
	for _, sm := range s.Machines {
		m := r.Machines[sm.ID]
		free := sched.Share(m.Size.Minus(m.Used), m.Size)
		if len(m.Attempts) == 0 || free < 0.25 || !s.Costly(sm) || wanted[machineKind{m.Type, m.Spot}] || sm.For != "" || sm.Free != m.Size.Minus(m.Used) {
			continue
		}
		price := sm.Type.Price
		if sm.Spot {
			price = sm.Type.SpotPrice
		}
		if jobs := r.movable(m, free); jobs != nil {
			list = append(list, emptyingCandidate{m.ID, price * free, jobs})
		}
	}
	slices.SortStableFunc(list, func(a, b emptyingCandidate) int { return cmp.Compare(b.gain, a.gain) })
	return list
}

// machineKind is a type, ordinary or spot.
type machineKind struct {
	typ  string
	spot bool
}

// kindsWanted are those that more than a few are coming of.
func (r *term) kindsWanted() map[machineKind]bool {
	coming, up := map[machineKind]int{}, map[machineKind]int{}
	for _, q := range r.pool.Renting() {
		coming[machineKind{q.Type, q.Spot}] += q.Count
	}
	for _, m := range r.Machines {
		switch {
		case m.Returning || r.isPartitioned(m.Zone):
		case m.Up:
			up[machineKind{m.Type, m.Spot}]++
		default:
			coming[machineKind{m.Type, m.Spot}]++
		}
	}
	wanted := map[machineKind]bool{}
	for kind, n := range coming {
		wanted[kind] = n*20 > up[kind]
	}
	return wanted
}

// empty has all tasks of a machine move.
func (r *term) empty(m *ledger.Machine, tasks int) {
	c := r.c
	c.log.Info("emptying", "machine", m.ID, "type", m.Type, "tasks", tasks)
	r.drainAt = c.now + 3*c.cfg.Lease()
	m.DrainUntil = c.now + c.cfg.Lease()
	for _, a := range m.Sorted() {
		r.halt(a, a.Job.Spec.SaveS, "moved")
	}
}

// manyLate says whether more than one machine in fifty with tasks does not answer:
// the room that others have to spare is about to be needed. Thirty machines were
// once emptied while 54 hung, ten seconds before their leases were over.
func (r *term) manyLate() bool {
	late, busy := 0, 0
	for _, m := range r.Machines {
		if len(m.Attempts) == 0 || m.Returning || r.isPartitioned(m.Zone) {
			continue
		}
		busy++
		if m.CallFails > 0 {
			late++
		}
	}
	return late*50 > busy
}

// movable lists a machine's tasks as jobs of one task each, if all of them are
// replicas that have run for a while or, on a machine that is half empty, tasks
// that can save.
func (r *term) movable(m *ledger.Machine, free float64) []*sched.Job {
	var out []*sched.Job
	for _, a := range m.Sorted() {
		service := a.Job.Spec.Service
		settled := r.c.bootS()
		if !service {
			settled *= 0.7
		}
		if a.Job.Gang != nil || a.Job.Cancelling || a.Halt || a.State != protocol.Running || r.c.now < a.Since+seconds(settled) ||
			(!service && (a.Job.Spec.CheckpointS <= 0 || free < 0.5)) {
			return nil
		}
		out = append(out, singleTask(a))
	}
	return out
}

// singleTask is an attempt as a job of one task that is to start elsewhere.
func singleTask(a *ledger.Attempt) *sched.Job {
	j := schedJob(a.Job)
	j.InZone, j.Waiting = a.Job.InZone(), []int{a.Index}
	j.InZone[a.Machine.Zone]--
	return j
}
