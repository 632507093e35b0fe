package protocol

import "github.com/vmihailenco/msgpack/v5"

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key     string             `msgpack:"k"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`  // revision of the key's last change
	Lease   uint64             `msgpack:"tenure"` // lease that the key expires with; 0: none
}

// KeyValuePage is one page of keys.
type KeyValuePage struct {
	Items    []KeyValue `msgpack:"items"`
	More     bool       `msgpack:"more"`   // there is another page
	Revision uint64     `msgpack:"ledger"` // revision of the whole store when the page was read
}

// Condition is one comparison of a compare-and-swap: it holds if the key has this version. Version 0 requires
// that the key does not exist.
type Condition struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"stamp"`
}

// Change is one change of a transaction: a put if Put is set, or a deletion if Delete is set.
type Change struct {
	Put    string `msgpack:"put,omitempty"`
	Value  any    `msgpack:"data,omitempty"`
	Lease  uint64 `msgpack:"tenure,omitempty"` // lease that the key expires with; 0: none
	Delete string `msgpack:"delete,omitempty"`
}

// Transaction is a compare-and-swap of several keys: all changes are applied if all conditions hold, otherwise
// none.
type Transaction struct {
	If   []Condition `msgpack:"if"`
	Then []Change    `msgpack:"apply"`
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"` // keys whose conditions did not hold
}

// LeaseRequest asks the state service to grant a lease. LeaseReply answers it.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"lifeMs"`
}

// LeaseReply holds the ID of the new lease.
type LeaseReply struct {
	Lease uint64 `msgpack:"tenure"`
}

// WatchEvent is one change that a watch observed: a put if Put is set, or a deletion if Delete is set.
type WatchEvent struct {
	Put     string             `msgpack:"put"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"delete"`
	Version uint64             `msgpack:"stamp"`
}

// WatchReply answers a watch request.
type WatchReply struct {
	Revision uint64       `msgpack:"ledger"` // revision from which the next watch request continues
	Events   []WatchEvent `msgpack:"news"`
}
