// Package membership implements the failure detector between controllers. It is a deterministic state
// machine that takes messages and clock readings and returns actions. It starts no goroutine, does no
// I/O, and has its random source injected, so that a failure can be replayed from its seed.
//
// # Protocol
//
// The protocol is SWIM with the Lifeguard extensions (Dadgar, Phillips, Currey 2018):
//
//   - Each member probes its peers. If a peer does not ack in time, the member asks other members
//     (helpers) to probe the peer (indirect probes). A helper answers with an ack or a nack.
//   - A peer that neither the member nor its helpers can reach becomes suspect. A suspect that has not
//     acked, or refuted the suspicion with a later incarnation, when the suspicion times out is dead.
//     Confirmations by other members shorten the timeout.
//   - A member that shows signs of being slow or cut off itself raises its local health score, which
//     lengthens its timeouts.
//   - Probes and replies carry claims about the members that are not alive (gossip).
//
// Unlike in SWIM, a claim about a third member changes no state at the receiver. It only causes an early
// probe and shortens the timeout of an existing suspicion, so that a single bad link or a single bad
// observer makes no member suspect. Groups are small (about two dozen members), so every member can
// probe every other member.
//
// # States
//
//	from            event                                               to
//	alive           failed probe, and no indirect ack                   suspect
//	suspect         direct or indirect ack of a later request           alive
//	suspect         later incarnation: refutation, or a new process     alive
//	suspect         suspicion timed out                                 dead
//	alive, suspect  the member claims that it leaves                    left
//	dead, left      later incarnation: refutation, or a new process     alive
//	dead, left      ack of a heartbeat (peers without probe support)    alive
//
// Alive and suspect members keep their machines; dead members and members that left do not. A member that
// rejoins serves machines again only after Settings.RejoinDelay.
//
// # Limits
//
// The states of the detector have no influence on leadership or fencing. The leader key and its lease in
// the state service alone decide which controller is the leader; see docs/failure-detection.md.
package membership
