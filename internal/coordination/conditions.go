package coordination

import (
	"log/slog"
	"time"

	"claybarrow/internal/sched"
)

// condition is a state of the service that operators tell their users of: it is logged when
// it begins and when it is over, not in between.
type condition struct {
	holds bool
	since time.Duration
}

// becomes notes whether the condition holds now.
func (k *condition) becomes(holds bool, now time.Duration, log *slog.Logger, begins, over string, args ...any) {
	if holds == k.holds {
		return
	}
	if k.holds = holds; holds {
		k.since = now
		log.Info(begins, args...)
		return
	}
	log.Info(over, append(args, "seconds", int((now-k.since).Seconds()))...)
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

// watchBoots says when machines come up late, and when that is over.
func (r *term) watchBoots() {
	booting, late := 0, 0
	for _, m := range r.Machines {
		t := r.c.typeOf(m.Type)
		if m.Up || m.Returning || t == nil {
			continue
		}
		booting++
		if r.c.now > m.Rented+seconds(t.BootS*usualBoots) {
			late++
		}
	}
	holds := late >= leastLate && late*lateBegins >= booting
	if r.lateBoots.holds {
		holds = late > 0 && late*lateIsOver >= booting
	}
	r.lateBoots.becomes(holds, r.c.now, r.c.log, "machines come up late", "machines come up in time again", "late", late, "booting", booting)
}

// poolShort says that a pool has too few machines for what was asked, once until it is over.
func (r *term) poolShort(p sched.Pool, short bool) {
	k := r.shortPools[p]
	if k == nil {
		k = &condition{}
		r.shortPools[p] = k
	}
	k.becomes(short, r.c.now, r.c.log, "pool is short of machines", "pool has machines again", "type", p.Type, "zone", p.Zone, "spot", p.Spot)
}
