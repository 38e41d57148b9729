package main

import (
	"testing"
	"time"
)

const (
	// maxNewsDelay is how long after discovery had it a change counts as told at the latest, drainGrace the settings' time in which sends
	// must cease after that, and socketSlack by how much each limit of time is longer on sockets.
	maxNewsDelay  = 6 * time.Second
	drainGrace    = 500 * time.Millisecond
	timeTolerance = 50 * time.Millisecond
)

// Discovery has too many callers and refuses all calls; a server begins to drain meanwhile, answers probes as before and turns new
// work away. The drain counts as told 6 s later whether it arrived or not: from 0.5 s after that nothing new reaches the server.
//
// It failed each time: "a request reached the server 6.653903604s after it began to drain". The process took the PONG of its probe for a
// proof that the server takes new work until another one that drained had answered a probe in its sight; here none had. Only a request
// that the server took is a proof now (proxy/proofs.go).
func TestDrainWhileDiscoveryRefusesCalls(t *testing.T) {
	b := newTestbed(t, testbedConfig{servers: 3, configure: disableGroups})
	b.checkUnannouncedDrain(t)
}

// The same, where the process has seen before that a server which drains answers probes.
func TestUnannouncedDrainWhereDrainingServersAnswerProbes(t *testing.T) {
	b := newTestbed(t, testbedConfig{servers: 4, configure: disableGroups})
	b.servers[3].startDraining()
	b.discovery.announceWholeList()
	time.Sleep(time.Second)
	b.checkUnannouncedDrain(t)
}

func disableGroups(set map[string]any) { set["Domain"].(map[string]any)["Groups"] = false }

func (b *testbed) checkUnannouncedDrain(t *testing.T) {
	t.Helper()
	b.requestMany("before", 30, time.Second)
	b.discovery.startRefusing()
	b.servers[0].startDraining()
	drained := time.Now()
	drainDeadline := drained.Add(maxNewsDelay + drainGrace + timeTolerance)
	time.Sleep(time.Until(drainDeadline))
	b.requestMany("during", 40, time.Second)
	for _, a := range b.servers[0].receivedAttempts() {
		if a.receivedAt.After(drainDeadline) {
			t.Errorf("a request reached the server %v after it began to drain", a.receivedAt.Sub(drained))
		}
	}
	b.discovery.stopRefusing()
	time.Sleep(2 * time.Second)
	before := len(b.servers[1].receivedAttempts()) + len(b.servers[2].receivedAttempts())
	b.requestMany("after", 40, time.Second)
	if n := len(b.servers[1].receivedAttempts()) + len(b.servers[2].receivedAttempts()) - before; n < 40 {
		t.Errorf("once discovery answers again the others are sent %d of 40 requests", n)
	}
}
