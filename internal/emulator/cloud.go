package emulator

import (
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
	burstSeconds = 2
	// failureListingDelay is how long a machine that has died is still listed as running.
	failureListingDelay = 30 * time.Second
)

// Pool is a type, zone and kind of machine.
type Pool struct {
	Type, Zone string
	Spot       bool
}

// Machine is what the cloud knows of a machine.
type Machine struct {
	ID, Addr string
	Pool
	Rented  time.Duration
	Up      bool
	Deleted bool          // deleted or taken: no longer listed
	Failed  time.Duration // when it stopped on its own, 0: it has not
}

// Cloud rents machines.
type Cloud struct {
	queue             *EventQueue
	machines          []*Machine // in the order of creation, which is the order of names
	byName            map[string]*Machine
	launchedByRequest map[string][]string
	requestBudget     tokenBucket

	Types []protocol.MachineType
	// Name and Addr give the n-th machine its name, from 1, and its worker's address.
	Name func(n int) string
	Addr func(id string) string
	// Left is what can still be rented of each pool; nil: as much as anybody likes.
	Left map[Pool]int
	// Lag is how old the list is, BootTime how long a machine takes to come up, and
	// Rate the calls a second, 0: no limit.
	Lag      time.Duration
	BootTime func(typ string) time.Duration
	Rate     float64
	// Down: all calls fail. Full: nothing can be rented.
	Down, Full bool
	// Deleted are the machines that were asked to be deleted, in that order.
	Deleted []string
	// Launch and Remove are told of machines that begin to boot and that are deleted.
	Launch func(m *Machine)
	Remove func(m *Machine)
	// Wrong is told of requests that no controller may send; nil: nobody is.
	Wrong func(what string)
}

// NewCloud makes a cloud without machines.
func NewCloud(queue *EventQueue) *Cloud {
	return &Cloud{queue: queue, byName: map[string]*Machine{}, launchedByRequest: map[string][]string{}}
}

// Create makes a machine that begins to boot now.
func (c *Cloud) Create(pool Pool) *Machine {
	id := c.Name(len(c.machines) + 1)
	m := &Machine{ID: id, Addr: c.Addr(id), Pool: pool, Rented: c.queue.Now()}
	c.machines = append(c.machines, m)
	c.byName[id] = m
	if c.Left != nil {
		c.Left[pool]--
	}
	return m
}

// Machine finds a machine by its name, or nil.
func (c *Cloud) Machine(id string) *Machine { return c.byName[id] }

// Fail notes that a machine has stopped on its own.
func (c *Cloud) Fail(id string) {
	if m := c.byName[id]; m != nil && !m.Deleted && m.Failed == 0 {
		m.Failed = c.queue.Now()
		c.releaseCapacity(m)
	}
}

func (c *Cloud) releaseCapacity(m *Machine) {
	if c.Left != nil {
		c.Left[m.Pool]++
	}
}

// Serve answers one call.
func (c *Cloud) Serve(method, target string, body []byte) (int, []byte) {
	if c.Down {
		return statusUnavailable, protocol.Encode(map[string]any{"error": "trouble"})
	}
	if c.Rate > 0 && !c.requestBudget.allowBurst(c.queue.Now(), c.Rate, burstSeconds*c.Rate, 1) {
		return statusTooMany, nil
	}
	path, query, _ := strings.Cut(target, "?")
	switch {
	case path == "/flavors":
		return 200, protocol.Encode(protocol.MachineTypes{Types: c.Types})
	case path == "/machines" && method == "POST":
		return c.launchMachines(body)
	case path == "/machines":
		values, err := url.ParseQuery(query)
		if err != nil {
			return 400, nil
		}
		return 200, protocol.Encode(c.list(values))
	case path == "/machines/delete":
		return c.deleteMachines(body)
	}
	c.reportViolation(method + " " + target)
	return 400, nil
}

func (c *Cloud) reportViolation(what string) {
	if c.Wrong != nil {
		c.Wrong("cloud: " + what)
	}
}

func (c *Cloud) launchMachines(body []byte) (int, []byte) {
	var request protocol.LaunchRequest
	if err := protocol.Decode(body, &request); err != nil || request.Count < 1 || request.Count > maxLaunched {
		c.reportViolation("a rental can't be read or asks for too many")
		return 400, nil
	}
	pool := Pool{request.Type, request.Zone, request.Spot}
	if c.launchedByRequest[request.Request] == nil {
		count := request.Count
		if c.Left != nil {
			count = min(count, c.Left[pool])
		}
		if c.Full || count <= 0 {
			return statusUnavailable, protocol.Encode(map[string]any{"error": "no capacity"})
		}
		for range count {
			m := c.Create(pool)
			c.launchedByRequest[request.Request] = append(c.launchedByRequest[request.Request], m.ID)
			c.Launch(m)
			c.queue.After(c.BootTime(m.Type), func() { m.Up = true })
		}
	}
	return 200, protocol.Encode(protocol.MachineNames{Machines: c.launchedByRequest[request.Request]})
}

func (c *Cloud) list(values url.Values) protocol.MachineList {
	limit, _ := strconv.Atoi(values.Get("limit"))
	if limit <= 0 || limit > maxListed {
		limit = maxListed
	}
	after := values.Get("after")
	now := c.queue.Now()
	first, _ := slices.BinarySearchFunc(c.machines, after, func(m *Machine, name string) int { return strings.Compare(m.ID, name) })
	out := protocol.MachineList{}
	for _, m := range c.machines[first:] {
		if m.ID <= after || m.Deleted || now < m.Rented+c.Lag {
			continue
		}
		if len(out.Machines) == limit {
			out.More = true
			break
		}
		state := "booting"
		switch {
		case m.Failed > 0 && now > m.Failed+failureListingDelay:
			state = "failed"
		case m.Up:
			state = "running"
		}
		out.Machines = append(out.Machines, protocol.ListedMachine{ID: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone,
			Spot: m.Spot, State: state, AgeS: (now - m.Rented).Seconds()})
	}
	return out
}

func (c *Cloud) deleteMachines(body []byte) (int, []byte) {
	var request protocol.MachineNames
	if err := protocol.Decode(body, &request); err != nil || len(request.Machines) > maxDeleted {
		c.reportViolation("a deletion can't be read or names too many")
		return 400, nil
	}
	for _, id := range request.Machines {
		c.Deleted = append(c.Deleted, id)
		m := c.byName[id]
		if m == nil || m.Deleted {
			continue
		}
		if m.Failed == 0 {
			c.releaseCapacity(m)
		}
		m.Deleted = true
		c.Remove(m)
	}
	return 200, nil
}
