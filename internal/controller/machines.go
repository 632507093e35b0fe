package controller

import (
	"maps"
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// sortedMachines lists the machines in a fixed order, so runs replay.
func (l *leadership) sortedMachines() []*clusterstate.Machine { return l.state.SortedMachines() }

// storeMachine marks the machine's record to be written.
func (l *leadership) storeMachine(m *clusterstate.Machine, priority statestore.Priority, then func()) {
	l.store.Mark(clusterstate.MachinePrefix+m.ID, priority, func() any {
		if l.state.Machines[m.ID] != m {
			return nil
		}
		m.Recorded = true
		return m.Record()
	}, then)
}

// noteImageUse notes that a task of the job has its image on the machine.
func (l *leadership) noteImageUse(m *clusterstate.Machine, j *clusterstate.Job) {
	m.UseImage(j.Spec.Image, j.Spec.ImageGB, l.controller.catalog.typeInfo[m.Type].CacheGB)
}

// watchMachines looks at what time alone tells.
func (l *leadership) watchMachines() {
	for _, m := range l.sortedMachines() {
		if m.SpotNotice {
			l.evacuateBeforeReclaim(m)
		}
		if len(m.Attempts) > 0 && l.cannotReachControllers(m) {
			// Its lease runs out: what is there goes on elsewhere sooner.
			for _, a := range m.Sorted() {
				if l.leaseUnrenewed(m, l.evacuateAfter(a)) {
					l.requestStop(a, a.Job.Spec.SaveS, "the machine reaches no controller")
				}
			}
		}
		l.dispatchCommands(m)
		if l.ended {
			return
		}
		if len(m.Attempts) == 0 && m.Epoch <= m.ExpiredEpoch {
			continue
		}
		if !l.isLeaseExpired(m) {
			continue
		}
		if m.Seen {
			m.ExpiredEpoch = m.Epoch
			l.controller.env.log.Info("machine is silent, its lease is over", "machine", m.ID, "tasks", len(m.Attempts))
		}
		m.TokenAcknowledged, m.Probed = false, false
		for _, a := range m.Sorted() {
			l.removeAttempt(a, leaseExpired)
		}
		clear(m.Exited)
		clear(m.UnknownTasks)
	}
}

// evacuateBeforeReclaim has tasks with checkpoints saved before the machine is taken.
func (l *leadership) evacuateBeforeReclaim(m *clusterstate.Machine) {
	for _, a := range m.Sorted() {
		s := a.Job.Spec
		if s.CheckpointS <= 0 {
			continue
		}
		if l.controller.env.now > m.ReclaimedBy-seconds(s.SaveS)-2*l.controller.env.cfg.Report()-l.controller.env.cfg.Lease()/10 {
			l.requestStop(a, s.SaveS+1, "the machine is taken back")
		}
	}
}
