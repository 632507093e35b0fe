package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// cachedJob is a job that may have waiting tasks.
type cachedJob struct {
	// view is the job as the scheduler saw it last.
	view scheduler.Job
	// filled: waiting and resume are those of the job's revision. The first resume tasks of waiting were
	// interrupted.
	filled   bool
	revision uint64
	waiting  []int
	resume   int
	// inZoneRevision is the job's revision when its tasks were last counted by zone.
	inZoneRevision uint64
}

// waitingJobs lists the jobs with tasks that may be started now. reservedTasks counts the tasks that machines are
// reserved for, by job id.
func (c *schedulerCache) waitingJobs(reservedTasks map[string]int) []*scheduler.Job {
	for _, j := range c.state.TakeJobsToSchedule() {
		c.addJob(j)
	}
	list, order := c.jobBuffer[:0], c.waitingOrder[:0]
	for _, j := range c.waitingOrder {
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
			delete(c.cachedJobs, j) // the cluster state names it again once it loses a task
			continue
		}
		order = append(order, j)
		if len(waiting) > 0 {
			list = append(list, c.refreshJob(j, cached, waiting, resume, reservedTasks[j.Spec.UID]))
		}
	}
	c.jobBuffer, c.waitingOrder = list, order
	return list
}

// addJob adds a job to those that each snapshot looks at.
func (c *schedulerCache) addJob(j *clusterstate.Job) {
	if c.cachedJobs[j] == nil {
		c.cachedJobs[j] = &cachedJob{}
		c.waitingOrder = append(c.waitingOrder, j)
	}
}

// waitingTasks is schedulerViews.waitingTasks, from the cache if the job is unchanged. Those of gangs are never
// cached: they depend on the gang's state too.
func (c *schedulerCache) waitingTasks(j *clusterstate.Job, cached *cachedJob) (waiting []int, resume int) {
	if j.Gang != nil || !cached.filled || cached.revision != j.Revision() {
		cached.filled, cached.revision = true, j.Revision()
		cached.waiting, cached.resume = j.AppendWaitingTasks(cached.waiting[:0], maxWaitingTasks)
	}
	return c.views.limitStartable(j, cached.waiting, cached.resume)
}

// refreshJob brings the view of a job up to date. Amounts that change with time are always computed anew; its
// tasks by zone are counted again only if its tasks have changed. A plan, or a gang that found no room for all of
// its tasks, has changed that count for itself only: the view then holds more tasks than the cluster state.
func (c *schedulerCache) refreshJob(j *clusterstate.Job, cached *cachedJob, waiting []int, resume, reservedTasks int) *scheduler.Job {
	inZone := cached.view.InZone
	if inZone == nil || j.Gang != nil || cached.inZoneRevision != j.Revision() || cached.view.Assigned != j.ActiveAttempts {
		inZone, cached.inZoneRevision = j.AttemptsByZone(), j.Revision()
	}
	c.views.updateJobView(&cached.view, j, waiting, resume, reservedTasks)
	cached.view.InZone = inZone
	return &cached.view
}
