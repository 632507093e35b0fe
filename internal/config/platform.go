package config

// Settings holds the contents of the platform's file. Unknown fields are ignored.
type Settings struct {
	// Label is the name of this controller, and Zone the zone in which it runs.
	Label string `json:"label"`
	Zone  string `json:"zone"`
	// ClientListen is the listen address for users, workers and the load balancer, and PeerListen the
	// listen address for other controllers (host:port).
	ClientListen string `json:"client_listen"`
	PeerListen   string `json:"peer_listen"`
	// Siblings are the other controllers.
	Siblings []Peer `json:"siblings"`
	// Services are the addresses of the cloud and the state service (host:port).
	Services struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"services"`
	Cluster struct {
		Size         int         `json:"size"`
		Zones        []string    `json:"zones"`
		Teams        []Team      `json:"teams"`
		Objectives   []Objective `json:"objectives"`
		Workers      Workers     `json:"workers"`
		State        State       `json:"state"`
		Cloud        Cloud       `json:"cloud"`
		Resources    Resources   `json:"resources"`
		ClockErrorMS float64     `json:"clock_error_ms"`
	} `json:"cluster"`
}

// Peer is another controller.
type Peer struct {
	Label string `json:"label"`
	Zone  string `json:"zone"`
	Addr  string `json:"peer_addr"`
}

// Team is a team with its quota. Cores and Accelerators are its guarantees; 0: no guarantee. CoresMax and
// AcceleratorsMax are its limits; 0: no limit.
type Team struct {
	Name            string  `json:"name"`
	Cores           float64 `json:"cpus"`
	CoresMax        float64 `json:"cpus_max"`
	Accelerators    float64 `json:"gpus"`
	AcceleratorsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective for users, which a share of the jobs of a class must meet.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Times   float64 `json:"times"` // multiple of a job's own deadline
	Share   float64 `json:"share"`
}

// Workers holds the timing of workers, in seconds.
type Workers struct {
	// HeartbeatS is the time between two heartbeats.
	HeartbeatS float64 `json:"report_s"`
	// LeaseS is how long a worker keeps running tasks without an answer to its heartbeats.
	LeaseS float64 `json:"lease_s"`
	// CancelS is the maximum time for the tasks of a cancelled job to end.
	CancelS float64 `json:"cancel_s"`
	// GangPeerS is how long the tasks of a gang wait for each other when they stop.
	GangPeerS float64 `json:"gang_peer_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `json:"rps"`       // requests per second
	WriteRPS float64 `json:"write_rps"` // changes per second
	ValueKB  float64 `json:"value_kb"`  // maximum size of a value, in KiB
	TxnOps   int     `json:"txn_ops"`   // maximum number of changes in a transaction
	// Next holds limits that will take effect at an unknown time, without notice.
	Next *NextState `json:"next"`
}

// NextState holds future limits of the state service; 0: the limit does not change.
type NextState struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// EffectiveLimits returns the lower of each current and future limit. The program respects both from the start,
// so that the time of the change does not matter.
func (s State) EffectiveLimits() State {
	next := s.Next
	if next == nil {
		return s
	}
	s.RPS = lowerOfLimits(s.RPS, next.RPS)
	s.WriteRPS = lowerOfLimits(s.WriteRPS, next.WriteRPS)
	s.ValueKB = lowerOfLimits(s.ValueKB, next.ValueKB)
	s.TxnOps = int(lowerOfLimits(float64(s.TxnOps), float64(next.TxnOps)))
	return s
}

func lowerOfLimits(now, next float64) float64 {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// Cloud holds the limits of the cloud's API.
type Cloud struct {
	RPS float64 `json:"rps"` // requests per second
	// ListLagS is the usual lag of the list of machines, in seconds.
	ListLagS float64 `json:"list_lag_s"`
}

// Resources holds the resource limits of this process.
type Resources struct {
	Cores float64 `json:"cores"`
	MemMB float64 `json:"mem_mb"`   // MiB
	FDs   int     `json:"fd_limit"` // maximum number of open sockets and files
}
