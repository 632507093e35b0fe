package protocol

// ForwardedRequest is a request of a user or a worker that a controller forwards to the leader.
type ForwardedRequest struct {
	// Operation is the name of the requested operation (a controller.Op).
	Operation string `cbor:"1,keyasint"`
	// UID is the ID of the job that the request is about, if any.
	UID  string `cbor:"2,keyasint,omitempty"`
	Body []byte `cbor:"3,keyasint,omitempty"`
	// From is the label of the forwarding controller, set for workers' heartbeats.
	From string `cbor:"4,keyasint,omitempty"`
	// To is the label of a leader that the sender cannot reach directly. The receiver relays the request to
	// that leader, in a single hop. A receiver whose version lacks this field rejects the request, because the
	// receiver is not the leader.
	To string `cbor:"5,keyasint,omitempty"`
}

// ForwardedReply is the leader's answer to a forwarded request.
type ForwardedReply struct {
	Status     int    `cbor:"1,keyasint"` // HTTP status
	Body       []byte `cbor:"2,keyasint,omitempty"`
	RetryAfter int    `cbor:"3,keyasint,omitempty"` // seconds; 0: none
}

// PeerHeartbeat is a controller's periodic heartbeat to the leader.
type PeerHeartbeat struct {
	From string `cbor:"1,keyasint"`
	// Incarnation differs between two processes of the same label.
	Incarnation string `cbor:"2,keyasint"`
	// Token is the highest fencing token that the sender has seen, and LeaderClock the clock reading in the
	// leader's last answer with that token.
	Token       uint64 `cbor:"3,keyasint,omitempty"`
	LeaderClock uint64 `cbor:"4,keyasint,omitempty"`
	// ServedMS is the time since the sender last answered a worker on behalf of the leader, in milliseconds;
	// -1: never.
	ServedMS int64 `cbor:"5,keyasint"`
	// UptimeMS is the uptime of the sender's process, in milliseconds.
	UptimeMS int64 `cbor:"6,keyasint,omitempty"`
	// Versions is nil if the sender's version has no feature gate.
	Versions *VersionStatement `cbor:"7,keyasint,omitempty"`
}

// VersionStatement states the highest format versions of stored records that a controller reads and writes, and
// whether its operators hold the feature gate closed.
type VersionStatement struct {
	Reads  uint64 `cbor:"1,keyasint"`
	Writes uint64 `cbor:"2,keyasint,omitempty"`
	Hold   bool   `cbor:"3,keyasint,omitempty"`
}

// PeerHeartbeatReply answers a PeerHeartbeat with the current leader.
type PeerHeartbeatReply struct {
	Leader string `cbor:"1,keyasint,omitempty"`
	Token  uint64 `cbor:"2,keyasint,omitempty"`
	// LeaderClock is a reading of the leader's clock; only the leader itself sets it.
	LeaderClock uint64 `cbor:"3,keyasint,omitempty"`
	// Versions is the statement of the answering controller.
	Versions *VersionStatement `cbor:"4,keyasint,omitempty"`
}
