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

// Limits that the protocol documentation sets for the cloud.
const (
	maxMachinesPerPage    = 500
	maxLaunchedPerRequest = 50
	maxDeletedPerRequest  = 100
	burstSeconds          = 2 // burst of requests, in seconds at the rate limit
	// failureListingDelay is how long a failed machine is still listed in its state before the failure.
	failureListingDelay = 30 * time.Second
)

// Pool identifies the machines that share one capacity limit: machines of one type and zone, either spot or not.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// Machine is the cloud's record of a machine.
type Machine struct {
	ID, Addr string
	Pool
	LaunchedAt time.Duration
	Up         bool
	Deleted    bool          // the machine was deleted or preempted, and is no longer listed
	FailedAt   time.Duration // when the machine failed; 0: it has not failed
}

// Cloud emulates a cloud that launches and deletes machines.
type Cloud struct {
	queue    *EventQueue
	machines []*Machine // in the order of creation, which is also the order of their names
	byName   map[string]*Machine
	// launchedByRequest maps the idempotency key of each launch request to the names of the machines that it launched.
	launchedByRequest map[string][]string
	requestBudget     tokenBucket

	Types []protocol.MachineType
	// MachineName returns the name of the n-th machine, counted from 1; the names must sort in the order of n.
	// MachineAddr returns the address of the machine's worker.
	MachineName func(n int) string
	MachineAddr func(id string) string
	// Capacity is the number of further machines that each pool can launch; nil: no limit.
	Capacity map[Pool]int
	// ListLag is how long a new machine is missing from the list, BootTime returns how long a machine of a type takes
	// to boot, and RequestRate is the limit of requests per second; 0: no limit.
	ListLag     time.Duration
	BootTime    func(typ string) time.Duration
	RequestRate float64
	// Injected faults: Down makes all requests fail, OutOfCapacity all launch requests.
	Down, OutOfCapacity bool
	// DeletionRequests lists the machine names in all deletion requests, in the order of arrival.
	DeletionRequests []string
	// OnLaunch is called for each machine that a launch request creates, OnDelete for each machine that is deleted on
	// request.
	OnLaunch func(m *Machine)
	OnDelete func(m *Machine)
	// OnViolation is called for each request that violates the protocol, in addition to refusing it; nil: not called.
	OnViolation func(description string)
}

// NewCloud returns a cloud without machines.
func NewCloud(queue *EventQueue) *Cloud {
	return &Cloud{queue: queue, byName: map[string]*Machine{}, launchedByRequest: map[string][]string{}}
}

// Create adds a machine that was launched now, without a launch request and without calling OnLaunch.
func (c *Cloud) Create(pool Pool) *Machine {
	id := c.MachineName(len(c.machines) + 1)
	m := &Machine{ID: id, Addr: c.MachineAddr(id), Pool: pool, LaunchedAt: c.queue.Now()}
	c.machines = append(c.machines, m)
	c.byName[id] = m
	if c.Capacity != nil {
		c.Capacity[pool]--
	}
	return m
}

// Machine returns the machine with the given name, or nil if there is none.
func (c *Cloud) Machine(id string) *Machine { return c.byName[id] }

// MarkFailed records the failure of a machine and releases its capacity.
func (c *Cloud) MarkFailed(id string) {
	if m := c.byName[id]; m != nil && !m.Deleted && m.FailedAt == 0 {
		m.FailedAt = c.queue.Now()
		c.releaseCapacity(m)
	}
}

// releaseCapacity returns a machine's capacity to its pool.
func (c *Cloud) releaseCapacity(m *Machine) {
	if c.Capacity != nil {
		c.Capacity[m.Pool]++
	}
}

// Serve handles one request and returns an HTTP status and a body.
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

// reportViolation passes a request that violates the protocol to OnViolation.
func (c *Cloud) reportViolation(description string) {
	if c.OnViolation != nil {
		c.OnViolation("cloud: " + description)
	}
}

// launchMachines launches the requested number of machines, or fewer if the pool's capacity is lower. A repeated
// request with the same idempotency key launches nothing and returns the machines of the first one.
func (c *Cloud) launchMachines(body []byte) (int, []byte) {
	var request protocol.LaunchRequest
	if err := protocol.Decode(body, &request); err != nil || request.Count < 1 || request.Count > maxLaunchedPerRequest {
		c.reportViolation("launch request cannot be decoded, or its number of machines is out of range")
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

// list returns one page of the machines, ordered by name.
func (c *Cloud) list(values url.Values) protocol.MachineList {
	limit, _ := strconv.Atoi(values.Get("limit")) // absent: 0
	if limit <= 0 || limit > maxMachinesPerPage {
		limit = maxMachinesPerPage
	}
	after := values.Get("after")
	now := c.queue.Now()
	firstIndex, _ := slices.BinarySearchFunc(c.machines, after, func(m *Machine, name string) int { return strings.Compare(m.ID, name) })
	page := protocol.MachineList{}
	for _, m := range c.machines[firstIndex:] {
		if m.ID <= after || m.Deleted || now < m.LaunchedAt+c.ListLag {
			continue
		}
		if len(page.Machines) == limit {
			page.More = true
			break
		}
		state := "booting"
		switch {
		case m.FailedAt > 0 && now > m.FailedAt+failureListingDelay:
			state = "failed"
		case m.Up:
			state = "running"
		}
		page.Machines = append(page.Machines, protocol.ListedMachine{ID: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
			Spot: m.Spot, State: state, AgeS: (now - m.LaunchedAt).Seconds()})
	}
	return page
}

// deleteMachines deletes the named machines; unknown names are ignored.
func (c *Cloud) deleteMachines(body []byte) (int, []byte) {
	var request protocol.MachineIDs
	if err := protocol.Decode(body, &request); err != nil || len(request.Machines) > maxDeletedPerRequest {
		c.reportViolation("deletion request cannot be decoded, or names too many machines")
		return http.StatusBadRequest, nil
	}
	for _, id := range request.Machines {
		c.DeletionRequests = append(c.DeletionRequests, id)
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
