package lab

import (
	"fmt"
	"testing"
)

// allCold has every server drain and come back cold within a second, as after a release that restarts the whole fleet.
const allCold = `
[run]
length = 30s
warm_up = 15s
audit = 1s
[proxies]
count = %d
[relays]
count = 20
drain_notice = 200ms..800ms
return_notice = 200ms..800ms
[traffic]
rate = 10
[rules]
cold_budget = true
[trouble back]
kind = drain
at = 4s
count = 20
every = 50ms
for = 3s
away = 500ms
`

// Symptom: all servers are cold at once, all clients come again, and cold servers get more than the settings' budget from all proxies
// together (rule cold-budget), whose sum is bounded only where a warm server is left.
//
// Cause: renewPermits in balance/slowstart.go sets no limit at all where no warm server is there, and a process knows neither what a
// server bears in requests nor what the others send. Trials with a bound: see docs/incidents/burst-at-cold-servers.md, All servers cold.
func TestAllServersColdKeepsTheBudget(t *testing.T) {
	slow(t)
	for _, proxies := range []int{3, 24, 60} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d/%d", proxies, seed), func(t *testing.T) {
				t.Parallel()
				play(t, mustParse(t, fmt.Sprintf(allCold, proxies)), seed)
			})
		}
	}
}
