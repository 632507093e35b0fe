package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// flavour is a machine type.
type flavour struct {
	Name         string   `msgpack:"name"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	RAMGB        float64  `msgpack:"ramGb"`
	LocalGB      float64  `msgpack:"localGb"`
	PullGBPerS   float64  `msgpack:"pullGbPerS"`
	Rate         float64  `msgpack:"rate"`
	LowPrice     float64  `msgpack:"lowPrice"`
	StartupS     float64  `msgpack:"startupS"`
	Yards        []string `msgpack:"yards"`
}

// machine is a rented machine.
type machine struct {
	uid, addr, flavour, yard string
	borrowed                 bool
	hiredAt                  time.Time
	up                       bool
	gone                     bool
}

// cloud is a stand-in of the cloud's interface.
type cloud struct {
	rps      float64
	lag      time.Duration
	flavours []flavour
	capacity map[string]int // further machines by flavour and yard; a missing key means none
	bootTime time.Duration
	boot     func(m *machine, f flavour) // starts the machine's worker and sets its address
	record   *recorder

	mu       sync.Mutex
	machines []*machine
	hires    map[string][]string
	requests bucket
	onGone   func(m *machine)
}

func newCloud(rps float64, lag time.Duration, flavours []flavour, record *recorder) *cloud {
	return &cloud{rps: rps, lag: lag, flavours: flavours, capacity: map[string]int{}, hires: map[string][]string{}, record: record}
}

func poolKey(flavour, yard string) string { return flavour + "@" + yard }

func (c *cloud) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := readAll(w, r)
		if !ok {
			return
		}
		time.Sleep(20 * time.Millisecond)
		status, answer := c.serve(r, body)
		reply(w, status, answer)
	})
}

func (c *cloud) serve(r *http.Request, body []byte) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.take(c.rps, 1) {
		return http.StatusTooManyRequests, nil
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		return http.StatusOK, map[string]any{"flavours": c.flavours}
	case "POST /machines":
		return c.hire(body)
	case "POST /machines/delete":
		return c.remove(body)
	case "GET /machines":
		return c.list(r)
	}
	return http.StatusBadRequest, nil
}

func (c *cloud) hire(body []byte) (int, any) {
	var request struct {
		Hire     string `msgpack:"hire"`
		Flavour  string `msgpack:"flavour"`
		Yard     string `msgpack:"yard"`
		Borrowed bool   `msgpack:"borrowed"`
		Number   int    `msgpack:"number"`
	}
	if msgpack.Unmarshal(body, &request) != nil || request.Number < 1 || request.Number > 50 {
		return http.StatusBadRequest, nil
	}
	if names, known := c.hires[request.Hire]; known {
		return http.StatusOK, map[string]any{"hosts": names}
	}
	key := poolKey(request.Flavour, request.Yard)
	number := min(request.Number, c.capacity[key])
	i := slices.IndexFunc(c.flavours, func(f flavour) bool { return f.Name == request.Flavour })
	if number < 1 || i < 0 || request.Borrowed {
		return http.StatusServiceUnavailable, map[string]any{"error": "no capacity"}
	}
	c.capacity[key] -= number
	var names []string
	for range number {
		names = append(names, c.add(c.flavours[i], request.Yard).uid)
	}
	c.hires[request.Hire] = names
	return http.StatusOK, map[string]any{"hosts": names}
}

// add rents a machine, whose worker starts when the boot time is over. The caller holds the lock.
func (c *cloud) add(f flavour, yard string) *machine {
	m := &machine{uid: fmt.Sprintf("i-%06d", len(c.machines)+1), flavour: f.Name, yard: yard, hiredAt: time.Now()}
	c.machines = append(c.machines, m)
	c.record.printf("cloud: rented %s (%s, %s)", m.uid, m.flavour, m.yard)
	time.AfterFunc(c.bootTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !m.gone {
			m.up = true
			c.boot(m, f)
			c.record.printf("cloud: %s is up", m.uid)
		}
	})
	return m
}

func (c *cloud) remove(body []byte) (int, any) {
	var request struct {
		Hosts []string `msgpack:"hosts"`
	}
	if msgpack.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
		return http.StatusBadRequest, nil
	}
	for _, m := range c.machines {
		if m.gone || !slices.Contains(request.Hosts, m.uid) {
			continue
		}
		m.gone = true
		c.capacity[poolKey(m.flavour, m.yard)]++
		c.record.printf("cloud: deleted %s", m.uid)
		if c.onGone != nil {
			c.onGone(m)
		}
	}
	return http.StatusOK, nil
}

func (c *cloud) list(r *http.Request) (int, any) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	hosts, more := []map[string]any{}, false
	for _, m := range c.machines {
		if m.uid <= query.Get("after") || m.gone || time.Since(m.hiredAt) < c.lag {
			continue
		}
		if len(hosts) == limit {
			more = true
			break
		}
		standing := "booting"
		if m.up {
			standing = "running"
		}
		hosts = append(hosts, map[string]any{"uid": m.uid, "addr": m.addr, "flavour": m.flavour, "yard": m.yard,
			"borrowed": m.borrowed, "standing": standing, "heldS": time.Since(m.hiredAt).Seconds()})
	}
	return http.StatusOK, map[string]any{"hosts": hosts, "more": more}
}
