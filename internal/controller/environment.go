package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"claybarrow/internal/config"
)

// environment is what every part of a controller works with: its settings, its log, the time of the event
// that is being handled, and the source of random numbers.
type environment struct {
	cfg  *config.Config
	rng  *rand.Rand
	log  *slog.Logger
	now  time.Duration
	wall int64
	// incarnation tells this process from earlier ones of the same label.
	incarnation string
	observer    Observer
}
