package config

const bytesPerKB = 1024

// MaxValueBytes is the state service's limit on one value, now and later, in bytes.
func (c *Config) MaxValueBytes() int {
	return int(c.Cluster.State.EffectiveLimits().ValueKB * bytesPerKB)
}

// CompletionLayoutBytes is what the layout of stored completions is computed from, in bytes: the limit on a
// value as it was when the first were written, whatever it will be, as a key must not change its
// meaning.
func (c *Config) CompletionLayoutBytes() int { return int(c.Cluster.State.ValueKB * bytesPerKB) }
