package config

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Config holds the validated contents of both files.
type Config struct {
	Settings
	Operator Operator
	// namesGate is true if the operators' file has keys that versions before the feature gate
	// refuse.
	namesGate bool
}

// Load reads and validates the platform's file and, if its path is not empty, the operators'. The
// error names the file; see Parse for the contents' errors.
func Load(platform, operator string) (*Config, error) {
	platformText, err := os.ReadFile(platform)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", PlatformSource, err)
	}
	var operatorText []byte
	if operator != "" {
		operatorText, err = os.ReadFile(operator)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", OperatorSource, err)
		}
	}
	return Parse(platformText, operatorText)
}

// Parse validates both files' contents. The error is a *FieldError for the first setting that is
// wrong, an *UnknownKeyError for a key of the operators' file, or that of a decoder.
func Parse(platform, operator []byte) (*Config, error) {
	c := &Config{}
	c.Operator.setDefaults()
	if err := json.Unmarshal(platform, &c.Settings); err != nil {
		return nil, fmt.Errorf("%s: %w", PlatformSource, err)
	}
	meta, err := toml.Decode(string(operator), &c.Operator)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", OperatorSource, err)
	}
	// What an operator mistypes must not pass for a default.
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, &UnknownKeyError{Key: unknown[0].String()}
	}
	c.namesGate = meta.IsDefined("upgrade") || meta.IsDefined("end_journal")
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}
