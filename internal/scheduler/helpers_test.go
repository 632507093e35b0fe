package scheduler

import "fmt"

// box is a machine type without accelerators; gpu is a type with four.
var box = &MachineType{Name: "box", Size: Resources{Cores: 8, MemoryGB: 32}, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b"}, BootS: 10}
var gpu = &MachineType{Name: "gpu", Size: Resources{Cores: 32, Accelerators: 4, MemoryGB: 128}, Price: 10, SpotPrice: 4, Zones: []string{"a"}, BootS: 10}

// machines returns an empty machine of the type for each of the zones.
func machines(t *MachineType, zones ...string) []*Machine {
	var list []*Machine
	for i, z := range zones {
		list = append(list, &Machine{ID: fmt.Sprintf("%s-%d", t.Name, i), Type: t, Zone: z, Free: t.Size, TaskCapacity: 100})
	}
	return list
}

// batch returns a batch job in the upper queue with n waiting tasks of one core each. change may modify it.
func batch(id string, n int, change func(*Job)) *Job {
	j := &Job{ID: id, Team: "red", Tasks: n, Request: Resources{Cores: 1, MemoryGB: 1}, Degradation: 1, Slots: 1, InUpperQueue: true, InZone: map[string]int{}}
	for i := range n {
		j.Waiting = append(j.Waiting, i)
	}
	if change != nil {
		change(j)
	}
	return j
}

// newSnapshot returns a snapshot with two teams: red, and blue, which has a guarantee.
func newSnapshot(list []*Machine, jobs ...*Job) *Snapshot {
	s := &Snapshot{Machines: list, Jobs: jobs, UpperQueueCap: 0.3, Quotas: map[string]*Quota{
		"red": {Maximum: Resources{Cores: 100}}, "blue": {Maximum: Resources{Cores: 100}, Guaranteed: Resources{Cores: 4}}}}
	for _, m := range list {
		s.Capacity = s.Capacity.Plus(m.Type.Size)
	}
	return s
}

// startedByJob counts placements by job ID.
func startedByJob(ps []Placement) map[string]int {
	counts := map[string]int{}
	for _, p := range ps {
		counts[p.Job.ID]++
	}
	return counts
}
