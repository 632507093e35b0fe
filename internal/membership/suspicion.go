package membership

import (
	"math"
	"time"
)

// maxConfirmations is the number of confirmations that reduce the suspicion timeout to its minimum. A group
// with fewer other members needs a confirmation by each of them.
const maxConfirmations = 3

// suspicion is the timer of a suspect member.
type suspicion struct {
	since         time.Duration   // monotonic
	confirmations map[string]bool // labels of the other members that claim it suspect, dead or left
}

func newSuspicion(now time.Duration) suspicion {
	return suspicion{since: now, confirmations: map[string]bool{}}
}

// timeout returns the time after which the suspect is declared dead. As in Lifeguard, it decreases with the
// logarithm of the number of confirmations. It is factor*least without confirmations, and least once
// maxConfirmations members, or all other members in a smaller group, have confirmed the suspicion.
func (s *suspicion) timeout(least time.Duration, factor float64, others int) time.Duration {
	required := min(maxConfirmations, others)
	if required <= 0 {
		return time.Duration(float64(least) * factor)
	}
	confirmed := min(len(s.confirmations), required)
	share := math.Log(float64(confirmed)+1) / math.Log(float64(required)+1)
	return time.Duration(float64(least) * (factor - (factor-1)*share))
}

// suspicionReport is a claim by another member that a member is suspect, dead or left.
type suspicionReport struct {
	at          time.Duration // when the claim was received, monotonic
	state       State         // Suspect or Dead
	incarnation Incarnation   // claimed incarnation of the reported member
}

// isRecent reports whether the report is younger than lifetime.
func (r suspicionReport) isRecent(now, lifetime time.Duration) bool { return now < r.at+lifetime }

// addReport stores a report about the member. It replaces an earlier report by the same member.
func (m *member) addReport(reporter string, report suspicionReport) {
	if m.reports == nil {
		m.reports = map[string]suspicionReport{}
	}
	m.reports[reporter] = report
}

// discardOldReports deletes the reports about incarnations earlier than the member's current one.
func (m *member) discardOldReports() {
	for reporter, report := range m.reports {
		if report.incarnation < m.incarnation {
			delete(m.reports, reporter)
		}
	}
}

// worstReport returns the worst recent report about the member, or a report with state Alive if there is none.
func (m *member) worstReport(now, lifetime time.Duration) suspicionReport {
	worst := suspicionReport{}
	for _, report := range m.reports {
		if report.isRecent(now, lifetime) && report.incarnation >= worst.incarnation && report.state > worst.state {
			worst = report
		}
	}
	return worst
}

// startSuspicion starts the suspicion timer of the member. Recent reports count as confirmations.
func (m *member) startSuspicion(now time.Duration, wall int64, reportLifetime time.Duration) {
	m.suspicion, m.suspectedAtWall = newSuspicion(now), wall
	for reporter, report := range m.reports {
		if report.isRecent(now, reportLifetime) && report.incarnation >= m.incarnation {
			m.suspicion.confirmations[reporter] = true
		}
	}
}
