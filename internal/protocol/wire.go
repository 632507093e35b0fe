// Package protocol holds what goes over the wire: the users', workers',
// cloud's and state service's messages (MessagePack), the controllers' own
// (CBOR), and the validation of submissions. The wire's words stay in tags.
package protocol

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the most that a request body or a response may hold.
const MaxBody = 64 << 10

// TaskState is a task's state as its worker reports it.
type TaskState string

// States of tasks on workers.
const (
	FetchingImage  TaskState = "pulling"
	WaitingForGang TaskState = "gathering" // of a gang: waits for the other tasks of its attempt
	Running        TaskState = "running"
	Saving         TaskState = "saving"
	Exited         TaskState = "exited"
)

// ExitCause is why a task ended, as its worker reports it.
type ExitCause string

// Causes of a task's end.
const (
	CauseDone    ExitCause = "done"
	CauseStopped ExitCause = "halted"
	CauseError   ExitCause = "error"
	CauseNoRoom  ExitCause = "no_room"
	CauseBusy    ExitCause = "busy"
	// Of a gang: another task of it is gone, and it was not complete in time.
	CausePeersLost  ExitCause = "mates_gone"
	CauseIncomplete ExitCause = "incomplete"
)

// Verbs of commands.
const (
	VerbRun   = "run"
	VerbStop  = "halt"
	VerbClear = "clear"
)

// JobState is a job's state as its user sees it.
type JobState string

// States of jobs.
const (
	Pending   JobState = "pending"
	Active    JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "aborted"
)

// JobStatus is the answer to a user.
type JobStatus struct {
	UID     string   `msgpack:"uid"`
	State   JobState `msgpack:"standing"`
	Done    int      `msgpack:"done"`
	Running int      `msgpack:"running"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task            string    `msgpack:"shard"`
	Attempt         uint64    `msgpack:"try"`
	State           TaskState `msgpack:"standing"`
	Cause           ExitCause `msgpack:"cause"`
	CheckpointSaved bool      `msgpack:"stored"`
}

// WorkerHeartbeat is a worker's report.
type WorkerHeartbeat struct {
	Machine     string       `msgpack:"host"`
	Addr        string       `msgpack:"addr"`
	Type        string       `msgpack:"flavour"`
	Zone        string       `msgpack:"yard"`
	Spot        bool         `msgpack:"borrowed"`
	Epoch       uint64       `msgpack:"shift"`
	Sequence    uint64       `msgpack:"tally"`
	Token       uint64       `msgpack:"mandate"`
	SpotNoticeS *float64     `msgpack:"warningS"`
	Tasks       []TaskStatus `msgpack:"shards"`
}

// Command is one order to a worker.
type Command struct {
	Verb    string  `msgpack:"verb"`
	Task    string  `msgpack:"shard"`
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"leewayS"`
}

// WorkerHeartbeatReply answers a report.
type WorkerHeartbeatReply struct {
	Token    uint64    `msgpack:"mandate"`
	Commands []Command `msgpack:"orders"`
}

// Commands is a direct request to a worker.
type Commands struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"`
}

// Redirect sends a worker to the leader.
type Redirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}

// MachineType is one of the cloud's types.
type MachineType struct {
	Name         string   `msgpack:"name"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	MemoryGB     float64  `msgpack:"ramGb"`
	CacheGB      float64  `msgpack:"localGb"`
	FetchGBPerS  float64  `msgpack:"pullGbPerS"`
	Price        float64  `msgpack:"rate"`
	SpotPrice    float64  `msgpack:"lowPrice"`
	BootS        float64  `msgpack:"startupS"`
	Zones        []string `msgpack:"yards"`
}

// MachineTypes is the cloud's list of types.
type MachineTypes struct {
	Types []MachineType `msgpack:"flavours"`
}

// LaunchRequest is a rental request; Rented its answer.
type LaunchRequest struct {
	Request string `msgpack:"hire"`
	Type    string `msgpack:"flavour"`
	Zone    string `msgpack:"yard"`
	Spot    bool   `msgpack:"borrowed"`
	Count   int    `msgpack:"number"`
}

// MachineNames names machines; deletions have the same form.
type MachineNames struct {
	Machines []string `msgpack:"hosts"`
}

// ListedMachine is one entry of the cloud's machine list.
type ListedMachine struct {
	ID    string  `msgpack:"uid"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"flavour"`
	Zone  string  `msgpack:"yard"`
	Spot  bool    `msgpack:"borrowed"`
	State string  `msgpack:"standing"`
	AgeS  float64 `msgpack:"heldS"`
}

// MachineList is one page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"more"`
}

