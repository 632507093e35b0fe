package protocol

// ForwardedRequest is a request of a user or a worker that a controller forwards to the leader.
type ForwardedRequest struct {
	// Operation is the operation (controller.Op).
	Operation string `cbor:"1,keyasint"`
	// UID is the job that the request names, if any.
	UID  string `cbor:"2,keyasint,omitempty"`
	Body []byte `cbor:"3,keyasint,omitempty"`
	// From is the label of the controller that forwards a worker's heartbeat.
	From string `cbor:"4,keyasint,omitempty"`
	// To is the label of a leader that the sender can't reach: the receiver forwards the request
	// there, once. Versions that don't know this field refuse, as they do not lead.
	To string `cbor:"5,keyasint,omitempty"`
}

// ForwardedReply is the leader's answer to a forwarded request.
type ForwardedReply struct {
	Status     int    `cbor:"1,keyasint"` // of HTTP
	Body       []byte `cbor:"2,keyasint,omitempty"`
	RetryAfter int    `cbor:"3,keyasint,omitempty"` // seconds; 0: none
}

// PeerHeartbeat keeps a controller in touch with the leader.
type PeerHeartbeat struct {
	From string `cbor:"1,keyasint"`
	// Incarnation differs between two processes of the same label.
	Incarnation string `cbor:"2,keyasint"`
	// Token is the highest fencing token that the sender knows, and LeaderClock the reading in
	// the leader's last answer under that token.
	Token       uint64 `cbor:"3,keyasint,omitempty"`
	LeaderClock uint64 `cbor:"4,keyasint,omitempty"`
	// ServedMS is how many milliseconds ago the sender last answered a worker for the leader; -1:
	// never.
	ServedMS int64 `cbor:"5,keyasint"`
	// UptimeMS is how many milliseconds the sender's process has run.
	UptimeMS int64 `cbor:"6,keyasint,omitempty"`
	// Versions is nil from versions that have no feature gate.
	Versions *VersionStatement `cbor:"7,keyasint,omitempty"`
}

// VersionStatement says which forms of stored records a controller reads and writes, the highest
// of each, and whether its operators hold the feature gate closed.
type VersionStatement struct {
	Reads  uint64 `cbor:"1,keyasint"`
	Writes uint64 `cbor:"2,keyasint,omitempty"`
	Hold   bool   `cbor:"3,keyasint,omitempty"`
}

// PeerHeartbeatReply says who leads.
type PeerHeartbeatReply struct {
	Leader string `cbor:"1,keyasint,omitempty"`
	Token  uint64 `cbor:"2,keyasint,omitempty"`
	// LeaderClock is a reading of the leader's clock, in the leader's own answer only.
	LeaderClock uint64 `cbor:"3,keyasint,omitempty"`
	// Versions is the answering controller's.
	Versions *VersionStatement `cbor:"4,keyasint,omitempty"`
}
