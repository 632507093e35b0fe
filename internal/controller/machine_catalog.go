package controller

import (
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// machineCatalog knows the cloud's machine types, with their current prices.
type machineCatalog struct {
	env    *environment
	outbox *outbox

	types          []*scheduler.Type
	typeInfo       map[string]protocol.MachineType
	typesRefreshAt time.Duration
	typesInFlight  bool
	// typesGeneration counts the lists of machine types.
	typesGeneration int
	// warnedOfFetch are the classes whose fetches are known to take longer than their tasks may wait.
	warnedOfFetch map[string]bool
}
