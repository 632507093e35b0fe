package config

import "time"

// The fleet's size is not in the platform's file. It follows from the guarantees, which fleets are
// rented for: cores and accelerators of a machine as they are usual here. For the deployments known
// it is 77% to 94% of the machines: 39 and 43 of 48, 164 of 212, 676 of 820, 557 of 648, 1,288 of
// 1,366; and 97% of the planned 5,500.
const (
	usualCores        = 16.0
	usualAccelerators = 8.0
)

// maxDerivedMachines bounds what is derived from guarantees, whatever they say.
const maxDerivedMachines = 1e6

// FleetSize is how many machines the settings describe: the operators' figure, or the number that
// the teams' guarantees fill.
func (c *Config) FleetSize() int {
	if machines := c.Operator.Fleet.Machines; machines > 0 {
		return machines
	}
	machines := 0.0
	for _, team := range c.Cluster.Teams {
		machines += team.Cores/usualCores + team.Accelerators/usualAccelerators
	}
	return int(min(machines, maxDerivedMachines)) + 1
}

// takeOverPerMachine is what a new leader's first seconds cost, of a whole core, for each machine:
// 39 µs for its records (12 of 3 to 5 µs), 50 for the direct request that brings it the new token,
// 35 for its answer and first heartbeat (docs/CAPACITY.md, slopes). It is counted twice, as a
// controller on a busy machine gets half of what it was promised.
const takeOverPerMachine = 2 * 125 * time.Microsecond

// TakeoverDuration is how long a new leader may be busy with taking over its fleet.
func (c *Config) TakeoverDuration() time.Duration {
	work := time.Duration(c.FleetSize()) * takeOverPerMachine
	return time.Duration(float64(work) / c.Cluster.Resources.Cores)
}
