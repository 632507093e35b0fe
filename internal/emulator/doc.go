// Package emulator emulates what a controller talks to, as the protocol's page describes it: the state
// service, the cloud and the workers with their tasks.
//
// All of it is one deterministic state machine on an EventQueue: tests advance the queue by a clock of
// their own, the scale run by the real one. Nothing here is safe for concurrent use: the goroutine that
// owns the queue owns all parts.
package emulator
