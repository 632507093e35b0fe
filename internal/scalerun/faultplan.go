package scalerun

import "fmt"

// FaultPlan sets a fault, at a time in seconds after the start of the measured part.
type FaultPlan struct {
	AtS   float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Share float64 `toml:"share"` // of the workers, for the faults that need one
	ForS  float64 `toml:"for_s"` // length or interval, for the faults that need one
}

// Kinds of faults.
const (
	FaultKillLeader   = "kill_leader"   // the leader of each region is killed
	FaultKillOther    = "kill_other"    // a controller that does not lead and is not frozen is killed
	FaultFreezeLeader = "freeze_leader" // the leader is stopped for for_s (SIGSTOP, SIGCONT)
	FaultFreezeOther  = "freeze_other"  // a controller that does not lead is stopped for for_s
	FaultRack         = "rack"          // a share of the workers ends at once
	FaultRollRestart  = "roll_restart"  // all controllers are killed one after the other, for_s apart
	FaultStateOutage  = "state_outage"  // the state service is down for for_s
	FaultMachineChurn = "machine_churn" // a share of the workers ends, spread over for_s
	FaultUpgrade      = "upgrade"       // controllers go from run.older to run.program one after the other, for_s apart
	FaultRollback     = "rollback"      // and back, one after the other, for_s apart
	FaultHold         = "hold"          // a controller that does not lead is started again with upgrade.hold
)

// checkFaults returns a PlanError for the first fault that is wrong.
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
			return planError(field+".kind", "%q is not known", f.Kind)
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

// needsTime says whether the fault needs for_s.
func (f *FaultPlan) needsTime() bool {
	switch f.Kind {
	case FaultStateOutage, FaultMachineChurn, FaultRollRestart, FaultFreezeLeader, FaultFreezeOther, FaultUpgrade, FaultRollback:
		return true
	}
	return false
}