// Item is a key of the state service with its value.
type Item struct {
	Key     string             `msgpack:"k"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"tenure"`
}

// Items is a page of keys.
type Items struct {
	Items    []Item `msgpack:"items"`
	More     bool   `msgpack:"more"`
	Revision uint64 `msgpack:"ledger"`
}

// Condition and Change make up a transaction.
type Condition struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"stamp"`
}

// Change is a put (Value set) or a delete.
type Change struct {
	Put    string `msgpack:"put,omitempty"`
	Value  any    `msgpack:"data,omitempty"`
	Lease  uint64 `msgpack:"tenure,omitempty"`
	Delete string `msgpack:"delete,omitempty"`
}

// Txn is a transaction; TxnReply its answer.
type Txn struct {
	If   []Condition `msgpack:"if"`
	Then []Change    `msgpack:"apply"`
}

// TxnReply answers a transaction.
type TxnReply struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest and LeaseReply open a lease in the state service.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"lifeMs"`
}

// LeaseReply names the lease.
type LeaseReply struct {
	Lease uint64 `msgpack:"tenure"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string             `msgpack:"put"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"delete"`
	Version uint64             `msgpack:"stamp"`
}

// Events is the answer of a watch.
type Events struct {
	Revision uint64  `msgpack:"ledger"`
	Events   []Event `msgpack:"news"`
}

// Relay is a user's request passed on to the leader over the peer link.
type Relay struct {
	Op   string `cbor:"1,keyasint"`
	UID  string `cbor:"2,keyasint,omitempty"`
	Body []byte `cbor:"3,keyasint,omitempty"`
	// From is the controller that forwards a worker's report.
	From string `cbor:"4,keyasint,omitempty"`
	// To is the leader that the sender can't reach: who gets this passes it on, once. Versions
	// that don't know it refuse, as they do not lead.
	To string `cbor:"5,keyasint,omitempty"`
}

// RelayReply is the leader's answer.
type RelayReply struct {
	Status     int    `cbor:"1,keyasint"`
	Body       []byte `cbor:"2,keyasint,omitempty"`
	RetryAfter int    `cbor:"3,keyasint,omitempty"`
}

// PeerHeartbeat keeps a controller in touch with the leader. Token is the highest known
// to it, LeaderClock the one of the leader's last answer under that token, and
// ServedMS how long ago it last answered a worker for the leader (-1:
// never).
type PeerHeartbeat struct {
	From        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Token       uint64 `cbor:"3,keyasint,omitempty"`
	LeaderClock uint64 `cbor:"4,keyasint,omitempty"`
	ServedMS    int64  `cbor:"5,keyasint"`
	UptimeMS    int64  `cbor:"6,keyasint,omitempty"` // of the process
	// Versions is nil from versions that have no feature gate.
	Versions *VersionStatement `cbor:"7,keyasint,omitempty"`
}

// VersionStatement says which forms of stored records a controller reads and writes: the highest of
// each, and whether its operators hold the feature gate closed.
type VersionStatement struct {
	Reads  uint64 `cbor:"1,keyasint"`
	Writes uint64 `cbor:"2,keyasint,omitempty"`
	Hold   bool   `cbor:"3,keyasint,omitempty"`
}

// PeerHeartbeatReply tells who leads; the leader's own has a reading of its clock.
type PeerHeartbeatReply struct {
	Leader      string `cbor:"1,keyasint,omitempty"`
	Token       uint64 `cbor:"2,keyasint,omitempty"`
	LeaderClock uint64 `cbor:"3,keyasint,omitempty"`
	// Versions is the answering controller's.
	Versions *VersionStatement `cbor:"4,keyasint,omitempty"`
}

// Encode writes MessagePack. Values of our own types cannot fail to encode.
func Encode(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return b.Bytes()
}

// Decode reads MessagePack; unknown fields are ignored. A damaged body must
// never end the process, whatever the decoder does with it.
func Decode(b []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("malformed: %v", r)
		}
	}()
	// A header that claims four thousand million elements made the decoder ask
	// for memory that ended the process. Skipping allocates nothing, and fails
	// where the body is shorter than its headers say.
	body := bytes.NewReader(b)
	if err := msgpack.NewDecoder(body).Skip(); err != nil {
		return fmt.Errorf("malformed: %w", err)
	}
	if body.Len() > 0 {
		return fmt.Errorf("malformed: %d bytes after the end", body.Len())
	}
	return msgpack.Unmarshal(b, v)
}

// EncodePeer and DecodePeer speak CBOR between controllers.
func EncodePeer(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return b
}

// DecodePeer reads CBOR.
func DecodePeer(b []byte, v any) error { return cbor.Unmarshal(b, v) }
