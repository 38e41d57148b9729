package main

import (
	"testing"
	"time"
)

const (
	// maxAnnouncementDelay is the time after which a change in discovery counts as known to the
	// proxy, whether or not it has arrived.
	maxAnnouncementDelay = 6 * time.Second
	// drainGrace is the time, by the settings, within which the proxy must stop sending to a server
	// once its drain counts as known.
	drainGrace = 500 * time.Millisecond
	// timeTolerance is added to each time limit when it is checked on real sockets.
	timeTolerance = 50 * time.Millisecond
)

// TestDrainWhileDiscoveryRefusesCalls lets a server begin to drain while discovery is overloaded
// and refuses all calls. The server still answers probes, but rejects new requests. The drain
// counts as known 6 s later, whether or not it was announced; from 0.5 s after that no new request
// may reach the server.
//
// The test guards against accepting the PONG of a probe as proof that a server takes new requests.
// The proxy did so unless it had seen another draining server answer a probe, and the test failed
// each time: "a request reached the server 6.653903604s after it began to drain". Only a request
// that the server accepted is proof (internal/proxy/proofs.go).
func TestDrainWhileDiscoveryRefusesCalls(t *testing.T) {
	b := newTestbed(t, testbedConfig{servers: 3, configure: disableGroups})
	b.checkUnannouncedDrain(t)
}

// TestUnannouncedDrainWhereDrainingServersAnswerProbes makes the check of
// TestDrainWhileDiscoveryRefusesCalls after the process has seen another draining server answer
// probes.
func TestUnannouncedDrainWhereDrainingServersAnswerProbes(t *testing.T) {
	b := newTestbed(t, testbedConfig{servers: 4, configure: disableGroups})
	b.servers[3].startDraining()
	b.discovery.announceWholeList()
	time.Sleep(time.Second)
	b.checkUnannouncedDrain(t)
}

// disableGroups turns groups off in the settings.
func disableGroups(settings map[string]any) { settings["Domain"].(map[string]any)["Groups"] = false }

// checkUnannouncedDrain drains server 0 while discovery refuses calls, and checks that requests
// stop reaching it in time and that the other servers get all requests once discovery answers
// again.
func (b *testbed) checkUnannouncedDrain(t *testing.T) {
	t.Helper()
	b.requestMany("before", 30, time.Second)
	b.discovery.startRefusing()
	b.servers[0].startDraining()
	drained := time.Now()
	drainDeadline := drained.Add(maxAnnouncementDelay + drainGrace + timeTolerance)
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
		t.Errorf("once discovery answers again, the other servers receive %d of 40 requests", n)
	}
}
