package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// interruption is how long the network between the load balancer and a controller is interrupted.
const interruption = 4500 * time.Millisecond

// The users open their connections from 9.3 to 1.6 s before they submit, one after the other.
const (
	submitters = 12
	oldest     = 9300 * time.Millisecond
	ageStep    = 700 * time.Millisecond
)

// raise is how long the load balancer may take to raise a healthy node to its share of new connections.
const raise = 10 * time.Second

// patience is how long a user waits for the answer to a submission.
const patience = 5 * time.Second

// interrupted: the network between the load balancer and one controller is interrupted for some seconds while submissions
// are on their way. The users' connections were opened some seconds before.
func interrupted(w *world, trouble bool) ([]string, error) {
	var links []*link
	for _, c := range w.controllers {
		l, address, err := startLink(w.ctx, c.client)
		if err != nil {
			return nil, err
		}
		links, c.public = append(links, l), address
	}
	address, err := w.startAll()
	if err != nil {
		return nil, err
	}
	time.Sleep(raise)
	begin := time.Now().Add(oldest + 500*time.Millisecond)
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for i := range submitters {
		age := oldest - time.Duration(i)*ageStep
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Until(begin.Add(-age)))
			problem, err := submitSlowly(w, address, fmt.Sprintf("j-%06d", i+1), begin)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				w.record.printf("user of j-%06d: %v", i+1, err)
			}
			if problem != "" {
				broken = append(broken, problem)
			}
		}()
	}
	time.Sleep(time.Until(begin.Add(50 * time.Millisecond)))
	if trouble {
		w.record.printf("test: the network between the load balancer and %s is interrupted for %v", w.controllers[0].label, interruption)
		links[0].interrupt(interruption)
	}
	group.Wait()
	return broken, nil
}

// submitSlowly opens a connection, submits a job on it later, in two packets, and asks about the job if it was accepted.
func submitSlowly(w *world, address, uid string, begin time.Time) (problem string, err error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	w.record.printf("user of %s: connected", uid)
	j := &job{uid: uid, cores: 8, run: 100 * time.Second}
	body := encode(submission(j, "batch", "fines-casework", "penalty-batch", 14, map[string]any{"accelerators": 1.0, "rank": "idle"}))
	time.Sleep(time.Until(begin))
	if err := conn.SetDeadline(begin.Add(patience)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(conn, "POST /api/jobs HTTP/1.1\r\nHost: %s\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n", address, len(body)); err != nil {
		return "", err
	}
	w.record.printf("user of %s: the head of the submission is sent", uid)
	time.Sleep(100 * time.Millisecond)
	if _, err := conn.Write(body); err != nil {
		return "", err
	}
	w.record.printf("user of %s: its body is sent", uid)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	w.record.printf("user of %s: POST /api/jobs -> %d, %d bytes, after %.1f s", uid, response.StatusCode, response.ContentLength, time.Since(begin).Seconds())
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return "", nil
	}
	u := newUser(uid, address, w.record)
	time.Sleep(2 * interruption)
	for range 6 {
		if a := u.poll(uid); a.status == http.StatusNotFound {
			return fmt.Sprintf("forgotten: %s was accepted with %d and is answered with 404", uid, response.StatusCode), nil
		}
		time.Sleep(time.Second)
	}
	return "", nil
}
