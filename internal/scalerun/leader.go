package scalerun

import (
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Keys under which the program stores its leader.
const (
	leaderKey = "c/leader"
	// leaseKey is attached to the leader's lease while the feature gate is not closed.
	leaseKey = "c/lease"
)

// leaderRecord is the value of leaderKey.
type leaderRecord struct {
	Label string `msgpack:"l"`
	Token uint64 `msgpack:"n"`
	// Form is not 0 while the feature gate is not closed: then the leader's key is permanent, and
	// whether its holder leads is told by the key that is attached to the lease.
	Form uint64 `msgpack:"f"`
}

// leaderMonitor reads the leader from the emulated state service, counts the changes of the leader
// and measures the time without one.
type leaderMonitor struct {
	state   *emulator.StateService
	queue   *emulator.EventQueue
	metrics *metrics
	token   uint64        // fencing token of the last leader that was seen
	lostAt  time.Duration // since when there is no leader; 0: there is one
}

// current returns the record of the leader, and whether somebody leads.
func (m *leaderMonitor) current() (leaderRecord, bool) {
	var record leaderRecord
	item := m.state.Item(leaderKey)
	if item == nil || protocol.Decode(item.Value, &record) != nil {
		return record, false
	}
	return record, record.Form == 0 || m.state.Item(leaseKey) != nil
}

// poll updates the counts from the present leader, and returns its record.
func (m *leaderMonitor) poll() leaderRecord {
	now := m.queue.Now()
	record, leads := m.current()
	if !leads {
		m.markLost()
		return record
	}
	if record.Token == m.token {
		return record // also one that has been killed, until its lease expires
	}
	if m.token > 0 && m.metrics.measuring {
		m.metrics.leaderChanges++
		if m.lostAt > 0 {
			m.metrics.leaderGaps.add(now - m.lostAt)
		}
	}
	m.lostAt, m.token = 0, record.Token
	return record
}

// markLost starts the time without a leader, if it does not run already and there was a leader.
func (m *leaderMonitor) markLost() {
	if m.lostAt == 0 && m.token > 0 {
		m.lostAt = m.queue.Now()
	}
}
