package membership

import "time"

// probeSchedule decides when a round of probes starts and which members it probes.
type probeSchedule struct {
	nextRoundAt time.Duration // monotonic
	round       int
	cursor      int // index into the labels of the member where the last round ended
}

// nextRound returns the members to probe if a round is due, at most maxProbesPerRound of them in round-robin
// order. Members that are dead or left are probed only in every absentProbeRounds-th round.
func (s *probeSchedule) nextRound(view *groupView, health *localHealth) []*member {
	now := view.clock.now
	if now < s.nextRoundAt {
		return nil
	}
	s.nextRoundAt = now + health.scale(view.settings.ProbeInterval)
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
