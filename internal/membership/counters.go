package membership

// Counters are the totals since the detector was made.
type Counters struct {
	Probes   uint64 // probes begun, those for other members included
	Answers  uint64 // replies of targets and helpers, those to heartbeats included
	Failures uint64 // probes of our own without any ack in time

	WitnessesAsked   uint64 // indirect probes requested
	WitnessesReached uint64 // indirect probes that reached their target

	Suspicions  uint64 // changes to suspect
	Deaths      uint64 // changes to dead
	Refutations uint64 // claims against ourselves that we refuted

	// FalseSuspicions and FalseDeaths count the members that came back without a restart: they
	// had been alive all the time.
	FalseSuspicions, FalseDeaths uint64

	Stalls  uint64 // pauses of this process
	Dropped uint64 // messages not taken

	BytesSent, BytesReceived uint64 // bodies of probes and replies

	OnBehalf uint64 // probes for other members
}
