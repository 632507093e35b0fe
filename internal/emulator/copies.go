package emulator

import (
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// CopySettings describes late copies of direct requests: a request that a worker has executed and answered arrives
// again, and nobody waits for the answer to the copy. The zero value delivers none.
type CopySettings struct {
	// Share is the share of the executed requests that are copied, from 0 to 1.
	Share float64
	// MaxCopies is the highest number of copies of one request; 0 stands for one. The number is drawn for each request.
	MaxCopies int
	// MinDelay and MaxDelay bound the time from the answer to the arrival of a copy, which is drawn for each copy.
	MinDelay, MaxDelay time.Duration
}

// CopyOutcomes counts the copies of direct requests that have arrived.
type CopyOutcomes struct {
	// Executed copies carried a token and an epoch that the worker accepted; their commands may have had no effect.
	Executed int
	// RefusedByEpoch and RefusedByToken count copies that the worker refused: for another epoch, and for a token lower
	// than the highest one that it has seen.
	RefusedByEpoch, RefusedByToken int
	// Lost copies reached no worker.
	Lost int
}

// scheduleCopies schedules the late copies of a direct request that the worker has just executed.
func (w *Worker) scheduleCopies(body []byte) {
	settings := w.fleet.Copies
	if settings.Share <= 0 || w.fleet.Random() >= settings.Share {
		return
	}
	copies := 1
	if settings.MaxCopies > 1 {
		copies += int(w.fleet.Random() * float64(settings.MaxCopies))
	}
	for range copies {
		spread := float64(settings.MaxDelay - settings.MinDelay)
		delay := settings.MinDelay + time.Duration(w.fleet.Random()*spread)
		w.fleet.queue.After(delay, func() { w.receiveCopy(body) })
	}
}

// receiveCopy executes a late copy of a direct request: at once, or when the machine resumes if it is hung.
func (w *Worker) receiveCopy(body []byte) {
	outcomes := &w.fleet.CopyOutcomes
	if !w.Reachable() {
		outcomes.Lost++
		return
	}
	if w.Hung {
		w.deferredRequests = append(w.deferredRequests, func() { w.receiveCopy(body) })
		return
	}
	var request protocol.CommandRequest
	if protocol.Decode(body, &request) != nil {
		return // the worker has reported the original request
	}
	refusedByEpoch := request.Epoch != w.Epoch
	status, _ := w.executeCommands(request)
	switch {
	case status == http.StatusOK:
		outcomes.Executed++
	case refusedByEpoch:
		outcomes.RefusedByEpoch++
	default:
		outcomes.RefusedByToken++
	}
}
