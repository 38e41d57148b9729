package lab

import "testing"

// While all relays fail most requests, the further attempts of all proxies together stay near their
// fraction of the first attempts. Before and after, a few further attempts are still made.
func TestRetriesHaveABudget(t *testing.T) {
	skipIfSlow(t)
	sc, err := Read("../../lab/retry-storm.ini")
	if err != nil {
		t.Fatal(err)
	}
	day := func(fraction float64) (hops float64, further int) {
		r := play(t, sc.with(func(s *Scenario) { s.Proxies.Keepers, s.Proxies.Retries = 3, fraction }), 1)
		return float64(r.Counters.Hops) / float64(r.Counters.Exchanges), r.Counters.Further
	}
	hopsWithout, _ := day(0)
	hopsWith, further := day(0.1)
	t.Logf("hops per request: %.2f without a budget, %.2f with one; %d further attempts", hopsWithout, hopsWith, further)
	if hopsWithout < 1.3 || hopsWith > 1.2 || further < 20 {
		t.Errorf("hops per request: %.2f without a budget, %.2f with one; %d further attempts", hopsWithout, hopsWith, further)
	}
}
