// Command case3 shows that a proxy leaves clients on connections that have fallen silent.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"ospreyspan/review/stand"
)

// The rule: a connection that returns nothing from a running server must be ended or moved within
// 7 s; each time limit is 50 ms longer on sockets.
const limit = 7*time.Second + 50*time.Millisecond

func main() { stand.Main(play) }

func play(r *stand.Record, dir string, trouble bool) (int, error) {
	d, err := stand.NewDiscovery(r)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	hang := false                             // server s-1 hangs at the next line of each connection
	silentSince := make(map[string]time.Time) // by client
	var servers []*stand.Server
	for i := range 3 {
		s, err := stand.NewServer(r, fmt.Sprintf("s-%d", i))
		if err != nil {
			return 0, err
		}
		s.OnLine = func(c *stand.ServerConn, text string) []string {
			mu.Lock()
			defer mu.Unlock()
			if c.Silent {
				return nil
			}
			// The connection's load changes with the client's work.
			out := []string{fmt.Sprintf("LOAD %d", 20000+100*c.Lines)}
			if hang && s.ID == "s-1" {
				c.Silent = true
				silentSince[c.ID] = time.Now()
				r.Printf("server s-1: hangs in the middle of its work for %s", c.ID)
				return out
			}
			return append(out, "re "+text)
		}
		servers = append(servers, s)
		d.Set(s.Host("SERVING"))
	}
	settings, err := stand.Settings()
	if err != nil {
		return 0, err
	}
	p, err := stand.StartProxy(r, dir, "n1", d.Addr(), d.List(), settings)
	if err != nil {
		return 0, err
	}
	defer p.Kill()
	var clients []*stand.Client
	for i := range 15 {
		c, err := stand.OpenClient(r, p.Addr, fmt.Sprintf("c%02d", i), "readings", 4800*time.Millisecond, fmt.Sprintf(",g=plant%d", i))
		if err != nil {
			return 0, err
		}
		if a := c.WaitAnswer(6 * time.Second); !strings.HasPrefix(a, "UP ") {
			return 0, fmt.Errorf("client %s: got %q before any disruption", c.ID, a)
		}
		clients = append(clients, c)
		time.Sleep(150 * time.Millisecond)
	}
	onHanging := len(servers[1].Open())
	if onHanging == 0 {
		return 0, fmt.Errorf("no client has its connection at s-1")
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	hang = trouble
	mu.Unlock()
	time.Sleep(22 * time.Second)
	broken := 0
	now := time.Now()
	for _, c := range clients {
		mu.Lock()
		since, silent := silentSince[c.ID]
		mu.Unlock()
		at, moved := c.Ended()
		switch {
		case !silent && !at.IsZero():
			return 0, fmt.Errorf("client %s: its sound connection ended", c.ID)
		case !silent:
		case at.IsZero():
			broken++
			r.Verdict("client %s: nothing came for %.1f s while it sent %d lines; its connection was neither ended nor moved", c.ID, now.Sub(since).Seconds(), c.SentSince(since))
		case at.Sub(since) > limit:
			broken++
			r.Verdict("client %s: its connection ended only %.1f s after it fell silent (MOVE: %v)", c.ID, at.Sub(since).Seconds(), moved)
		default:
			r.Verdict("client %s: its connection ended %.1f s after it fell silent (MOVE: %v)", c.ID, at.Sub(since).Seconds(), moved)
		}
	}
	if !p.Running() {
		return 0, fmt.Errorf("the proxy ended")
	}
	if trouble && len(silentSince) == 0 {
		return 0, fmt.Errorf("no connection fell silent")
	}
	r.Verdict("%d connections fell silent, %d of them were kept for longer than %v", len(silentSince), broken, limit)
	if broken > 0 {
		return stand.Broken, nil
	}
	return stand.Held, nil
}
