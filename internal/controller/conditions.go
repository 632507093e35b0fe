package controller

import (
	"log/slog"
	"time"

	"claybarrow/internal/scheduler"
)

// condition is a state of the service that operators tell their users of: it is logged when
// it begins and when it is over, not in between.
type condition struct {
	holds bool
	since time.Duration
}

// update notes whether the condition holds now.
func (c *condition) update(holds bool, now time.Duration, log *slog.Logger, begins, over string, args ...any) {
	if holds == c.holds {
		return
	}
	if c.holds = holds; holds {
		c.since = now
		log.Info(begins, args...)
		return
	}
	log.Info(over, append(args, "seconds", int((now-c.since).Seconds()))...)
}

// Boots are called late when a quarter of the machines that boot, two at least, have taken
// longer than usual, and late no more when none or less than an eighth has.
const (
	leastLate   = 2
	lateBegins  = 4
	lateIsOver  = 8
	usualBoots  = 1.6 // the longest usual boot, by the type's own time
	longestBoot = 2.5 // of one that is still waited for
)

// watchBootTimes says when machines come up late, and when that is over.
func (l *leadership) watchBootTimes() {
	booting, late := 0, 0
	for _, m := range l.state.Machines {
		t := l.controller.catalog.machineType(m.Type)
		if m.Up || m.Releasing || t == nil {
			continue
		}
		booting++
		if l.controller.env.now > m.LaunchedAt+seconds(t.BootS*usualBoots) {
			late++
		}
	}
	holds := late >= leastLate && late*lateBegins >= booting
	if l.lateBoots.holds {
		holds = late > 0 && late*lateIsOver >= booting
	}
	l.lateBoots.update(holds, l.controller.env.now, l.controller.env.log, "machines come up late", "machines come up in time again", "late", late, "booting", booting)
}

// onPoolShortage says that a pool has too few machines for what was asked, once until it is over.
func (l *leadership) onPoolShortage(p scheduler.Pool, short bool) {
	k := l.shortPools[p]
	if k == nil {
		k = &condition{}
		l.shortPools[p] = k
	}
	k.update(short, l.controller.env.now, l.controller.env.log, "pool is short of machines", "pool has machines again", "type", p.Type, "zone", p.Zone, "spot", p.Spot)
}
