package scheduler

import (
	"slices"

	"github.com/tidwall/btree"
)

// machineIndex keeps the machines that have room in order by all that placing a task asks
// for, so that the best one for a task is found without looking at the others. Machines that
// differ in nothing but their free cores, their memory and their names are on one shelf; the
// score of a task rises with the free cores along a shelf, or is the same all along it.
//
// It has to be told of each change of a machine (update) and must be asked between changes
// only. The cost of both grows with the logarithm of the number of machines.
type machineIndex struct {
	pools    map[poolKey]*poolIndex
	poolList []*poolIndex
	// reserved are the machines that are kept for a job, by its name.
	reserved map[string][]*Machine
	machines map[*Machine]*indexedMachine
}

// poolKey is what a job's own words may forbid.
type poolKey struct {
	typ  *Type
	zone string
	spot bool
}

// poolIndex is the machines of one type, zone and kind.
type poolIndex struct {
	poolKey
	classes   map[classKey]*equivalenceClass
	classList []*equivalenceClass
	// infeasible are needs that no machine here has room for. It holds until one has more.
	// The second list is for plain batches that spare the cores of free accelerators.
	infeasible [2][]Need
}

// classKey is what a task's score depends on beside the image and the free cores.
type classKey struct {
	booting, used bool
	fetching      int // images on their way
	accel         float64
}

// equivalenceClass is the machines of a family that are alike in classKey.
type equivalenceClass struct {
	classKey
	machines machineBucket
	// Those that have an image, and those that are fetching it.
	withImage, fetchingImage map[string]*machineBucket
}

// machineBucket holds machines in order of their free cores, and in order of their places: equal
// scores go to the first machine of the snapshot.
type machineBucket struct {
	byFreeCores, byPosition *btree.BTreeG[bucketEntry]
}

type bucketEntry struct {
	cores    float64
	position int
	machine  *Machine
}

// indexedMachine is where a machine is in the index.
type indexedMachine struct {
	pool           *poolIndex
	class          *equivalenceClass
	entry          bucketEntry
	withImages     []string
	fetchingImages []string
	free           Need
	room           int
	reservedFor    string
}

func newMachineIndex(machines []*Machine) *machineIndex {
	x := &machineIndex{pools: map[poolKey]*poolIndex{}, reserved: map[string][]*Machine{}, machines: make(map[*Machine]*indexedMachine, len(machines))}
	for i, m := range machines {
		m.position = i
		x.update(m)
	}
	return x
}

func lessByCores(a, b bucketEntry) bool {
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.position < b.position
}

func lessByPosition(a, b bucketEntry) bool { return a.position < b.position }

func newMachineBucket() machineBucket {
	options := btree.Options{NoLocks: true}
	return machineBucket{btree.NewBTreeGOptions(lessByCores, options), btree.NewBTreeGOptions(lessByPosition, options)}
}

func (s machineBucket) add(e bucketEntry) {
	s.byFreeCores.Set(e)
	s.byPosition.Set(e)
}

func (s machineBucket) remove(e bucketEntry) {
	s.byFreeCores.Delete(e)
	s.byPosition.Delete(e)
}

func bucketFor(shelves map[string]*machineBucket, image string) *machineBucket {
	s := shelves[image]
	if s == nil {
		made := newMachineBucket()
		s = &made
		shelves[image] = s
	}
	return s
}

// update puts a machine where it belongs now.
func (index *machineIndex) update(m *Machine) {
	was := index.machines[m]
	moreRoom := true
	if was != nil {
		moreRoom = was.free.Cores < m.Free.Cores || was.free.Accel < m.Free.Accel || was.free.Mem < m.Free.Mem ||
			was.room <= 0 && m.Room > 0 || was.reservedFor != m.ReservedFor
		index.unlink(was)
	}
	s := was
	if s == nil {
		s = &indexedMachine{}
		index.machines[m] = s
	}
	f := index.poolFor(m)
	if moreRoom {
		f.infeasible = [2][]Need{}
	} else if was.free.Accel != m.Free.Accel {
		f.infeasible[1] = nil // fewer free accelerators need fewer cores
	}
	*s = indexedMachine{pool: f, free: m.Free, room: m.Room, reservedFor: m.ReservedFor, withImages: s.withImages[:0], fetchingImages: s.fetchingImages[:0]}
	if m.ReservedFor != "" {
		index.reserved[m.ReservedFor] = append(index.reserved[m.ReservedFor], m)
		return
	}
	if m.Room <= 0 || m.Free.Cores <= eps && m.Free.Accel <= eps {
		return // in no group: there is no room for anything
	}
	s.class = f.classFor(m)
	s.entry = bucketEntry{cores: m.Free.Cores, position: m.position, machine: m}
	s.class.machines.add(s.entry)
	for image, has := range m.Images {
		if has {
			s.withImages = append(s.withImages, image)
			bucketFor(s.class.withImage, image).add(s.entry)
		}
	}
	for image := range m.Fetching {
		if !m.Images[image] {
			s.fetchingImages = append(s.fetchingImages, image)
			bucketFor(s.class.fetchingImage, image).add(s.entry)
		}
	}
}

