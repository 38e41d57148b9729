package lab

import (
	"fmt"
	"testing"
)

// Symptom: with 100 or 300 proxies and a discovery that bears five calls a second, a server begins to drain, few proxies hear of it, and
// 6.5 s later requests still reach it (rule stale-list).
//
// Cause: a process whose list had run out took the answer to a probe for a proof that the server takes new work. No page says so, and
// these servers answer probes while they drain. The evidence: "stale-list: proxy-018 sends request winterthur120.1 to relay-018
// 3.154381913s after it counts as told that this one takes no new work" in 8 of 8 plays with 100 and 300 proxies, in none where
// draining servers refuse probes (TestThrongOfManyProxies), and in none once answers to probes prove nothing.
//
// Mend: proxy/proofs.go. Only a request that a server took proves it, from its write on, and the module places among such servers.
func TestThrongWhereDrainingServersAnswerProbes(t *testing.T) {
	slow(t)
	days := FuzzConfig{Generate: RandomThrong}
	// Three hundred processes need a minute to open their watches at five calls a second, and who has none may send to proven servers
	// only: the operators' third binds there, more where discovery can serve them all.
	for proxies, least := range map[int]float64{24: 0.5, 100: 0.5, 300: 1.0 / 3} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%d/%d", proxies, seed), func(t *testing.T) {
				t.Parallel()
				made, err := days.scenario(seed)
				if err != nil {
					t.Fatal(err)
				}
				made.Proxies.Count, made.Relays.DrainingFailsProbes = proxies, false
				if r := play(t, made, seed); r.Requests < 200 || r.Service < least {
					t.Errorf("%d requests, service %.2f", r.Requests, r.Service)
				}
			})
		}
	}
}
