package scheduler

import (
	"slices"

	"github.com/tidwall/btree"
)

// machineIndex keeps the machines with free resources sorted by the properties that determine a task's score, so that
// the best machine for a task is found without scoring all others. Machines that differ only in their free cores,
// memory and IDs share a bucket. Within a bucket, the score of a task rises with the number of free cores or is
// constant, except that blocksAcceleratorsScore is added below the number of cores that free accelerators need.
//
// update must be called after each change of a machine and before the next search. An update and a search take time
// logarithmic in the number of machines.
type machineIndex struct {
	pools    map[poolKey]*poolIndex
	poolList []*poolIndex // in the order of creation
	// reserved lists the machines that are reserved for a job, by the ID of the job. They are in no bucket.
	reserved map[string][]*Machine
	machines map[*Machine]*indexedMachine
}

// poolKey holds the machine properties that the constraints of a job may exclude.
type poolKey struct {
	typ  *MachineType
	zone string
	spot bool
}

// coreRule determines whether a task may take the cores that free accelerators need.
type coreRule int

const (
	anyCores coreRule = iota
	leaveAcceleratorCores
	coreRules // number of rules
)

// poolIndex holds the machines of one type, zone and kind (spot or not).
type poolIndex struct {
	poolKey
	classes   map[classKey]*equivalenceClass
	classList []*equivalenceClass
	// infeasible lists, by the rule for cores, requests for which no machine of the pool has room. A list is cleared
	// when a machine may have gained room.
	infeasible [coreRules][]Resources
}

// classKey holds the machine properties that determine a task's score, except for images and free cores.
type classKey struct {
	booting, inUse bool
	fetching       int // number of images being fetched
	accelerators   float64
}

// equivalenceClass holds the machines of a pool that have the same classKey.
type equivalenceClass struct {
	classKey
	machines machineBucket // all machines of the class
	// withImage holds the machines that have an image, and fetchingImage the machines that fetch it, by image.
	withImage, fetchingImage map[string]*machineBucket
}

// machineBucket holds machines sorted by free cores, and sorted by position: among equal scores, the machine with the
// lowest position wins.
type machineBucket struct {
	byFreeCores, byPosition *btree.BTreeG[bucketEntry]
}

type bucketEntry struct {
	cores    float64
	position int
	machine  *Machine
}

// indexedMachine records the state with which a machine was indexed. The state determines the machine's buckets.
type indexedMachine struct {
	pool           *poolIndex
	class          *equivalenceClass // nil: in no bucket, because the machine is full or reserved
	entry          bucketEntry
	withImages     []string
	fetchingImages []string
	free           Resources
	taskCapacity   int
	reservedFor    string
}

func newMachineIndex(machines []*Machine) *machineIndex {
	index := &machineIndex{pools: map[poolKey]*poolIndex{}, reserved: map[string][]*Machine{}, machines: make(map[*Machine]*indexedMachine, len(machines))}
	for i, m := range machines {
		m.position = i
		index.update(m)
	}
	return index
}

func lessByCores(a, b bucketEntry) bool {
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.position < b.position
}

func lessByPosition(a, b bucketEntry) bool { return a.position < b.position }

func newMachineBucket() machineBucket {
	options := btree.Options{NoLocks: true} // only one goroutine uses the index
	return machineBucket{btree.NewBTreeGOptions(lessByCores, options), btree.NewBTreeGOptions(lessByPosition, options)}
}

func (b machineBucket) add(entry bucketEntry) {
	b.byFreeCores.Set(entry)
	b.byPosition.Set(entry)
}

func (b machineBucket) remove(entry bucketEntry) {
	b.byFreeCores.Delete(entry)
	b.byPosition.Delete(entry)
}

func (b machineBucket) len() int { return b.byFreeCores.Len() }

func bucketFor(buckets map[string]*machineBucket, image string) *machineBucket {
	bucket := buckets[image]
	if bucket == nil {
		created := newMachineBucket()
		bucket = &created
		buckets[image] = bucket
	}
	return bucket
}

// update indexes the current state of a machine. It adds the machine if it is new.
func (index *machineIndex) update(m *Machine) {
	indexed, wasIndexed := index.machines[m]
	if wasIndexed {
		index.unlink(indexed)
	} else {
		indexed = &indexedMachine{}
		index.machines[m] = indexed
	}
	pool := index.poolFor(m)
	switch {
	case !wasIndexed || indexed.gainedRoom(m):
		pool.infeasible = [coreRules][]Resources{}
	case indexed.free.Accelerators != m.Free.Accelerators:
		pool.infeasible[leaveAcceleratorCores] = nil // fewer free accelerators need fewer cores
	}
	*indexed = indexedMachine{pool: pool, free: m.Free, taskCapacity: m.TaskCapacity, reservedFor: m.ReservedFor,
		withImages: indexed.withImages[:0], fetchingImages: indexed.fetchingImages[:0]}
	index.link(indexed, m)
}

// gainedRoom reports whether the machine may now have room for a task that did not fit before.
func (i *indexedMachine) gainedRoom(m *Machine) bool {
	return i.free.Cores < m.Free.Cores || i.free.Accelerators < m.Free.Accelerators || i.free.MemoryGB < m.Free.MemoryGB ||
		i.taskCapacity <= 0 && m.TaskCapacity > 0 || i.reservedFor != m.ReservedFor
}

