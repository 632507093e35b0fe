package controller

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/config"
)

// site describes the deployment of a simulated world: the limits of its services and the resources
// of each controller.
type site struct {
	state              stateLimits
	cloudRPS, listLagS int
	cores              float64
	memoryMB, sockets  int
	fetchTime          time.Duration // time to fetch an image
}

// stateLimits are the limits of the state service.
type stateLimits struct {
	requestsPerSecond, changesPerSecond, valueKB, changes int
}

// testSite is the site of all tests. CI runs the tests a second time on a site with few changes per
// second, small transactions, little CPU time, a slow cloud and large images.
var testSite = func() site {
	if os.Getenv("CLAYBARROW_TEST_SITE") == "scarce" {
		return site{state: stateLimits{250, 25, 8, 12}, cloudRPS: 3, listLagS: 8, cores: 0.072, memoryMB: 70, sockets: 500,
			fetchTime: time.Second}
	}
	return site{state: stateLimits{150, 50, 16, 32}, cloudRPS: 8, listLagS: 5, cores: 0.2, memoryMB: 98, sockets: 600,
		fetchTime: 200 * time.Millisecond}
}()

// testOperator holds the operators' settings of all tests that don't set their own. CI runs the
// tests with failure detection and the completion journal disabled, and again with each of them
// enabled.
var testOperator = func() []byte {
	var operator []byte
	if os.Getenv("CLAYBARROW_TEST_MEMBERSHIP") != "" {
		operator = append(operator, membershipOn...)
	}
	if os.Getenv("CLAYBARROW_TEST_ENDJOURNAL") != "" {
		operator = append(operator, endJournalOn...)
	}
	return operator
}()

const (
	membershipOn = "[membership]\nenabled = true\n"
	endJournalOn = "[end_journal]\nenabled = true\n"
)

func testConfig(t testing.TB, shape topology, i int, operator []byte) *config.Config {
	t.Helper()
	var peers []string
	for k, zone := range shape.controllers {
		if k != i {
			peers = append(peers, fmt.Sprintf(`{"label":"n%d","zone":%q,"peer_addr":"10.0.0.%d:1"}`, k, zone, k))
		}
	}
	limits := testSite.state
	cfg, err := config.Parse([]byte(fmt.Sprintf(`{"label":"n%d","zone":%q,"client_listen":"10.0.0.%d:2","peer_listen":"10.0.0.%d:1",
	"siblings":[%s],"services":{"cloud":"10.9.0.1:1","state":"10.9.0.2:1"},
	"cluster":{"teams":[%s],
	"objectives":[{"kind":"wait","class":"web","within_s":5,"share":0.9}],
	"workers":{"report_s":1,"lease_s":10,"cancel_s":35,"gang_wait_s":30,"gang_peer_s":5},
	"state":{"rps":%d,"write_rps":%d,"value_kb":%d,"txn_ops":%d},
	"cloud":{"rps":%d,"list_lag_s":%d},"clock_error_ms":25,"resources":{"cores":%g,"mem_mb":%d,"fd_limit":%d}}}`,
		i, shape.controllers[i], i, i, strings.Join(peers, ","), shape.teams, limits.requestsPerSecond, limits.changesPerSecond, limits.valueKB, limits.changes,
		testSite.cloudRPS, testSite.listLagS, testSite.cores, testSite.memoryMB, testSite.sockets)), operator)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}
