// Package emulator emulates the systems that a controller communicates with, as the protocol documentation specifies
// them: the state service, the cloud, and the workers with their tasks.
//
// The emulated systems form a deterministic state machine on a shared EventQueue. Tests advance the queue by a
// simulated clock, the scale run by the real clock. The package is not safe for concurrent use: only the goroutine
// that owns the queue may use the systems that run on it.
package emulator
