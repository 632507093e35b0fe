package scalerun

import (
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// HeldExits tells how many exited tasks the workers' heartbeats listed, which the leader had not told them to forget yet.
type HeldExits struct {
	Mean float64 `json:"mean"` // of all heartbeats
	Most int     `json:"most"` // in one heartbeat
}

// exitCounter counts the exited tasks in heartbeats.
type exitCounter struct{ heartbeats, exits, most int }

// add counts the exited tasks in a worker's next heartbeat.
func (c *exitCounter) add(worker *emulator.Worker) {
	exits := 0
	for _, t := range worker.Tasks {
		if t.State == protocol.TaskExited {
			exits++
		}
	}
	c.heartbeats, c.exits, c.most = c.heartbeats+1, c.exits+exits, max(c.most, exits)
}

// summary returns the counts so far.
func (c *exitCounter) summary() HeldExits {
	return HeldExits{Mean: float64(c.exits) / float64(max(1, c.heartbeats)), Most: c.most}
}
