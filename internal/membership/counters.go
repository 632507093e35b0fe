package membership

// Counters are the totals since the detector was made.
type Counters struct {
	Probes        uint64 // probes begun, those for other members included
	Replies       uint64 // replies of targets and helpers, those to heartbeats included
	ProbeFailures uint64 // probes of our own without any ack in time

	IndirectProbes uint64 // indirect probes requested
	IndirectAcks   uint64 // indirect probes that reached their target

	Suspicions  uint64 // changes to suspect
	Deaths      uint64 // changes to dead
	Refutations uint64 // claims against ourselves that we refuted

	// FalseSuspicions and FalseDeaths count the members that came back without a restart: they
	// had been alive all the time.
	FalseSuspicions, FalseDeaths uint64

	Pauses          uint64 // pauses of this process
	DroppedMessages uint64 // messages not taken

	BytesSent, BytesReceived uint64 // bodies of probes and replies

	ProbesForPeers uint64 // probes for other members
}
