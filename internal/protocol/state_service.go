package protocol

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key     string             `msgpack:"k"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`  // the revision of its last change
	Lease   uint64             `msgpack:"tenure"` // the lease that it ends with; 0: none
}

// KeyValuePage is one page of keys.
type KeyValuePage struct {
	Items    []KeyValue `msgpack:"items"`
	More     bool       `msgpack:"more"`   // there is another page
	Revision uint64     `msgpack:"ledger"` // of the whole store when the page was read
}

// Condition is one comparison of a compare-and-swap: the key has this version. Version 0: the key
// does not exist.
type Condition struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"stamp"`
}

// Change is one change of a transaction: a put if Put is set, and a deletion if Delete is.
type Change struct {
	Put    string `msgpack:"put,omitempty"`
	Value  any    `msgpack:"data,omitempty"`
	Lease  uint64 `msgpack:"tenure,omitempty"` // the lease that the key ends with; 0: none
	Delete string `msgpack:"delete,omitempty"`
}

// Transaction is a transaction: all its changes are applied if all its conditions hold, else none.
type Transaction struct {
	If   []Condition `msgpack:"if"`
	Then []Change    `msgpack:"apply"`
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"` // keys whose condition did not hold
}

// LeaseRequest opens a lease in the state service. LeaseReply answers it.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"lifeMs"`
}

// LeaseReply holds the new lease's ID.
type LeaseReply struct {
	Lease uint64 `msgpack:"tenure"`
}

// WatchEvent is one change that a watch has seen: a put if Put is set, and a deletion if Delete is.
type WatchEvent struct {
	Put     string             `msgpack:"put"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"delete"`
	Version uint64             `msgpack:"stamp"`
}

// WatchReply answers a watch.
type WatchReply struct {
	Revision uint64       `msgpack:"ledger"` // from where the next watch goes on
	Events   []WatchEvent `msgpack:"news"`
}
