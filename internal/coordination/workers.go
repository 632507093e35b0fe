package coordination

import (
	"maps"
	"slices"

	"claybarrow/internal/ledger"
	"claybarrow/internal/statestore"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// machines lists the machines in a fixed order, so runs replay.
func (r *term) machines() []*ledger.Machine { return r.SortedMachines() }

// record marks the machine's record to be written.
func (r *term) record(m *ledger.Machine, priority statestore.Priority, then func()) {
	r.records.Mark(ledger.MachinePrefix+m.ID, priority, func() any {
		if r.Machines[m.ID] != m {
			return nil
		}
		m.Recorded = true
		return m.Record()
	}, then)
}

// useImage notes that a task of the job has its image on the machine.
func (r *term) useImage(m *ledger.Machine, j *ledger.Job) {
	m.UseImage(j.Spec.Image, j.Spec.ImageGB, r.c.typeInfo[m.Type].CacheGB)
}

// watchMachines looks at what time alone tells.
func (r *term) watchMachines() {
	c := r.c
	for _, m := range r.machines() {
		if m.Notice {
			r.beforeNotice(m)
		}
		if len(m.Attempts) > 0 && r.reportsLost(m) {
			// Its lease runs out: what is there goes on elsewhere sooner.
			for _, a := range m.Sorted() {
				if r.unrenewed(m, r.leaveBy(a)) {
					r.halt(a, a.Job.Spec.SaveS, "the machine reaches no controller")
				}
			}
		}
		r.dispatch(m)
		if c.term != r {
			return
		}
		if len(m.Attempts) == 0 && m.Session <= m.DeadSession {
			continue
		}
		if !r.leaseOver(m) {
			continue
		}
		if m.Known {
			m.DeadSession = m.Session
			c.log.Info("machine is silent, its lease is over", "machine", m.ID, "tasks", len(m.Attempts))
		}
		m.Fresh, m.Probed = false, false
		for _, a := range m.Sorted() {
			r.gone(a, leaseOver)
		}
		clear(m.Exited)
		clear(m.UnknownTasks)
	}
}

// beforeNotice has tasks with checkpoints saved before the machine is taken.
func (r *term) beforeNotice(m *ledger.Machine) {
	c := r.c
	for _, a := range m.Sorted() {
		s := a.Job.Spec
		if s.CheckpointS <= 0 {
			continue
		}
		if c.now > m.NoticeBy-seconds(s.SaveS)-2*c.cfg.Report()-c.cfg.Lease()/10 {
			r.halt(a, s.SaveS+1, "the machine is taken back")
		}
	}
}