// link adds a machine to the buckets for its state, or to the list of machines reserved for a job.
func (index *machineIndex) link(indexed *indexedMachine, m *Machine) {
	if m.ReservedFor != "" {
		index.reserved[m.ReservedFor] = append(index.reserved[m.ReservedFor], m)
		return
	}
	if m.isFull() {
		return
	}
	class := indexed.pool.classFor(m)
	indexed.class = class
	indexed.entry = bucketEntry{cores: m.Free.Cores, position: m.position, machine: m}
	class.machines.add(indexed.entry)
	for image, has := range m.Images {
		if has {
			indexed.withImages = append(indexed.withImages, image)
			bucketFor(class.withImage, image).add(indexed.entry)
		}
	}
	for image := range m.Fetching {
		if !m.Images[image] {
			indexed.fetchingImages = append(indexed.fetchingImages, image)
			bucketFor(class.fetchingImage, image).add(indexed.entry)
		}
	}
}

// isFull reports whether the machine has no room for any task that requests cores or accelerators.
func (m *Machine) isFull() bool {
	return m.TaskCapacity <= 0 || m.Free.Cores <= roundingTolerance && m.Free.Accelerators <= roundingTolerance
}

// remove deletes a machine from the index.
func (index *machineIndex) remove(m *Machine) {
	if indexed := index.machines[m]; indexed != nil {
		index.unlink(indexed)
		delete(index.machines, m)
	}
}

// unlink removes a machine from its buckets, or from the list of machines reserved for a job.
func (index *machineIndex) unlink(indexed *indexedMachine) {
	if indexed.reservedFor != "" {
		index.unlinkReserved(indexed)
		return
	}
	class := indexed.class
	if class == nil {
		return
	}
	class.machines.remove(indexed.entry)
	for _, image := range indexed.withImages {
		removeFromBucket(class.withImage, image, indexed.entry)
	}
	for _, image := range indexed.fetchingImages {
		removeFromBucket(class.fetchingImage, image, indexed.entry)
	}
	indexed.class = nil
	if class.machines.len() == 0 && len(indexed.pool.classList) > maxEmptyClasses {
		indexed.pool.deleteEmptyClasses()
	}
}

// Bounds on the empty classes and buckets that are kept for reuse. Without a bound they would accumulate over months of
// operation, as numbers of free accelerators and names of images change.
const (
	maxEmptyClasses = 64
	maxEmptyBuckets = 256
)

func removeFromBucket(buckets map[string]*machineBucket, image string, entry bucketEntry) {
	bucket := buckets[image]
	bucket.remove(entry)
	if bucket.len() == 0 && len(buckets) > maxEmptyBuckets {
		delete(buckets, image)
	}
}

func (p *poolIndex) deleteEmptyClasses() {
	p.classList = slices.DeleteFunc(p.classList, func(class *equivalenceClass) bool {
		if class.machines.len() > 0 {
			return false
		}
		delete(p.classes, class.classKey)
		return true
	})
}

func (index *machineIndex) unlinkReserved(indexed *indexedMachine) {
	list := index.reserved[indexed.reservedFor]
	for i, m := range list {
		if index.machines[m] == indexed {
			list[i] = list[len(list)-1]
			index.reserved[indexed.reservedFor] = list[:len(list)-1]
			break
		}
	}
	if len(index.reserved[indexed.reservedFor]) == 0 {
		delete(index.reserved, indexed.reservedFor)
	}
}

func (m *Machine) poolKey() poolKey { return poolKey{m.Type, m.Zone, m.Spot} }

func (index *machineIndex) poolFor(m *Machine) *poolIndex {
	key := m.poolKey()
	pool := index.pools[key]
	if pool == nil {
		pool = &poolIndex{poolKey: key, classes: map[classKey]*equivalenceClass{}}
		index.pools[key] = pool
		index.poolList = append(index.poolList, pool)
	}
	return pool
}

func (m *Machine) classKey() classKey {
	return classKey{booting: m.Booting, inUse: m.InUse, fetching: len(m.Fetching), accelerators: m.Free.Accelerators}
}

func (p *poolIndex) classFor(m *Machine) *equivalenceClass {
	key := m.classKey()
	class := p.classes[key]
	if class == nil {
		class = &equivalenceClass{classKey: key, machines: newMachineBucket(), withImage: map[string]*machineBucket{}, fetchingImage: map[string]*machineBucket{}}
		p.classes[key] = class
		p.classList = append(p.classList, class)
	}
	return class
}

// isInfeasible reports whether a recorded infeasible request is at most the given one, so that no machine of the pool
// has room for the given request either.
func (p *poolIndex) isInfeasible(request Resources, rule coreRule) bool {
	return slices.ContainsFunc(p.infeasible[rule], func(recorded Resources) bool { return recorded.isAtMost(request) })
}

// maxInfeasible bounds the length of a list of infeasible requests. A short list is enough, because most jobs of a
// class have the same request.
const maxInfeasible = 16

// recordInfeasible records a request for which no machine of the pool has room. It replaces recorded larger requests.
func (p *poolIndex) recordInfeasible(request Resources, rule coreRule) {
	retained := p.infeasible[rule][:0]
	for _, recorded := range p.infeasible[rule] {
		if !request.isAtMost(recorded) {
			retained = append(retained, recorded)
		}
	}
	if len(retained) >= maxInfeasible {
		retained = retained[1:]
	}
	p.infeasible[rule] = append(retained, request)
}
