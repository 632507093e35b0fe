package controller

// failoverPreparer prepares a follower to succeed a suspected leader: it acquires a lease and preloads the
// stored records ahead of the election.
type failoverPreparer struct {
	controller *Controller
	detection  *failureDetection
	election   *election
	env        *environment
	outbox     *outbox

	preparation failoverPreparation
}
