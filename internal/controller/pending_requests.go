package controller

// pendingTable holds the requesters whose answer needs something that is under way. Each is answered by its
// deadline at the latest.
type pendingTable struct {
	env    *environment
	outbox *outbox

	pendingRequests map[uint64]*pendingRequest
}
