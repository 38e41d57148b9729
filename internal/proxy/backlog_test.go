package proxy

import (
	"fmt"
	"strings"
	"testing"
)

// Many clients that do not read may together not fill the memory of the process: each kept up to
// 128 KiB in each direction, and hundreds of them passed the limit of 192 MB. A connection whose
// client reads goes on meanwhile, and no line is lost once the others read again.
func TestBacklogsTogetherAreBounded(t *testing.T) {
	const (
		clients = 40
		limit   = 256 << 10
		bound   = 2*limit + clients*4*openingReadSize
	)
	b := newTestBed(t, 1, false)
	b.frontend.SetMemoryLimit(limit * totalBacklogDivisor)
	healthy, healthyTarget := b.establish("healthy")
	line := strings.Repeat("x", 998) + "\r\n"
	var all, targets []*testConn
	for i := range clients {
		client, target := b.establish(fmt.Sprint("c", i))
		client.readPaused = true
		client.sock.Want(false, false)
		all, targets = append(all, client), append(targets, target)
	}
	sent := make([]int, clients)
	for range 20 {
		for i, target := range targets {
			for range 8 {
				n, err := target.sock.Write([]byte(strings.Repeat(line, 30)[sent[i]%1000:]))
				if err != nil {
					t.Fatal(err)
				}
				sent[i] += n
			}
		}
		b.settle()
		if used := b.frontend.backlog.used; used > bound {
			t.Fatalf("%d bytes are kept for clients that do not read, want at most %d", used, bound)
		}
		healthyTarget.write(t, "fine\r\n")
		b.settle()
	}
	if !b.frontend.backlog.crowded() || string(healthy.received) != strings.Repeat("fine\r\n", 20) {
		t.Errorf("limit reached: %v; the client that reads got %q", b.frontend.backlog.crowded(), healthy.received)
	}
	for i, client := range all {
		client.readPaused = false
		client.sock.Want(true, false)
		whole := sent[i] / 1000 * 1000
		b.waitFor("all lines", func() bool { return len(client.received) >= whole })
		if string(client.received[:whole]) != strings.Repeat(line, whole/1000) {
			t.Fatalf("the lines of client %d were changed", i)
		}
	}
	if used := b.frontend.backlog.used; used != 0 {
		t.Errorf("%d bytes are kept after all was read, want 0", used)
	}
	b.checkReleased(append(all, healthy)...)
}
