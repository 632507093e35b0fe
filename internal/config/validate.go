package config

import (
	"fmt"
	"math"
	"net"
)

// minWriteRPS is the minimum rate of changes per second. Half of the burst of changes is reserved for writes that are
// more urgent than background writes; at a rate of 2 the other half is less than the one change that a background write
// needs.
const minWriteRPS = 3

// validate returns the error of the first invalid setting.
func (c *Config) validate() error {
	for _, validatePart := range []func() error{
		c.validateAddresses,
		c.validateSiblings,
		c.validateTeams,
		c.validateNextState,
		c.validateRanges,
		c.validateMembership,
	} {
		if err := validatePart(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateAddresses() error {
	for _, address := range []struct{ field, value string }{
		{"client_listen", c.ClientListen},
		{"peer_listen", c.PeerListen},
		{"services.cloud", c.Services.Cloud},
		{"services.state", c.Services.State},
	} {
		if err := validateAddress(address.field, address.value); err != nil {
			return err
		}
	}
	return nil
}

func validateAddress(field, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return &FieldError{Source: PlatformSource, Field: field, Reason: err.Error(), Err: err}
	}
	return nil
}

// missingOrDuplicate is the reason of a FieldError for a name that is empty or not unique.
const missingOrDuplicate = "missing or used twice"

func (c *Config) validateSiblings() error {
	if c.Label == "" {
		return &FieldError{Source: PlatformSource, Field: "label", Reason: "missing"}
	}
	seen := map[string]bool{c.Label: true}
	for i, sibling := range c.Siblings {
		path := fmt.Sprintf("siblings[%d]", i)
		if sibling.Label == "" || seen[sibling.Label] {
			return &FieldError{Source: PlatformSource, Field: path + ".label", Reason: missingOrDuplicate}
		}
		seen[sibling.Label] = true
		if err := validateAddress(path+".peer_addr", sibling.Addr); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateTeams() error {
	seen := map[string]bool{}
	for i, team := range c.Cluster.Teams {
		path := fmt.Sprintf("cluster.teams[%d]", i)
		if team.Name == "" || seen[team.Name] {
			return &FieldError{Source: PlatformSource, Field: path + ".name", Reason: missingOrDuplicate}
		}
		seen[team.Name] = true
		for _, amount := range []float64{team.Cores, team.CoresMax, team.Accelerators, team.AcceleratorsMax} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				return &FieldError{Source: PlatformSource, Field: path, Reason: "amounts must be 0 or more"}
			}
		}
	}
	return nil
}

// validateNextState rejects negative future limits. validateRanges checks the lower of the current and the future
// limit against the range of the current limit.
func (c *Config) validateNextState() error {
	next := c.Cluster.State.Next
	if next == nil {
		return nil
	}
	for _, limit := range []struct {
		field string
		value float64
	}{
		{"rps", next.RPS},
		{"write_rps", next.WriteRPS},
		{"value_kb", next.ValueKB},
		{"txn_ops", float64(next.TxnOps)},
	} {
		if !(limit.value >= 0) {
			return &FieldError{Source: PlatformSource, Field: "cluster.state.next." + limit.field,
				Value: limit.value, Reason: "is not 0 or more"}
		}
	}
	return nil
}

// fieldRange is a number with its valid range, which includes both ends.
type fieldRange struct {
	field           string
	value, min, max float64
}

// validateEach returns the error of the first number that is out of range. NaN is out of every range.
func validateEach(source Source, ranges []fieldRange) error {
	for _, r := range ranges {
		if !(r.value >= r.min && r.value <= r.max) {
			return &FieldError{Source: source, Field: r.field, Value: r.value,
				Reason: fmt.Sprintf("is not between %v and %v", r.min, r.max)}
		}
	}
	return nil
}

func (c *Config) validateRanges() error {
	if err := validateEach(PlatformSource, c.platformRanges()); err != nil {
		return err
	}
	return validateEach(OperatorSource, c.operatorRanges())
}

func (c *Config) platformRanges() []fieldRange {
	workers, state, cloud, resources := c.Cluster.Workers, c.Cluster.State, c.Cluster.Cloud, c.Cluster.Resources
	lowest := state.EffectiveLimits()
	return []fieldRange{
		{"cluster.workers.report_s", workers.HeartbeatS, 0.01, 3600},
		{"cluster.workers.lease_s", workers.LeaseS, 0.5, 3600},
		{"cluster.workers.cancel_s", workers.CancelS, workers.LeaseS, 86400},
		{"cluster.state.rps", state.RPS, 5, 1e9},
		{"cluster.state.write_rps", state.WriteRPS, minWriteRPS, 1e9},
		{"cluster.state.value_kb", state.ValueKB, 1, 1e6},
		{"cluster.state.txn_ops", float64(state.TxnOps), 2, 1e6},
		{"cluster.state.next.rps", lowest.RPS, 5, 1e9},
		{"cluster.state.next.write_rps", lowest.WriteRPS, minWriteRPS, 1e9},
		{"cluster.state.next.value_kb", lowest.ValueKB, 1, 1e6},
		{"cluster.state.next.txn_ops", float64(lowest.TxnOps), 2, 1e6},
		{"cluster.workers.gang_peer_s", workers.GangPeerS, 0, 3600},
		{"cluster.cloud.rps", cloud.RPS, 0.1, 1e9},
		{"cluster.cloud.list_lag_s", cloud.ListLagS, 0, 3600},
		{"cluster.resources.cores", resources.Cores, 0.001, 1e6},
		{"cluster.resources.mem_mb", resources.MemMB, 16, 1e9},
		{"cluster.resources.fd_limit", float64(resources.FDs), 32, 1e9},
	}
}

func (c *Config) operatorRanges() []fieldRange {
	green, fleet := c.Operator.Green, c.Operator.Fleet
	return []fieldRange{
		{"green.gamma", green.Gamma, 0, 1},
		{"green.upper_cap", green.UpperCap, 0, 1},
		{"green.round_s", green.RoundS, 1, 86400},
		{"green.fill_s", green.FillS, 0.1, 86400},
		{"green.counters_s", green.CountersS, 1, 86400},
		{"fleet.headroom", fleet.Headroom, 0, 100},
		{"fleet.idle_ratio", fleet.IdleRatio, 0, 1000},
		{"fleet.machines", float64(fleet.Machines), 0, 1e6},
	}
}
