package membership

import "time"

// probeSchedule decides when rounds of probes begin and whom they probe.
type probeSchedule struct {
	nextRoundAt time.Duration // monotonic
	round       int
	cursor      int // into the labels: where the last round ended, in large groups
}

// nextRound picks the members to probe if a round is due: all of them, and in large groups the next
// few in turn. Those that are dead or left are probed in some rounds only.
func (s *probeSchedule) nextRound(view *groupView, health *localHealth) []*member {
	now := view.clock.now
	if now < s.nextRoundAt {
		return nil
	}
	s.nextRoundAt = now + health.stretch(view.settings.ProbeInterval)
	s.round++
	includeAbsent := s.round%absentProbeRounds == 0
	var targets []*member
	for range view.labels {
		if len(targets) == maxProbesPerRound {
			break
		}
		s.cursor = (s.cursor + 1) % len(view.labels)
		m := view.members[view.labels[s.cursor]]
		if m.probeInFlight || now < m.nextProbeAt || !m.isPresent() && !includeAbsent {
			continue
		}
		targets = append(targets, m)
	}
	return targets
}
