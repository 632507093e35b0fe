package config

import "fmt"

// Resources of a controller and limits of the services that a fleet needs (docs/CAPACITY.md).
const (
	baseMemoryMB         = 20.0  // memory of a process without machines, in MiB
	memoryMBPerMachine   = 0.047 // MiB of the leader per machine; 272 to 287 MB at 5,500 machines with ten tasks each
	machinesPerCore      = 7500  // 0.73 of a core at 5,500 machines
	machinesPerWriteRPS  = 20    // per change per second; with more machines, part of a burst of starts is answered 503
	maxFleetWriteLeases  = 1.25  // workers' leases for one change per machine; 1.01 caused no problem in an upgrade
	machinesPerListPage  = 500   // per page of the cloud's list
	maxClientSocketShare = 0.5   // share of the sockets that workers and users may use
	maxWorkerSocketShare = 0.85  // share of these sockets above which workers' connections are closed after each answer
)

// capacityNeed is the minimum value that a setting must have to serve the fleet.
type capacityNeed struct {
	field                string
	configured, required float64
	// consequence is the effect of a lower value.
	consequence string
}

// Warnings returns a line for each setting that is too low for the size of the fleet, and for each fact about
// rolling upgrades that operators should know. A controller starts despite warnings.
func (c *Config) Warnings() []string {
	size := float64(c.FleetSize())
	var warnings []string
	for _, need := range c.capacityNeeds(size) {
		if need.configured < need.required {
			warnings = append(warnings, fmt.Sprintf("%s: %s: %.4g is too low for %.0f machines, which need %.4g: %s",
				PlatformSource, need.field, need.configured, size, need.required, need.consequence))
		}
	}
	if takeover, longestLease := c.TakeoverDuration(), c.maxLeaderLease(); takeover > longestLease {
		warnings = append(warnings, fmt.Sprintf(
			"%s: cluster.workers.lease_s: a takeover of %.0f machines may take %.1f s, but the leader's lease is at most %.1f s",
			PlatformSource, size, takeover.Seconds(), longestLease.Seconds()))
	}
	return append(warnings, c.featureGateWarnings()...)
}

// capacityNeeds returns the needs of a fleet with this many machines.
func (c *Config) capacityNeeds(machines float64) []capacityNeed {
	resources, state, cloud := c.Cluster.Resources, c.Cluster.State.EffectiveLimits(), c.Cluster.Cloud
	controllers := float64(len(c.Siblings) + 1)
	return []capacityNeed{
		{"cluster.resources.fd_limit", float64(resources.FDs), machines / controllers / maxClientSocketShare / maxWorkerSocketShare,
			"workers' connections are closed after each report"},
		{"cluster.resources.mem_mb", resources.MemMB, baseMemoryMB + machines*memoryMBPerMachine,
			"a leader may run out of memory"},
		{"cluster.resources.cores", resources.Cores, machines / machinesPerCore,
			"a leader answers late at the peak"},
		{"cluster.state.write_rps", state.WriteRPS, machines / machinesPerWriteRPS,
			"bursts of submissions and starts wait or are answered 503"},
		{"cluster.state.write_rps", state.WriteRPS, machines / (c.WorkerLease().Seconds() * maxFleetWriteLeases),
			"writing one record per machine takes longer than the workers' lease"},
		{"cluster.cloud.rps", cloud.RPS, 2 * machines / machinesPerListPage / max(1, cloud.ListLagS),
			"the list of machines is older than its lag"},
	}
}

// maxGateChanges is the maximum number of changes in a transaction of the feature gate.
const maxGateChanges = 3

// SupportsFeatureGate reports whether the limits of the state service allow the transactions of the feature gate.
func (c *Config) SupportsFeatureGate() bool {
	return c.Cluster.State.EffectiveLimits().TxnOps >= maxGateChanges
}

// featureGateWarnings returns the warnings about rolling upgrades with the operators' file.
func (c *Config) featureGateWarnings() []string {
	var warnings []string
	if c.usesFeatureGateKeys {
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
