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
	// usesFeatureGateKeys is true if the operators' file has keys that versions without the feature gate
	// reject.
	usesFeatureGateKeys bool
}

// Load reads and validates the platform's file and, if its path is not empty, the operators' file. The error
// names the file; see Parse for errors of the contents.
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

// Parse decodes and validates the contents of both files. The error is a *FieldError for the first invalid
// setting, an *UnknownKeyError for an unknown key of the operators' file, or a decoder's error.
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
	// Reject unknown keys: otherwise the default would silently replace the value of a mistyped key.
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, &UnknownKeyError{Key: unknown[0].String()}
	}
	c.usesFeatureGateKeys = meta.IsDefined("upgrade") || meta.IsDefined("end_journal")
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}
