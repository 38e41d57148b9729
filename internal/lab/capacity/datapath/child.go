package datapath

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ospreyspan/internal/lab/capacity"
)

const (
	startWithin = 5 * time.Second
	stopWithin  = 5 * time.Second
)

// settingsText is what the proxy is told of the platform: one class, targets that answer probes, discovery that is watched.
const settingsText = `{
  "Balancers": 1, "Zone": "here", "Discovery": "subscribe",
  "Classes": [{"Name": "readings", "Repeat": "free", "TargetUs": 800000, "HardLimitUs": 4800000, "Worth": 3.0}],
  "Domain": {"Groups": true, "TellsLoad": true, "TellsDelay": true, "MessageAimUs": [60000],
             "ReportX0": "load asked of the server over what it can do"},
  "Invariants": {"AskWithinUs": 10000000, "ColdFrom": 0.13, "DrainGraceUs": 500000, "FallUs": 1500000,
                 "TipMultiple": 3.0, "WarmWithinUs": 24000000, "AnswerSlackUs": 20000},
  "Permissions": {"AttemptsCap": 5, "Cancel": true, "Probing": true, "DialTimeoutUs": 1000000,
                  "ConnIdleUs": 60000000, "RetryAfter": true, "MaxRetryAfterUs": 2000000},
  "Prices": {"CrossZone": 0.022},
  "Report": {"Fields": ["cpu", "x0", "rps"], "How": "pull"}
}`

// child is a process of the proxy.
type child struct {
	cmd  *exec.Cmd
	log  string // file
	over chan error
}

// startChild starts the program with its configuration and log in dir.
func startChild(program, dir, listen, discovery string, hosts []host) (*child, error) {
	text, err := json.Marshal(map[string]any{
		"name": "measured", "listen": listen, "discovery": discovery, "seed": "1",
		"limits":   map[string]any{"cores": 1}, // descriptors as many as there are, memory as the collector takes it
		"known":    map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": json.RawMessage(settingsText),
	})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, text, 0o644); err != nil {
		return nil, err
	}
	c := &child{log: filepath.Join(dir, "proxy.log"), over: make(chan error, 1)}
	out, err := os.Create(c.log)
	if err != nil {
		return nil, err
	}
	defer out.Close() // the process has its own copy
	c.cmd = exec.Command(program)
	c.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	c.cmd.Stdout, c.cmd.Stderr = out, out
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { c.over <- c.cmd.Wait() }()
	return c, c.ready()
}

// ready waits until it serves.
func (c *child) ready() error {
	for begin := time.Now(); time.Since(begin) < startWithin; time.Sleep(10 * time.Millisecond) {
		if text, _ := os.ReadFile(c.log); bytes.Contains(text, []byte("serving at")) {
			return nil
		}
	}
	c.kill()
	return fmt.Errorf("%s does not serve within %v: %s", c.cmd.Path, startWithin, c.logged())
}

// logged is what it has logged.
func (c *child) logged() string {
	text, _ := os.ReadFile(c.log)
	return strings.TrimSpace(string(text))
}

// kill ends the process by its id and waits for it.
func (c *child) kill() {
	_ = c.cmd.Process.Kill() // it may have ended just now
	select {
	case <-c.over:
	case <-time.After(stopWithin):
	}
}

// usage is what a process had used by some moment.
type usage struct {
	at        time.Time
	processor time.Duration
	resident  float64 // bytes
}

func (c *child) usage() (usage, error) {
	proc := fmt.Sprintf("/proc/%d/", c.cmd.Process.Pid)
	resident, err := capacity.ProcBytes(proc+"status", "VmRSS:")
	if err != nil {
		return usage{}, err
	}
	processor, err := processorTime(proc + "task")
	return usage{time.Now(), processor, resident}, err
}

// processorTime adds up what the scheduler counted for all threads, in nanoseconds.
func processorTime(tasks string) (time.Duration, error) {
	list, err := os.ReadDir(tasks)
	if err != nil {
		return 0, err
	}
	sum := time.Duration(0)
	for _, task := range list {
		text, err := os.ReadFile(filepath.Join(tasks, task.Name(), "schedstat"))
		if err != nil {
			continue // the thread has ended; a Go process ends hardly any
		}
		first, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: schedstat: %w", tasks, err)
		}
		sum += time.Duration(n)
	}
	return sum, nil
}
