// Package protocol defines the messages on the wire and their encodings: those of users, workers,
// the cloud and the state service (MessagePack), those between controllers (CBOR), and the
// validation of submissions.
//
// The protocol has names of its own for many things (docs/design.md lists them). They appear in
// struct tags and in the constants of submission.go alone; everything else uses the usual terms.
// Durations on the wire are seconds as floating-point numbers in fields that end in S, and
// milliseconds as integers in fields that end in MS or Millis. Sizes are GB.
package protocol
