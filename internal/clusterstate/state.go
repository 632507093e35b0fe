// Package clusterstate holds the cluster's state: the jobs, the machines, the attempts that may be on each
// machine, and what each team uses of its quota. An attempt stays until it is proved gone; quotas, zone
// counts and free capacity include all attempts that may still be on a machine.
//
// Only the leader has a State. It belongs to one leadership and is used by the controller's event loop
// alone, without locks. What has to survive a failover is stored in the state service, by the writer of
// internal/statestore:
//
//	j/<uid>           JobRecord: the spec, or the final state of a job that is over
//	d/<uid>/<chunk>   CompletionRecord: which tasks of an array are done
//	p/<uid>/<part>    CompletionRecord: those that do not fit into the record of their chunk
//	m/<id>            MachineRecord: the machine and the attempts that may be on it
//	k/<batch>         Counters: attained service, for the order of jobs
//
// At a failover the new leader reads these records, then the completion journal, and adds what they say to
// an empty State. All else (the agents' state, failures, image caches) starts afresh.
//
// Times are durations on the leader's clock (Controller.now), which starts anew with each process, unless
// they are said to be in ms since the epoch.
package clusterstate

import (
	"time"

	"claybarrow/internal/scheduler"
)

// State is the cluster's state as the leader knows it.
type State struct {
	// Jobs are the jobs that are not over, by UID.
	Jobs map[string]*Job
	// TerminalJobs are those that are over, by UID.
	TerminalJobs map[string]TerminalState
	// Machines are all machines that may exist, by ID.
	Machines map[string]*Machine
	// Quotas are the teams' quotas with what the teams use, by the team's name.
	Quotas map[string]*scheduler.Quota

	layout         completionLayout
	sortedMachines []*Machine // see SortedMachines
	sortedJobs     []*Job     // see SortedJobs
	toSchedule     []*Job     // see TakeJobsToSchedule
	// imageSets are the numbers of the machines' sets of images, by the images' sorted names.
	imageSets    map[string]int
	lastImageSet int
}

// New makes an empty state. layoutBytes is the limit on a stored value, in bytes, from which the layout of
// the completion records is computed; it must not change while any are stored, as it gives their keys
// their meaning. valueBytes is the limit that newly written values keep within.
func New(layoutBytes, valueBytes int) *State {
	return &State{
		Jobs:         map[string]*Job{},
		TerminalJobs: map[string]TerminalState{},
		Machines:     map[string]*Machine{},
		Quotas:       map[string]*scheduler.Quota{},
		imageSets:    map[string]int{},
		layout:       newCompletionLayout(layoutBytes, valueBytes),
	}
}

// AddAttempt adds an attempt that may be on the machine from now on.
func (s *State) AddAttempt(m *Machine, j *Job, index int, number uint64, now time.Duration) *Attempt {
	a := &Attempt{Job: j, Index: index, Number: number, Machine: m, AddedAt: now}
	m.addAttempt(a)
	j.addAttempt(a)
	if j.Gang != nil {
		j.Gang.add(a)
	}
	if quota := s.Quotas[j.Spec.Team]; quota != nil {
		quota.Used = quota.Used.Plus(j.Need)
	}
	return a
}

// RemoveAttempt removes an attempt that is proved gone. Removing it twice changes nothing.
func (s *State) RemoveAttempt(a *Attempt) {
	m, j := a.Machine, a.Job
	if m.Attempts[a.Key()] != a {
		return
	}
	a.SetState("") // it no longer counts as running
	m.removeAttempt(a)
	j.removeAttempt(a)
	s.markToSchedule(j)
	if j.Gang != nil {
		j.Gang.remove(a)
	}
	if quota := s.Quotas[j.Spec.Team]; quota != nil {
		quota.Used = quota.Used.Minus(j.Need)
	}
}

// markToSchedule records that the job may have tasks that wait.
func (s *State) markToSchedule(j *Job) {
	if !j.isToSchedule {
		j.isToSchedule = true
		s.toSchedule = append(s.toSchedule, j)
	}
}

// JobsToSchedule is the list that TakeJobsToSchedule would return. It leaves the list as it is.
func (s *State) JobsToSchedule() []*Job { return s.toSchedule }

// TakeJobsToSchedule returns the jobs that may have got waiting tasks since the last call: new ones, and those
// that an attempt was removed from. No other change makes a task wait.
func (s *State) TakeJobsToSchedule() []*Job {
	jobs := s.toSchedule
	s.toSchedule = nil
	for _, j := range jobs {
		j.isToSchedule = false
	}
	return jobs
}
