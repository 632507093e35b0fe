package emulator

import (
	"time"
)

// imageCache is what a machine has of images: the most recently used stay.
type imageCache struct {
	readyAt map[string]time.Duration // when each is, or was, there
	sizeGB  map[string]float64
	usedAt  map[string]time.Duration
}

// FetchImage is how long a task waits for its image on the worker: a machine fetches an
// image once for all tasks that need it, at its type's rate. It serves as a Fleet's FetchTime.
func FetchImage(worker *Worker, _ string, job *Job) time.Duration {
	c, now := &worker.images, worker.fleet.queue.Now()
	if c.readyAt == nil {
		c.readyAt, c.sizeGB, c.usedAt = map[string]time.Duration{}, map[string]float64{}, map[string]time.Duration{}
	}
	c.usedAt[job.Image] = now
	if ready, known := c.readyAt[job.Image]; known {
		return max(0, ready-now)
	}
	wait := time.Duration(job.ImageGB / max(worker.Size.FetchGBPerS, 1e-3) * float64(time.Second))
	c.readyAt[job.Image], c.sizeGB[job.Image] = now+wait, job.ImageGB
	c.evict(worker)
	return wait
}

// evict drops images that were used longest ago and that no task needs, until the rest fits.
func (c *imageCache) evict(worker *Worker) {
	total := 0.0
	for _, gb := range c.sizeGB {
		total += gb
	}
	for total > worker.Size.CacheGB && worker.Size.CacheGB > 0 {
		needed := map[string]bool{}
		for _, t := range worker.Tasks {
			if j := worker.fleet.Jobs(t.UID); j != nil {
				needed[j.Image] = true
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
		total -= c.sizeGB[oldest]
		delete(c.readyAt, oldest)
		delete(c.sizeGB, oldest)
		delete(c.usedAt, oldest)
	}
}
