package scalerun

import (
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// waitTimeout is the operators' bound: after the end of all faults, no job may wait for longer while a machine has room
// for one of its tasks and its team is under its limit.
const waitTimeout = 90 * time.Second

// checkWaiting reports a violation if a job without a task on any machine has waited for waitTimeout although it could
// run. Gangs and jobs that are spread are not checked, as the room for them depends on several machines.
func (i *invariants) checkWaiting(fleet *emulator.Fleet) {
	if i.faultsEndedAt == 0 {
		return
	}
	now := i.queue.Now()
	for uid, j := range i.jobs {
		if !i.couldRun(j, fleet) {
			delete(i.waitingSince, uid)
			continue
		}
		if _, waiting := i.waitingSince[uid]; !waiting {
			i.waitingSince[uid] = now
		}
		if now > i.waitingSince[uid]+waitTimeout {
			i.reportViolation(j, "waiting", "%s has waited for %v although a machine has room and its team is under its limit", uid, waitTimeout)
			return
		}
	}
}

// couldRun reports whether a job that waits has room on some machine.
func (i *invariants) couldRun(j *job, fleet *emulator.Fleet) bool {
	if j.acceptedAt == 0 || j.finished() || j.cancelRequested || j.Gang || j.spread || len(j.placements) > 0 || len(j.completed) == j.Tasks {
		return false
	}
	team := *i.teams[j.team]
	team.cores += j.Cores
	team.accelerators += j.Accelerators
	if team.overLimit() {
		return false
	}
	for _, worker := range fleet.Workers {
		if hasRoom(worker, &j.Job, fleet) {
			return true
		}
	}
	return false
}

// hasRoom reports whether a worker that is up has room for a task of a job.
func hasRoom(worker *emulator.Worker, wanted *emulator.Job, fleet *emulator.Fleet) bool {
	if !worker.Reachable() || worker.Hung || worker.HeartbeatsLost {
		return false
	}
	free := worker.MachineType
	for _, t := range worker.Tasks {
		used := fleet.Jobs(t.UID)
		if t.State == protocol.TaskExited || used == nil {
			continue
		}
		free.Cores -= used.Cores
		free.Accelerators -= used.Accelerators
		free.MemoryGB -= used.MemoryGB
	}
	return free.Cores >= wanted.Cores && free.Accelerators >= wanted.Accelerators && free.MemoryGB >= wanted.MemoryGB
}

// checkControllers reports a violation at the end of a run if a controller is not ready, or if one that is ready has
// answered no question for answerTimeout. answeredAt holds the times of the last answers by label.
func (i *invariants) checkControllers(controllers []*controller, answeredAt map[string]time.Duration) {
	for _, c := range controllers {
		switch {
		case !c.isHealthy():
			i.reportViolation(nil, "unready", "%s is not ready at the end of the run", c.label)
		case i.queue.Now() > max(answeredAt[c.label], i.faultsEndedAt)+answerTimeout:
			i.reportViolation(nil, "unanswered", "%s is ready, but has answered no question for %v", c.label, answerTimeout)
		}
	}
}
