package scheduler

import (
	"slices"

	"github.com/tidwall/btree"
)

// machineIndex keeps the machines that have room sorted by all that a task's score depends on, so
// that the best machine for a task is found without scoring the others. Machines that differ only
// in their free cores, their memory and their names share a bucket; the score of a task rises with
// the free cores along a bucket, or is the same all along it.
//
// It must be told of each change of a machine (update) and be searched between changes only. Both
// take time that grows with the logarithm of the number of machines.
type machineIndex struct {
	pools    map[poolKey]*poolIndex
	poolList []*poolIndex // in the order in which they were first seen
	// reserved are the machines that are reserved for a job, by its ID. They are in no bucket.
	reserved map[string][]*Machine
	machines map[*Machine]*indexedMachine
}

// poolKey is what the constraints of a job may exclude.
type poolKey struct {
	typ  *Type
	zone string
	spot bool
}

// coreRule says whether a task may take the cores that free accelerators need.
type coreRule int

const (
	anyCores coreRule = iota
	leaveAcceleratorCores
	coreRules // their number
)

// poolIndex holds the machines of one type, zone and kind (spot or not).
type poolIndex struct {
	poolKey
	classes   map[classKey]*equivalenceClass
	classList []*equivalenceClass
	// infeasible are needs that no machine of the pool has room for, by the rule for cores. They
	// are forgotten when a machine gains room.
	infeasible [coreRules][]Resources
}

// classKey is what a task's score depends on beside the image and the free cores.
type classKey struct {
	booting, used bool
	fetching      int // number of images being fetched
	accel         float64
}

// equivalenceClass is the machines of a pool that are alike in classKey.
type equivalenceClass struct {
	classKey
	machines machineBucket // all of them
	// The machines that have an image, and those that are fetching it, by the image.
	withImage, fetchingImage map[string]*machineBucket
}

// machineBucket holds machines by their free cores, and by their position: of equal scores the
// first machine of the snapshot wins.
type machineBucket struct {
	byFreeCores, byPosition *btree.BTreeG[bucketEntry]
}

type bucketEntry struct {
	cores    float64
	position int
	machine  *Machine
}

// indexedMachine is a machine's state when it was indexed, and thereby where the index has it.
type indexedMachine struct {
	pool           *poolIndex
	class          *equivalenceClass // nil: in no bucket, as it is full or reserved
	entry          bucketEntry
	withImages     []string
	fetchingImages []string
	free           Resources
	room           int
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
	options := btree.Options{NoLocks: true} // one goroutine uses the index
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

// update moves a machine to where it belongs now, or adds it.
func (index *machineIndex) update(m *Machine) {
	indexed, known := index.machines[m]
	if known {
		index.unlink(indexed)
	} else {
		indexed = &indexedMachine{}
		index.machines[m] = indexed
	}
	pool := index.poolFor(m)
	switch {
	case !known || indexed.gainedRoom(m):
		pool.infeasible = [coreRules][]Resources{}
	case indexed.free.Accel != m.Free.Accel:
		pool.infeasible[leaveAcceleratorCores] = nil // fewer free accelerators need fewer cores
	}
	*indexed = indexedMachine{pool: pool, free: m.Free, room: m.TaskCapacity, reservedFor: m.ReservedFor,
		withImages: indexed.withImages[:0], fetchingImages: indexed.fetchingImages[:0]}
	index.link(indexed, m)
}

// gainedRoom says whether the machine may have room now for a task that it had none for before.
func (i *indexedMachine) gainedRoom(m *Machine) bool {
	return i.free.Cores < m.Free.Cores || i.free.Accel < m.Free.Accel || i.free.Mem < m.Free.Mem ||
		i.room <= 0 && m.TaskCapacity > 0 || i.reservedFor != m.ReservedFor
}

// link puts a machine into the buckets for its state, or among those reserved for a job.
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

// isFull says whether the machine has no room for any task with cores or accelerators.
func (m *Machine) isFull() bool {
	return m.TaskCapacity <= 0 || m.Free.Cores <= eps && m.Free.Accel <= eps
}

// remove takes a machine out.
func (index *machineIndex) remove(m *Machine) {
	if indexed := index.machines[m]; indexed != nil {
		index.unlink(indexed)
		delete(index.machines, m)
	}
}

// unlink takes a machine out of its buckets, or from those reserved for a job.
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

// Empty classes and buckets are kept for the next machine while there are few. Without a bound
// they would add up, as amounts of accelerators and names of images come and go over the months.
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
	return classKey{booting: m.Booting, used: m.Used, fetching: len(m.Fetching), accel: m.Free.Accel}
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

// isInfeasible says whether it is known that no machine of the pool has room for a need.
func (p *poolIndex) isInfeasible(need Resources, rule coreRule) bool {
	return slices.ContainsFunc(p.infeasible[rule], func(known Resources) bool { return known.isAtMost(need) })
}

// maxInfeasible bounds how many needs are kept; jobs of a class mostly need the same.
const maxInfeasible = 16

// recordInfeasible keeps a need that no machine of the pool had room for, in place of larger ones.
func (p *poolIndex) recordInfeasible(need Resources, rule coreRule) {
	kept := p.infeasible[rule][:0]
	for _, known := range p.infeasible[rule] {
		if !need.isAtMost(known) {
			kept = append(kept, known)
		}
	}
	if len(kept) >= maxInfeasible {
		kept = kept[1:]
	}
	p.infeasible[rule] = append(kept, need)
}
