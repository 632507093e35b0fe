package scalerun

import (
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Keys under which the controllers store the leader in the state service.
const (
	leaderKey = "c/leader"
	// leaseKey is bound to the leader's lease while the feature gate is not closed.
	leaseKey = "c/lease"
	// counterKey holds the highest token that a leader was elected with or has reserved.
	counterKey = "c/token"
)

// leaderRecord is the value of leaderKey.
type leaderRecord struct {
	Label string `msgpack:"l"`
	Token uint64 `msgpack:"n"`
	// Form is not 0 while the feature gate is not closed. The leader's key is then permanent, and the recorded
	// controller is the leader only while leaseKey exists.
	Form uint64 `msgpack:"f"`
}

// leaderMonitor reads the current leader from the emulated state service, counts leader changes and measures the time
// without a leader.
type leaderMonitor struct {
	state   *emulator.StateService
	queue   *emulator.EventQueue
	metrics *metrics
	token   uint64        // fencing token of the last observed leader
	lostAt  time.Duration // when the leader was lost; 0: there is a leader
}

// current returns the leader's record and whether there is a leader.
func (m *leaderMonitor) current() (leaderRecord, bool) {
	var record leaderRecord
	item := m.state.Item(leaderKey)
	if item == nil || protocol.Decode(item.Value, &record) != nil {
		return record, false
	}
	return record, record.Form == 0 || m.state.Item(leaseKey) != nil
}

// electedToken returns the token with which the sender of a token was elected: the present leader's if the sender is the
// leader, who may have reserved higher tokens, and the token itself otherwise.
func (m *leaderMonitor) electedToken(token uint64) uint64 {
	record, _ := m.current()
	reserved := struct {
		Token uint64 `msgpack:"n"`
	}{record.Token}
	if item := m.state.Item(counterKey); item != nil && protocol.Decode(item.Value, &reserved) != nil {
		return token
	}
	if token > record.Token && token <= reserved.Token {
		return record.Token
	}
	return token
}

// poll updates the counts from the current leader's record and returns the record.
func (m *leaderMonitor) poll() leaderRecord {
	now := m.queue.Now()
	record, hasLeader := m.current()
	if !hasLeader {
		m.markLost()
		return record
	}
	if record.Token == m.token {
		return record // a killed leader remains recorded until its lease expires
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

// markLost records the time of the leader's loss, unless it is already recorded or there has been no leader yet.
func (m *leaderMonitor) markLost() {
	if m.lostAt == 0 && m.token > 0 {
		m.lostAt = m.queue.Now()
	}
}
