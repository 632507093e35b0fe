package membership

import "time"

// Clock is a reading of the monotonic clock and of the wall clock.
type Clock struct {
	Monotonic time.Duration // monotonic time since an arbitrary fixed start
	Wall      int64         // Unix time in milliseconds
}

// detectorClock is the latest clock reading. Its monotonic time never decreases.
type detectorClock struct {
	now  time.Duration // monotonic
	wall int64         // Unix time in milliseconds
	// futureTolerance is how many milliseconds a valid incarnation may be ahead of the local wall
	// clock: twice Settings.ClockError plus Settings.RejoinDelay.
	futureTolerance int64
}

func newDetectorClock(settings Settings) detectorClock {
	return detectorClock{futureTolerance: 2*settings.ClockError.Milliseconds() + settings.RejoinDelay.Milliseconds()}
}

// advance stores a reading and returns the monotonic time since the previous reading.
func (c *detectorClock) advance(reading Clock) (gap time.Duration) {
	gap = reading.Monotonic - c.now
	c.now, c.wall = max(c.now, reading.Monotonic), reading.Wall
	return gap
}

// isFuture reports whether an incarnation is further ahead of the wall clock than the clock error allows.
func (c *detectorClock) isFuture(incarnation Incarnation) bool {
	return int64(incarnation) < 0 || int64(incarnation) > c.wall+c.futureTolerance
}
