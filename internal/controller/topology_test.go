package controller

import (
	"fmt"
	"testing"

	"claybarrow/internal/protocol"
)

// With unusual topologies, replicas and arrays run as usual, and a failover restarts no task.
func TestUnusualTopologies(t *testing.T) {
	for name, shape := range map[string]topology{
		"one zone":                           {controllers: []string{"a", "a", "a"}, zones: []string{"a"}, teams: defaultTopology.teams},
		"one controller":                     {controllers: []string{"a"}, zones: []string{"a"}, teams: defaultTopology.teams},
		"two zones with one controller each": {controllers: []string{"a", "b"}, zones: defaultTopology.zones, teams: defaultTopology.teams},
		"a zone without a controller":        {controllers: []string{"a", "a", "a"}, zones: defaultTopology.zones, teams: defaultTopology.teams},
		"a team without a guarantee": {controllers: defaultTopology.controllers, zones: defaultTopology.zones,
			teams: `{"name":"red","cpus":0,"cpus_max":32},{"name":"blue","cpus":8,"cpus_max":16}`},
	} {
		t.Run(name, func(t *testing.T) { checkTopologyIsServed(t, shape) })
	}
}

func checkTopologyIsServed(t *testing.T, shape topology) {
	w := newWorldWithTopology(t, 66, testOperator, shape)
	if len(w.workers()) > 0 {
		t.Fatal("the cloud has machines before any job is submitted")
	}
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 3})
	w.submit("j-2", map[string]any{"shards": 6, "cores": 2.0})
	w.submit("j-3", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "owner": "blue", "rank": "production"})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 3 && w.running("j-3") == 2 })
	w.awaitStatus(200*second, "j-2", protocol.JobDone)
	lead := w.leader()
	startsBefore := w.totalStarts()
	w.crash(lead)
	w.run(3 * second)
	w.boot(lead)
	w.awaitLeader()
	w.run(30 * second)
	if w.running("j-1") != 3 || w.running("j-3") != 2 || w.totalStarts() != startsBefore {
		t.Errorf("%d and %d replicas run after a failover, want 3 and 2; %d tasks were started, want none", w.running("j-1"), w.running("j-3"), w.totalStarts()-startsBefore)
	}
	w.settle()
}

// Two zones with one controller each are partitioned from each other, with connections refused or
// timing out. The replicas of both zones keep running and none is restarted.
func TestTwoControllersPartitioned(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused %v", refused), func(t *testing.T) {
			w := newWorldWithTopology(t, 67, testOperator, topology{controllers: []string{"a", "b"}, zones: defaultTopology.zones, teams: defaultTopology.teams})
			w.awaitLeader()
			w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
			w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
			w.run(10 * second)
			startsBefore := w.totalStarts()
			w.partitionZones(refused, 40*second)
			w.run(40 * second)
			w.callFault, w.heartbeatFault, w.unreachable = nil, nil, nil
			w.run(20 * second)
			if w.running("j-1") != 4 || w.totalStarts() != startsBefore {
				t.Errorf("refused %v: %d replicas run, want 4; %d tasks were started, want none", refused, w.running("j-1"), w.totalStarts()-startsBefore)
			}
			w.settle()
		})
	}
}
