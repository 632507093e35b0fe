package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// placeStarvedGangs places gangs that have waited for longer than a boot, the oldest first.
// What there is of the room for one that does not fit is held back from all others:
// small jobs would take it again and again. Nothing of that outlives the snapshot,
// so gangs can't block one another.
func (s *Snapshot) placeStarvedGangs(out []Placement) []Placement {
	var starved []*Job
	for _, j := range s.Jobs {
		if j.Gang && j.Starved && len(j.Waiting) > 0 {
			starved = append(starved, j)
		}
	}
	slices.SortStableFunc(starved, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	inLimit := func(t *Quota, whole Need) bool { return t.WithinMaximum(whole) }
	for _, j := range starved {
		if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Need.Times(float64(len(j.Waiting)))) {
			continue // its team's own work has to end first
		}
		before := len(out)
		if out = s.placeGang(out, j, inLimit); len(out) == before && s.fleetCanHold(j) {
			s.reserve(j)
			j.Waiting = nil
		}
	}
	return out
}

// fleetCanHold says whether the machines there are could hold the whole gang if they were
// empty. What they can't hold waits for rentals, and must not keep room from others.
func (s *Snapshot) fleetCanHold(j *Job) bool {
	room, all := map[string]float64{}, 0.0
	for _, m := range s.Machines {
		if j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && j.Need.Fits(m.Type.Size) {
			n := perMachine(j.Need, m.Type.Size)
			room[m.Zone] += n
			all += n
		}
	}
	most := 0.0
	for _, n := range room {
		most = max(most, n)
	}
	switch tasks := float64(len(j.Waiting)); {
	case j.Spread:
		return len(room) > 1 && all >= 2*tasks
	case j.OneZone:
		return most >= tasks
	default:
		return all >= tasks
	}
}

// placeGang starts all tasks of a gang, or none: in one zone after the other if
// they must be together, as the best place for the first may have no room for all.
func (s *Snapshot) placeGang(out []Placement, j *Job, may func(*Quota, Need) bool) []Placement {
	team := s.Quotas[j.Team]
	if len(j.Waiting) == 0 || team == nil || !may(team, j.Need.Times(float64(len(j.Waiting)))) {
		return out
	}
	if !j.OneZone || j.Zone != "" {
		got, _ := s.tryPlaceGang(j)
		return append(out, got...)
	}
	defer func() { j.Zone = "" }()
	for _, j.Zone = range s.zonesFor(j) {
		if got, ok := s.tryPlaceGang(j); ok {
			return append(out, got...)
		}
	}
	return out
}

// tryPlaceGang places all waiting tasks of a gang, or takes everything back.
func (s *Snapshot) tryPlaceGang(j *Job) ([]Placement, bool) {
	var out []Placement
	waiting, held := j.Waiting, j.Held
	type before struct {
		m        *Machine
		used     bool
		fetching bool
	}
	var undo []before
	for len(j.Waiting) > 0 {
		m := s.bestMachine(j)
		if m == nil {
			for _, b := range slices.Backward(undo) {
				b.m.Free, b.m.Used = b.m.Free.Plus(j.Need), b.used
				b.m.Room++
				if !b.fetching {
					delete(b.m.Fetching, j.Image)
				}
				s.machineChanged(b.m)
				j.InZone[b.m.Zone]--
				if t := s.Quotas[j.Team]; t != nil {
					t.Used = t.Used.Minus(j.Need)
				}
			}
			j.Waiting, j.Held = waiting, held
			return nil, false
		}
		undo = append(undo, before{m, m.Used, m.Fetching[j.Image]})
		out = append(out, Placement{j, j.Waiting[0], m})
		s.assign(j, m)
	}
	return out, true
}

// zonesFor lists the zones that may hold the whole gang, those with the most room
// for it first.
func (s *Snapshot) zonesFor(j *Job) []string {
	room := map[string]int{}
	for _, m := range s.Machines {
		if (m.ReservedFor == "" || m.ReservedFor == j.ID) && j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && !j.Avoid[m.ID] {
			if n := min(perMachine(j.Need, m.Free), float64(m.Room)); n >= 1 {
				room[m.Zone] += int(min(n, 1e6))
			}
		}
	}
	zones := slices.Sorted(maps.Keys(room))
	zones = slices.DeleteFunc(zones, func(z string) bool { return room[z] < len(j.Waiting) })
	slices.SortStableFunc(zones, func(a, b string) int { return room[b] - room[a] })
	return zones
}
