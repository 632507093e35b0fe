package scalerun

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// SoakKind is a kind of fault of a soak run.
type SoakKind string

// Kinds of faults. Where a fault concerns one controller, it is the leader or a fixed one.
const (
	SoakKill             SoakKind = "kill"              // restarted after control.restart_s
	SoakKillQuickly      SoakKind = "kill_quickly"      // restarted within a fraction of a second
	SoakKillAll          SoakKind = "kill_all"          // all controllers
	SoakFreeze           SoakKind = "freeze"            // suspended, then resumed
	SoakCutState         SoakKind = "cut_state"         // link to the state service
	SoakHoldState        SoakKind = "hold_state"        // requests to the state service are delivered late
	SoakHoldAnswers      SoakKind = "hold_answers"      // answers of the state service are delivered late
	SoakRefuse           SoakKind = "refuse"            // the state service refuses the controller with 503
	SoakRefuseThenOut    SoakKind = "refuse_then_out"   // the same, and a second later it is out for longer than cancel_s
	SoakStateOutage      SoakKind = "state_outage"      // for all controllers
	SoakStateSlow        SoakKind = "state_slow"        // the state service takes longer
	SoakLateWrites       SoakKind = "late_writes"       // transactions are executed late, without an answer
	SoakLostAnswers      SoakKind = "lost_answers"      // transactions are executed, and their answers are lost
	SoakCutPeer          SoakKind = "cut_peer"          // links between two controllers, both ways
	SoakHoldPeer         SoakKind = "hold_peer"         // requests from one controller to another are delivered late
	SoakRefusePeers      SoakKind = "refuse_peers"      // all links between controllers
	SoakIsolate          SoakKind = "isolate"           // links to the state service and to all other controllers
	SoakCutCloud         SoakKind = "cut_cloud"         // link to the cloud
	SoakCutWorkers       SoakKind = "cut_workers"       // link from the workers
	SoakHoldWorkers      SoakKind = "hold_workers"      // heartbeats are delivered late
	SoakCutUsers         SoakKind = "cut_users"         // link from the users and the load balancer
	SoakDelay            SoakKind = "delay"             // all links of the controller are slower
	SoakWorkersDeaf      SoakKind = "workers_deaf"      // answers and direct requests are lost
	SoakWorkersMute      SoakKind = "workers_mute"      // heartbeats are lost
	SoakWorkersHung      SoakKind = "workers_hung"      // direct requests are served late
	SoakWorkersDead      SoakKind = "workers_dead"      // for ever
	SoakLateHeartbeats   SoakKind = "late_heartbeats"   // copies arrive late, at any controller
	SoakLateCommands     SoakKind = "late_commands"     // direct requests are executed late, without an answer
	SoakCancelAtTheEnd   SoakKind = "cancel_at_the_end" // jobs are cancelled as their last task ends
	SoakCancelManyAtOnce SoakKind = "cancel_many"       // a share of the running jobs
	SoakCutCommands      SoakKind = "cut_commands"      // the leader's direct requests to workers; its heartbeats pass
)

// soakKinds are the kinds that each schedule may draw, in the order in which it draws them.
var soakKinds = []SoakKind{SoakKill, SoakKillQuickly, SoakKillAll, SoakFreeze, SoakCutState, SoakHoldState, SoakHoldAnswers, SoakRefuse,
	SoakRefuseThenOut, SoakStateOutage, SoakStateSlow, SoakLateWrites, SoakLostAnswers, SoakCutPeer, SoakHoldPeer, SoakRefusePeers,
	SoakIsolate, SoakCutCloud, SoakCutWorkers, SoakHoldWorkers, SoakCutUsers, SoakDelay, SoakWorkersDeaf, SoakWorkersMute, SoakWorkersHung,
	SoakWorkersDead, SoakLateHeartbeats, SoakLateCommands, SoakCancelAtTheEnd, SoakCancelManyAtOnce}

// soakKindsWithFeatures are the kinds of the schedules with SoakSettings.Features. The other schedules do not draw the
// kinds that were added later, so that their seeds still stand for the same faults.
var soakKindsWithFeatures = append(slices.Clone(soakKinds), SoakCutCommands)

// SoakFault is a fault of a soak run.
type SoakFault struct {
	Kind SoakKind `json:"kind"`
	AtS  float64  `json:"at_s"`  // after the start of the measured phase
	ForS float64  `json:"for_s"` // how long it lasts
	// Controller is the number of the controller concerned, or soakLeader; Peer is the other controller of a link.
	Controller int     `json:"controller"`
	Peer       int     `json:"peer"`
	Share      float64 `json:"share"` // of workers, transactions, messages or jobs
}

// soakLeader stands for the controller that leads when the fault begins.
const soakLeader = -1

// String returns the fault in one line.
func (f SoakFault) String() string {
	return fmt.Sprintf("%s at %.1f s for %.1f s (controller %d, peer %d, share %.2f)", f.Kind, f.AtS, f.ForS, f.Controller, f.Peer, f.Share)
}

// Shape of a schedule, in seconds unless stated otherwise.
const (
	soakFaultPhase     = 30.0 // faults begin in this time
	soakMaxPause       = 9.0  // between the beginnings of two groups of faults
	soakMaxOverlapping = 3    // faults of one group
	soakMinFault       = 1.0
	soakMaxFault       = 14.0
	soakMaxShare       = 0.5
	soakLeaderShare    = 0.6 // share of the faults of one controller that concern the leader
)

// soakSchedule returns the faults of a seed, of the given kinds, in the order of their beginning. cancelS is the workers'
// cancel_s.
func soakSchedule(seed uint64, kinds []SoakKind, controllers int, cancelS float64) []SoakFault {
	random := rand.New(rand.NewPCG(seed, soakStream))
	var faults []SoakFault
	for at := 1 + random.Float64()*soakMaxPause; at < soakFaultPhase; at += 1 + random.Float64()*soakMaxPause {
		for range 1 + random.IntN(soakMaxOverlapping) {
			fault := SoakFault{Kind: kinds[random.IntN(len(kinds))], AtS: at + random.Float64(),
				ForS: soakMinFault + random.Float64()*(soakMaxFault-soakMinFault), Controller: random.IntN(controllers), Share: random.Float64() * soakMaxShare}
			fault.Peer = (fault.Controller + 1 + random.IntN(controllers-1)) % controllers
			if random.Float64() < soakLeaderShare {
				fault.Controller = soakLeader
			}
			if fault.Kind == SoakRefuseThenOut {
				fault.ForS = cancelS * (1 + random.Float64()/4)
			}
			faults = append(faults, fault)
		}
	}
	slices.SortFunc(faults, func(a, b SoakFault) int { return cmp.Compare(a.AtS, b.AtS) })
	return faults
}

// soakStream separates the random numbers of the schedule from those of the region.
const soakStream = 7001

// soakEndS returns when the last fault has ended: what is late has arrived, and killed controllers are restarted.
func soakEndS(faults []SoakFault, restartS float64) float64 {
	end := 0.0
	for _, f := range faults {
		end = max(end, f.AtS+f.ForS+max(restartS, maxLateness.Seconds())+1)
	}
	return end
}
