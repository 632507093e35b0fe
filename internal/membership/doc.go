// Package membership is the failure detector between controllers. It is a deterministic state
// machine: messages and clock readings go in, actions come out. It starts no goroutine and does no
// I/O, and its random numbers are injected, so that a failure replays from its seed.
//
// # Protocol
//
// It follows SWIM with the additions of Lifeguard (Dadgar, Phillips, Currey 2018):
//
//   - Each member probes its peers. Without an ack in time, other members are asked to probe the
//     same peer (indirect probes), and answer with an ack or a nack.
//   - A peer that nobody reaches is suspected. A suspect that has not refuted by a later
//     incarnation when the suspicion times out is dead. Other members' confirmations shorten the
//     timeout.
//   - An observer that was slow itself trusts its own silence less: its local health stretches its
//     timeouts.
//   - Probes and replies carry claims about the members that are not alive (gossip).
//
// Unlike in SWIM, a peer's claim about a third member changes no state. It only hastens our own
// probe and shortens the timeout of our own suspicion, so that one bad link or one bad observer
// makes nobody suspect. Groups are small enough (two dozen) for every member to probe every other.
//
// # States
//
//	from            event                                               to
//	alive           failed probe, and no indirect ack                   suspect
//	suspect         ack, direct or indirect, of a request sent since    alive
//	suspect         later incarnation: refutation, or a new process     alive
//	suspect         suspicion timed out                                 dead
//	alive, suspect  the member claims that it leaves                    left
//	dead, left      later incarnation: refutation, or a new process     alive
//	dead, left      ack of a heartbeat (peers that know no probes)      alive
//
// Alive and suspect members keep their machines; dead ones and those that left do not. One that
// comes back serves machines again only after Settings.Steady.
//
// # Limits
//
// The detector's states decide nothing about leadership or fencing. Who leads is decided by the leader
// key and its lease in the state service alone; see docs/failure-detection.md.
package membership
