package emulator

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Heartbeat returns the worker's next heartbeat, with the next sequence number.
func (w *Worker) Heartbeat() protocol.WorkerHeartbeat {
	w.Sequence++
	heartbeat := protocol.WorkerHeartbeat{Machine: w.ID, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Epoch: w.Epoch, Sequence: w.Sequence, Token: w.Token,
		Tasks: []protocol.TaskStatus{}}
	if w.PreemptedAt > 0 {
		notice := max(0, (w.PreemptedAt - w.fleet.queue.Now()).Seconds())
		heartbeat.SpotNoticeS = &notice
	}
	for _, key := range slices.Sorted(maps.Keys(w.Tasks)) {
		t := w.Tasks[key]
		task, _, _ := strings.Cut(key, "@")
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: task, Attempt: t.Attempt, State: t.State, Cause: t.Cause, CheckpointSaved: t.CheckpointSaved})
	}
	return heartbeat
}

// scheduleHeartbeat schedules the next heartbeat after a delay, and cancels the heartbeat that was scheduled before.
func (w *Worker) scheduleHeartbeat(delay time.Duration) {
	w.heartbeatTimerID++
	timerID := w.heartbeatTimerID
	w.fleet.queue.After(delay, func() {
		if w.heartbeatTimerID == timerID {
			w.sendHeartbeat()
		}
	})
}

// heartbeatInterval returns the time until the next regular heartbeat, with its jitter.
func (w *Worker) heartbeatInterval() time.Duration {
	timing := w.fleet.Timing
	if timing.Jitter == 0 {
		return timing.HeartbeatInterval
	}
	return time.Duration(float64(timing.HeartbeatInterval) * (1 + timing.Jitter*(2*w.fleet.Random()-1)))
}

// heartbeatSoon schedules a heartbeat as early as Timing.MinHeartbeatPause allows, after a change of its content. If
// a heartbeat is in flight, the next one is scheduled when its reply arrives.
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

// sendHeartbeat sends a heartbeat, or retries after Timing.FailoverDelay if the machine is partitioned or hung.
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
	sentAt, epoch, restarts := f.queue.Now(), w.Epoch, w.restarts
	w.heartbeatInFlight, w.changePending, w.lastHeartbeat = true, false, sentAt
	f.SendHeartbeat(w, w.Controller, body, func(status int, answer []byte) {
		if w.restarts != restarts {
			return
		}
		w.heartbeatInFlight = false
		w.handleHeartbeatReply(sentAt, epoch, status, answer)
	})
}

// handleHeartbeatReply renews the lease and executes the commands in a reply with status 200, follows a redirect, or
// fails over to the next controller. The content of a reply is ignored if its fencing token is lower than the worker's,
// or if the heartbeat was sent in an earlier epoch.
func (w *Worker) handleHeartbeatReply(sentAt time.Duration, epoch uint64, status int, body []byte) {
	f := w.fleet
	if w.Deleted {
		return
	}
	switch status {
	case http.StatusOK:
		var reply protocol.WorkerHeartbeatReply
		if err := protocol.Decode(body, &reply); err != nil {
			f.reportViolation("heartbeat reply cannot be decoded: %v", err)
		}
		if reply.Token >= w.Token && epoch == w.Epoch {
			w.advanceToken(reply.Token)
			w.LeaseRenewedAt = sentAt
			w.Execute(reply.Commands)
		}
		wait := w.heartbeatInterval()
		if w.changePending {
			wait = max(0, w.lastHeartbeat+f.Timing.MinHeartbeatPause-f.queue.Now())
		}
		w.scheduleHeartbeat(wait)
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		_ = protocol.Decode(body, &redirect) // the reply may name no leader
		if controller := f.ControllerByName(redirect.Leader); controller >= 0 && controller != w.Controller {
			w.Controller = controller
			w.scheduleHeartbeat(f.Timing.RedirectDelay)
			return
		}
		w.tryNextController()
	default:
		w.tryNextController()
	}
}

// tryNextController schedules the next heartbeat to the next controller, after Timing.FailoverDelay.
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
