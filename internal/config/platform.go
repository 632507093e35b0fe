package config

// Settings is the platform's file. Fields that it has and this program does not know are ignored.
type Settings struct {
	// Label is this controller's name, and Zone where it runs.
	Label string `json:"label"`
	Zone  string `json:"zone"`
	// ClientListen is the address for users, workers and the load balancer, PeerListen the one
	// for other controllers (host:port).
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

// Team is a team with its quota: Cores and Accelerators are guaranteed to it, CoresMax and
// AcceleratorsMax are the most that it may use. Zero: no guarantee, or no limit.
type Team struct {
	Name            string  `json:"name"`
	Cores           float64 `json:"cpus"`
	CoresMax        float64 `json:"cpus_max"`
	Accelerators    float64 `json:"gpus"`
	AcceleratorsMax float64 `json:"gpus_max"`
}

// Objective is one of the users' service-level objectives: a share of the jobs of a class meets
// it.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Times   float64 `json:"times"` // of a job's own deadline
	Share   float64 `json:"share"`
}

// Workers holds the workers' timing, in seconds.
type Workers struct {
	// HeartbeatS is the time between two heartbeats.
	HeartbeatS float64 `json:"report_s"`
	// LeaseS is how long a worker goes on without an answer.
	LeaseS float64 `json:"lease_s"`
	// CancelS is how long the tasks of a cancelled job may take to end.
	CancelS float64 `json:"cancel_s"`
	// GangPeerS is how long tasks of a gang wait for one another when they stop.
	GangPeerS float64 `json:"gang_peer_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `json:"rps"`       // requests per second
	WriteRPS float64 `json:"write_rps"` // changes per second
	ValueKB  float64 `json:"value_kb"`  // of one value, in KiB
	TxnOps   int     `json:"txn_ops"`   // changes in one transaction
	// Next are limits that will hold from some moment on, without notice.
	Next *NextState `json:"next"`
}

// NextState holds the state service's limits to come; 0: as now.
type NextState struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// EffectiveLimits returns the limits that hold now and later: the lower of each. The program keeps to them
// from the start, so that the moment of the change does not matter.
func (s State) EffectiveLimits() State {
	next := s.Next
	if next == nil {
		return s
	}
	s.RPS = lowerLimit(s.RPS, next.RPS)
	s.WriteRPS = lowerLimit(s.WriteRPS, next.WriteRPS)
	s.ValueKB = lowerLimit(s.ValueKB, next.ValueKB)
	s.TxnOps = int(lowerLimit(float64(s.TxnOps), float64(next.TxnOps)))
	return s
}

func lowerLimit(now, next float64) float64 {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS float64 `json:"rps"` // requests per second
	// ListLagS is by how many seconds the list of machines usually lags behind.
	ListLagS float64 `json:"list_lag_s"`
}

// Resources holds what this process may use.
type Resources struct {
	Cores float64 `json:"cores"`
	MemMB float64 `json:"mem_mb"`   // MiB
	FDs   int     `json:"fd_limit"` // open sockets and files
}
