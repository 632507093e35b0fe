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
	families map[familyKey]*family
	list     []*family
	// claimed are the machines that are kept for a job, by its name.
	claimed map[string][]*Machine
	slots   map[*Machine]*slot
}

// familyKey is what a job's own words may forbid.
type familyKey struct {
	typ  *Type
	zone string
	spot bool
}

// family is the machines of one type, zone and kind.
type family struct {
	familyKey
	groups map[groupKey]*group
	list   []*group
	// hopeless are needs that no machine here has room for. It holds until one has more.
	// The second list is for plain batches that spare the cores of free accelerators.
	hopeless [2][]Need
}

// groupKey is what a task's score depends on beside the image and the free cores.
type groupKey struct {
	booting, used bool
	fetching      int // images on their way
	accel         float64
}

// group is the machines of a family that are alike in groupKey.
type group struct {
	groupKey
	all shelf
	// Those that have an image, and those that are fetching it.
	having, fetchingImage map[string]*shelf
}

// shelf holds machines in order of their free cores, and in order of their places: equal
// scores go to the first machine of the snapshot.
type shelf struct {
	byCores, byPlace *btree.BTreeG[entry]
}

type entry struct {
	cores   float64
	place   int
	machine *Machine
}

// slot is where a machine is in the index.
type slot struct {
	family   *family
	group    *group
	entry    entry
	having   []string
	fetching []string
	free     Need
	room     int
	claim    string
}

func newMachineIndex(machines []*Machine) *machineIndex {
	x := &machineIndex{families: map[familyKey]*family{}, claimed: map[string][]*Machine{}, slots: make(map[*Machine]*slot, len(machines))}
	for i, m := range machines {
		m.place = i
		x.update(m)
	}
	return x
}

func lessByCores(a, b entry) bool {
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.place < b.place
}

func lessByPlace(a, b entry) bool { return a.place < b.place }

func newShelf() shelf {
	options := btree.Options{NoLocks: true}
	return shelf{btree.NewBTreeGOptions(lessByCores, options), btree.NewBTreeGOptions(lessByPlace, options)}
}

func (s shelf) add(e entry) {
	s.byCores.Set(e)
	s.byPlace.Set(e)
}

func (s shelf) remove(e entry) {
	s.byCores.Delete(e)
	s.byPlace.Delete(e)
}

func shelfFor(shelves map[string]*shelf, image string) *shelf {
	s := shelves[image]
	if s == nil {
		made := newShelf()
		s = &made
		shelves[image] = s
	}
	return s
}

// update puts a machine where it belongs now.
func (x *machineIndex) update(m *Machine) {
	was := x.slots[m]
	moreRoom := true
	if was != nil {
		moreRoom = was.free.Cores < m.Free.Cores || was.free.Accel < m.Free.Accel || was.free.Mem < m.Free.Mem ||
			was.room <= 0 && m.Room > 0 || was.claim != m.ReservedFor
		x.takeOut(was)
	}
	s := was
	if s == nil {
		s = &slot{}
		x.slots[m] = s
	}
	f := x.familyOf(m)
	if moreRoom {
		f.hopeless = [2][]Need{}
	} else if was.free.Accel != m.Free.Accel {
		f.hopeless[1] = nil // fewer free accelerators need fewer cores
	}
	*s = slot{family: f, free: m.Free, room: m.Room, claim: m.ReservedFor, having: s.having[:0], fetching: s.fetching[:0]}
	if m.ReservedFor != "" {
		x.claimed[m.ReservedFor] = append(x.claimed[m.ReservedFor], m)
		return
	}
	if m.Room <= 0 || m.Free.Cores <= eps && m.Free.Accel <= eps {
		return // in no group: there is no room for anything
	}
	s.group = f.groupOf(m)
	s.entry = entry{cores: m.Free.Cores, place: m.place, machine: m}
	s.group.all.add(s.entry)
	for image, has := range m.Images {
		if has {
			s.having = append(s.having, image)
			shelfFor(s.group.having, image).add(s.entry)
		}
	}
	for image := range m.Fetching {
		if !m.Images[image] {
			s.fetching = append(s.fetching, image)
			shelfFor(s.group.fetchingImage, image).add(s.entry)
		}
	}
}

