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
	block, _ := strconv.Atoi(values.Get("blockMs"))            // absent: 0
	if len(s.events) >= maxKeptEvents && after+1 < s.events[0].Version {
		reply(statusTooOld, nil)
		return
	}
	open := &watch{client: client, prefix: values.Get("under"), afterRevision: after, reply: reply}
	if s.answerWatch(open, false) {
		return
	}
	s.watches = append(s.watches, open)
	s.queue.After(time.Duration(min(block, maxWatchMillis))*time.Millisecond, func() { s.answerWatch(open, true) })
}

// notifyWatches replies to the watches that match the latest changes.
func (s *StateService) notifyWatches() {
	s.watches = slices.DeleteFunc(s.watches, func(open *watch) bool { return s.answerWatch(open, false) })
}

// answerWatch replies with the changes after the watch's revision, if there are any or the watch has timed out. It
// returns whether the watch has been answered.
func (s *StateService) answerWatch(open *watch, over bool) bool {
	if open.done || s.Down || s.RefusedClients[open.client] {
		return open.done
	}
	out := protocol.WatchReply{Revision: s.revision}
	first := len(s.events) // index of the first event after the watch's revision
	for first > 0 && s.events[first-1].Version > open.afterRevision {
		first--
	}
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Put, open.prefix) && e.Put != "" || strings.HasPrefix(e.Delete, open.prefix) && e.Delete != "" {
			out.Events = append(out.Events, e)
		}
	}
	if len(out.Events) == 0 && !over {
		open.afterRevision = s.revision
		return false
	}
	open.done = true
	open.reply(http.StatusOK, protocol.Encode(out))
	return true
}
