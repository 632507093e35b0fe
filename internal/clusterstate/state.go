// Package clusterstate holds the cluster's state: the jobs, the machines, the attempts that may be on each
// machine, and each team's quota usage. An attempt is kept until it is known to have left its machine; quotas,
// zone counts and free capacity include all attempts that may still be on a machine.
//
// Only the leader has a State. A State belongs to one leadership and is accessed by the controller's event loop
// only, without locks. The state that must survive a failover is stored in the state service by the writer of
// internal/statestore:
//
//	j/<uid>           JobRecord: the spec, or the final state of a job that has ended
//	d/<uid>/<chunk>   CompletionRecord: which tasks of an array are done
//	p/<uid>/<part>    CompletionRecord: tasks that do not fit into the record of their chunk
//	m/<id>            MachineRecord: the machine and the attempts that may be on it
//	k/<batch>         Counters: attained service, for the order of jobs
//
// At a failover the new leader reads these records and then the completion journal, and adds their contents to
// an empty State. All other state (agents, failures, image caches) is reset.
//
// Times are durations on the leader's monotonic clock, which starts at zero in each process, unless the comment of
// a field says that they are in ms since the epoch.
package clusterstate

import (
	"time"

	"claybarrow/internal/scheduler"
)

// State is the leader's view of the cluster.
type State struct {
	// Jobs are the jobs that have not ended, by UID.
	Jobs map[string]*Job
	// TerminalJobs are the jobs that have ended, by UID.
	TerminalJobs map[string]TerminalState
	// Machines are all machines that may exist, by ID.
	Machines map[string]*Machine
	// Quotas are the teams' quotas and their usage, by the team's name.
	Quotas map[string]*scheduler.Quota

	layout         completionLayout
	sortedMachines []*Machine // see SortedMachines
	sortedJobs     []*Job     // see SortedJobs
	toSchedule     []*Job     // see TakeJobsToSchedule
	// imageSets maps each set of images to its number; see ImageSet. The key is the sorted names, one a line.
	imageSets    map[string]int
	lastImageSet int
}

// New returns an empty state. layoutBytes is the limit on the size of a stored value from which the layout of the
// completion records is computed. It determines which tasks a key covers, so it must not change while completion
// records are stored. valueBytes is the limit on the size of newly written values.
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
		quota.Used = quota.Used.Plus(j.Request)
	}
	return a
}

// RemoveAttempt removes an attempt that is known to have left its machine. Removing it twice has no further
// effect.
func (s *State) RemoveAttempt(a *Attempt) {
	m, j := a.Machine, a.Job
	if m.Attempts[a.Key()] != a {
		return
	}
	a.SetState("") // the attempt no longer counts as running
	m.removeAttempt(a)
	j.removeAttempt(a)
	s.markToSchedule(j)
	if j.Gang != nil {
		j.Gang.remove(a)
	}
	if quota := s.Quotas[j.Spec.Team]; quota != nil {
		quota.Used = quota.Used.Minus(j.Request)
	}
}

// markToSchedule records that the job may have waiting tasks.
func (s *State) markToSchedule(j *Job) {
	if !j.isToSchedule {
		j.isToSchedule = true
		s.toSchedule = append(s.toSchedule, j)
	}
}

// JobsToSchedule returns the list that TakeJobsToSchedule would return, and does not empty it.
func (s *State) JobsToSchedule() []*Job { return s.toSchedule }

// TakeJobsToSchedule returns and empties the list of jobs that may have new waiting tasks since the last call:
// new jobs, and jobs of which an attempt was removed. No other change makes a task wait.
func (s *State) TakeJobsToSchedule() []*Job {
	jobs := s.toSchedule
	s.toSchedule = nil
	for _, j := range jobs {
		j.isToSchedule = false
	}
	return jobs
}
