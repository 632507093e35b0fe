package main

import (
	"context"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// user is a stand-in of a user, who keeps one connection open.
type user struct {
	name   string
	base   string // "http://" and the address of the load balancer or of a node
	client *http.Client
	record *recorder
}

func newUser(name, addr string, record *recorder) *user {
	return &user{name: name, base: "http://" + addr, record: record,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}}
}

// submission returns a job in the form of POST /api/jobs.
func submission(j *job, shape, owner, tier string, shards int, more map[string]any) map[string]any {
	fields := map[string]any{"uid": j.uid, "tier": tier, "owner": owner, "shape": shape, "rank": "normal", "shards": shards,
		"cores": j.cores, "accelerators": 0.0, "ramGb": 1.0, "bundle": "img-01", "sizeGb": 0.5, "flavours": nil, "yard": nil,
		"together": false, "apart": false, "borrowed": false, "expectS": j.run.Seconds(), "saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil}
	for name, value := range more {
		fields[name] = value
	}
	return fields
}

// answer is the answer to a user's request; status 0: there was none in time.
type answer struct {
	status   int
	standing string
}

func (u *user) call(method, path string, body any, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, u.base+path, nil)
	if err != nil {
		return answer{}
	}
	var status int
	var raw []byte
	if body != nil {
		status, raw = post(ctx, u.client, u.base+path, encode(body))
	} else {
		status, raw = exchange(u.client, request)
	}
	a := answer{status: status}
	var message struct {
		Standing string `msgpack:"standing"`
	}
	if status < 300 && msgpack.Unmarshal(raw, &message) == nil {
		a.standing = message.Standing
	}
	u.record.printf("user %s: %s %s -> %d %s", u.name, method, path, a.status, a.standing)
	return a
}

// submit submits a job until it is accepted, for up to 60 s.
func (u *user) submit(fields map[string]any) bool {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		if a := u.call(http.MethodPost, "/api/jobs", fields, 5*time.Second); a.status == http.StatusOK || a.status == http.StatusCreated {
			return true
		}
	}
	return false
}

func (u *user) poll(uid string) answer {
	return u.call(http.MethodGet, "/api/jobs/"+uid, nil, 2*time.Second)
}
