// Command standin runs the cases of the review: it starts the controllers as separate processes, with stand-ins of the
// state service, the cloud, the workers, the load balancer and the users, and checks one rule.
//
// Usage: standin CASE FOLDER. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scenario runs a case in a world without controllers. It returns what broke the rule; an error means that the case
// could not run.
type scenario struct {
	site *site
	play func(w *world, trouble bool) (broken []string, err error)
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]scenario{
		"guest":       {landlordSite(), guestLeaves},
		"limits":      {landlordNextSite(), limitsFollow},
		"interrupted": {parkingSite(), interrupted},
	}
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return notRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.close()
	broken, err := play(cases[os.Args[1]], record)
	if err != nil {
		record.printf("test: could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return notRun
	}
	for _, what := range broken {
		record.printf("test: BROKEN: %s", what)
		fmt.Println("BROKEN:", what)
	}
	if len(broken) > 0 {
		return ruleBroken
	}
	record.printf("test: the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

func play(s scenario, record *recorder) ([]string, error) {
	dir, err := os.MkdirTemp("", "claybarrow-review-")
	if err != nil {
		return nil, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w, err := newWorld(ctx, s.site, record, dir)
	if err != nil {
		return nil, err
	}
	defer w.stopAll()
	interrupt, ignore := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer ignore()
	ended := make(chan struct{})
	var broken []string
	go func() {
		defer close(ended)
		broken, err = s.play(w, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case <-ended:
		return broken, err
	case <-interrupt.Done():
		return nil, errors.New("interrupted")
	}
}
