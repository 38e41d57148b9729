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

// When all servers are cold at once and all clients reconnect, cold servers get more than the
// budget of the settings from all proxies together (rule cold-budget): the sum is bounded only
// where a warm server is left.
//
// The cause is that renewPermits in balance/slowstart.go sets no limit where there is no warm
// server, and that a process knows neither how many requests a server bears nor what the others
// send. Trials with a bound are described in docs/incidents/burst-at-cold-servers.md, All servers
// cold.
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
