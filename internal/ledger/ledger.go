// Package ledger keeps the books: jobs, tasks, machines, and the attempts that
// may be on each machine. An attempt stays in the books until it is proved
// gone; limits, zones and room count all that is in them.
package ledger

import (
	"encoding/base64"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
)

// Job is a job that is not over.
type Job struct {
	Spec      *protocol.Spec
	Submitted int64 // time of day, ms
	// Stored: the job's record is durable, the user may be told so.
	Stored bool
	// Cancelling: no starts any more, and whatever runs is stopped, by this leader
	// or a later one: the wish is stored.
	Cancelling bool
	// Finishing: all tasks are done, or cancelled and proved gone, and the last
	// record is being written.
	Finishing bool
	Scale     sched.Scale
	Need      sched.Need
	Types     map[string]bool

	done      []uint64
	Done      int
	held      map[int]int // attempts in the books, by task
	inZone    map[string]int
	HeldTotal int
	Running   int
	firstOpen int
	resume    map[int]bool // interrupted tasks, which go on first
	// Gang holds a gang's attempts, wherever they may be.
	Gang []*Attempt

	// HungryAt is since when it has waited with no task anywhere, 0: it does not.
	HungryAt time.Duration

	// Failures in a row and when the next start may be made.
	Failures  int
	FailedOn  map[string]bool
	NotBefore time.Duration
}

// Attempt is one start of a task that may be on its machine.
type Attempt struct {
	Job     *Job
	Index   int
	Try     uint64
	Machine *Machine
	// Durable: written ahead, so the run may leave. Loaded: from the books of
	// an earlier leader, whose commands may be under way until the worker has
	// our token.
	Durable, Loaded bool
	// Sent: a run left us in Session. Acked: the worker is known to have had
	// it. Lost: a direct run had no answer, so a copy may still be executed
	// while the session lasts. RunSeq: the report whose answer carried a run.
	Sent, Acked, Lost bool
	Session           uint64
	RunSeq            uint64
	Flying            int // direct runs under way
	State             string
	Since             time.Duration
	// Halt: it is to be stopped. Grace is what it has for saving.
	// Yielded: a round stopped it for work that ranks before it.
	// Began: it was seen running, or on its way out.
	Halt     bool
	Began    bool
	Yielded  bool
	HaltSent time.Duration
	Grace    float64
}

// Key names the attempt.
type Key struct {
	Task string
	Try  uint64
}

// Task is the wire's name of a task.
func Task(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }

// Key names the attempt on its machine.
func (a *Attempt) Key() Key { return Key{Task(a.Job.Spec.UID, a.Index), a.Try} }

// SetState notes the worker's word for the attempt's state.
func (a *Attempt) SetState(s string) {
	if a.State == protocol.Running {
		a.Job.Running--
	}
	if s == protocol.Running {
		a.Job.Running++
	}
	a.State = s
	a.Began = a.Began || s != protocol.Pulling && s != protocol.Gathering && s != ""
}

// Gone is an exited attempt that the worker still reports and that is to be
// cleared when that is safe.
type Gone struct {
	// Attempt is nil if the books did not have it.
	Attempt *Attempt
	// Ready: whatever its end means is durable.
	Ready bool
	Sent  time.Duration // of the last clear
}

// Machine is a machine and all that may be on it.
type Machine struct {
	ID, Type, Zone, Addr string
	Spot                 bool
	Size                 sched.Need
	Attempts             map[Key]*Attempt
	Exited               map[Key]*Gone
	Used                 sched.Need
	// Strays are tasks of jobs that the books don't have, with the time of the
	// last halt.
	Strays map[Key]time.Duration

	// The newest message: its session and sequence number, the token it had.
	Session, Seq, Token uint64
	ReportSeq           uint64
	Heard, Answered     time.Duration
	FreshAt             time.Duration // when it first showed our token
	Fresh               bool
	Known               bool // heard of in this term
	// DeadSession and older ones are proved over.
	DeadSession uint64
	Deaf        int // answered reports that show an old token, or lapses
	AsideUntil  time.Duration
	// DrainUntil: its replicas are being moved, nothing new comes meanwhile.
	DrainUntil time.Duration
	Errors     int

	// SentAway is when it was told to report to a controller of its zone, SentTo
	// which process that was; until DirectUntil it reports to the leader itself,
	// longer with each time that it came back from there.
	SentAway, DirectUntil time.Duration
	SentTo                string
	Bounces               int

	Notice   bool
	NoticeBy time.Duration
	Images   map[string]bool

	// Exists is when it surely existed; a list surely younger without it
	// proves that it is gone.
	Exists    time.Duration
	Rented    time.Duration // when the rental was asked for, as far as known
	Up        bool          // has reported at some time
	Listed    bool          // the cloud calls it running
	Returning bool          // to be deleted
	Returned  bool          // the mark is durable, the deletion may leave
	IdleSince time.Duration
	Recorded  bool

	// The direct link: one call in flight.
	Calling   bool
	CallFails int
	// NoConn: with the last call not even a connection could be made; FailedAt is
	// when that call left.
	NoConn   bool
	FailedAt time.Duration
	NextCall time.Duration
	Greeted  bool
}

