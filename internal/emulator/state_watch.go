package emulator

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// watch is a long-polling request for the changes of keys under a prefix.
type watch struct {
	client        int
	prefix        string
	afterRevision uint64
	reply         Reply
	done          bool
}

// openWatch replies to a watch at once if there are changes after its revision. Otherwise the reply follows with the
// next change, or without changes when the timeout that the client requests has passed.
func (s *StateService) openWatch(client int, values url.Values, reply Reply) {
	after, _ := strconv.ParseUint(values.Get("after"), 10, 64) // absent: 0
	blockMillis, _ := strconv.Atoi(values.Get("blockMs"))      // absent: 0
	if len(s.events) >= maxRetainedEvents && after+1 < s.events[0].Version {
		reply(statusTooOld, nil)
		return
	}
	pending := &watch{client: client, prefix: values.Get("under"), afterRevision: after, reply: reply}
	if s.answerWatch(pending, false) {
		return
	}
	s.watches = append(s.watches, pending)
	s.queue.After(time.Duration(min(blockMillis, maxWatchMillis))*time.Millisecond, func() { s.answerWatch(pending, true) })
}

// notifyWatches replies to the watches that match the latest changes.
func (s *StateService) notifyWatches() {
	s.watches = slices.DeleteFunc(s.watches, func(pending *watch) bool { return s.answerWatch(pending, false) })
}

// answerWatch replies with the changes after the watch's revision, if there are any or the watch has timed out. It
// returns whether the watch has been answered.
func (s *StateService) answerWatch(pending *watch, timedOut bool) bool {
	if pending.done || s.Down || s.RefusedClients[pending.client] {
		return pending.done
	}
	watchReply := protocol.WatchReply{Revision: s.revision}
	firstIndex := len(s.events) // index of the first event after the watch's revision
	for firstIndex > 0 && s.events[firstIndex-1].Version > pending.afterRevision {
		firstIndex--
	}
	for _, event := range s.events[firstIndex:] {
		if strings.HasPrefix(event.Put, pending.prefix) && event.Put != "" || strings.HasPrefix(event.Delete, pending.prefix) && event.Delete != "" {
			watchReply.Events = append(watchReply.Events, event)
		}
	}
	if len(watchReply.Events) == 0 && !timedOut {
		pending.afterRevision = s.revision
		return false
	}
	pending.done = true
	pending.reply(http.StatusOK, protocol.Encode(watchReply))
	return true
}
