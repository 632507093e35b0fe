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

// launchGiveUpLeases is for how many leases of the workers a launch request is repeated. Machines that
// it still brings after that appear in the list.
const launchGiveUpLeases = 4

// maxBackoffFailures bounds the failures that make a back-off longer.
const maxBackoffFailures = 4

// LaunchRequest is a request for machines that is under way.
type LaunchRequest struct {
	scheduler.Pool
	Count       int
	requestName string
	sentAt      time.Duration // when it was first sent
}

func (r *LaunchRequest) request() protocol.LaunchRequest {
	return protocol.LaunchRequest{Request: r.requestName, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// backoff is how long a pool of machines is left alone, the longer the more often in a row it gave fewer
// machines than asked for.
type backoff struct {
	until    time.Duration
	failures int
}

// LaunchesInFlight returns the requests that are under way, in a fixed order, so that runs can be replayed.
func (p *Pool) LaunchesInFlight() []*LaunchRequest {
	out := make([]*LaunchRequest, 0, len(p.launching))
	for _, name := range slices.Sorted(maps.Keys(p.launching)) {
		out = append(out, p.launching[name])
	}
	return out
}

// IsBackingOff reports whether a pool of machines is left alone for now, as it gave fewer than asked for.
func (p *Pool) IsBackingOff(pool scheduler.Pool) bool { return p.host.Now() < p.backoffs[pool].until }

// Launch asks for machines of a pool, for at most as many as one request may have. The name of the
// request holds the fencing token and a counter: no controller ever uses it again, which makes the
// request idempotent.
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
	p.client.Launch(launch.request(), p.times.Lease/launchTimeoutShare, func(names []string, err error) {
		if !p.host.HasEnded() {
			p.onLaunchAnswer(launch, names, err)
		}
	})
}

// onLaunchAnswer takes the outcome of a launch request.
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
	case p.host.Now() > launch.sentAt+launchGiveUpLeases*p.times.Lease:
		delete(p.launching, launch.requestName)
	default:
		// No answer, or trouble: the same name again launches nothing twice.
		p.host.RunAt(p.host.Now()+p.host.RetryPause()*launchRetryPauses, func() { p.sendLaunch(launch) })
	}
}

// onLaunched takes the machines that a request brought.
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

// backOff leaves a pool of machines alone for a while that refused a request or filled it only in part:
// half a lease of the workers, and half a lease more with each further failure, up to two leases.
func (p *Pool) backOff(pool scheduler.Pool) {
	b := p.backoffs[pool]
	b.failures = min(b.failures+1, maxBackoffFailures)
	b.until = p.host.Now() + p.times.Lease*time.Duration(b.failures)/2
	p.backoffs[pool] = b
	p.host.SetExhausted(pool, true)
}
