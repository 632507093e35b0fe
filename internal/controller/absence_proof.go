package controller

import "claybarrow/internal/clusterstate"

// absenceProof is the kind of evidence that an attempt is not on its machine any more.
type absenceProof string

// Proofs of absence.
const (
	// reportedExited: the worker has reported the attempt's exit. It keeps the attempt until it is told to clear it, and
	// ignores all copies of the start command until then.
	reportedExited absenceProof = "exited"
	// neverSent: no start command has left this leader, and none was sent by an earlier one.
	neverSent absenceProof = "start never sent"
	// notRecorded: as neverSent, because the machine's record with the attempt was rejected.
	notRecorded absenceProof = "record rejected"
	// absentFromHeartbeat: the newest message of the worker lacks the attempt, see reconciliation.provesAbsence.
	absentFromHeartbeat absenceProof = "absent from heartbeat"
	// leaseExpired: the agent epoch in which the attempt was started is over.
	leaseExpired absenceProof = "worker lease expired"
	// machineFailed, machineDeleted, machineUnlisted: the machine is gone by the cloud's word.
	machineFailed   absenceProof = "machine failed"
	machineDeleted  absenceProof = "machine deleted"
	machineUnlisted absenceProof = "machine no longer listed"
)

// holds reports whether the proof agrees with what is known of the attempt and its machine. Of the cloud's word the cluster
// state has no trace, so the proofs by it always hold.
func (p absenceProof) holds(a *clusterstate.Attempt) bool {
	m := a.Machine
	switch p {
	case reportedExited:
		exit := m.Exited[a.Key()]
		return exit != nil && exit.Attempt == a
	case neverSent, notRecorded:
		return !a.Sent && !a.Acknowledged && a.State == ""
	case absentFromHeartbeat:
		return a.Sent && !a.IsInNewestMessage()
	case leaseExpired:
		return !m.Seen || m.Epoch <= m.ExpiredEpoch
	case machineFailed, machineDeleted, machineUnlisted:
		return true
	}
	return false
}
