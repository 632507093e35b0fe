package controller

import (
	"strings"

	"claybarrow/internal/protocol"
)

// A controller without the feature gate is simulated by the current version with the feature off. The functions of this
// file remove from its messages what such a version neither sends nor decodes: the version statement in heartbeats, the
// gate's state in the leader record, and the lease key. The decoder of such a version drops unknown fields and ignores
// unknown keys. The simulated controller's own messages and transactions are byte-identical to those of version
// 0eeb63e, see TestStoredBytesWithoutJournal.

// logSink passes each log line to a function.
type logSink func(line []byte)

// Write implements io.Writer.
func (s logSink) Write(line []byte) (int, error) {
	s(line)
	return len(line), nil
}

// olderCall removes from a request the fields that an older version does not send.
func olderCall(c Call) Call {
	var heartbeat protocol.PeerHeartbeat
	if c.Path == "/heartbeat" && protocol.DecodePeer(c.Body, &heartbeat) == nil {
		heartbeat.Versions = nil
		c.Body = protocol.EncodePeer(heartbeat)
	}
	return c
}

// olderReply removes from a reply to another controller the fields that an older version does not send.
func olderReply(c Call, body []byte) []byte {
	var reply protocol.PeerHeartbeatReply
	if c.Path == "/heartbeat" && protocol.DecodePeer(body, &reply) == nil {
		reply.Versions = nil
		return protocol.EncodePeer(reply)
	}
	return body
}

// olderStateReply removes from a reply of the state service the keys and fields that an older version does not read.
func olderStateReply(c Call, body []byte) []byte {
	if c.Target != ToState || len(body) == 0 {
		return body
	}
	switch {
	case strings.HasPrefix(c.Path, "/follow?"):
		var events protocol.WatchReply
		if protocol.Decode(body, &events) != nil {
			return body
		}
		readable := events.Events[:0]
		for _, e := range events.Events {
			if e.Put != keyLease && e.Delete != keyLease {
				e.Value = olderLeader(e.Put, e.Value)
				readable = append(readable, e)
			}
		}
		events.Events = readable
		return protocol.Encode(events)
	case strings.HasPrefix(c.Path, "/store?under="+keyPrefix):
		var items protocol.KeyValuePage
		if protocol.Decode(body, &items) != nil {
			return body
		}
		readable := items.Items[:0]
		for _, item := range items.Items {
			if item.Key != keyLease {
				item.Value = olderLeader(item.Key, item.Value)
				readable = append(readable, item)
			}
		}
		items.Items = readable
		return protocol.Encode(items)
	}
	return body
}

// olderLeader returns the value of a key as an older version decodes it: a leader record without the gate's state.
func olderLeader(key string, value []byte) []byte {
	var rec leaderRecord
	if key != keyLeader || len(value) == 0 || protocol.Decode(value, &rec) != nil {
		return value
	}
	rec.StorageVersion, rec.Closing = 0, false
	return protocol.Encode(rec)
}
