package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// cachedJob is a job that may have waiting tasks.
type cachedJob struct {
	// view is the job's view in the last snapshot that contained the job.
	view scheduler.Job
	// filled is set once waiting and resume hold the job's waiting tasks at the given revision. The first resume tasks
	// of waiting were interrupted.
	filled   bool
	revision uint64
	waiting  []int
	resume   int
	// inZoneRevision is the job's revision at the last count of its tasks by zone.
	inZoneRevision uint64
}

// waitingJobs lists the jobs with tasks that may be started now. reservedTasks counts the tasks for which machines are
// reserved, by job id.
func (c *schedulerCache) waitingJobs(reservedTasks map[string]int) []*scheduler.Job {
	for _, j := range c.state.TakeJobsToSchedule() {
		c.addJob(j)
	}
	jobs, remainingOrder := c.jobBuffer[:0], c.cachedJobOrder[:0]
	for _, j := range c.cachedJobOrder {
		cached := c.cachedJobs[j]
		if c.state.Jobs[j.Spec.UID] != j {
			delete(c.cachedJobs, j)
			continue
		}
		waiting, resume := []int(nil), 0
		if j.Stored {
			waiting, resume = c.waitingTasks(j, cached)
		}
		if j.Stored && len(waiting) == 0 && j.ActiveAttempts > 0 && j.OpenTasks() == 0 {
			delete(c.cachedJobs, j) // TakeJobsToSchedule returns the job again after an attempt of it is removed
			continue
		}
		remainingOrder = append(remainingOrder, j)
		if len(waiting) > 0 {
			jobs = append(jobs, c.refreshJob(j, cached, waiting, resume, reservedTasks[j.Spec.UID]))
		}
	}
	c.jobBuffer, c.cachedJobOrder = jobs, remainingOrder
	return jobs
}

// addJob adds a job to the cached jobs, which each snapshot examines for waiting tasks.
func (c *schedulerCache) addJob(j *clusterstate.Job) {
	if c.cachedJobs[j] == nil {
		c.cachedJobs[j] = &cachedJob{}
		c.cachedJobOrder = append(c.cachedJobOrder, j)
	}
}

// waitingTasks returns the result of schedulerViews.waitingTasks, from the cache if the job's revision is unchanged.
// The waiting tasks of gangs are not cached, as they also depend on the gang's state.
func (c *schedulerCache) waitingTasks(j *clusterstate.Job, cached *cachedJob) (waiting []int, resume int) {
	if j.Gang != nil || !cached.filled || cached.revision != j.Revision() {
		cached.filled, cached.revision = true, j.Revision()
		cached.waiting, cached.resume = j.AppendWaitingTasks(cached.waiting[:0], maxWaitingTasks)
	}
	return c.views.limitStartable(j, cached.waiting, cached.resume)
}

// refreshJob updates the view of a job. Values that change with time are always recomputed. The tasks by zone are
// counted again only if the job's tasks have changed, or if the scheduler has changed the count in the view without
// starting a task: a plan does that, and so does a gang for which not all tasks found room. In that case the number of
// assigned tasks in the view differs from the cluster state.
func (c *schedulerCache) refreshJob(j *clusterstate.Job, cached *cachedJob, waiting []int, resume, reservedTasks int) *scheduler.Job {
	inZone := cached.view.InZone
	if inZone == nil || j.Gang != nil || cached.inZoneRevision != j.Revision() || cached.view.Assigned != j.ActiveAttempts {
		inZone, cached.inZoneRevision = j.AttemptsByZone(), j.Revision()
	}
	c.views.updateJobView(&cached.view, j, waiting, resume, reservedTasks)
	cached.view.InZone = inZone
	return &cached.view
}
