package controller

// The components of a leadership reference one another through their first fields. Some references are mutual, so they
// are set here, after all components have been created.

// wire sets the references between the components of a leadership.
func (l *leadership) wire() {
	l.wireLifecycle()
	l.wireRecords()
	l.wireHeartbeats()
	l.wireMachines()
	l.wireWork()
	l.wirePlacement()
	l.wireScaling()
}

// wireLifecycle wires the components that load, maintain and trace a leadership.
func (l *leadership) wireLifecycle() {
	lease := l.lease
	lease.controller = l.controller
	lease.env = l.controller.env
	lease.outbox = l.controller.outbox

	authority := l.authority
	authority.env = l.controller.env
	authority.lease = l.lease
	authority.loader = l.loader

	loader := l.loader
	loader.attempts = l.attempts
	loader.completions = l.completions
	loader.env = l.controller.env
	loader.forecast = l.forecast
	loader.featureGate = l.featureGate
	loader.jobs = l.jobs
	loader.lease = l.lease
	loader.machines = l.machines
	loader.outbox = l.controller.outbox
	loader.placement = l.placement
	loader.state = l.state
	loader.store = l.store
	loader.timers = l.timers
	loader.trace = l.trace
	loader.views = l.views

	trace := l.trace
	trace.env = l.controller.env
	trace.loader = l.loader
	trace.state = l.state

	featureGate := l.featureGate
	featureGate.completions = l.completions
	featureGate.env = l.controller.env
	featureGate.authority = l.authority
	featureGate.lease = l.lease
	featureGate.store = l.store
}

// wireRecords wires the components that record attempt numbers, completions and attained service.
func (l *leadership) wireRecords() {
	completions := l.completions
	completions.env = l.controller.env
	completions.lease = l.lease
	completions.machines = l.machines
	completions.state = l.state
	completions.store = l.store

	attemptNumbers := l.attemptNumbers
	attemptNumbers.lease = l.lease
	attemptNumbers.tokens = l.tokens

	tokens := l.tokens
	tokens.attemptNumbers = l.attemptNumbers
	tokens.env = l.controller.env
	tokens.lease = l.lease
	tokens.placement = l.placement
	tokens.store = l.store

	accounting := l.accounting
	accounting.env = l.controller.env
	accounting.state = l.state
	accounting.store = l.store
	accounting.views = l.views
}

// wireHeartbeats wires the components that exchange heartbeats and commands with the workers.
func (l *leadership) wireHeartbeats() {
	heartbeats := l.heartbeats
	heartbeats.attemptNumbers = l.attemptNumbers
	heartbeats.attempts = l.attempts
	heartbeats.authority = l.authority
	heartbeats.completions = l.completions
	heartbeats.controller = l.controller
	heartbeats.env = l.controller.env
	heartbeats.failures = l.failures
	heartbeats.follower = l.controller.follower
	heartbeats.jobs = l.jobs
	heartbeats.lease = l.lease
	heartbeats.machines = l.machines
	heartbeats.outbox = l.controller.outbox
	heartbeats.placement = l.placement
	heartbeats.pool = l.pool
	heartbeats.state = l.state
	heartbeats.store = l.store
	heartbeats.tokens = l.tokens

	router := l.router
	router.detection = l.controller.detection
	router.env = l.controller.env
	router.lease = l.lease
	router.peers = l.peers

	dispatcher := l.dispatcher
	dispatcher.env = l.controller.env
	dispatcher.heartbeats = l.heartbeats
	dispatcher.authority = l.authority
	dispatcher.lease = l.lease
	dispatcher.outbox = l.controller.outbox
	dispatcher.reachability = l.reachability
	dispatcher.state = l.state
	dispatcher.tokens = l.tokens
	dispatcher.trace = l.trace

	reachability := l.reachability
	reachability.detection = l.controller.detection
	reachability.election = l.controller.election
	reachability.env = l.controller.env
}

// wireMachines wires the components that track machines and zone partitions.
func (l *leadership) wireMachines() {
	health := l.health
	health.attempts = l.attempts
	health.dispatcher = l.dispatcher
	health.env = l.controller.env
	health.heartbeats = l.heartbeats
	health.lease = l.lease
	health.machines = l.machines
	health.partitions = l.partitions
	health.peers = l.peers
	health.pool = l.pool
	health.quarantine = l.quarantine
	health.state = l.state

	machines := l.machines
	machines.attempts = l.attempts
	machines.catalog = l.controller.catalog
	machines.env = l.controller.env
	machines.pool = l.pool
	machines.state = l.state
	machines.store = l.store

	partitions := l.partitions
	partitions.env = l.controller.env
	partitions.lease = l.lease
	partitions.peers = l.peers
	partitions.state = l.state
}

