package membership

import "time"

// Clock is a reading of the monotonic clock and of the time of day.
type Clock struct {
	Monotonic time.Duration // monotonic time since any fixed start
	Wall      int64         // Unix time in milliseconds
}

// detectorClock is the latest reading of the clock. Its monotonic time never goes back.
type detectorClock struct {
	now  time.Duration // monotonic
	wall int64         // Unix time in milliseconds
	// futureTolerance is by how many milliseconds a valid incarnation may be ahead of our wall
	// clock: twice Settings.ClockError, and Settings.Steady.
	futureTolerance int64
}

func newDetectorClock(settings Settings) detectorClock {
	return detectorClock{futureTolerance: 2*settings.ClockError.Milliseconds() + settings.RejoinDelay.Milliseconds()}
}

// advance takes a reading and returns the monotonic time since the previous one.
func (c *detectorClock) advance(reading Clock) (gap time.Duration) {
	gap = reading.Monotonic - c.now
	c.now, c.wall = max(c.now, reading.Monotonic), reading.Wall
	return gap
}

// isFuture reports whether an incarnation cannot exist yet, by the bound on the clocks' error.
func (c *detectorClock) isFuture(incarnation Incarnation) bool {
	return int64(incarnation) < 0 || int64(incarnation) > c.wall+c.futureTolerance
}
