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
	pingProcesses = flag.Int("ping.processes", 12, "number of processes that TestProcessesKeepAnswering starts")
	pingDuration  = flag.Duration("ping.for", 3*time.Second, "duration for which TestProcessesKeepAnswering sends them PING")
)

// maxSilence is the longest time after which a process must answer, however busy the machine is. A
// process that stays silent for longer has stopped running.
const maxSilence = 5 * time.Second

// TestProcessesKeepAnswering starts many processes together and sends them PING continuously, on
// new connections: none of them may stop answering. To search for such a fault, run it by hand with
// a hundred processes beside other work; if a process stops, examine its threads first.
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
					t.Errorf("process %d does not answer PING: %v", b.process.cmd.Process.Pid, err)
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
