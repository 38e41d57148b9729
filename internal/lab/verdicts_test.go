package lab

import (
	"strings"
	"testing"
)

const failingRelaysScenario = `
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

// A relay that fails all its requests is detected by two proxies, and the others accept their
// verdict without failures of their own: at most half as many requests are answered with its
// errors, and no healthy relay is condemned.
func TestVerdictsSpareRequests(t *testing.T) {
	skipIfSlow(t)
	failedWithout, failedWith, falseVerdicts, verdicts := 0, 0, 0, 0
	for seed := range uint64(3) {
		failedWithout += play(t, mustParse(t, failingRelaysScenario), seed+1).Clients.FaultErrors
		r := play(t, mustParse(t, failingRelaysScenario).with(func(s *Scenario) { s.Proxies.Verdicts = true }), seed+1)
		failedWith += r.Clients.FaultErrors
		falseVerdicts += r.Shared.FalseVerdicts
		verdicts += r.Counters.Condemned
	}
	if failedWithout < 20 || failedWith > failedWithout/2 {
		t.Errorf("%d requests failed at faulty relays with verdicts, %d without", failedWith, failedWithout)
	}
	if falseVerdicts != 0 || verdicts < 2*24 {
		t.Errorf("%d verdicts, %d of them false", verdicts, falseVerdicts)
	}
}

// Proxies that cannot open connections because their ports are exhausted must not make others avoid
// healthy relays.
func TestIsolatedProxiesCondemnNoHealthyRelay(t *testing.T) {
	text := strings.Split(failingRelaysScenario, "[trouble")[0] + `
[trouble blind]
kind = ports
at = 4s
for = 12s
count = 2
`
	r := play(t, mustParse(t, text).with(func(s *Scenario) { s.Proxies.Verdicts = true }), 1)
	if r.Shared.FalseVerdicts != 0 {
		t.Errorf("%d false verdicts", r.Shared.FalseVerdicts)
	}
}
