package balance

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
)

// startFleet returns the Balancers of relays that share n warm backends at half load, which hold so many connections.
func startFleet(t *testing.T, relays, n, connections int) []*recordingHost {
	t.Helper()
	fleet := make([]*recordingHost, relays)
	for i := range fleet {
		cfg := testConfig()
		cfg.Relays, cfg.GroupAffinity = relays, true
		s := startBalancer(t, cfg, uint64(i)+1, n)
		for j := range n {
			s.b.Probed(s.now, "b"+strconv.Itoa(j), OK, loadReport(0.5))
		}
		fleet[i] = s
	}
	for c := range connections {
		q := newRequest(RequestID(1)<<40 + RequestID(c))
		q.Group = strconv.Itoa(c)
		fleet[c%relays].b.RestoreConnection(fleet[0].now, q, "b"+strconv.Itoa(c/relays%n))
	}
	return fleet
}

// groupOf names a group that ranks the backend first of all that the relay knows.
func groupOf(b *Balancer, id string) string {
	for i := 0; ; i++ {
		group, best := "g"+strconv.Itoa(i), b.ready[0]
		for _, k := range b.ready {
			if mix(hash(group)^k.idHash) > mix(hash(group)^best.idHash) {
				best = k
			}
		}
		if best.ID == id {
			return group
		}
	}
}

// massReturn brings clients of one group, which rank a cold backend first, to relays drawn at random within 100 ms, and returns
// how many are sent to that backend before any report of it can show them.
func massReturn(t *testing.T, relays, clients int, again bool, seed uint64) int {
	t.Helper()
	const warm, held = 12, 15 // connections of each warm backend, at half load: it is full with 30
	fleet := startFleet(t, relays, warm, warm*held)
	rng := rand.New(rand.NewPCG(seed, 1))
	cold := Backend{ID: "cold", Zone: "here", Size: 1, StartTime: fleet[0].now.Add(-10 * sec)}
	for i, s := range fleet {
		s.b.rng = rand.New(rand.NewPCG(seed, uint64(i)))
		s.b.DiscoveryUpdate(s.now, ListPatch, []Backend{cold})
	}
	sent, group := 0, groupOf(fleet[0].b, "cold")
	for id := RequestID(1); id <= RequestID(clients); id++ {
		s := fleet[rng.IntN(relays)]
		s.now = s.now.Add(100 * ms / 100)
		q := newRequest(id)
		q.Group, q.Reconnect = group, again
		if s.place(q, func(at string) float64 { return map[bool]float64{true: 0, false: 0.5}[at == "cold"] }) == "cold" {
			sent++
		}
	}
	return sent
}

// budget is what the rules allow a cold backend within FallWithin: one that is full with 30 connections, and is at 0.6 of that
// after half of its warm-up.
func budget() (mean, most float64) {
	rules := testConfig().Rules
	mean = rules.OverloadFactor * 0.6 * 30 * float64(rules.OverloadWindow) / float64(rules.WarmUpTime)
	return mean, mean + 2*math.Sqrt(mean) + 2
}

// However many relays share them, the connections of two backends that are lost with all of a group send a cold one no more than
// the rules allow all relays together. One relay in 30 sent one request each within 100 ms to one that fell (throng days).
func TestMassReturnStaysWithinTheBudget(t *testing.T) {
	allowed, most := budget()
	for _, relays := range []int{3, 30, 300, 1024} {
		const seeds, clients = 40, 30
		total, over := 0, 0
		for seed := range uint64(seeds) {
			n := massReturn(t, relays, clients, true, seed)
			if total += n; float64(n) > most {
				over++
			}
		}
		mean := float64(total) / seeds
		t.Logf("%d relays: %.1f of %d in the mean, %.1f allowed, at most %.1f; over that %d times", relays, mean, clients, allowed, most, over)
		if over > 1 || mean > allowed+math.Sqrt(allowed) || mean < allowed/4 {
			t.Errorf("%d relays: %.1f of %d in the mean; %.1f are allowed; over %.1f in %d of %d", relays, mean, clients, allowed, most, over, seeds)
		}
	}
}

// A return ten times as large sends no more where each relay sees more than one of its clients.
func TestLargerReturnSendsNoMore(t *testing.T) {
	_, most := budget()
	for _, relays := range []int{3, 10, 30} {
		over := 0
		for seed := range uint64(40) {
			if float64(massReturn(t, relays, 300, true, seed)) > most {
				over++
			}
		}
		if over > 1 {
			t.Errorf("%d relays sent more than %.1f in %d of 40", relays, most, over)
		}
	}
}

// Few relays bound a burst of new clients too, of which each sees several.
func TestBurstAtFewRelays(t *testing.T) {
	_, most := budget()
	for seed := range uint64(40) {
		if n := massReturn(t, 3, 60, false, seed); float64(n) > most {
			t.Errorf("%d sent, at most %.1f are allowed", n, most)
		}
	}
}

