// Command 8 starts a proxy whose known list is old, while discovery is down for some seconds. Connections that stood
// before the run ask for the server that holds them.
package main

import (
	"fmt"
	"sync"
	"time"

	"ospreyspan/review/stand2"
)

// A client tries again by itself up to two times, after a wait that doubles.
var waits = []time.Duration{130 * time.Millisecond, 260 * time.Millisecond}

const (
	standing = 6
	outage   = 7 * time.Second
	mostWait = 40 * time.Second // any that is not up by then is lost
)

func main() { stand2.Run(play) }

func play(r *stand2.Record, w *stand2.World) error {
	var servers []*stand2.Server
	for i := range 3 {
		s, err := stand2.NewServer(r, fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	// the list as the proxy last had it is old: the server that holds the connections joined later
	discovery := stand2.NewDiscovery(r, servers[0], servers[1])
	known := discovery.Known()
	discovery.Put(stand2.HostOf(servers[2]))
	address, err := discovery.Listen("127.0.0.1")
	if err != nil {
		return err
	}
	p, err := w.NewProxy(stand2.ProxyConfig{Name: "n1", Discovery: address, Settings: stand2.Settings(1), Known: known})
	if err != nil {
		return err
	}
	if stand2.Trouble() {
		discovery.SetDown(true)
		time.AfterFunc(outage, func() { discovery.SetDown(false) })
	}
	if err := p.Start(); err != nil {
		return err
	}
	if err := p.WaitReady(10 * time.Second); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for range standing {
		wg.Go(func() {
			begin := time.Now()
			c := r.Request(p, "readings", mostWait, ",at=s-3")
			for _, wait := range waits {
				if c.Up() || time.Since(begin) > mostWait {
					break
				}
				c.End()
				time.Sleep(wait)
				c = r.Request(p, "readings", mostWait-time.Since(begin), ",at=s-3")
			}
			defer c.End()
			if took := time.Since(begin); !c.Up() {
				r.Broken("connection %s, which stood at s-3 before the run, ended with %q after %d tries and %v, with %v to go", c.ID, c.Answer, 1+len(waits), took.Round(time.Millisecond), (mostWait - took).Round(time.Second))
			}
		})
	}
	wg.Wait()
	// the same server can be reached through the same proxy a little later
	time.Sleep(outage)
	c := r.Request(p, "readings", mostWait, ",at=s-3")
	defer c.End()
	if !c.Up() {
		return fmt.Errorf("the server does not take the connection at all: %q", c.Answer)
	}
	return nil
}
