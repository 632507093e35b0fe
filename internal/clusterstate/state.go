// Package clusterstate keeps the record of jobs, tasks, machines, and the attempts that
// may be on each machine. An attempt stays in the ledger until it is proved
// gone; limits, zones and room count all that is in them.
package clusterstate

import (
	"time"

	"claybarrow/internal/scheduler"
)

// State holds all jobs, machines and teams.
type State struct {
	Jobs     map[string]*Job
	Terminal map[string]TerminalState
	Machines map[string]*Machine
	Quotas   map[string]*scheduler.Quota
	layout   completionLayout
	// Kept until something comes or goes, see SortedMachines.
	sortedMachines []*Machine
	sortedJobs     []*Job
	// opened are the jobs that may have come to wait since somebody last asked.
	opened []*Job
	// imageSets are numbers of sets of images, by their names.
	imageSets    map[string]int
	lastImageSet int
}

// New makes an empty ledger. layoutBytes is the store's limit for one value that the layout
// of completions is computed from, valueBytes the limit that is written within.
func New(layoutBytes, valueBytes int) *State {
	return &State{Jobs: map[string]*Job{}, Terminal: map[string]TerminalState{}, Machines: map[string]*Machine{},
		Quotas: map[string]*scheduler.Quota{}, imageSets: map[string]int{}, layout: newCompletionLayout(layoutBytes, valueBytes)}
}

// AddAttempt notes that an attempt may be on the machine.
func (s *State) AddAttempt(m *Machine, j *Job, index int, try uint64, now time.Duration) *Attempt {
	a := &Attempt{Job: j, Index: index, Number: try, Machine: m, Since: now}
	m.Attempts[a.Key()], m.sortedAttempts = a, nil
	m.Used = m.Used.Plus(j.Need)
	j.attemptsByTask[index]++
	j.placedBits[index/64] |= 1 << (index % 64)
	m.startingAttempts++
	delete(j.interrupted, index)
	j.attemptsByZone[m.Zone]++
	j.ActiveAttempts++
	j.revision++
	m.revision++
	if j.Gang != nil {
		j.Gang.add(a)
	}
	if t := s.Quotas[j.Spec.Team]; t != nil {
		t.Used = t.Used.Plus(j.Need)
	}
	return a
}

// RemoveAttempt takes an attempt that is proved gone out of the ledger.
func (s *State) RemoveAttempt(a *Attempt) {
	m, j := a.Machine, a.Job
	if m.Attempts[a.Key()] != a {
		return
	}
	delete(m.Attempts, a.Key())
	m.sortedAttempts = nil
	m.Used = m.Used.Minus(j.Need)
	if j.attemptsByTask[a.Index]--; j.attemptsByTask[a.Index] <= 0 {
		delete(j.attemptsByTask, a.Index)
		j.placedBits[a.Index/64] &^= 1 << (a.Index % 64)
	}
	j.attemptsByZone[m.Zone]--
	j.ActiveAttempts--
	j.revision++
	m.revision++
	s.markOpened(j)
	a.SetState("")
	m.startingAttempts--
	if j.Gang != nil {
		j.Gang.remove(a)
	}
	if t := s.Quotas[j.Spec.Team]; t != nil {
		t.Used = t.Used.Minus(j.Need)
	}
}

// markOpened notes that a job may have tasks that wait.
func (s *State) markOpened(j *Job) {
	if !j.isInOpenedJobs {
		j.isInOpenedJobs = true
		s.opened = append(s.opened, j)
	}
}

// OpenedJobs is what TakeOpenedJobs would list.
func (s *State) OpenedJobs() []*Job { return s.opened }

// TakeOpenedJobs lists the jobs that may have come to wait since it was last called: those that
// are new, and those that have lost a task. No other change has a task wait.
func (s *State) TakeOpenedJobs() []*Job {
	out := s.opened
	s.opened = nil
	for _, j := range out {
		j.isInOpenedJobs = false
	}
	return out
}
