package main

import (
	"testing"
	"time"
)

const (
	// newsWithin is how long after discovery had it a change counts as told at the latest, drainGrace the settings' time in which sends
	// must cease after that, and socketSlack by how much each limit of time is longer on sockets.
	newsWithin  = 6 * time.Second
	drainGrace  = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond
)

// Discovery has too many callers and refuses all calls; a server begins to drain meanwhile, answers probes as before and turns new
// work away. The drain counts as told 6 s later whether it arrived or not: from 0.5 s after that nothing new reaches the server.
//
// It failed each time: "a request reached the server 6.653903604s after it began to drain". The process took the PONG of its probe for a
// proof that the server takes new work until another one that drained had answered a probe in its sight; here none had. Only a request
// that the server took is a proof now (proxy/proofs.go).
func TestDrainThatDiscoveryIsTooBusyToTell(t *testing.T) {
	b := newBed(t, bedConfig{servers: 3, configure: withoutGroups})
	b.drainUnheard(t)
}

// The same, where the process has seen before that a server which drains answers probes.
func TestDrainUnheardOfWhereDrainingServersAnswerProbes(t *testing.T) {
	b := newBed(t, bedConfig{servers: 4, configure: withoutGroups})
	b.servers[3].drain()
	b.discovery.change()
	time.Sleep(time.Second)
	b.drainUnheard(t)
}

func withoutGroups(set map[string]any) { set["Domain"].(map[string]any)["Groups"] = false }

func (b *bed) drainUnheard(t *testing.T) {
	t.Helper()
	b.askMany("before", 30, time.Second)
	b.discovery.refuse()
	b.servers[0].drain()
	drained := time.Now()
	counts := drained.Add(newsWithin + drainGrace + socketSlack)
	time.Sleep(time.Until(counts))
	b.askMany("during", 40, time.Second)
	for _, a := range b.servers[0].received() {
		if a.at.After(counts) {
			t.Errorf("a request reached the server %v after it began to drain", a.at.Sub(drained))
		}
	}
	b.discovery.accept()
	time.Sleep(2 * time.Second)
	before := len(b.servers[1].received()) + len(b.servers[2].received())
	b.askMany("after", 40, time.Second)
	if n := len(b.servers[1].received()) + len(b.servers[2].received()) - before; n < 40 {
		t.Errorf("once discovery answers again the others are sent %d of 40 requests", n)
	}
}
