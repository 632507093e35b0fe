package controller

// The components of a leadership work with one another: each names those that it needs as its fields, and
// they are connected here, once all of them are there.

// wire gives each component of a leadership those that it works with.
func (l *leadership) wire() {
	l.wireRecords()
	l.wireHeartbeats()
	l.wireWork()
	l.wireScheduling()
}

// wireRecords wires what is stored and how a leadership begins.
func (l *leadership) wireRecords() {
	c, env, outbox := l.controller, l.controller.env, l.controller.outbox

	l.lease.controller, l.lease.env, l.lease.outbox = c, env, outbox

	l.loader.attempts, l.loader.completions, l.loader.env, l.loader.forecast = l.attempts, l.completions, env, l.forecast
	l.loader.gating, l.loader.jobs, l.loader.lease, l.loader.machines = l.gating, l.jobs, l.lease, l.machines
	l.loader.outbox, l.loader.placement, l.loader.state, l.loader.store = outbox, l.placement, l.state, l.store
	l.loader.timers, l.loader.trace, l.loader.views = l.timers, l.trace, l.views

	l.trace.env, l.trace.loader, l.trace.state = env, l.loader, l.state

	l.gating.completions, l.gating.env, l.gating.lease, l.gating.store = l.completions, env, l.lease, l.store

	l.completions.env, l.completions.lease, l.completions.machines, l.completions.state = env, l.lease, l.machines, l.state
	l.completions.store = l.store

	l.attemptNumbers.env, l.attemptNumbers.lease, l.attemptNumbers.placement, l.attemptNumbers.store = env, l.lease, l.placement, l.store

	l.accounting.env, l.accounting.state, l.accounting.store, l.accounting.views = env, l.state, l.store, l.views
}

// wireHeartbeats wires what the workers tell and are told.
func (l *leadership) wireHeartbeats() {
	c, env, outbox := l.controller, l.controller.env, l.controller.outbox

	l.heartbeats.attempts, l.heartbeats.completions, l.heartbeats.controller, l.heartbeats.env = l.attempts, l.completions, c, env
	l.heartbeats.failures, l.heartbeats.follower, l.heartbeats.jobs, l.heartbeats.lease = l.failures, c.follower, l.jobs, l.lease
	l.heartbeats.loader, l.heartbeats.machines, l.heartbeats.outbox, l.heartbeats.placement = l.loader, l.machines, outbox, l.placement
	l.heartbeats.pool, l.heartbeats.state, l.heartbeats.store = l.pool, l.state, l.store

	l.router.detection, l.router.env, l.router.lease, l.router.peers = c.detection, env, l.lease, l.peers

	l.dispatcher.env, l.dispatcher.heartbeats, l.dispatcher.lease, l.dispatcher.loader = env, l.heartbeats, l.lease, l.loader
	l.dispatcher.outbox, l.dispatcher.reach, l.dispatcher.state, l.dispatcher.trace = outbox, l.reach, l.state, l.trace

	l.reach.detection, l.reach.election, l.reach.env = c.detection, c.election, env

	l.health.attempts, l.health.dispatcher, l.health.env, l.health.heartbeats = l.attempts, l.dispatcher, env, l.heartbeats
	l.health.lease, l.health.machines, l.health.partitions, l.health.peers = l.lease, l.machines, l.partitions, l.peers
	l.health.pool, l.health.state = l.pool, l.state

	l.machines.attempts, l.machines.catalog, l.machines.env, l.machines.pool = l.attempts, c.catalog, env, l.pool
	l.machines.state, l.machines.store = l.state, l.store

	l.partitions.env, l.partitions.lease, l.partitions.peers, l.partitions.state = env, l.lease, l.peers, l.state
}

// wireWork wires jobs, attempts and their failures.
func (l *leadership) wireWork() {
	c, env, outbox := l.controller, l.controller.env, l.controller.outbox

	l.attempts.completions, l.attempts.dispatcher, l.attempts.env, l.attempts.jobs = l.completions, l.dispatcher, env, l.jobs
	l.attempts.machines, l.attempts.placement, l.attempts.state = l.machines, l.placement, l.state

	l.failures.catalog, l.failures.env, l.failures.state, l.failures.views = c.catalog, env, l.state, l.views

	l.jobs.completions, l.jobs.env, l.jobs.failures, l.jobs.state = l.completions, env, l.failures, l.state
	l.jobs.store, l.jobs.userRequests = l.store, l.userRequests

	l.userRequests.attempts, l.userRequests.catalog, l.userRequests.env, l.userRequests.forecast = l.attempts, c.catalog, env, l.forecast
	l.userRequests.jobs, l.userRequests.lease, l.userRequests.loader, l.userRequests.machines = l.jobs, l.lease, l.loader, l.machines
	l.userRequests.outbox, l.userRequests.pending, l.userRequests.placement, l.userRequests.state = outbox, c.pending, l.placement, l.state
	l.userRequests.store = l.store
}

// wireScheduling wires placement and scaling.
func (l *leadership) wireScheduling() {
	c, env, outbox := l.controller, l.controller.env, l.controller.outbox

	l.placement.accounting, l.placement.attemptNumbers, l.placement.attempts, l.placement.cache = l.accounting, l.attemptNumbers, l.attempts, l.cache
	l.placement.catalog, l.placement.consolidator, l.placement.dispatcher, l.placement.env = c.catalog, l.consolidator, l.dispatcher, env
	l.placement.failures, l.placement.forecast, l.placement.health, l.placement.lease = l.failures, l.forecast, l.health, l.lease
	l.placement.machines, l.placement.partitions, l.placement.scaler, l.placement.state = l.machines, l.partitions, l.scaler, l.state
	l.placement.summary, l.placement.userRequests = l.summary, l.userRequests

	l.views.catalog, l.views.env, l.views.forecast, l.views.partitions = c.catalog, env, l.forecast, l.partitions
	l.views.placement, l.views.state = l.placement, l.state

	l.cache.machines = l.machines
	l.cache.catalog, l.cache.env, l.cache.health, l.cache.placement = c.catalog, env, l.health, l.placement
	l.cache.state, l.cache.views = l.state, l.views

	l.forecast.catalog, l.forecast.env, l.forecast.health, l.forecast.machines = c.catalog, env, l.health, l.machines
	l.forecast.views = l.views

	l.scaler.cache, l.scaler.catalog, l.scaler.env, l.scaler.forecast = l.cache, c.catalog, env, l.forecast
	l.scaler.health, l.scaler.lease, l.scaler.machines, l.scaler.outbox = l.health, l.lease, l.machines, outbox
	l.scaler.partitions, l.scaler.pool, l.scaler.reach, l.scaler.state = l.partitions, l.pool, l.reach, l.state

	l.consolidator.attempts, l.consolidator.cache, l.consolidator.catalog, l.consolidator.env = l.attempts, l.cache, c.catalog, env
	l.consolidator.forecast, l.consolidator.lease, l.consolidator.partitions, l.consolidator.pool = l.forecast, l.lease, l.partitions, l.pool
	l.consolidator.state = l.state

	l.summary.env, l.summary.pool, l.summary.state, l.summary.store = env, l.pool, l.state, l.store
}
