package membership

import (
	"math"
	"time"
)

// maxConfirmations is how many confirmations bring the suspicion timeout down to the least; in
// smaller groups it is the number of the other members.
const maxConfirmations = 3

// suspicion is the timer of a suspected member.
type suspicion struct {
	since         time.Duration   // monotonic
	confirmations map[string]bool // labels of the other members that claim it suspect, dead or left
}

func newSuspicion(now time.Duration) suspicion {
	return suspicion{since: now, confirmations: map[string]bool{}}
}

// timeout is the time from suspicion to death. It falls with the logarithm of the number of
// confirmations, as in Lifeguard: from factor times the least without any to the least with enough.
func (s *suspicion) timeout(least time.Duration, factor float64, others int) time.Duration {
	enough := min(maxConfirmations, others)
	if enough <= 0 {
		return time.Duration(float64(least) * factor)
	}
	confirmed := min(len(s.confirmations), enough)
	share := math.Log(float64(confirmed)+1) / math.Log(float64(enough)+1)
	return time.Duration(float64(least) * (factor - (factor-1)*share))
}

// suspicionReport is another member's claim that a member is suspect, dead or left.
type suspicionReport struct {
	at          time.Duration // when it came, monotonic
	state       State         // Suspect or Dead
	incarnation Incarnation   // of the member that it is about
}

// isRecent reports whether the report still counts.
func (r suspicionReport) isRecent(now, lifetime time.Duration) bool { return now < r.at+lifetime }

// addReport keeps a report about the member.
func (m *member) addReport(by string, report suspicionReport) {
	if m.reports == nil {
		m.reports = map[string]suspicionReport{}
	}
	m.reports[by] = report
}

// discardOldReports forgets the reports about earlier incarnations than the member's.
func (m *member) discardOldReports() {
	for by, report := range m.reports {
		if report.incarnation < m.incarnation {
			delete(m.reports, by)
		}
	}
}

// worstReport is the worst recent report about the member; its state is Alive if there is none.
func (m *member) worstReport(now, lifetime time.Duration) suspicionReport {
	worst := suspicionReport{}
	for _, report := range m.reports {
		if report.isRecent(now, lifetime) && report.incarnation >= worst.incarnation && report.state > worst.state {
			worst = report
		}
	}
	return worst
}

// startSuspicion starts the member's suspicion timer. Recent reports count as confirmations.
func (m *member) startSuspicion(now time.Duration, wall int64, reportLifetime time.Duration) {
	m.suspicion, m.suspectedAtWall = newSuspicion(now), wall
	for by, report := range m.reports {
		if report.isRecent(now, reportLifetime) && report.incarnation >= m.incarnation {
			m.suspicion.confirmations[by] = true
		}
	}
}
