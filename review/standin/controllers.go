package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// controller is a controller under test. Like the platform it starts a process that ended by itself again.
type controller struct {
	label, zone, client, peer string
	// public is where the load balancer reaches the controller; empty: at client.
	public   string
	settings string // path of the settings file
	log      string
	run      []string
	pause    time.Duration // from an end to the next start
	record   *recorder

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	crashes int  // how often the process ended by itself
	stopped bool // it must not be started again
}

// runLine returns the line "run" of the deploy file as a program with its arguments.
func runLine(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(value, `"`)), nil
		}
	}
	return nil, errors.New(path + ": no line run")
}

// writeSettings writes the settings file.
func (c *controller) writeSettings(dir string, settings map[string]any) error {
	c.settings, c.log = filepath.Join(dir, c.label+".json"), filepath.Join(dir, c.label+".log")
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(c.settings, raw, 0o600)
}

// start starts the process. The kernel ends it if this process ends.
func (c *controller) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || c.command != nil {
		return nil
	}
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(c.run[0], append(c.run[1:len(c.run):len(c.run)], c.settings)...)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	c.record.printf("test: %s started (%s), process %d", c.label, c.zone, command.Process.Pid)
	c.command, c.exited = command, make(chan struct{})
	go c.await(command, c.exited)
	return nil
}

// await waits for the end of a process. One that ended by itself is started again.
func (c *controller) await(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	c.mu.Lock()
	bySelf := c.command == command
	if bySelf {
		c.command = nil
		c.crashes++
	}
	c.mu.Unlock()
	if !bySelf {
		return
	}
	c.record.printf("controller %s ended by itself: %v", c.label, err)
	time.Sleep(c.pause)
	if err := c.start(); err != nil {
		c.record.printf("test: %s can't be started: %v", c.label, err)
	}
}

// kill ends the process.
func (c *controller) kill() {
	c.mu.Lock()
	command, exited := c.command, c.exited
	c.command = nil
	c.mu.Unlock()
	if command != nil {
		c.record.printf("test: %s killed", c.label)
		_ = command.Process.Kill()
		<-exited
	}
}

// stop ends the process for good.
func (c *controller) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.kill()
}

// endedBySelf returns how often the process ended by itself, and what the last one wrote about it.
func (c *controller) endedBySelf() (times int, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	raw, err := os.ReadFile(c.log)
	if err != nil {
		return c.crashes, ""
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			why = line
		}
	}
	return c.crashes, why
}
