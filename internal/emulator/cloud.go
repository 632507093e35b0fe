package emulator

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Limits of the cloud that the protocol's page names.
const (
	maxListed    = 500
	maxLaunched  = 50
	maxDeleted   = 100
	burstSeconds = 2 // of requests at the rate limit
	// failureListingDelay is how long a machine that has failed is still listed as running.
	failureListingDelay = 30 * time.Second
)

// Pool is a kind of machine that the cloud has a capacity of: type, zone, and spot or not.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// Machine is a machine as the cloud knows it.
type Machine struct {
	ID, Addr string
	Pool
	LaunchedAt time.Duration
	Up         bool
	Deleted    bool          // deleted or preempted: no longer listed
	FailedAt   time.Duration // when it stopped on its own; 0: it has not
}

// Cloud emulates a cloud that launches and deletes machines.
type Cloud struct {
	queue    *EventQueue
	machines []*Machine // in the order of creation, which is the order of names
	byName   map[string]*Machine
	// launchedByRequest holds the names of the machines launched by each request's key: launch requests
	// are idempotent.
	launchedByRequest map[string][]string
	requestBudget     tokenBucket

	Types []protocol.MachineType
	// Name returns the n-th machine's name, with n from 1, and Addr its worker's address. Names must
	// sort in the order of n.
	Name func(n int) string
	Addr func(id string) string
	// Capacity is how many more machines of each pool can be launched; nil: any number.
	Capacity map[Pool]int
	// ListLag is how long a new machine is missing from the list, BootTime how long a machine takes to boot,
	// and Rate the limit of requests a second; 0: no limit.
	ListLag     time.Duration
	BootTime    func(typ string) time.Duration
	RequestRate float64
	// Down has all requests fail, Full all launches (injected faults).
	Down, OutOfCapacity bool
	// Deleted are the names in the requests for deletion, in their order.
	Deleted []string
	// OnLaunch is called for each machine that begins to boot, Remove for each that is deleted.
	OnLaunch func(m *Machine)
	OnDelete func(m *Machine)
	// Violation is called for requests that violate the protocol; nil: they are only refused.
	Violation func(what string)
}

// NewCloud returns a cloud without machines.
func NewCloud(queue *EventQueue) *Cloud {
	return &Cloud{queue: queue, byName: map[string]*Machine{}, launchedByRequest: map[string][]string{}}
}

// Create makes a machine that begins to boot now, without a call of Launch.
func (c *Cloud) Create(pool Pool) *Machine {
	id := c.Name(len(c.machines) + 1)
	m := &Machine{ID: id, Addr: c.Addr(id), Pool: pool, LaunchedAt: c.queue.Now()}
	c.machines = append(c.machines, m)
	c.byName[id] = m
	if c.Capacity != nil {
		c.Capacity[pool]--
	}
	return m
}

// Machine returns a machine by its name, or nil.
func (c *Cloud) Machine(id string) *Machine { return c.byName[id] }

// Fail records that a machine has stopped on its own.
func (c *Cloud) Fail(id string) {
	if m := c.byName[id]; m != nil && !m.Deleted && m.FailedAt == 0 {
		m.FailedAt = c.queue.Now()
		c.releaseCapacity(m)
	}
}

// releaseCapacity lets a machine's place be launched again.
func (c *Cloud) releaseCapacity(m *Machine) {
	if c.Capacity != nil {
		c.Capacity[m.Pool]++
	}
}

// Serve answers one request with an HTTP status and a body.
func (c *Cloud) Serve(method, target string, body []byte) (int, []byte) {
	if c.Down {
		return statusUnavailable, protocol.Encode(map[string]any{"error": "trouble"})
	}
	if c.RequestRate > 0 && !c.requestBudget.allowBurst(c.queue.Now(), c.RequestRate, burstSeconds*c.RequestRate, 1) {
		return statusTooMany, nil
	}
	path, query, _ := strings.Cut(target, "?")
	switch {
	case path == "/flavors":
		return http.StatusOK, protocol.Encode(protocol.MachineTypes{Types: c.Types})
	case path == "/machines" && method == http.MethodPost:
		return c.launchMachines(body)
	case path == "/machines":
		values, err := url.ParseQuery(query)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		return http.StatusOK, protocol.Encode(c.list(values))
	case path == "/machines/delete":
		return c.deleteMachines(body)
	}
	c.reportViolation(method + " " + target)
	return http.StatusBadRequest, nil
}

// reportViolation tells of a request that violates the protocol.
func (c *Cloud) reportViolation(what string) {
	if c.Violation != nil {
		c.Violation("cloud: " + what)
	}
}

// launchMachines launches up to as many machines as asked for. A request that is repeated under the same
// key is answered with the machines that it launched first.
func (c *Cloud) launchMachines(body []byte) (int, []byte) {
	var request protocol.LaunchRequest
	if err := protocol.Decode(body, &request); err != nil || request.Count < 1 || request.Count > maxLaunched {
		c.reportViolation("a rental can't be read or asks for too many")
		return http.StatusBadRequest, nil
	}
	pool := Pool{request.Type, request.Zone, request.Spot}
	if c.launchedByRequest[request.Request] == nil {
		count := request.Count
		if c.Capacity != nil {
			count = min(count, c.Capacity[pool])
		}
		if c.OutOfCapacity || count <= 0 {
			return statusUnavailable, protocol.Encode(map[string]any{"error": "no capacity"})
		}
		for range count {
			m := c.Create(pool)
			c.launchedByRequest[request.Request] = append(c.launchedByRequest[request.Request], m.ID)
			c.OnLaunch(m)
			c.queue.After(c.BootTime(m.Type), func() { m.Up = true })
		}
	}
	return http.StatusOK, protocol.Encode(protocol.MachineIDs{Machines: c.launchedByRequest[request.Request]})
}

// list returns one page of the machines in the order of their names.
func (c *Cloud) list(values url.Values) protocol.MachineList {
	limit, _ := strconv.Atoi(values.Get("limit")) // absent: 0
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	after := values.Get("after")
	now := c.queue.Now()
	first, _ := slices.BinarySearchFunc(c.machines, after, func(m *Machine, name string) int { return strings.Compare(m.ID, name) })
	out := protocol.MachineList{}
	for _, m := range c.machines[first:] {
		if m.ID <= after || m.Deleted || now < m.LaunchedAt+c.ListLag {
			continue
		}
		if len(out.Machines) == limit {
			out.More = true
			break
		}
		state := "booting"
		switch {
		case m.FailedAt > 0 && now > m.FailedAt+failureListingDelay:
			state = "failed"
		case m.Up:
			state = "running"
		}
		out.Machines = append(out.Machines, protocol.ListedMachine{ID: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
			Spot: m.Spot, State: state, AgeS: (now - m.LaunchedAt).Seconds()})
	}
	return out
}

// deleteMachines deletes machines by their names; unknown ones are ignored.
func (c *Cloud) deleteMachines(body []byte) (int, []byte) {
	var request protocol.MachineIDs
	if err := protocol.Decode(body, &request); err != nil || len(request.Machines) > maxDeleted {
		c.reportViolation("a deletion can't be read or names too many")
		return http.StatusBadRequest, nil
	}
	for _, id := range request.Machines {
		c.Deleted = append(c.Deleted, id)
		m := c.byName[id]
		if m == nil || m.Deleted {
			continue
		}
		if m.FailedAt == 0 {
			c.releaseCapacity(m)
		}
		m.Deleted = true
		c.OnDelete(m)
	}
	return http.StatusOK, nil
}