// TerminalState is what is kept of a job that is over.
type TerminalState struct {
	Cancelled bool
	Tasks     int
}

// Books are all of it.
type Books struct {
	Jobs     map[string]*Job
	Terminal map[string]TerminalState
	Machines map[string]*Machine
	Teams    map[string]*sched.Team
	// Chunk is how many tasks' completion one record holds.
	Chunk int

	sorted []*Machine
}

// New makes empty books. valueBytes is the store's limit for one value.
func New(valueBytes int) *Books {
	return &Books{Jobs: map[string]*Job{}, Terminal: map[string]TerminalState{}, Machines: map[string]*Machine{},
		Teams: map[string]*sched.Team{}, Chunk: max(64, valueBytes/2*6/64*64)}
}

// AddJob puts a job in the books.
func (b *Books) AddJob(spec *protocol.Spec, submitted int64) *Job {
	j := &Job{Spec: spec, Submitted: submitted, Scale: sched.NewScale(),
		Need: sched.Need{Cores: spec.Cores, Accel: spec.Accelerators, Mem: spec.MemoryGB},
		done: make([]uint64, (spec.Tasks+63)/64), held: map[int]int{}, inZone: map[string]int{}}
	if spec.Types != nil {
		j.Types = map[string]bool{}
		for _, t := range spec.Types {
			j.Types[t] = true
		}
	}
	b.Jobs[spec.UID] = j
	return j
}

// IsDone says whether the task has completed.
func (j *Job) IsDone(i int) bool { return j.done[i/64]&(1<<(i%64)) != 0 }

// MarkDone notes a completion; false if it was known.
func (j *Job) MarkDone(i int) bool {
	if j.IsDone(i) {
		return false
	}
	j.done[i/64] |= 1 << (i % 64)
	j.Done++
	return true
}

// HeldOf is how many attempts of the task may be somewhere.
func (j *Job) HeldOf(i int) int { return j.held[i] }

// InZone is a copy of the counts of attempts by zone.
func (j *Job) InZone() map[string]int { return maps.Clone(j.inZone) }

// Interrupted notes a task that was stopped, but not by rank.
func (j *Job) Interrupted(index int) {
	if j.resume == nil {
		j.resume = map[int]bool{}
	}
	j.resume[index] = true
}

// Waiting lists up to limit tasks that may be started. The first of them, as
// many as it says, were interrupted.
func (j *Job) Waiting(limit int) (out []int, resume int) {
	if j.Cancelling || j.Finishing {
		return nil, 0
	}
	if j.Spec.Gang {
		// It starts whole, and only when all of the attempt before is proved gone; a
		// task that was lost while the others still gather is replaced.
		for i := 0; (j.HeldTotal == 0 || j.Gathering()) && i < j.Spec.Tasks; i++ {
			if j.held[i] == 0 {
				out = append(out, i)
			}
		}
		return out, 0
	}
	for _, i := range slices.Sorted(maps.Keys(j.resume)) {
		if len(out) < limit && !j.IsDone(i) && j.held[i] == 0 {
			out = append(out, i)
		}
	}
	resume = len(out)
	for j.firstOpen < j.Spec.Tasks && j.IsDone(j.firstOpen) {
		j.firstOpen++
	}
	for i := j.firstOpen; i < j.Spec.Tasks && len(out) < limit; i++ {
		if !j.IsDone(i) && j.held[i] == 0 && !j.resume[i] {
			out = append(out, i)
		}
	}
	return out, resume
}