// A backend stops with a large group, whose clients come again within the time in which a cold one falls, each at another relay. It
// ranks first for them, and its reports lag ten clients behind. It bears N + 3 x root of N + 3 of them, N being the settings' three
// times what it can take then: four, for one that is at 0.6 and takes one and a half a second when it is warm.
func TestGroupThatComesAgainSparesTheCold(t *testing.T) {
	const clients, lag, most = 45, 10, 4 + 3*2 + 3
	const relays, seeds = 300, 200
	fleet := startFleet(t, relays, 12, 12*15) // full with 30, which is one and a half a second over the warm-up
	cold := []Backend{{ID: "cold", Zone: "here", Size: 1, StartTime: fleet[0].now.Add(-10 * sec)}}
	total := 0.0
	for seed := range seeds {
		var took [clients + 1]float64 // before each
		for i := range clients {
			s := fleet[(seed*clients+i)%relays]
			s.b.DiscoveryUpdate(s.now, ListPatch, cold)
			k := s.b.byID["cold"]
			if w := s.b.warmUpFraction(s.now, k); w < 0.55 || w > 0.65 {
				t.Fatalf("it is at %.2f", w)
			}
			k.permits = permits{}
			k.weight = fullWeight * (0.8 - 0.03*took[max(i-lag, 0)])
			took[i+1] = took[i]
			if s.b.mayTakeByRank(s.now, &request{Request: Request{Reconnect: true}}, k, s.b.meanWarmLoad(s.now)) {
				took[i+1]++
			}
		}
		total += took[clients]
	}
	if mean := total / float64(seeds); mean > most || mean < 4 {
		t.Errorf("%.1f of %d in the mean; %d make it fall", mean, clients, most)
	}
}

// Where all backends are cold, clients that return are served all the same.
func TestReturnWhereAllAreCold(t *testing.T) {
	for _, relays := range []int{1, 10, 300} {
		cfg := testConfig()
		cfg.Relays, cfg.GroupAffinity = relays, true
		s := startBalancer(t, cfg, 4, 6)
		list := readyBackends(6)
		for i := range list {
			list[i].StartTime = s.now.Add(-10 * sec)
		}
		s.b.DiscoveryUpdate(s.now, ListPatch, list)
		placed := 0
		for id := range RequestID(20) {
			s.now = s.now.Add(100 * ms)
			q := newRequest(id + 1)
			q.Reconnect, q.Group = true, "g"+strconv.Itoa(int(id))
			if s.place(q, idleLoad) != "" {
				placed++
			}
		}
		if placed < 8 {
			t.Errorf("%d relays: %d of 20 requests were placed at once", relays, placed)
		}
	}
}

// A relay that has to deny returning clients holds twice the permits in the next term, as far as the backend tells that it is idle,
// and as before when none was denied.
func TestPermitsGrowWhileReturnsAreDenied(t *testing.T) {
	s := startFleet(t, 1, 4, 64)[0]
	s.b.DiscoveryUpdate(s.now, ListPatch, []Backend{{ID: "cold", Zone: "here", Size: 1, StartTime: s.now.Add(-10 * sec)}})
	k := s.b.byID["cold"]
	term := s.b.cfg.Rules.OverloadWindow
	for _, tt := range []struct {
		denied    bool
		wait      int // terms
		doublings int
	}{{false, 0, 0}, {true, 1, 1}, {true, 1, 2}, {true, 1, 3}, {true, 1, 3}, {false, 1, 0}, {true, 3, 0}} {
		s.b.mayTakeReconnect(s.now, k)
		k.permits.denied = tt.denied
		s.now = k.permits.expires
		if tt.wait > 1 {
			s.now = s.now.Add(term)
		}
		s.b.renewPermits(s.now, k)
		if k.permits.doublings != tt.doublings {
			t.Fatalf("%+v: %d doublings", tt, k.permits.doublings)
		}
	}
}

// A held request looks again and again, also where others have left permits behind: that raises nothing within a term.
func TestHeldReturnsSendNoMore(t *testing.T) {
	_, most := budget()
	fleet := startFleet(t, 30, 12, 12*15)
	group := ""
	sent := 0
	for i, s := range fleet {
		s.b.DiscoveryUpdate(s.now, ListPatch, []Backend{{ID: "cold", Zone: "here", Size: 1, StartTime: s.now.Add(-10 * sec)}})
		if group == "" {
			group = groupOf(s.b, "cold")
		}
		q := newRequest(RequestID(i + 1))
		q.Group, q.Reconnect = group, true
		s.b.Request(s.now, q)
		full := func(at string) float64 { return map[bool]float64{true: 0, false: 0.99}[at == "cold"] }
		for _, a := range s.runUntil(s.now.Add(testConfig().Rules.OverloadWindow-ms), full, alwaysEndWith(OK)) {
			if a.kind == "send" && a.backend == "cold" {
				sent++
			}
		}
	}
	if float64(sent) > most {
		t.Errorf("%d sent by 30 relays that are held and look again; at most %.1f are allowed", sent, most)
	}
}
