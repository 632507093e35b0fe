package config

import "fmt"

// Source is the file that a setting is read from. Its text is part of error messages.
type Source string

// Sources of settings.
const (
	PlatformSource Source = "settings"
	OperatorSource Source = "operators' settings"
)

// FieldError means that a setting is missing, is out of range or conflicts with another setting.
type FieldError struct {
	Source Source
	// Field is the path of the key in the file, such as cluster.workers.lease_s.
	Field string
	// Value is the value of the setting; nil if the message omits it.
	Value any
	// Reason says what is wrong with the value.
	Reason string
	// Err is the underlying error, if any.
	Err error
}

// Error returns one line with the file, the field, the value if any, and the reason.
func (e *FieldError) Error() string {
	if e.Value == nil {
		return fmt.Sprintf("%s: %s: %s", e.Source, e.Field, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v %s", e.Source, e.Field, e.Value, e.Reason)
}

// Unwrap returns Err.
func (e *FieldError) Unwrap() error { return e.Err }

// UnknownKeyError means that the operators' file contains a key that this version does not support.
type UnknownKeyError struct{ Key string }

// Error returns one line with the file and the key.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: unknown key %s", OperatorSource, e.Key)
}