// AddMachine returns the machine, made if need be.
func (b *Books) AddMachine(id string) *Machine {
	m := b.Machines[id]
	if m == nil {
		m = &Machine{ID: id, Attempts: map[Key]*Attempt{}, Exited: map[Key]*Gone{}, Images: map[string]bool{}}
		b.Machines[id] = m
		b.sorted = nil
	}
	return m
}

// RemoveMachine takes a machine out of the books.
func (b *Books) RemoveMachine(m *Machine) {
	delete(b.Machines, m.ID)
	b.sorted = nil
}

// SortedMachines lists the machines by name. The list is kept until a machine
// comes or goes, as it is asked for at every tick, and is never changed: who
// goes through it may add and remove machines meanwhile.
func (b *Books) SortedMachines() []*Machine {
	if b.sorted == nil {
		b.sorted = slices.Collect(maps.Values(b.Machines))
		slices.SortFunc(b.sorted, func(x, y *Machine) int { return strings.Compare(x.ID, y.ID) })
	}
	return b.sorted
}

// Put notes that an attempt may be on the machine.
func (b *Books) Put(m *Machine, j *Job, index int, try uint64, now time.Duration) *Attempt {
	a := &Attempt{Job: j, Index: index, Try: try, Machine: m, Since: now}
	m.Attempts[a.Key()] = a
	m.Used = m.Used.Plus(j.Need)
	j.held[index]++
	delete(j.resume, index)
	j.inZone[m.Zone]++
	j.HeldTotal++
	if j.Spec.Gang {
		j.Gang = append(j.Gang, a)
	}
	if t := b.Teams[j.Spec.Team]; t != nil {
		t.Used = t.Used.Plus(j.Need)
	}
	return a
}

// Drop takes an attempt that is proved gone out of the books.
func (b *Books) Drop(a *Attempt) {
	m, j := a.Machine, a.Job
	if m.Attempts[a.Key()] != a {
		return
	}
	delete(m.Attempts, a.Key())
	m.Used = m.Used.Minus(j.Need)
	if j.held[a.Index]--; j.held[a.Index] <= 0 {
		delete(j.held, a.Index)
	}
	j.inZone[m.Zone]--
	j.HeldTotal--
	j.Gang = slices.DeleteFunc(j.Gang, func(o *Attempt) bool { return o == a })
	a.SetState("")
	if t := b.Teams[j.Spec.Team]; t != nil {
		t.Used = t.Used.Minus(j.Need)
	}
}

// Sorted lists the machine's attempts in a fixed order, so runs replay.
func (m *Machine) Sorted() []*Attempt {
	out := slices.Collect(maps.Values(m.Attempts))
	slices.SortFunc(out, func(x, y *Attempt) int {
		if x.Try < y.Try {
			return -1
		}
		return 1
	})
	return out
}

// Keys of the state service.
const (
	JobPrefix     = "j/"
	DonePrefix    = "d/"
	MachinePrefix = "m/"
	CounterPrefix = "k/"
)

// Cancelling is the stored state of a job whose user has asked to cancel it and
// has not been told so: no attempt may be started, those there are stopped.
const Cancelling = "cancelling"

// JobRecord is a job in the state service; S is empty, "cancelling", "done" or
// "aborted".
type JobRecord struct {
	State     string         `msgpack:"s,omitempty"`
	Tasks     int            `msgpack:"n,omitempty"`
	Submitted int64          `msgpack:"t,omitempty"`
	Spec      *protocol.Spec `msgpack:"j,omitempty"`
}

// MachineRecord is a machine in the state service.
type MachineRecord struct {
	Type     string         `msgpack:"y"`
	Zone     string         `msgpack:"z"`
	Spot     bool           `msgpack:"b,omitempty"`
	Addr     string         `msgpack:"a,omitempty"`
	Return   bool           `msgpack:"r,omitempty"`
	Attempts []AttemptEntry `msgpack:"t,omitempty"`
}

// AttemptEntry is one attempt in a machine's record.
type AttemptEntry struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
	Try      uint64
}

