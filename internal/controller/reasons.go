package controller

// endReason is the logged reason for the end of a leadership. A leadership that is ended by its store has a reason that
// the store defines.
type endReason string

// Reasons for the end of a leadership.
const (
	endLeaseUnconfirmed        endReason = "lease not renewed within the coasting limit"
	endLeaseExpired            endReason = "lease expired"
	endLeaderKeyHasLaterToken  endReason = "leader key has a later token"
	endPeerReportedLaterLeader endReason = "a peer knows a later leader"
	endWorkerHasHigherToken    endReason = "a worker has seen a higher token"
	endWorkersUnreachable      endReason = "workers unreachable"
	endShutdown                endReason = "shutdown"
)

// unreadyReason is the logged reason why the readiness check is answered with status 503.
type unreadyReason string

// Reasons for not being ready.
const (
	// ready means that the readiness check is answered with status 200.
	ready             unreadyReason = ""
	unreadyLoading    unreadyReason = "records not loaded within a worker lease"
	unreadyKeysUnread unreadyReason = "leader keys not read yet"
	unreadyLeaderLost unreadyReason = "leader unreachable"
	unreadyNoLeader   unreadyReason = "no leader known"
)

// stopReason is the logged reason for the stop request of an attempt.
type stopReason string

// Reasons for the stop of an attempt.
const (
	stopPreempted              stopReason = "preempted"
	stopConsolidation          stopReason = "consolidation"
	stopSpotReclaim            stopReason = "spot reclaim notice"
	stopNoController           stopReason = "machine reaches no controller"
	stopJobCancelled           stopReason = "job cancelled"
	stopNotWantedAfterFailover stopReason = "not wanted after failover"
	stopUnrecorded             stopReason = "attempt not recorded"
	stopGangIncomplete         stopReason = "gang incomplete in the stored records"
	stopGangTaskLost           stopReason = "gang lost a task"
)

// releaseReason is the logged reason for the release of a machine.
type releaseReason string

// Reasons for the release of a machine.
const (
	// keepMachine means that the machine is not released.
	keepMachine                     releaseReason = ""
	releaseControllerLost           releaseReason = "zone partitioned and its controller lost"
	releaseBootTimedOut             releaseReason = "boot timed out"
	releaseUnreachable              releaseReason = "unreachable while its zone is reachable"
	releaseNoHeartbeatSinceFailover releaseReason = "no heartbeat since failover"
	releaseAnswersLost              releaseReason = "no answer received since failover"
	releaseSilent                   releaseReason = "no heartbeat"
	releaseQuarantined              releaseReason = "quarantined"
	releaseDrained                  releaseReason = "drained"
	releaseIdle                     releaseReason = "idle"
	releaseFailed                   releaseReason = "failed in the cloud's list"
)

// infeasibility is the reason why a job can never run on this cluster, which is logged when its submission is rejected.
type infeasibility string

// Reasons why a job can never run.
const (
	// feasible means that the job can run.
	feasible            infeasibility = ""
	unknownTeam         infeasibility = "unknown team"
	noMachineTypeFits   infeasibility = "a task fits no allowed machine type"
	gangCannotSpread    infeasibility = "the whole gang can't be spread over one zone"
	exceedsQuotaMaximum infeasibility = "exceeds the team's maximum quota"
)
