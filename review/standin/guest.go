package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// guestTeam is the team that comes on some days.
const guestTeam = "szeged-audit"

// guestLeaves: the guest team's day is over while a job of it is unfinished. The controllers are restarted one after the
// other with settings that don't have the team. Without the disruption they are restarted with the settings as they were.
func guestLeaves(w *world, trouble bool) ([]string, error) {
	w.cloud.bootTime = 2 * time.Second
	w.cloud.capacity[poolKey("tisza-mid", "gyor-west")] = 2
	w.cloud.capacity[poolKey("tisza-mid", "pecs-south")] = 2
	teams := w.site.teams
	w.site.teams = append(teams[:len(teams):len(teams)], map[string]any{"name": guestTeam, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0})
	address, err := w.startAll()
	if err != nil {
		return nil, err
	}
	users, err := guestJobs(w, address)
	if err != nil {
		return nil, err
	}
	if !await(15*time.Second, func() bool { return w.watch.onMachines() > 40 }) {
		return nil, errors.New("the tasks don't run")
	}
	if trouble {
		w.site.teams = teams
		w.record.printf("test: the day of %s is over", guestTeam)
		if err := w.writeSettings(); err != nil {
			return nil, err
		}
	}
	if err := w.restartAll(2 * time.Second); err != nil {
		return nil, err
	}
	return questions(w, users), nil
}

// asker is a user with its job.
type asker struct {
	*user
	uid string
}

// askers is how many jobs there are, each with its own user.
const askers = 12

// guestJobs submits a job of the guest team and some of other teams.
func guestJobs(w *world, address string) ([]asker, error) {
	var users []asker
	owners := []string{"pest-credit", "buda-reference", "debrecen-risk", "shared-platform", "compliance-desk"}
	for i := range askers {
		owner := owners[i%len(owners)]
		if i == 0 {
			owner = guestTeam
		}
		u := asker{newUser(owner, address, w.record), fmt.Sprintf("j-%06d", i+1)}
		j := &job{uid: u.uid, cores: 2, fetch: 500 * time.Millisecond, service: true}
		shape, tier, rank, shards := "service", "intake-gateway", "production", 1
		if owner == guestTeam {
			j.service, j.cores, j.run = false, 1, 300*time.Second
			shape, tier, rank, shards = "batch", "audit-idle-sweep", "idle", 1532
		}
		w.jobs.put(j)
		if !u.submit(submission(j, shape, owner, tier, shards, map[string]any{"rank": rank})) {
			return nil, errors.New("a job was not accepted")
		}
		users = append(users, u)
	}
	return users, nil
}

// pollPause is the time between two questions of a user.
const pollPause = 5 * time.Second

// questions lets the users poll for longer than 75 s. It returns the jobs about which no question was answered for 75 s.
func questions(w *world, users []asker) (broken []string) {
	const limit = 75 * time.Second
	var group sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(limit + pollPause)
	for i, u := range users {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(pollPause * time.Duration(i) / askers)
			since, longest, asked := time.Now(), time.Duration(0), 0
			for time.Now().Before(end) {
				at := time.Now()
				a := u.poll(u.uid)
				asked++
				if a.status == http.StatusOK || a.status == http.StatusNotFound {
					since = time.Now()
				}
				longest = max(longest, time.Since(since))
				time.Sleep(time.Until(at.Add(pollPause)))
			}
			longest = max(longest, time.Since(since))
			if longest >= limit {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("forgotten: none of %d questions about %s (%s) was answered for %.0f s", asked, u.uid, u.name, longest.Seconds()))
			}
		}()
	}
	group.Wait()
	for _, c := range w.controllers {
		if times, why := c.endedBySelf(); times > 0 {
			w.record.printf("controller %s ended by itself %d times: %s", c.label, times, why)
			fmt.Printf("%s ended by itself %d times: %s\n", c.label, times, why)
		}
	}
	return broken
}
