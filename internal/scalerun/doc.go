// Package scalerun is a load test with fault injection. It runs real controller processes on one
// machine, over loopback, against an emulated state service, an emulated cloud, thousands of emulated
// workers and emulated clients. While it runs it checks the protocol's invariants, and it measures
// what the size of the fleet costs: start latency, request rates, CPU time and memory.
//
// Each region runs in a process of its own (RunRegion, started by Run through ServeRegion). Within
// that process one goroutine, the eventLoop, owns all emulated parts; everything else posts to it.
package scalerun
