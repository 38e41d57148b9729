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

// faultPlanEnv is the environment variable that holds the plan, in JSON, by which the program's
// system calls fail.
const faultPlanEnv = "OSPREYSPAN_TEST_FAULTS"

// TestMain runs the program itself, instead of the tests, in the processes that tests start.
func TestMain(m *testing.M) {
	if os.Getenv("OSPREYSPAN_TEST_PROGRAM") != "" {
		if text := os.Getenv(faultPlanEnv); text != "" {
			var plan callfaults.Plan
			if err := json.Unmarshal([]byte(text), &plan); err != nil {
				panic(err)
			}
			loopSystemCalls = callfaults.Wrap(loopSystemCalls, plan)
		}
		os.Exit(execute(nil, os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestSignalsDuringStart checks that signals that arrive while the program still reads its
// configuration do not end the process. SIGTERM causes a planned stop with exit code 0; SIGHUP and
// SIGUSR1 stay pending, however many of them arrive before it. The configuration is a FIFO, which
// opens for writing only once the program reads it, so the test can hold the program at that point.
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

// signalInterval is long enough for the program to receive each signal of a series separately.
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
		_, _ = w.WriteString(text) // fails if the process has ended, which is reported below
		w.Close()
	case err := <-ended:
		t.Fatalf("the program ended before it read its configuration: %v\n%s", err, log.String())
	}
	select {
	case err := <-ended:
		if err != nil || !strings.Contains(log.String(), "stopping: 0 sessions") {
			t.Errorf("exit error %v, want nil and the log line of a planned stop\n%s", err, log.String())
		}
	case <-time.After(20 * time.Second):
		t.Errorf("the program is still running 20 s after its configuration")
	}
}