// remove takes a machine out.
func (index *machineIndex) remove(m *Machine) {
	if s := index.machines[m]; s != nil {
		index.unlink(s)
		delete(index.machines, m)
	}
}

func (index *machineIndex) unlink(s *indexedMachine) {
	if s.reservedFor != "" {
		index.unlinkReserved(s)
		return
	}
	g := s.class
	if g == nil {
		return
	}
	g.machines.remove(s.entry)
	for _, image := range s.withImages {
		removeFromBucket(g.withImage, image, s.entry)
	}
	for _, image := range s.fetchingImages {
		removeFromBucket(g.fetchingImage, image, s.entry)
	}
	s.class = nil
	if g.machines.byFreeCores.Len() == 0 && len(s.pool.classList) > maxEmptyClasses {
		s.pool.deleteEmptyClasses()
	}
}

// Empty groups and shelves are kept for the next machine, as far as there are few: amounts of
// accelerators and names of images come and go over the months.
const (
	maxEmptyClasses = 64
	maxEmptyBuckets = 256
)

func removeFromBucket(shelves map[string]*machineBucket, image string, e bucketEntry) {
	s := shelves[image]
	s.remove(e)
	if s.byFreeCores.Len() == 0 && len(shelves) > maxEmptyBuckets {
		delete(shelves, image)
	}
}

// deleteEmptyClasses forgets the groups that have no machine.
func (f *poolIndex) deleteEmptyClasses() {
	f.classList = slices.DeleteFunc(f.classList, func(g *equivalenceClass) bool {
		if g.machines.byFreeCores.Len() > 0 {
			return false
		}
		delete(f.classes, g.classKey)
		return true
	})
}

func (index *machineIndex) unlinkReserved(s *indexedMachine) {
	list := index.reserved[s.reservedFor]
	for i, m := range list {
		if index.machines[m] == s {
			list[i] = list[len(list)-1]
			index.reserved[s.reservedFor] = list[:len(list)-1]
			break
		}
	}
	if len(index.reserved[s.reservedFor]) == 0 {
		delete(index.reserved, s.reservedFor)
	}
}

func (index *machineIndex) poolFor(m *Machine) *poolIndex {
	key := poolKey{m.Type, m.Zone, m.Spot}
	f := index.pools[key]
	if f == nil {
		f = &poolIndex{poolKey: key, classes: map[classKey]*equivalenceClass{}}
		index.pools[key] = f
		index.poolList = append(index.poolList, f)
	}
	return f
}

func (f *poolIndex) classFor(m *Machine) *equivalenceClass {
	key := classKey{booting: m.Booting, used: m.Used, fetching: len(m.Fetching), accel: m.Free.Accel}
	g := f.classes[key]
	if g == nil {
		g = &equivalenceClass{classKey: key, machines: newMachineBucket(), withImage: map[string]*machineBucket{}, fetchingImage: map[string]*machineBucket{}}
		f.classes[key] = g
		f.classList = append(f.classList, g)
	}
	return g
}

// isInfeasible says whether it is known that no machine of the family has room for a need.
func (f *poolIndex) isInfeasible(n Need, sparing int) bool {
	for _, h := range f.infeasible[sparing] {
		if h.Cores <= n.Cores && h.Accel <= n.Accel && h.Mem <= n.Mem {
			return true
		}
	}
	return false
}

// maxInfeasible bounds how many needs are kept; jobs of a class mostly need the same.
const maxInfeasible = 16

// recordInfeasible keeps a need that no machine had room for.
func (f *poolIndex) recordInfeasible(n Need, sparing int) {
	kept := f.infeasible[sparing][:0]
	for _, h := range f.infeasible[sparing] {
		if n.Cores > h.Cores || n.Accel > h.Accel || n.Mem > h.Mem {
			kept = append(kept, h)
		}
	}
	if len(kept) >= maxInfeasible {
		kept = kept[1:]
	}
	f.infeasible[sparing] = append(kept, n)
}
