package lab

import (
	"testing"
)

// The tests of this file play combinations of faults that have broken proxies, or may. The judge
// checks the rules in all of them; beyond that, a test asserts that the intended case has occurred.

// A proxy with 500 connections is killed, and all clients reconnect within a second.
func TestProxyKilledWithAllConnections(t *testing.T) {
	s := mustParse(t, `
[run]
length = 20s
warm_up = 12s
sites = winterthur
audit = 500ms
[proxies]
count = 2
sockets = 4096
[relays]
count = 12
per_core = 60..60
most_per_core = 300..300
group_cost = 0
[traffic]
rate = 140
swing = 0..0
life = 300s..300s
rejoin = 67ms..900ms
[wave all-here]
at = 12s
for = 60s
times = 0
[trouble kill]
kind = proxy-kill
at = 5s
count = 1
away = 2s
`)
	r := play(t, s, 1)
	if r.Clients.Cut < 500 {
		t.Fatalf("%d connections were cut off", r.Clients.Cut)
	}
	if reconnected := r.Clients.Up - r.Clients.Clients; reconnected < r.Clients.Cut*95/100 {
		t.Errorf("of %d clients that were cut off, %d have reconnected", r.Clients.Cut, reconnected)
	}
	if last := r.series.service[0][15:]; last[0] < 0.9 || last[4] < 0.9 {
		t.Errorf("ten seconds after the kill, service is %v", last)
	}
}

// The process runs out of descriptors while hundreds of clients connect that send nothing or
// invalid data.
func TestDescriptorShortageWithBadClients(t *testing.T) {
	s := mustParse(t, `
[run]
length = 15s
warm_up = 5s
[proxies]
sockets = 400
[trouble storm]
kind = rude
at = 2s
for = 8s
size = 900
[trouble none]
kind = descriptors
at = 4s
for = 3s
size = 0
`)
	r := play(t, s, 2)
	if r.Counters.Full == 0 || r.Counters.Malformed == 0 {
		t.Fatalf("no shortage of descriptors: %+v", r.Counters)
	}
	if r.Counters.HopError > 5 || r.Service < 0.85 {
		t.Errorf("%d errors of targets, service %.3f: bad clients impair the others", r.Counters.HopError, r.Service)
	}
}

// Discovery hangs after half a response body, while relays drain and return.
func TestDiscoveryHangsMidResponse(t *testing.T) {
	s := mustParse(t, `
[run]
length = 30s
warm_up = 5s
[relays]
drain_notice = 500ms..1s
[trouble hang]
kind = discovery-hang
at = 3s
for = 7s
[trouble drains]
kind = drain
at = 4s
count = 4
every = 2s
for = 6s
away = 1s
`)
	r := play(t, s, 3)
	if r.Counters.WatchesFailed < 3 {
		t.Errorf("%d calls of discovery failed", r.Counters.WatchesFailed)
	}
	if r.Clients.Moved == 0 {
		t.Error("no client was moved off a draining relay: the proxies did not learn of the drain")
	}
}

// Two of three proxies drain at the same moment.
func TestTwoProxiesDrainAtOnce(t *testing.T) {
	s := mustParse(t, `
[run]
length = 20s
warm_up = 12s
[trouble two]
kind = proxy-restart
at = 4s
count = 2
away = 500ms
`)
	r := play(t, s, 4)
	if r.Clients.Moved < 30 || r.Clients.Cut != 0 {
		t.Errorf("%d moved, %d cut off", r.Clients.Moved, r.Clients.Cut)
	}
}

// A relay drains and is back under its id within the drain grace. What was told of the old process
// must not apply to the new one, nor the reverse.
func TestRelayRestartsWithinDrainGrace(t *testing.T) {
	s := mustParse(t, `
[run]
length = 25s
warm_up = 10s
[relays]
count = 3
drain_notice = 0s..50ms
return_notice = 0s..50ms
[trouble quick]
kind = drain
at = 2s
for = 150ms
away = 0s
again = 8
after = 2s
`)
	r := play(t, s, 5)
	if r.Clients.Moved+r.Clients.Cut < 20 {
		t.Errorf("%d moved, %d cut off: the relays' drains had no effect", r.Clients.Moved, r.Clients.Cut)
	}
	if r.Clients.Up < r.Clients.Clients {
		t.Errorf("%d of %d clients had a connection", r.Clients.Up, r.Clients.Clients)
	}
}

// A draining relay answers probes as before, or with an error where the scenario says so.
func TestProbesOfDrainingRelays(t *testing.T) {
	s := mustParse(t, "[run]\nlength = 15s\nwarm_up = 5s\n[relays]\ndrain_notice = 3s..3s\nerrors = 0\n[kind a]\n"+
		"[trouble drains]\nkind = drain\nat = 1s\ncount = 5\nevery = 1s\nfor = 6s\naway = 1s\n")
	normal := play(t, s, 8).Counters
	failing := play(t, s.with(func(s *Scenario) { s.Relays.DrainingFailsProbes = true }), 8).Counters
	if normal.ProbesRefused > 0 || failing.ProbesRefused < 10 {
		t.Errorf("%d probes were answered with an error on the day without such answers, %d on the other", normal.ProbesRefused, failing.ProbesRefused)
	}
}
