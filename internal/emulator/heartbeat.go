package emulator

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Heartbeat returns the worker's next heartbeat, under the next sequence number.
func (w *Worker) Heartbeat() protocol.WorkerHeartbeat {
	w.Seq++
	m := protocol.WorkerHeartbeat{Machine: w.ID, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Epoch: w.Epoch, Sequence: w.Seq, Token: w.Token,
		Tasks: []protocol.TaskStatus{}}
	if w.PreemptedAt > 0 {
		notice := max(0, (w.PreemptedAt - w.fleet.queue.Now()).Seconds())
		m.SpotNoticeS = &notice
	}
	for _, name := range slices.Sorted(maps.Keys(w.Tasks)) {
		t := w.Tasks[name]
		task, _, _ := strings.Cut(name, "@")
		m.Tasks = append(m.Tasks, protocol.TaskStatus{Task: task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, CheckpointSaved: t.CheckpointSaved})
	}
	return m
}

// scheduleHeartbeat sends the next heartbeat after a while, in place of the one that was due.
func (w *Worker) scheduleHeartbeat(d time.Duration) {
	w.heartbeatTimer++
	generation := w.heartbeatTimer
	w.fleet.queue.After(d, func() {
		if w.heartbeatTimer == generation {
			w.sendHeartbeat()
		}
	})
}

// heartbeatInterval returns the time until the next heartbeat if nothing changes.
func (w *Worker) heartbeatInterval() time.Duration {
	t := w.fleet.Timing
	if t.Jitter == 0 {
		return t.HeartbeatInterval
	}
	return time.Duration(float64(t.HeartbeatInterval) * (1 + t.Jitter*(2*w.fleet.Random()-1)))
}

// heartbeatSoon sends a heartbeat as soon as Timing.MinHeartbeatPause allows, because its content has changed.
// If one is in flight the next follows its answer.
func (w *Worker) heartbeatSoon() {
	f := w.fleet
	if f.Timing.MinHeartbeatPause == 0 || !w.Up || w.Deleted {
		return
	}
	if w.changePending {
		return
	}
	w.changePending = true
	if !w.heartbeatInFlight {
		w.scheduleHeartbeat(max(0, w.lastHeartbeat+f.Timing.MinHeartbeatPause-f.queue.Now()))
	}
}

// sendHeartbeat sends the heartbeat that is due, or tries again later if the machine is cut off or hung.
func (w *Worker) sendHeartbeat() {
	f := w.fleet
	if w.Deleted {
		return
	}
	if w.Partitioned || w.Hung {
		w.scheduleHeartbeat(f.Timing.FailoverDelay)
		return
	}
	body := protocol.Encode(w.Heartbeat())
	if w.OnHeartbeat != nil {
		w.OnHeartbeat(body)
	}
	sent, session := f.queue.Now(), w.Epoch
	w.heartbeatInFlight, w.changePending, w.lastHeartbeat = true, false, sent
	f.SendHeartbeat(w, w.Controller, body, func(status int, answer []byte) {
		w.heartbeatInFlight = false
		w.handleHeartbeatReply(sent, session, status, answer)
	})
}

// handleHeartbeatReply carries out the commands of a controller that leads, follows a redirect, or turns
// to the next controller. An answer under an earlier fencing token, or to an earlier session's heartbeat,
// is ignored.
func (w *Worker) handleHeartbeatReply(sent time.Duration, session uint64, status int, body []byte) {
	f := w.fleet
	if w.Deleted {
		return
	}
	switch status {
	case http.StatusOK:
		var reply protocol.WorkerHeartbeatReply
		if err := protocol.Decode(body, &reply); err != nil {
			f.reportViolation("a report's answer can't be read: %v", err)
		}
		if reply.Token >= w.Token && session == w.Epoch {
			w.advanceToken(reply.Token)
			w.LeaseRenewedAt = sent
			w.Execute(reply.Commands)
		}
		wait := w.heartbeatInterval()
		if w.changePending {
			wait = max(0, w.lastHeartbeat+f.Timing.MinHeartbeatPause-f.queue.Now())
		}
		w.scheduleHeartbeat(wait)
	case http.StatusMisdirectedRequest:
		var elsewhere protocol.Redirect
		_ = protocol.Decode(body, &elsewhere) // a missing name is allowed
		if n := f.ControllerByName(elsewhere.Leader); n >= 0 && n != w.Controller {
			w.Controller = n
			w.scheduleHeartbeat(f.Timing.RedirectDelay)
			return
		}
		w.tryNextController()
	default:
		w.tryNextController()
	}
}

// tryNextController sends the next heartbeat to the next controller.
func (w *Worker) tryNextController() {
	w.Controller = (w.Controller + 1) % w.fleet.Controllers
	w.scheduleHeartbeat(w.fleet.Timing.FailoverDelay)
}

// advanceToken raises the highest fencing token that the worker has seen.
func (w *Worker) advanceToken(token uint64) {
	if token > w.Token {
		w.Token = token
		w.heartbeatSoon()
	}
}
