package machinepool

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"claybarrow/internal/apicall"
	"claybarrow/internal/cloudclient"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// launchRetryLeases is how long a launch request is retried, in workers' leases. Machines that it launches
// after that are found by reading the list.
const launchRetryLeases = 4

// maxBackoffFailures is the number of consecutive failures after which the back-off stops growing.
const maxBackoffFailures = 4

// LaunchRequest is a launch request in flight.
type LaunchRequest struct {
	scheduler.Pool
	Count       int
	requestName string
	sentAt      time.Duration // time of the first attempt
}

func (r *LaunchRequest) wireRequest() protocol.LaunchRequest {
	return protocol.LaunchRequest{Request: r.requestName, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// backoff is the back-off state of a pool: no machines are requested until the given time. failures counts the
// consecutive requests that the pool did not fill, up to maxBackoffFailures.
type backoff struct {
	until    time.Duration
	failures int
}

// LaunchesInFlight returns the launch requests in flight, sorted by name so that runs can be replayed.
func (p *Pool) LaunchesInFlight() []*LaunchRequest {
	launches := make([]*LaunchRequest, 0, len(p.launching))
	for _, name := range slices.Sorted(maps.Keys(p.launching)) {
		launches = append(launches, p.launching[name])
	}
	return launches
}

// IsBackingOff reports whether a pool is in back-off after a request that it did not fill.
func (p *Pool) IsBackingOff(pool scheduler.Pool) bool { return p.host.Now() < p.backoffs[pool].until }

// Launch requests count machines of a pool, or maxLaunchCount if that is fewer. The request name contains the
// fencing token and a counter, so that no controller uses it for another request. This makes retries
// idempotent.
func (p *Pool) Launch(pool scheduler.Pool, count int) {
	p.lastLaunch++
	p.sendLaunch(&LaunchRequest{
		Pool: pool, Count: min(count, maxLaunchCount),
		requestName: fmt.Sprintf("r-%d-%d", p.token, p.lastLaunch), sentAt: p.host.Now(),
	})
}

func (p *Pool) sendLaunch(launch *LaunchRequest) {
	p.launching[launch.requestName] = launch
	p.log.Info("launching machines", "request", launch.requestName, "type", launch.Type, "zone", launch.Zone, "spot", launch.Spot, "count", launch.Count)
	p.client.Launch(launch.wireRequest(), p.times.Lease/launchTimeoutDivisor, func(names []string, err error) {
		if !p.host.HasEnded() {
			p.onLaunchAnswer(launch, names, err)
		}
	})
}

// onLaunchAnswer handles the outcome of a launch request.
func (p *Pool) onLaunchAnswer(launch *LaunchRequest, names []string, err error) {
	switch {
	case err == nil:
		p.onLaunched(launch, names)
	case errors.Is(err, cloudclient.ErrNoCapacity):
		delete(p.launching, launch.requestName)
		p.backOff(launch.Pool)
	case errors.Is(err, apicall.ErrInvalidRequest):
		delete(p.launching, launch.requestName)
		p.backOff(launch.Pool)
		p.log.Error("launch request rejected as malformed", "request", launch.requestName)
	case p.host.Now() > launch.sentAt+launchRetryLeases*p.times.Lease:
		delete(p.launching, launch.requestName)
	default:
		// No answer, or a temporary failure: a retry with the same name launches no machine twice.
		p.host.RunAt(p.host.Now()+p.host.RetryPause()*launchRetryPauses, func() { p.sendLaunch(launch) })
	}
}

// onLaunched handles the machines that a request launched.
func (p *Pool) onLaunched(launch *LaunchRequest, names []string) {
	delete(p.launching, launch.requestName)
	for _, name := range names {
		if !p.WasRemoved(name) {
			p.host.OnLaunched(launch.Pool, name, launch.sentAt)
		}
	}
	if len(names) < launch.Count {
		p.backOff(launch.Pool)
		return
	}
	delete(p.backoffs, launch.Pool)
	p.host.SetExhausted(launch.Pool, false)
}

// backOff starts or extends the back-off of a pool that rejected a request or filled it only in part. The
// back-off is half a workers' lease per consecutive failure, up to two leases.
func (p *Pool) backOff(pool scheduler.Pool) {
	state := p.backoffs[pool]
	state.failures = min(state.failures+1, maxBackoffFailures)
	state.until = p.host.Now() + p.times.Lease*time.Duration(state.failures)/2
	p.backoffs[pool] = state
	p.host.SetExhausted(pool, true)
}
