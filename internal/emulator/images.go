package emulator

import (
	"time"
)

// imageCache is what a machine has of images: the most recently used stay.
type imageCache struct {
	ready map[string]time.Duration // when each is, or was, there
	size  map[string]float64
	used  map[string]time.Duration
}

// FetchImage is how long a task waits for its image on the worker: a machine fetches an
// image once for all tasks that need it, at its type's rate. It serves as a Fleet's FetchTime.
func FetchImage(k *Worker, _ string, job *Job) time.Duration {
	c, now := &k.images, k.fleet.queue.Now()
	if c.ready == nil {
		c.ready, c.size, c.used = map[string]time.Duration{}, map[string]float64{}, map[string]time.Duration{}
	}
	c.used[job.Image] = now
	if ready, known := c.ready[job.Image]; known {
		return max(0, ready-now)
	}
	wait := time.Duration(job.ImageGB / max(k.Size.FetchGBPerS, 1e-3) * float64(time.Second))
	c.ready[job.Image], c.size[job.Image] = now+wait, job.ImageGB
	c.evict(k)
	return wait
}

// evict drops images that were used longest ago and that no task needs, until the rest fits.
func (c *imageCache) evict(k *Worker) {
	total := 0.0
	for _, gb := range c.size {
		total += gb
	}
	for total > k.Size.CacheGB && k.Size.CacheGB > 0 {
		needed := map[string]bool{}
		for _, t := range k.Tasks {
			if j := k.fleet.Jobs(t.UID); j != nil {
				needed[j.Image] = true
			}
		}
		oldest := ""
		for name := range c.ready {
			if !needed[name] && (oldest == "" || c.used[name] < c.used[oldest]) {
				oldest = name
			}
		}
		if oldest == "" {
			return
		}
		total -= c.size[oldest]
		delete(c.ready, oldest)
		delete(c.size, oldest)
		delete(c.used, oldest)
	}
}
