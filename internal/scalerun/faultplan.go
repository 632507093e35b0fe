package scalerun

import "fmt"

// FaultPlan describes a fault to inject, AtS seconds after the start of the measured phase.
type FaultPlan struct {
	AtS   float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Share float64 `toml:"share"` // of the workers; used by rack and machine_churn
	ForS  float64 `toml:"for_s"` // duration or interval; see the kinds of faults
}

// Kinds of faults.
const (
	FaultKillLeader   = "kill_leader"   // the leader of each region is killed
	FaultKillOther    = "kill_other"    // a follower that is not frozen is killed
	FaultFreezeLeader = "freeze_leader" // the leader is suspended for for_s (SIGSTOP, SIGCONT)
	FaultFreezeOther  = "freeze_other"  // a follower is suspended for for_s
	FaultRack         = "rack"          // a share of the workers fails at once
	FaultRollRestart  = "roll_restart"  // all controllers are killed one after another, for_s apart
	FaultStateOutage  = "state_outage"  // the state service is down for for_s
	FaultMachineChurn = "machine_churn" // a share of the workers fails, evenly spread over for_s
	FaultUpgrade      = "upgrade"       // controllers are restarted with run.program one after another, for_s apart
	FaultRollback     = "rollback"      // controllers are restarted with run.older one after another, for_s apart
	FaultHold         = "hold"          // a follower is restarted with upgrade.hold
)

// checkFaults returns a PlanError for the first invalid fault.
func (p *Plan) checkFaults() error {
	for i, f := range p.Faults {
		field := fmt.Sprintf("faults[%d]", i)
		switch f.Kind {
		case FaultKillLeader, FaultKillOther, FaultFreezeLeader, FaultFreezeOther, FaultRollRestart, FaultStateOutage, FaultRack, FaultMachineChurn, FaultHold:
		case FaultUpgrade, FaultRollback:
			if p.Run.Older == "" {
				return planError(field+".kind", "%q needs run.older", f.Kind)
			}
		default:
			return planError(field+".kind", "unknown fault kind %q", f.Kind)
		}
		if !(f.AtS >= 0 && f.AtS <= p.Run.DurationS) {
			return planError(field+".at_s", "%v is not between 0 and run.duration_s", f.AtS)
		}
		if needsShare := f.Kind == FaultRack || f.Kind == FaultMachineChurn; needsShare && !(f.Share > 0 && f.Share <= 1) {
			return planError(field+".share", "%v is not between 0 and 1", f.Share)
		}
		if f.needsTime() && !(f.ForS > 0) {
			return planError(field+".for_s", "%v is not more than 0", f.ForS)
		}
	}
	return nil
}

// needsTime reports whether the fault requires for_s.
func (f *FaultPlan) needsTime() bool {
	switch f.Kind {
	case FaultStateOutage, FaultMachineChurn, FaultRollRestart, FaultFreezeLeader, FaultFreezeOther, FaultUpgrade, FaultRollback:
		return true
	}
	return false
}

// faultsEndS returns when the last fault of the plan has ended, in seconds after the start of the measured phase. A
// killed controller is restarted after control.restart_s.
func (p *Plan) faultsEndS() float64 {
	end := 0.0
	for _, f := range p.Faults {
		duration := f.ForS
		if f.stepsThroughControllers() {
			duration *= float64(p.Control.Controllers - 1)
		}
		end = max(end, f.AtS+duration+p.Control.RestartS)
	}
	return end
}

// stepsThroughControllers reports whether the fault affects the controllers one after another, for_s apart.
func (f *FaultPlan) stepsThroughControllers() bool {
	return f.Kind == FaultRollRestart || f.Kind == FaultUpgrade || f.Kind == FaultRollback
}
