package config

import "fmt"

// What a fleet needs of a controller's resources and of the services, by measured runs
// (docs/CAPACITY.md).
const (
	baseMB             = 20.0  // MiB of a process without any machine
	mbPerMachine       = 0.047 // of the leader: 272 to 287 MB at 5,500 with ten tasks each
	machinesPerCore    = 7500  // 0.73 of a core at 5,500
	machinesPerChange  = 20    // for each change a second: beyond it the burst of a start is answered 503
	leasesPerWrite     = 1.25  // that one change for each machine may take: 1.01 on the credit checks' upgrade, served well
	machinesPerListing = 500   // of a page of the cloud's list
	clientSocketShare  = 0.5   // of the sockets, for workers and users
	workerSocketShare  = 0.85  // of these, before workers' connections are closed after each answer
)

// capacityNeed is what a setting must be at least to carry the fleet.
type capacityNeed struct {
	field     string
	has, want float64
	// otherwise is what happens if it is less.
	otherwise string
}

// Warnings returns a line for each setting that can't carry the fleet that the settings describe,
// and for what operators should know of a rolling upgrade. None of them keeps a controller from
// starting.
func (c *Config) Warnings() []string {
	size := float64(c.FleetSize())
	var warnings []string
	for _, need := range c.capacityNeeds(size) {
		if need.has < need.want {
			warnings = append(warnings, fmt.Sprintf("%s: %s: %.4g is little for %.0f machines, %.4g would do: %s",
				PlatformSource, need.field, need.has, size, need.want, need.otherwise))
		}
	}
	if takeOver, longest := c.TakeoverDuration(), c.maxLeaderTTL(); takeOver > longest {
		warnings = append(warnings, fmt.Sprintf(
			"%s: cluster.workers.lease_s: a take-over of %.0f machines may take %.1f s, the leader's lease is %.1f s at the most",
			PlatformSource, size, takeOver.Seconds(), longest.Seconds()))
	}
	return append(warnings, c.featureGateWarnings()...)
}

// capacityNeeds returns what a fleet of this many machines needs.
func (c *Config) capacityNeeds(machines float64) []capacityNeed {
	resources, state, cloud := c.Cluster.Resources, c.Cluster.State.EffectiveLimits(), c.Cluster.Cloud
	controllers := float64(len(c.Siblings) + 1)
	return []capacityNeed{
		{"cluster.resources.fd_limit", float64(resources.FDs), machines / controllers / clientSocketShare / workerSocketShare,
			"workers' connections are closed after each report"},
		{"cluster.resources.mem_mb", resources.MemMB, baseMB + machines*mbPerMachine,
			"a leader may run out of memory"},
		{"cluster.resources.cores", resources.Cores, machines / machinesPerCore,
			"a leader answers late at the peak"},
		{"cluster.state.write_rps", state.WriteRPS, machines / machinesPerChange,
			"bursts of submissions and starts wait or are answered 503"},
		{"cluster.state.write_rps", state.WriteRPS, machines / (c.WorkerLease().Seconds() * leasesPerWrite),
			"one record of each machine takes longer than the workers' lease"},
		{"cluster.cloud.rps", cloud.RPS, 2 * machines / machinesPerListing / max(1, cloud.ListLagS),
			"the list of machines is older than its lag"},
	}
}

// maxGateChanges is how many changes a transaction of the feature gate has at most.
const maxGateChanges = 3

// SupportsFeatureGate says whether the state service's limits allow the feature gate's transactions.
func (c *Config) SupportsFeatureGate() bool {
	return c.Cluster.State.EffectiveLimits().TxnOps >= maxGateChanges
}

// featureGateWarnings returns what operators should know of a rolling upgrade with this file.
func (c *Config) featureGateWarnings() []string {
	var warnings []string
	if c.namesGate {
		warnings = append(warnings, string(OperatorSource)+": [upgrade] and [end_journal] are refused by versions before the feature gate: "+
			"in an upgrade the program changes first and then this file, in a rollback this file first and then the program")
	}
	if c.Operator.EndJournal.Enabled && c.Operator.Upgrade.Hold {
		warnings = append(warnings, string(OperatorSource)+": end_journal.enabled waits while upgrade.hold is true: the feature gate stays closed")
	}
	if c.Operator.EndJournal.Enabled && !c.SupportsFeatureGate() {
		warnings = append(warnings, fmt.Sprintf("%s: end_journal.enabled: cluster.state.txn_ops is %d, the feature gate needs %d",
			OperatorSource, c.Cluster.State.EffectiveLimits().TxnOps, maxGateChanges))
	}
	return warnings
}
