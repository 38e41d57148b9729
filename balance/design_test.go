package balance

import "testing"

func TestWeightIgnoresChangesBelowStep(t *testing.T) {
	tests := []struct {
		name  string
		loads []float64
		want  float64
	}{
		{"a new backend has full weight", nil, 100},
		{"a change just below the step is ignored", []float64{0.0499}, 100},
		{"a change of one step counts", []float64{0.05}, 95},
		{"a change above the step counts", []float64{0.0501}, 94.99},
		{"the step is measured from the weight in use", []float64{0.30, 0.34, 0.26}, 70},
		{"small changes add up", []float64{0.30, 0.34, 0.36}, 64},
		{"full load leaves the minimum weight", []float64{1}, floorWeight},
		{"a load above 1 leaves the minimum weight", []float64{3.5}, floorWeight},
		{"a report without load changes nothing", []float64{0.5, -1}, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startBalancer(t, testConfig(), 1, 1)
			for _, x := range tt.loads {
				s.b.Probed(s.now, "b0", OK, loadReport(x))
			}
			if got := s.b.byID["b0"].weight; got < tt.want-1e-9 || got > tt.want+1e-9 {
				t.Errorf("weight %v, want %v", got, tt.want)
			}
		})
	}
}

func TestUnansweredProbeLeavesWeight(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	s.b.Probed(s.now, "b0", OK, loadReport(0.5))
	s.b.Probed(s.now, "b0", TimedOut, loadReport(0))
	if got := s.b.byID["b0"].weight; got != 50 {
		t.Errorf("weight %v, want 50", got)
	}
}

func TestCPUUsedWhenLoadNotReported(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	r := loadReport(-1)
	r.CPU = 0.4
	s.b.Probed(s.now, "b0", OK, r)
	if got := s.b.byID["b0"].weight; got != 60 {
		t.Errorf("weight %v, want 60", got)
	}
}

func TestTiesBreakAtRandom(t *testing.T) {
	got := map[string]int{}
	for seed := range uint64(200) {
		got[startBalancer(t, testConfig(), seed, 2).place(newRequest(1), idleLoad)]++
	}
	if got["b0"] < 60 || got["b1"] < 60 || got["b0"]+got["b1"] != 200 {
		t.Errorf("200 choices between equal backends went to %v", got)
	}
}

// With many relays most backends have no connection of this relay. The quotient of 0 connections
// and the weight is the same for all of them, so that weights would not count.
func TestWeightDecidesBetweenIdleBackends(t *testing.T) {
	for seed := range uint64(50) {
		s := startBalancer(t, testConfig(), seed, 3)
		got := s.place(newRequest(1), func(id string) float64 {
			return map[string]float64{"b0": 0.5, "b1": 0.3, "b2": 0.4}[id]
		})
		if got != "b1" {
			t.Fatalf("seed %d: sent to %s, want b1, which has the most idle capacity", seed, got)
		}
	}
}

func TestSingleRelayCountsConnectionsInFull(t *testing.T) {
	cfg := testConfig()
	cfg.Relays = 1
	s := startBalancer(t, cfg, 1, 2)
	for id := range RequestID(20) {
		s.place(newRequest(id+1), idleLoad)
		s.now = s.now.Add(sec) // so that the reports are too old and backends are probed again
	}
	if a, b := len(s.b.byID["b0"].requests), len(s.b.byID["b1"].requests); a != 10 || b != 10 {
		t.Errorf("20 connections were split %d and %d, want 10 and 10", a, b)
	}
}

// Between two reports, a relay must count the requests that it has placed since the last one, so
// that it does not send all of them to the same backend.
func TestBurstSpreadsOverTheSample(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 6)
	got := map[string]int{}
	for id := range RequestID(6) {
		got[s.place(newRequest(id+1), idleLoad)]++
	}
	for id, n := range got {
		if n > 2 {
			t.Errorf("%d of 6 requests between two reports went to %s, want at most 2", n, id)
		}
	}
}

func TestConnectionCountAfterEachOutcome(t *testing.T) {
	tests := []struct {
		name    string
		open    bool
		settled bool
		outcome Outcome
	}{
		{"served", true, true, OK},
		{"client left an open connection", true, true, Cancelled},
		{"connection broke, settled", true, true, Broken},
		{"error", false, false, Error},
		{"rejected", false, false, Rejected},
		{"no answer", false, false, TimedOut},
		{"no connection", false, false, NoConnect},
		{"not sent", false, true, NotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startBalancer(t, testConfig(), 1, 1)
			if s.place(newRequest(7), idleLoad) != "b0" {
				t.Fatal("not placed")
			}
			if n := len(s.b.byID["b0"].requests); n != 1 {
				t.Fatalf("count is %d after a send, want 1", n)
			}
			if tt.open {
				s.b.Established(s.now, 7)
			}
			s.finish(7, tt.settled, tt.outcome)
			if n := len(s.b.byID["b0"].requests); n != 0 {
				t.Errorf("count is %d after the end, want 0", n)
			}
		})
	}
}