// wireWork wires the components that handle attempts, their failures, jobs and users' requests.
func (l *leadership) wireWork() {
	attempts := l.attempts
	attempts.authority = l.authority
	attempts.completions = l.completions
	attempts.dispatcher = l.dispatcher
	attempts.env = l.controller.env
	attempts.jobs = l.jobs
	attempts.machines = l.machines
	attempts.placement = l.placement
	attempts.state = l.state

	failures := l.failures
	failures.catalog = l.controller.catalog
	failures.env = l.controller.env
	failures.quarantine = l.quarantine
	failures.state = l.state
	failures.timers = l.timers
	failures.views = l.views

	quarantine := l.quarantine
	quarantine.env = l.controller.env
	quarantine.placement = l.placement
	quarantine.state = l.state

	jobs := l.jobs
	jobs.completions = l.completions
	jobs.env = l.controller.env
	jobs.failures = l.failures
	jobs.state = l.state
	jobs.store = l.store
	jobs.userRequests = l.userRequests

	userRequests := l.userRequests
	userRequests.attempts = l.attempts
	userRequests.authority = l.authority
	userRequests.catalog = l.controller.catalog
	userRequests.env = l.controller.env
	userRequests.failures = l.failures
	userRequests.forecast = l.forecast
	userRequests.jobs = l.jobs
	userRequests.machines = l.machines
	userRequests.outbox = l.controller.outbox
	userRequests.pending = l.controller.pending
	userRequests.placement = l.placement
	userRequests.state = l.state
	userRequests.store = l.store
}

// wirePlacement wires the task scheduler, its views and its cache.
func (l *leadership) wirePlacement() {
	placement := l.placement
	placement.accounting = l.accounting
	placement.attemptNumbers = l.attemptNumbers
	placement.attempts = l.attempts
	placement.cache = l.cache
	placement.catalog = l.controller.catalog
	placement.consolidator = l.consolidator
	placement.dispatcher = l.dispatcher
	placement.env = l.controller.env
	placement.failures = l.failures
	placement.forecast = l.forecast
	placement.health = l.health
	placement.authority = l.authority
	placement.machines = l.machines
	placement.partitions = l.partitions
	placement.scaler = l.scaler
	placement.state = l.state
	placement.summary = l.summary
	placement.userRequests = l.userRequests

	views := l.views
	views.catalog = l.controller.catalog
	views.env = l.controller.env
	views.forecast = l.forecast
	views.partitions = l.partitions
	views.placement = l.placement
	views.state = l.state

	cache := l.cache
	cache.catalog = l.controller.catalog
	cache.env = l.controller.env
	cache.health = l.health
	cache.placement = l.placement
	cache.machines = l.machines
	cache.state = l.state
	cache.views = l.views
}

// wireScaling wires the components that scale and summarize the fleet.
func (l *leadership) wireScaling() {
	forecast := l.forecast
	forecast.catalog = l.controller.catalog
	forecast.env = l.controller.env
	forecast.health = l.health
	forecast.machines = l.machines
	forecast.views = l.views

	scaler := l.scaler
	scaler.cache = l.cache
	scaler.catalog = l.controller.catalog
	scaler.env = l.controller.env
	scaler.forecast = l.forecast
	scaler.health = l.health
	scaler.authority = l.authority
	scaler.lease = l.lease
	scaler.machines = l.machines
	scaler.outbox = l.controller.outbox
	scaler.partitions = l.partitions
	scaler.pool = l.pool
	scaler.quarantine = l.quarantine
	scaler.reachability = l.reachability
	scaler.state = l.state

	consolidator := l.consolidator
	consolidator.attempts = l.attempts
	consolidator.cache = l.cache
	consolidator.catalog = l.controller.catalog
	consolidator.env = l.controller.env
	consolidator.forecast = l.forecast
	consolidator.authority = l.authority
	consolidator.partitions = l.partitions
	consolidator.pool = l.pool
	consolidator.state = l.state

	summary := l.summary
	summary.env = l.controller.env
	summary.health = l.health
	summary.pool = l.pool
	summary.state = l.state
	summary.store = l.store
}
