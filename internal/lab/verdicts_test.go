package lab

import (
	"strings"
	"testing"
)

const badRelays = `
[run]
length = 24s
warm_up = 10s
audit = 1s
[proxies]
count = 24
sockets = 384
keepers = 3
[relays]
count = 18
[traffic]
rate = 20
[discovery]
call = 65ms
timeout = 2s
[trouble failing]
kind = failing
at = 2s
for = 20s
part = 12.5%
size = 1..1
`

// A relay that fails all its requests is found by two proxies, and the others need not: far fewer requests are answered with
// its errors, and no sound relay is condemned.
func TestVerdictsSpareRequests(t *testing.T) {
	slow(t)
	alone, with, wrong, told := 0, 0, 0, 0
	for seed := range uint64(3) {
		alone += play(t, must(t, badRelays), seed+1).Clients.FaultErrors
		r := play(t, must(t, badRelays).with(func(s *Scenario) { s.Proxies.Verdicts = true }), seed+1)
		with += r.Clients.FaultErrors
		wrong += r.Shared.False
		told += r.Counters.Condemned
	}
	if alone < 20 || with > alone/2 {
		t.Errorf("%d requests failed at bad relays with verdicts, %d without", with, alone)
	}
	if wrong != 0 || told < 2*24 {
		t.Errorf("%d verdicts, %d of them without a cause", told, wrong)
	}
}

// A proxy that can reach nobody, and one that a zone's cut makes blind, make nobody else shun sound relays.
func TestPoisonedProxiesCondemnNobody(t *testing.T) {
	text := strings.Split(badRelays, "[trouble")[0] + `
[trouble blind]
kind = ports
at = 4s
for = 12s
count = 2
`
	r := play(t, must(t, text).with(func(s *Scenario) { s.Proxies.Verdicts = true }), 1)
	if r.Shared.False != 0 {
		t.Errorf("%d verdicts without a cause", r.Shared.False)
	}
}
