package config

import "time"

// Cores and accelerators of a typical machine. The platform's file does not contain the size of the fleet, so it
// is derived from the teams' guarantees, for which the machines are rented. In the known deployments the
// derived size is 77% to 94% of the number of machines (39 and 43 of 48, 164 of 212, 676 of 820, 557 of
// 648, 1,288 of 1,366), and 97% of the planned 5,500.
const (
	typicalMachineCores        = 16.0
	typicalMachineAccelerators = 8.0
)

// maxDerivedMachines bounds the size that is derived from the guarantees.
const maxDerivedMachines = 1e6

// FleetSize returns the number of machines that the fleet is meant for: the operators' setting, or, if it is
// not set, the number of typical machines that the teams' guarantees need.
func (c *Config) FleetSize() int {
	if machines := c.Operator.Fleet.Machines; machines > 0 {
		return machines
	}
	machines := 0.0
	for _, team := range c.Cluster.Teams {
		machines += team.Cores/typicalMachineCores + team.Accelerators/typicalMachineAccelerators
	}
	return int(min(machines, maxDerivedMachines)) + 1
}

// takeoverCPUPerMachine is the CPU time that a takeover costs a new leader per machine of the fleet: 39 µs to load
// the machine's records (12 records of 3 to 5 µs), 50 µs to send the direct request with the new fencing
// token, and 35 µs to process its answer and the first heartbeat (docs/CAPACITY.md, slopes). It is doubled
// because a controller on a busy machine gets only half of its CPU quota.
const takeoverCPUPerMachine = 2 * 125 * time.Microsecond

// TakeoverDuration returns how long the takeover of the fleet may keep a new leader busy.
func (c *Config) TakeoverDuration() time.Duration {
	work := time.Duration(c.FleetSize()) * takeoverCPUPerMachine
	return time.Duration(float64(work) / c.Cluster.Resources.Cores)
}
