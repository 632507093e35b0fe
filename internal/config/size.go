package config

import (
	"fmt"
	"time"
)

// The fleet's size is not in the platform's file. It follows from the guarantees, which fleets
// are rented for: cores and accelerators of a machine as they are usual here. For the deployments
// known it is 77% to 94% of the machines: 39 and 43 of 48, 164 of 212, 676 of 820, 557 of 648, 1,288 of
// 1,366; and 97% of the planned 5,500.
const (
	usualCores        = 16.0
	usualAccelerators = 8.0
)

// FleetSize is how many machines the settings describe: the operators' figure, or the one
// that the teams' guarantees fill.
func (c *Config) FleetSize() int {
	if n := c.Operator.Fleet.Machines; n > 0 {
		return n
	}
	machines := 0.0
	for _, t := range c.Cluster.Teams {
		machines += t.Cores/usualCores + t.Accelerators/usualAccelerators
	}
	return int(min(machines, mostMachines)) + 1
}

// mostMachines bounds what is derived from guarantees, whatever they say.
const mostMachines = 1e6

// takeOverPerMachine is what a new leader's first seconds cost, of a whole core, for each
// machine: 39 µs for its records (12 of 3 to 5 µs), 50 for the direct request that brings it
// the new token, 35 for its answer and first report (docs/CAPACITY.md, slopes). It is taken
// twice, as a controller on a busy machine gets half of what it was promised.
const takeOverPerMachine = 2 * 125 * time.Microsecond

// TakeOver is how long a new leader may be busy with its fleet's take-over.
func (c *Config) TakeOver() time.Duration {
	work := time.Duration(c.FleetSize()) * takeOverPerMachine
	return time.Duration(float64(work) / c.Cluster.Resources.Cores)
}

// What a fleet needs of a controller's resources and of the services, by measured runs
// (docs/CAPACITY.md).
const (
	baseMB             = 20.0  // of a process without any machine
	mbPerMachine       = 0.047 // of the leader: 272 to 287 MB at 5,500 with ten tasks each
	machinesPerCore    = 7500  // 0.73 of a core at 5,500
	machinesPerChange  = 20    // for each change a second: beyond it the burst of a start is answered 503
	leasesPerWrite     = 1.25  // that one change for each machine may take: 1.01 on the credit checks' upgrade, served well
	machinesPerListing = 500   // of a page of the cloud's list
	clientSocketShare  = 0.5   // of the sockets, for workers and users
	workerSocketShare  = 0.85  // of these, before workers' connections are closed after each answer
)

// Warnings tells where the settings can't carry the fleet that they describe. None of
// them keeps a controller from starting.
func (c *Config) Warnings() []string {
	size := float64(c.FleetSize())
	r, state, cloud := c.Cluster.Resources, c.Cluster.State.Both(), c.Cluster.Cloud
	controllers := float64(len(c.Siblings) + 1)
	var out []string
	for _, need := range []struct {
		field     string
		has, want float64
		why       string
	}{
		{"cluster.resources.fd_limit", float64(r.FDs), size / controllers / clientSocketShare / workerSocketShare,
			"workers' connections are closed after each report"},
		{"cluster.resources.mem_mb", r.MemMB, baseMB + size*mbPerMachine, "a leader may run out of memory"},
		{"cluster.resources.cores", r.Cores, size / machinesPerCore, "a leader answers late at the peak"},
		{"cluster.state.write_rps", state.WriteRPS, size / machinesPerChange, "bursts of submissions and starts wait or are answered 503"},
		{"cluster.state.write_rps", state.WriteRPS, size / (c.Lease().Seconds() * leasesPerWrite), "one record of each machine takes longer than the workers' lease"},
		{"cluster.cloud.rps", cloud.RPS, 2 * size / machinesPerListing / max(1, cloud.ListLagS), "the list of machines is older than its lag"},
	} {
		if need.has < need.want {
			out = append(out, fmt.Sprintf("settings: %s: %.4g is little for %.0f machines, %.4g would do: %s", need.field, need.has, size, need.want, need.why))
		}
	}
	if takeOver, longest := c.TakeOver(), c.Lease()*3/20; takeOver > longest {
		out = append(out, fmt.Sprintf("settings: cluster.workers.lease_s: a take-over of %.0f machines may take %.1f s, the leader's lease is %.1f s at the most",
			size, takeOver.Seconds(), longest.Seconds()))
	}
	return append(out, c.gateWarnings()...)
}

// gateChanges is how many changes the feature gate's transactions have at the most.
const gateChanges = 3

// GateFits says whether the state service's limits allow the feature gate's transactions.
func (c *Config) GateFits() bool { return c.Cluster.State.Both().TxnOps >= gateChanges }

// gateWarnings tells what operators should know of a rolling upgrade by this file.
func (c *Config) gateWarnings() []string {
	var out []string
	if c.namesGate {
		out = append(out, "operators' settings: [upgrade] and [end_journal] are refused by versions before the feature gate: "+
			"in an upgrade the program changes first and then this file, in a rollback this file first and then the program")
	}
	if c.Operator.EndJournal.Enabled && c.Operator.Upgrade.Hold {
		out = append(out, "operators' settings: end_journal.enabled waits while upgrade.hold is true: the feature gate stays closed")
	}
	if c.Operator.EndJournal.Enabled && !c.GateFits() {
		out = append(out, fmt.Sprintf("operators' settings: end_journal.enabled: cluster.state.txn_ops is %d, the feature gate needs %d",
			c.Cluster.State.Both().TxnOps, gateChanges))
	}
	return out
}