func TestRestoredConnectionsAreCounted(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 2)
	s.b.RestoreConnection(s.now, newRequest(3), "b1")
	s.b.RestoreConnection(s.now, newRequest(4), "unlisted")
	if n := len(s.b.byID["b1"].requests); n != 1 {
		t.Errorf("count is %d, want 1", n)
	}
	s.sends[3], s.sends[4] = 1, 1
	s.finish(3, true, OK)
	s.finish(4, true, Broken)
	if n := len(s.b.byID["b1"].requests) + len(s.b.requests); n != 0 {
		t.Errorf("%d connections and requests are left after the ends, want 0", n)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func(seed uint64) []action {
		s := startBalancer(t, testConfig(), seed, 12)
		var all []action
		for id := range RequestID(60) {
			s.now = s.now.Add(120 * ms)
			s.place(newRequest(id+1), func(b string) float64 { return float64(len(b)+int(id)%5) / 10 })
			s.finish(id+1, id%3 == 0, Outcome(id%8))
			s.b.Timer(s.now, timerProbe)
			all = append(all, s.takeActions()...)
		}
		return all
	}
	requireSameActions(t, run(5), run(5))
	if a, b := run(5), run(6); len(a) == len(b) {
		same := true
		for i := range a {
			same = same && a[i] == b[i]
		}
		if same {
			t.Error("another seed produced the same actions")
		}
	}
}

// Two Balancers in one process share no state: each acts the same whether its events are
// interleaved with those of the other or not.
func TestInstancesAreIndependent(t *testing.T) {
	step := func(s *recordingHost, id RequestID) []action {
		s.now = s.now.Add(200 * ms)
		s.b.Request(s.now, newRequest(id))
		as := s.takeActions()
		s.answerProbes(as, idleLoad)
		return append(as, s.takeActions()...)
	}
	alone := startBalancer(t, testConfig(), 9, 8)
	a, other := startBalancer(t, testConfig(), 9, 8), startBalancer(t, testConfig(), 10, 8)
	for id := range RequestID(40) {
		want := step(alone, id+1)
		got := step(a, id+1)
		step(other, id+1)
		requireSameActions(t, got, want)
	}
}

// All relays place the connections of a group on the same backend, whatever their seeds.
func TestRelaysAgreeOnGroupBackend(t *testing.T) {
	cfg := testConfig()
	cfg.GroupAffinity = true
	first := map[string]string{}
	spread := map[string]bool{}
	for seed := range uint64(20) {
		for _, group := range []string{"g1", "g2", "g3", "g4", "g5", "g6"} {
			s := startBalancer(t, cfg, seed, 12)
			q := newRequest(1)
			q.Group = group
			got := s.place(q, idleLoad)
			if first[group] == "" {
				first[group] = got
			}
			if got != first[group] {
				t.Fatalf("group %s: one relay sends it to %s, another to %s", group, first[group], got)
			}
			spread[got] = true
		}
	}
	if len(spread) < 3 {
		t.Errorf("6 groups use %d of 12 backends, want at least 3", len(spread))
	}
}

// If the preferred backend of a group is full, its requests go to another one.
func TestGroupSpillsWhenBackendFull(t *testing.T) {
	cfg := testConfig()
	cfg.GroupAffinity = true
	s := startBalancer(t, cfg, 1, 12)
	q := newRequest(1)
	q.Group = "g"
	preferred := s.place(q, idleLoad)
	s.now = s.now.Add(sec)
	q.ID = 2
	got := s.place(q, func(b string) float64 {
		if b == preferred {
			return 0.99
		}
		return 0.1
	})
	if got == "" || got == preferred {
		t.Errorf("sent to %q although its preferred backend %q is full, want another one", got, preferred)
	}
}

// If the first backends of a group are full, held requests consider backends of lower ranks, which
// are the same at all relays. When they went to random backends instead, with many relays nearly
// every backend had the cost of the group.
func TestRelaysAgreeOnSpillBackends(t *testing.T) {
	cfg := testConfig()
	cfg.GroupAffinity = true
	placed := map[string]int{}
	for seed := range uint64(30) {
		s := startBalancer(t, cfg, seed, 30)
		s.takeActions()
		q := newRequest(1)
		q.Group = "g"
		s.b.startPlacement(s.now, s.b.addRequest(q))
		full := map[string]bool{}
		for _, k := range s.b.requests[1].sample[:2] {
			full[k.ID] = true
		}
		s = startBalancer(t, cfg, seed, 30)
		s.takeActions()
		s.b.Request(s.now, q)
		for _, a := range s.runUntil(s.now.Add(2*sec), func(b string) float64 {
			if full[b] {
				return 0.99
			}
			return 0.5
		}, alwaysEndWith(OK)) {
			if a.kind == "send" {
				placed[a.backend]++
			}
		}
	}
	most := 0
	for _, n := range placed {
		most = max(most, n)
	}
	if most < 15 {
		t.Errorf("30 relays spread a group over %v, want at least 15 on one backend", placed)
	}
}

// A held request is not counted as demand for backends that its group may not use yet, so that
// their idle capacity is left to other requests. When it was counted, four such backends stayed at
// a load of 0.6 while 75% of the requests were refused.
func TestHeldRequestCountsDemandOnlyWhereAllowed(t *testing.T) {
	cfg := testConfig()
	cfg.GroupAffinity, cfg.Relays = true, 3
	s := startBalancer(t, cfg, 1, 3)
	s.takeActions()
	q := newRequest(1)
	q.Group = "g"
	s.b.startPlacement(s.now, s.b.addRequest(q))
	preferred := s.b.requests[1].sample[0].ID
	s = startBalancer(t, cfg, 1, 3)
	s.takeActions()
	if got := s.place(q, func(b string) float64 {
		if b == preferred {
			return 0.99
		}
		return 0.6
	}); got != "" {
		t.Fatalf("sent to %q, want held", got)
	}
	for _, k := range s.b.ready {
		if want := k.ID == preferred; (k.demand > 0) != want {
			t.Errorf("demand for %s is %v; the preferred backend is %s", k.ID, k.demand, preferred)
		}
	}
}
