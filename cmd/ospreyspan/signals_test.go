package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"ospreyspan/internal/poll/callfaults"
)

// faultPlanEnv names the plan by which the program's system calls fail.
const faultPlanEnv = "OSPREYSPAN_TEST_FAULTS"

// TestMain runs the program itself in a process of a test's own.
func TestMain(m *testing.M) {
	if os.Getenv("OSPREYSPAN_TEST_PROGRAM") != "" {
		if text := os.Getenv(faultPlanEnv); text != "" {
			var plan callfaults.Plan
			if err := json.Unmarshal([]byte(text), &plan); err != nil {
				panic(err)
			}
			systemCalls = callfaults.Wrap(systemCalls, plan)
		}
		os.Exit(execute(nil, os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A signal that comes while the program still reads its configuration does not end the process: SIGTERM is a planned stop, which
// ends in order with exit code 0, and SIGHUP and SIGUSR1 are waited with, however many come before it. The program is held at that
// point: its configuration is a FIFO, which opens for writing once it is being read.
func TestSignalsDuringStart(t *testing.T) {
	for name, series := range map[string][]os.Signal{
		"USR1 TERM":            {syscall.SIGUSR1, syscall.SIGTERM},
		"TERM TERM":            {syscall.SIGTERM, syscall.SIGTERM},
		"INT":                  {syscall.SIGINT},
		"many USR1 and a TERM": append(slices.Repeat([]os.Signal{syscall.SIGUSR1}, 20), syscall.SIGTERM),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testSignalsDuringStart(t, series)
		})
	}
}

// signalInterval is long enough for each signal of a series to reach the program by itself.
const signalInterval = 5 * time.Millisecond

func testSignalsDuringStart(t *testing.T, series []os.Signal) {
	fifo := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	var log bytes.Buffer
	program.Stderr, program.Stdout = &log, &log
	program.Env = append(os.Environ(), "OSPREYSPAN_TEST_PROGRAM=1", "EDGE_CONFIG="+fifo, "EDGE_LISTEN=127.0.0.1:0")
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- program.Wait() }()
	defer program.Process.Kill()
	opened := make(chan *os.File, 1)
	go func() {
		w, err := os.OpenFile(fifo, os.O_WRONLY, 0)
		if err != nil {
			t.Error(err)
		}
		opened <- w
	}()
	select {
	case w := <-opened:
		for _, sig := range series {
			if err := program.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			time.Sleep(signalInterval)
		}
		text := regexp.MustCompile(`"HardLimitUs": \d+`).ReplaceAllString(exampleConfig(t), `"HardLimitUs": 100000`)
		_, _ = w.WriteString(text) // fails where the process has ended, which is told below
		w.Close()
	case err := <-ended:
		t.Fatalf("it ended before it read its configuration: %v\n%s", err, log.String())
	}
	select {
	case err := <-ended:
		if err != nil || !strings.Contains(log.String(), "stopping: 0 sessions") {
			t.Errorf("%v\n%s", err, log.String())
		}
	case <-time.After(20 * time.Second):
		t.Errorf("it goes on after SIGTERM")
	}
}
