package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// submission is a submission as users send it.
type submission struct {
	UID          string   `msgpack:"uid"`
	Class        string   `msgpack:"tier"`
	Team         string   `msgpack:"owner"`
	Shape        string   `msgpack:"shape"`
	Rank         string   `msgpack:"rank"`
	Tasks        int      `msgpack:"shards"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	MemoryGB     float64  `msgpack:"ramGb"`
	Image        string   `msgpack:"bundle"`
	ImageGB      float64  `msgpack:"sizeGb"`
	Types        []string `msgpack:"flavours"`
	Zone         *string  `msgpack:"yard"`
	Together     bool     `msgpack:"together"`
	Apart        bool     `msgpack:"apart"`
	Spot         bool     `msgpack:"borrowed"`
	EstimateS    float64  `msgpack:"expectS"`
	CheckpointS  float64  `msgpack:"saveEveryS"`
	SaveS        float64  `msgpack:"saveTakesS"`
	DueS         *float64 `msgpack:"dueS"`

	mistaken bool // its tasks fail on every machine
}

// answer is an answer to a user; status 0: none.
type answer struct {
	status int
	job    protocol.JobStatus
}

// user asks the controllers as the protocol page tells users to.
type user struct {
	world  *world
	client *http.Client
}

func (w *world) newUser(timeout time.Duration) *user {
	return &user{w, &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 8}}}
}

// ask sends one request to a controller and records the answer.
func (u *user) ask(c *controller, method, path string, body []byte) answer {
	request, err := http.NewRequest(method, "http://"+c.client+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	u.world.record.printf("user asks %s: %s %s", c.label, method, path)
	response, err := u.client.Do(request)
	if err != nil {
		u.world.record.printf("user has no answer from %s: %s %s: %v", c.label, method, path, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	a := answer{status: response.StatusCode}
	_ = protocol.Decode(text, &a.job) // refusals have no body
	u.world.record.printf("user gets %d %s done=%d running=%d from %s: %s %s", a.status, a.job.State, a.job.Done, a.job.Running, c.label, method, path)
	return a
}

// submit submits a job once.
func (u *user) submit(c *controller, s *submission) answer {
	u.world.fleet.know(s)
	return u.ask(c, http.MethodPost, "/api/jobs", protocol.Encode(s))
}

// poll asks for a job's state once.
func (u *user) poll(c *controller, uid string) answer {
	return u.ask(c, http.MethodGet, "/api/jobs/"+uid, nil)
}

// cancel asks once for a job to be cancelled.
func (u *user) cancel(c *controller, uid string) answer {
	return u.ask(c, http.MethodPost, "/api/jobs/"+uid+"/withdraw", nil)
}
