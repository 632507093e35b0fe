package config

const bytesPerKB = 1024

// MaxValueBytes returns the maximum size of a value in the state service, in bytes. It respects the current and
// the future limit.
func (c *Config) MaxValueBytes() int {
	return int(c.Cluster.State.EffectiveLimits().ValueKB * bytesPerKB)
}

// CompletionLayoutBytes returns the value size that the layout of stored completions is computed from, in bytes. It
// is the current limit on a value and ignores the future limit, because keys that are already stored must
// keep their meaning.
func (c *Config) CompletionLayoutBytes() int { return int(c.Cluster.State.ValueKB * bytesPerKB) }
