package lab

import (
	"fmt"
	"testing"
)

// allCold has every server drain and return cold within a second, as after a release that restarts
// the whole fleet.
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

// All servers are cold at once and all clients reconnect. Cold servers get no more than the budget of
// the settings from all proxies together (rule cold-budget).
//
// This failed in 12 of 12 plays: renewPermits in balance/slowstart.go set no limit where there was no
// warm server. docs/incidents/burst-at-cold-servers.md, All servers cold.
func TestAllServersColdKeepsTheBudget(t *testing.T) {
	skipIfSlow(t)
	for _, proxies := range []int{3, 24, 60} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d/%d", proxies, seed), func(t *testing.T) {
				t.Parallel()
				play(t, mustParse(t, fmt.Sprintf(allCold, proxies)), seed)
			})
		}
	}
}