// remove takes a machine out.
func (x *machineIndex) remove(m *Machine) {
	if s := x.slots[m]; s != nil {
		x.takeOut(s)
		delete(x.slots, m)
	}
}

func (x *machineIndex) takeOut(s *slot) {
	if s.claim != "" {
		x.dropClaim(s)
		return
	}
	g := s.group
	if g == nil {
		return
	}
	g.all.remove(s.entry)
	for _, image := range s.having {
		takeFromShelf(g.having, image, s.entry)
	}
	for _, image := range s.fetching {
		takeFromShelf(g.fetchingImage, image, s.entry)
	}
	s.group = nil
	if g.all.byCores.Len() == 0 && len(s.family.list) > mostEmptyGroups {
		s.family.dropEmpty()
	}
}

// Empty groups and shelves are kept for the next machine, as far as there are few: amounts of
// accelerators and names of images come and go over the months.
const (
	mostEmptyGroups  = 64
	mostEmptyShelves = 256
)

func takeFromShelf(shelves map[string]*shelf, image string, e entry) {
	s := shelves[image]
	s.remove(e)
	if s.byCores.Len() == 0 && len(shelves) > mostEmptyShelves {
		delete(shelves, image)
	}
}

// dropEmpty forgets the groups that have no machine.
func (f *family) dropEmpty() {
	f.list = slices.DeleteFunc(f.list, func(g *group) bool {
		if g.all.byCores.Len() > 0 {
			return false
		}
		delete(f.groups, g.groupKey)
		return true
	})
}

func (x *machineIndex) dropClaim(s *slot) {
	list := x.claimed[s.claim]
	for i, m := range list {
		if x.slots[m] == s {
			list[i] = list[len(list)-1]
			x.claimed[s.claim] = list[:len(list)-1]
			break
		}
	}
	if len(x.claimed[s.claim]) == 0 {
		delete(x.claimed, s.claim)
	}
}

func (x *machineIndex) familyOf(m *Machine) *family {
	key := familyKey{m.Type, m.Zone, m.Spot}
	f := x.families[key]
	if f == nil {
		f = &family{familyKey: key, groups: map[groupKey]*group{}}
		x.families[key] = f
		x.list = append(x.list, f)
	}
	return f
}

func (f *family) groupOf(m *Machine) *group {
	key := groupKey{booting: m.Booting, used: m.Used, fetching: len(m.Fetching), accel: m.Free.Accel}
	g := f.groups[key]
	if g == nil {
		g = &group{groupKey: key, all: newShelf(), having: map[string]*shelf{}, fetchingImage: map[string]*shelf{}}
		f.groups[key] = g
		f.list = append(f.list, g)
	}
	return g
}

// isHopeless says whether it is known that no machine of the family has room for a need.
func (f *family) isHopeless(n Need, sparing int) bool {
	for _, h := range f.hopeless[sparing] {
		if h.Cores <= n.Cores && h.Accel <= n.Accel && h.Mem <= n.Mem {
			return true
		}
	}
	return false
}

// mostHopeless bounds how many needs are kept; jobs of a class mostly need the same.
const mostHopeless = 16

// noteHopeless keeps a need that no machine had room for.
func (f *family) noteHopeless(n Need, sparing int) {
	kept := f.hopeless[sparing][:0]
	for _, h := range f.hopeless[sparing] {
		if n.Cores > h.Cores || n.Accel > h.Accel || n.Mem > h.Mem {
			kept = append(kept, h)
		}
	}
	if len(kept) >= mostHopeless {
		kept = kept[1:]
	}
	f.hopeless[sparing] = append(kept, n)
}
