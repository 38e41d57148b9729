package main

import (
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	pingProcesses = flag.Int("ping.processes", 12, "processes that TestProcessesKeepAnswering starts")
	pingDuration  = flag.Duration("ping.for", 3*time.Second, "how long it asks them")
)

// maxSilence is how long a process that has work may be silent, on however busy a machine: longer, and it has stopped running.
const maxSilence = 5 * time.Second

// Many processes start together and are asked PING all the time, on new connections: none of them stops answering. Run it by hand with
// a hundred processes beside other work; a process that stops is a find, and its threads are to be looked at before anything else.
func TestProcessesKeepAnswering(t *testing.T) {
	var clients sync.WaitGroup
	var answers atomic.Int64
	deadline := time.Now().Add(*pingDuration)
	for range *pingProcesses {
		b := newTestbed(t, testbedConfig{servers: 1})
		clients.Go(func() {
			for time.Now().Before(deadline) {
				c, err := b.dial()
				if err != nil {
					t.Errorf("process %d: %v", b.process.cmd.Process.Pid, err)
					return
				}
				fmt.Fprint(c.conn, "PING\r\n")
				text, err := c.readLine(maxSilence)
				c.conn.Close()
				if err != nil {
					t.Errorf("process %d is silent: %v", b.process.cmd.Process.Pid, err)
					return
				}
				if text == "PONG" {
					answers.Add(1)
				}
			}
		})
	}
	clients.Wait()
	t.Logf("%d processes answered %d times", *pingProcesses, answers.Load())
}
