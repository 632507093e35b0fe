package emulator

import (
	"time"
)

// imageCache tracks the images on a machine, and evicts the least recently used ones first.
type imageCache struct {
	readyAt map[string]time.Duration // when the fetch of each image completes or completed
	sizeGB  map[string]float64
	usedAt  map[string]time.Duration
}

// minFetchGBPerS keeps the fetch time finite for machine types without a fetch rate.
const minFetchGBPerS = 1e-3

// FetchImage returns how long a task waits for its image on the worker. It is an implementation of Fleet.FetchTime. A
// machine fetches an image once for all tasks that need it, at the fetch rate of its machine type.
func FetchImage(worker *Worker, _ string, job *Job) time.Duration {
	c, now := &worker.images, worker.fleet.queue.Now()
	if c.readyAt == nil {
		c.readyAt, c.sizeGB, c.usedAt = map[string]time.Duration{}, map[string]float64{}, map[string]time.Duration{}
	}
	c.usedAt[job.Image] = now
	if readyAt, cached := c.readyAt[job.Image]; cached {
		return max(0, readyAt-now)
	}
	wait := time.Duration(job.ImageGB / max(worker.MachineType.FetchGBPerS, minFetchGBPerS) * float64(time.Second))
	c.readyAt[job.Image], c.sizeGB[job.Image] = now+wait, job.ImageGB
	c.evict(worker)
	return wait
}

// evict removes the least recently used images that no task of the worker needs, until the others fit into the cache.
func (c *imageCache) evict(worker *Worker) {
	totalGB := 0.0
	for _, gb := range c.sizeGB {
		totalGB += gb
	}
	for totalGB > worker.MachineType.CacheGB && worker.MachineType.CacheGB > 0 {
		needed := map[string]bool{}
		for _, t := range worker.Tasks {
			if job := worker.fleet.Jobs(t.UID); job != nil {
				needed[job.Image] = true
			}
		}
		oldest := ""
		for name := range c.readyAt {
			if !needed[name] && (oldest == "" || c.usedAt[name] < c.usedAt[oldest]) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		totalGB -= c.sizeGB[oldest]
		delete(c.readyAt, oldest)
		delete(c.sizeGB, oldest)
		delete(c.usedAt, oldest)
	}
}
