package config

import "fmt"

// Source is the file that a setting comes from, as error texts name it.
type Source string

// The two files.
const (
	PlatformSource Source = "settings"
	OperatorSource Source = "operators' settings"
)

// FieldError is the error of a setting that is missing, out of range or in conflict with another.
type FieldError struct {
	Source Source
	// Field is the key with its path, as in the file: cluster.workers.lease_s.
	Field string
	// Value is the setting's value; nil where Reason is enough.
	Value any
	// Reason says what is wrong with the value.
	Reason string
	// Err is the error that Reason was taken from, if any.
	Err error
}

// Error is one line that names the file, the field and what is wrong.
func (e *FieldError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("%s: %s: %s", e.Source, e.Field, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v %s", e.Source, e.Field, e.Value, e.Reason)
}

// Unwrap returns Err.
func (e *FieldError) Unwrap() error { return e.Err }

// UnknownKeyError is the error of a key in the operators' file that this version does not know.
type UnknownKeyError struct{ Key string }

// Error names the key.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: unknown key %s", OperatorSource, e.Key)
}
