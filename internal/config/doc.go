// Package config reads the platform's settings (JSON) and the operators' own (TOML), validates
// them, and derives every other constant as a ratio to them, so that one program serves sites of
// different sizes.
//
// In both files, keys that end in _s are seconds, _ms milliseconds, _kb KiB and _mb MiB; rps is
// requests per second.
package config
