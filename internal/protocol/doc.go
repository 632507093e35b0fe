// Package protocol defines the messages on the wire, their encodings and the validation of submissions.
// Messages of users, workers, the cloud and the state service are encoded as MessagePack, and messages
// between controllers as CBOR.
//
// Many names on the wire differ from the usual terms (docs/design.md lists them). They appear only in struct
// tags and in the constants of submission.go; all other code uses the usual terms.
// Durations on the wire are seconds as floating-point numbers in fields that end in S, and
// milliseconds as integers in fields that end in MS or Millis. Sizes are GB.
package protocol
