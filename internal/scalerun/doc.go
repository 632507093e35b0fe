// Package scalerun is a load test with fault injection. It runs real controller processes on one
// machine, over loopback, against an emulated state service, an emulated cloud, thousands of emulated
// workers and emulated clients. During the run it checks the protocol's invariants and measures how start latency,
// request rates, CPU time and memory depend on the size of the fleet.
//
// Each region runs in a separate process: Run starts the process, which calls ServeRegion and RunRegion. In that
// process one goroutine, the eventLoop, owns all emulated components; other goroutines post functions to it.
package scalerun
