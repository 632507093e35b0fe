package membership

// Counters holds the totals since the detector was created.
type Counters struct {
	Probes        uint64 // probes started, including probes for other members
	Replies       uint64 // replies from targets and helpers, including replies to heartbeats
	ProbeFailures uint64 // own probes that received neither a direct nor an indirect ack in time

	IndirectProbes uint64 // indirect probes requested
	IndirectAcks   uint64 // indirect probes that reached their target

	Suspicions  uint64 // changes to suspect
	Deaths      uint64 // changes to dead
	Refutations uint64 // claims against this controller that it refuted

	// FalseSuspicions and FalseDeaths count the suspect and dead members that became alive again without a
	// restart: their processes had never stopped.
	FalseSuspicions, FalseDeaths uint64

	Pauses          uint64 // detected pauses of this process
	DroppedMessages uint64 // probes and replies that were dropped

	BytesSent, BytesReceived uint64 // body bytes of probes and replies

	ProbesForPeers uint64 // probes for other members
}
