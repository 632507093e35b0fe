package emulator

import (
	"encoding/json"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"claybarrow/internal/protocol"
)

// transaction is a protocol.Transaction whose values are not decoded, so that they are stored as they were received.
type transaction struct {
	If   []protocol.Condition `msgpack:"if"`
	Then []struct {
		Put    string             `msgpack:"put"`
		Value  msgpack.RawMessage `msgpack:"data"`
		Lease  uint64             `msgpack:"tenure"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"apply"`
}

// maxJSONGrowth is the highest ratio of a value's size in JSON to its size in MessagePack. A value that is smaller than
// the limit by this factor is accepted without converting it to JSON.
const maxJSONGrowth = 6

// tooLarge reports whether a transaction exceeds Limits.
func (s *StateService) tooLarge(t *transaction) bool {
	if s.Limits.Changes > 0 && len(t.Then) > s.Limits.Changes {
		return true
	}
	if s.Limits.ValueBytes == 0 {
		return false
	}
	for _, change := range t.Then {
		if len(change.Value)*maxJSONGrowth <= s.Limits.ValueBytes {
			continue
		}
		var value any
		if len(change.Value) > 0 && protocol.Decode(change.Value, &value) != nil {
			return true
		}
		if text, err := json.Marshal(value); err != nil || len(text) > s.Limits.ValueBytes {
			return true
		}
	}
	return false
}

// transact applies a transaction, unless it is malformed, too large or exceeds the rate limit of changes.
func (s *StateService) transact(body []byte, reply Reply) {
	s.Stats.Transactions++
	s.Stats.Bytes += int64(len(body))
	var t transaction
	if err := protocol.Decode(body, &t); err != nil {
		s.reportViolation("transaction cannot be decoded: %v", err)
		reply(http.StatusBadRequest, nil)
		return
	}
	if limit := s.MaxChanges; limit > 0 && (len(body) > protocol.MaxBodyBytes || len(t.Then) > limit || len(t.If) > maxConditionsPerChange*limit) {
		s.reportViolation("transaction exceeds the limits: %d changes, %d conditions, %d bytes", len(t.Then), len(t.If), len(body))
	}
	if s.tooLarge(&t) {
		s.TooLargeTransactions++
		reply(http.StatusBadRequest, nil)
		return
	}
	if s.refusedByInjectedFault(body) {
		reply(http.StatusBadRequest, nil)
		return
	}
	if !s.changeBudget.allow(s.queue.Now(), s.Limits.ChangeRate, float64(len(t.Then))) {
		s.Stats.RateLimited++
		reply(statusTooMany, nil)
		return
	}
	s.apply(&t, reply)
}

// refusedByInjectedFault reports whether RefuseAsMalformed refuses a transaction.
func (s *StateService) refusedByInjectedFault(body []byte) bool {
	if s.RefuseAsMalformed == nil {
		return false
	}
	var txn protocol.Transaction
	return protocol.Decode(body, &txn) != nil || s.RefuseAsMalformed(txn)
}

// apply performs a transaction as a compare-and-swap: if all conditions hold, it makes the changes in one revision. A
// condition holds if the key has the given version; the version of a key that does not exist is 0.
func (s *StateService) apply(t *transaction, reply Reply) {
	if failed := s.failedConditions(t.If); len(failed) > 0 {
		s.Stats.Conflicts++
		reply(http.StatusConflict, protocol.Encode(protocol.TransactionReply{Revision: s.revision, Failed: failed}))
		return
	}
	for _, change := range t.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			reply(http.StatusBadRequest, nil)
			return
		}
	}
	s.revision++
	s.Stats.Changes += int64(len(t.Then))
	for _, change := range t.Then {
		if change.Delete != "" {
			if s.Item(change.Delete) != nil {
				s.applyChange(change.Delete, nil)
			}
			continue
		}
		s.applyChange(change.Put, &Item{Value: change.Value, Lease: change.Lease})
	}
	reply(http.StatusOK, protocol.Encode(protocol.TransactionReply{Revision: s.revision}))
	s.notifyWatches()
}

// failedConditions returns the keys of the conditions that do not hold.
func (s *StateService) failedConditions(conditions []protocol.Condition) (failed []string) {
	for _, condition := range conditions {
		version := uint64(0)
		if item := s.Item(condition.Key); item != nil {
			version = item.Version
		}
		if version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}
