// Package config reads and validates the platform's settings (JSON) and the operators' settings (TOML). It
// derives the program's other timings and limits from them as ratios, so that the same program serves
// sites of different sizes.
//
// In both files, keys that end in _s are seconds, _ms milliseconds, _kb KiB and _mb MiB; rps is
// requests per second.
package config