// DoneRecord is a chunk of completions.
type DoneRecord struct {
	Bits string `msgpack:"b"`
}

// Counters are batched attained-service figures.
type Counters struct {
	At   int64                 `msgpack:"t"`
	Jobs map[string]CounterRow `msgpack:"j"`
}

// CounterRow is one job's figures.
type CounterRow struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Attained   float64
	Upper      bool
	Slots      int
	DoneAt     int
	AttainedAt float64
	First      float64
	Degr       float64
}

// Whole says whether a gang's attempts are one of each task, all under the same
// number, durable and none of them to be stopped: only then may any of them run.
func (j *Job) Whole() bool {
	for _, a := range j.Gang {
		if a.Try != j.Gang[0].Try || !a.Durable || a.Halt {
			return false
		}
	}
	return len(j.Gang) == j.Spec.Tasks && len(j.held) == j.Spec.Tasks
}

// Gathering says whether a gang's attempt has not begun to run, as far as known, and
// may go on: all there is of it is durable, started by this leader and to be kept.
func (j *Job) Gathering() bool {
	for _, a := range j.Gang {
		if a.Try != j.Gang[0].Try || !a.Durable || a.Loaded || a.Halt || a.Began {
			return false
		}
	}
	return len(j.Gang) > 0
}

// Record renders a job.
func (j *Job) Record() JobRecord {
	switch {
	case j.Finishing && j.Cancelling:
		return JobRecord{State: protocol.Cancelled}
	case j.Finishing:
		return JobRecord{State: protocol.Done, Tasks: j.Spec.Tasks}
	case j.Cancelling:
		return JobRecord{State: Cancelling, Submitted: j.Submitted, Spec: j.Spec}
	}
	return JobRecord{Submitted: j.Submitted, Spec: j.Spec}
}

// EntryBytes is a bound for one entry of a machine's record.
const EntryBytes = 96

// Record renders a machine with all that may be on it.
func (m *Machine) Record() MachineRecord {
	r := MachineRecord{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Addr: m.Addr, Return: m.Returning}
	for _, a := range m.Sorted() {
		r.Attempts = append(r.Attempts, AttemptEntry{Job: a.Job.Spec.UID, Index: a.Index, Try: a.Try})
	}
	return r
}

// DoneKey is the key of the chunk that holds the task.
func (b *Books) DoneKey(j *Job, index int) string {
	return DonePrefix + j.Spec.UID + "/" + strconv.Itoa(index/b.Chunk)
}

// DoneChunk renders the chunk.
func (b *Books) DoneChunk(j *Job, index int) DoneRecord {
	first := index / b.Chunk * b.Chunk
	last := min(first+b.Chunk, j.Spec.Tasks)
	raw := make([]byte, (last-first+7)/8)
	for i := first; i < last; i++ {
		if j.IsDone(i) {
			raw[(i-first)/8] |= 1 << ((i - first) % 8)
		}
	}
	return DoneRecord{Bits: base64.StdEncoding.EncodeToString(raw)}
}

// LoadDone reads a chunk back.
func (b *Books) LoadDone(key string, r DoneRecord) error {
	uid, chunk, ok := strings.Cut(strings.TrimPrefix(key, DonePrefix), "/")
	n, err := strconv.Atoi(chunk)
	if !ok || err != nil || n < 0 {
		return fmt.Errorf("key %q: not a chunk of completions", key)
	}
	j := b.Jobs[uid]
	if j == nil {
		return nil // the job is over, its chunks are about to go
	}
	raw, err := base64.StdEncoding.DecodeString(r.Bits)
	if err != nil {
		return fmt.Errorf("key %q: %w", key, err)
	}
	for i, c := range raw {
		for c != 0 {
			bit := bits.TrailingZeros8(c)
			c &= c - 1
			if at := n*b.Chunk + i*8 + bit; at < j.Spec.Tasks {
				j.MarkDone(at)
			}
		}
	}
	return nil
}

// ParseTask reads the wire's name of a task.
func ParseTask(s string) (uid string, index int, ok bool) {
	uid, n, found := strings.Cut(s, "/")
	i, err := strconv.Atoi(n)
	return uid, i, found && err == nil && i >= 0
}
