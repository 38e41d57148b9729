package balance

import (
	"math"
	"strconv"
	"testing"
	"time"
)

// runRequests feeds a relay one request every gap and lets each attempt end as end says; a connection that is set
// up lasts until the end of the test. It returns where the requests went.
func (s *recordingHost) runRequests(n int, gap time.Duration, loads func(string) float64, end func(backend string) Outcome) map[string]int {
	got := map[string]int{}
	for id := range RequestID(n) {
		id += 1 + RequestID(s.now.UnixMicro())
		s.now = s.now.Add(gap)
		s.b.Timer(s.now, timerProbe)
		s.answerProbes(s.takeActions(), loads)
		s.b.Request(s.now, newRequest(id))
		for range 12 {
			as := s.takeActions()
			if len(as) == 0 {
				break
			}
			for _, a := range as {
				switch {
				case a.kind == "probe":
					s.b.Probed(s.now, a.backend, OK, loadReport(loads(a.backend)))
				case a.kind == "send":
					got[a.backend]++
					if o := end(a.backend); o == OK {
						s.b.Established(s.now, a.id)
					} else {
						s.finish(a.id, false, o)
					}
				case a.kind == "after" && a.token == id<<timerKindBits|timerRequest:
					s.b.Timer(s.now.Add(a.d), a.token)
				}
			}
		}
	}
	return got
}

func served(string) Outcome { return OK }

// With no word on load at all the paper's count alone decides, and still spreads.
func TestReportsAbsent(t *testing.T) {
	cfg := testConfig()
	cfg.Relays = 1
	s := startBalancer(t, cfg, 1, 5)
	got := s.runRequests(100, 300*ms, func(string) float64 { return math.NaN() }, served)
	for i := range 5 {
		if n := got["b"+strconv.Itoa(i)]; n < 10 || n > 30 {
			t.Errorf("b%d got %d of 100", i, n)
		}
	}
}

// A frozen report must not draw everything to one backend for good.
func TestReportsFrozen(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 6)
	got := s.runRequests(200, 300*ms, func(b string) float64 {
		if b == "b0" {
			return 0.3
		}
		return 0.5
	}, served)
	if got["b0"] > 140 || len(got) != 6 {
		t.Errorf("200 requests went %v", got)
	}
}

// A backend that reports idle and fails fast must not win every sample.
func TestFastErrors(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 6)
	loads := func(b string) float64 {
		if b == "b0" {
			return 0
		}
		return 0.5
	}
	broken := true
	end := func(b string) Outcome {
		if b == "b0" && broken {
			return Error
		}
		return OK
	}
	got := s.runRequests(200, 300*ms, loads, end)
	if got["b0"] > 30 {
		t.Errorf("%d attempts at a backend that fails all", got["b0"])
	}
	broken = false
	s.now = s.now.Add(60 * sec)
	if got = s.runRequests(100, 300*ms, loads, end); got["b0"] == 0 {
		t.Error("the backend is shunned for ever after it has recovered")
	}
}

// A backend that connects and never answers costs few attempts, and a request's other attempts go elsewhere.
func TestSilentBackend(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 6)
	got := s.runRequests(200, 300*ms, idleLoad, func(b string) Outcome {
		if b == "b0" {
			return TimedOut
		}
		return OK
	})
	if got["b0"] > 20 || got["b0"] == 0 {
		t.Errorf("%d attempts at a silent backend", got["b0"])
	}
}

// However many backends failed of late, requests are still sent: one is passed over only for another.
func TestAllFailedOfLate(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 10)
	for _, k := range s.b.ready {
		s.b.recordOutcome(s.now, k, NoConnect)
	}
	if s.place(newRequest(1), idleLoad) == "" {
		t.Error("held, with all of the list ejected")
	}
	for _, k := range s.b.ready[1:] {
		k.ejectedUntil = s.now.Add(100 * sec)
	}
	fit := s.b.ready[0]
	fit.ejectedUntil = time.Time{}
	seen := 0
	for id := RequestID(2); id < 32; id++ {
		s.now = s.now.Add(sec)
		got := s.place(newRequest(id), idleLoad)
		if fit.lastReport.Equal(s.now) { // it was in the sample
			seen++
			if got != fit.ID {
				t.Errorf("request %d went to %q, not to the one that is fit", id, got)
			}
		}
	}
	if seen == 0 {
		t.Error("the one that is fit was never looked at")
	}
}

// A note of late messages makes the relay look at that backend, at most once in a while.
func TestLateMessagesAreLookedInto(t *testing.T) {
	for _, tt := range []struct {
		note  Metric
		level float64
		want  int
	}{{MetricDelay, 400, 1}, {MetricDelay, 20, 0}, {MetricLoad, 4000, 0}} {
		cfg := testConfig()
		cfg.Classes[0].MessageTarget = 100 * ms
		s := startBalancer(t, cfg, 1, 3)
		s.b.RestoreConnection(s.now, newRequest(1), "b1")
		s.takeActions()
		for range 5 {
			s.b.ConnectionMeasured(s.now, 1, tt.note, tt.level)
		}
		if n := s.count(s.takeActions(), "probe"); n != tt.want {
			t.Errorf("note %d of %v: %d probes, want %d", tt.note, tt.level, n, tt.want)
		}
		s.b.Probed(s.now, "b1", OK, loadReport(0.5))
		s.now = s.now.Add(100 * ms)
		s.b.ConnectionMeasured(s.now, 1, tt.note, tt.level)
		if n := s.count(s.takeActions(), "probe"); n != 0 {
			t.Errorf("note %d of %v: probed again at once", tt.note, tt.level)
		}
	}
}

// With all at or over capacity requests are held and refused, at a bounded cost in probes.
func TestAllOverCapacity(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 10)
	s.takeActions()
	probes, refused := 0, 0
	for id := range RequestID(50) {
		s.b.Request(s.now, newRequest(id+1))
		all := s.runUntil(s.now.Add(3*sec), func(string) float64 { return 1.1 }, alwaysEndWith(OK))
		probes += s.count(all, "probe")
		refused += s.count(all, "refuse")
	}
	if refused != 50 || len(s.sends) != 0 {
		t.Errorf("%d refused, %d sent", refused, len(s.sends))
	}
	if probes > 50*5*sampleSize {
		t.Errorf("%d probes for 50 requests", probes)
	}
}

// Half of the list goes at once: their connections' clients come back and find a place in the other half.
func TestHalfGoneAtOnce(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 10)
	s.runRequests(50, 200*ms, idleLoad, served)
	s.b.DiscoveryUpdate(s.now, ListWhole, readyBackends(10)[5:])
	for _, r := range s.b.requests {
		if r.backend.State == Gone {
			s.finish(r.ID, true, Broken)
		}
	}
	got := s.runRequests(50, 50*ms, idleLoad, served)
	for i := range 5 {
		if n := got["b"+strconv.Itoa(i)]; n != 0 {
			t.Errorf("%d sent to b%d, which is gone", n, i)
		}
	}
	if len(got) != 5 {
		t.Errorf("went to %v", got)
	}
}

// A rolling deploy: many cold successors at once. The warm ones carry on and the cold ones are let in slowly.
func TestRollingDeploy(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 6)
	list := readyBackends(12)
	for i := 6; i < 12; i++ {
		list[i].StartTime = s.now
	}
	s.b.DiscoveryUpdate(s.now, ListPatch, list[6:])
	cold, warm, budget := 0, 0, 0.0
	for id := range RequestID(80) {
		s.now = s.now.Add(250 * ms)
		w := s.b.warmUpFraction(s.now, s.b.byID["b6"])
		budget += 6 * w / (6 + 6*w) * s.b.cfg.Rules.OverloadFactor * coldCreditFraction
		to := s.place(newRequest(id+1), func(b string) float64 {
			if len(b) > 2 || b > "b5" {
				return 0
			}
			return 0.5
		})
		switch {
		case to == "":
		case s.b.warmUpFraction(s.now, s.b.byID[to]) < 1:
			cold++
		default:
			warm++
		}
		s.b.Established(s.now, id+1)
		s.finish(id+1, true, OK)
	}
	if float64(cold) > budget || cold < 10 || warm < 10 {
		t.Errorf("%d went to cold backends, %d to warm ones, of a budget of %.1f", cold, warm, budget)
	}
}

// All clients come back within a second: each request is answered, and the attempts that are out are bounded.
func TestMassReconnect(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 10)
	s.takeActions()
	most := 0
	for id := range RequestID(300) {
		s.now = s.now.Add(3 * ms)
		s.b.Request(s.now, newRequest(id+1))
		s.answerProbes(s.takeActions(), idleLoad)
		most = max(most, s.b.pendingAttempts)
	}
	if most > maxAttemptWindow {
		t.Errorf("%d attempts out at once", most)
	}
	// The store behind all backends has stalled: every attempt fails.
	for id := range RequestID(300) {
		s.finish(id+1, false, Error)
	}
	if s.b.attemptWindow > 2 {
		t.Errorf("window %v after failures", s.b.attemptWindow)
	}
	for id := range RequestID(300) {
		s.b.ClientGone(s.now, id+1)
	}
	if s.b.pendingAttempts < 0 || s.b.pendingAttempts > maxAttemptWindow {
		t.Errorf("%d attempts out", s.b.pendingAttempts)
	}
}

// A relay that starts with an old list finds that half of it is not there any more.
func TestStartsWithAnOldList(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 8)
	got := s.runRequests(100, 200*ms, idleLoad, func(b string) Outcome {
		if b < "b4" {
			return NoConnect
		}
		return OK
	})
	live := got["b4"] + got["b5"] + got["b6"] + got["b7"]
	if live < 90 {
		t.Errorf("%d of 100 requests were set up: %v", live, got)
	}
}

// The clock jumps far forward: nothing panics, what is held ends, and requests are placed again.
func TestClockJump(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 4)
	s.b.Request(s.now, newRequest(1))
	s.now = s.now.Add(3600 * sec)
	s.b.Timer(s.now, 1<<timerKindBits|timerRequest)
	s.b.Timer(s.now, timerProbe)
	s.answerProbes(s.takeActions(), idleLoad)
	for id, r := range s.b.requests {
		if r.backend == nil {
			t.Errorf("request %d is still held", id)
		}
	}
	if s.place(newRequest(2), idleLoad) == "" {
		t.Error("not placed after the jump")
	}
}

// Looks of held requests are most of all looks in a bad time: they make do with reports that others asked for.
func TestHeldRequestsProbeLess(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 3)
	full := func(string) float64 { return 0.99 }
	s.takeActions()
	for id := RequestID(1); id <= 10; id++ {
		s.b.Request(s.now, newRequest(id))
	}
	probes := s.count(s.runUntil(s.now.Add(sec), full, alwaysEndWith(OK)), "probe")
	if probes < 3 || probes > 9 {
		t.Errorf("%d probes of 3 backends within a second", probes)
	}
}

// One tenant floods a loaded fleet: it is held while others are placed. On an idle fleet it is not held.
func TestTenantFlood(t *testing.T) {
	for _, tt := range []struct {
		name   string
		load   float64
		placed bool
	}{{"loaded", 0.6, false}, {"idle", 0, true}} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Tenants = []Tenant{{ConnectionQuota: 50}, {ConnectionQuota: 50}} // 5 at this relay
			s := startBalancer(t, cfg, 1, 10)
			place := func(id RequestID, tenant int) bool {
				s.now = s.now.Add(sec)
				q := newRequest(id)
				q.Tenant = tenant
				to := s.place(q, func(string) float64 { return tt.load })
				s.b.Established(s.now, id)
				return to != ""
			}
			flooded := true
			for id := range RequestID(14) {
				flooded = place(id+1, 0)
			}
			if flooded != tt.placed {
				t.Errorf("the flooding tenant placed: %v", flooded)
			}
			if !place(100, 1) {
				t.Error("the other tenant was held")
			}
		})
	}
}

// A zone with more traffic than its own backends carry spills to others; with room at home it stays there.
func TestZoneSpills(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.08
	for _, tt := range []struct {
		name string
		home float64
		far  bool
	}{{"room at home", 0.3, false}, {"full at home", 0.95, true}} {
		t.Run(tt.name, func(t *testing.T) {
			s := startBalancer(t, cfg, 1, 12)
			list := readyBackends(12)
			for i := range list[:6] {
				list[i].Zone = "there"
			}
			s.b.DiscoveryUpdate(s.now, ListWhole, list)
			far := 0
			for id, n := range s.runRequests(200, 300*ms, func(b string) float64 {
				if s.b.byID[b].Zone == "there" {
					return 0.1
				}
				return tt.home
			}, served) {
				if s.b.byID[id].Zone == "there" {
					far += n
				}
			}
			if tt.far && far == 0 || !tt.far && far > 40 {
				t.Errorf("%d of 200 crossed", far)
			}
		})
	}
}

// Overload is relieved by moving connections off, a bounded part, and not again before reports can show it.
func TestRelief(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	for id := range RequestID(40) {
		s.b.RestoreConnection(s.now, newRequest(id+1), "b0")
	}
	s.takeActions()
	s.b.Probed(s.now, "b0", OK, loadReport(0.90))
	if n := s.count(s.takeActions(), "move"); n != 0 {
		t.Errorf("%d moved below the mark", n)
	}
	s.b.Probed(s.now, "b0", OK, loadReport(1.3))
	if n := s.count(s.takeActions(), "move"); n < 19 || n > 21 {
		t.Errorf("%d of 40 moved at twice the load of the bar, want half", n)
	}
	s.now = s.now.Add(sec)
	s.b.Probed(s.now, "b0", OK, loadReport(1.3))
	if n := s.count(s.takeActions(), "move"); n != 0 {
		t.Errorf("%d moved again at once", n)
	}
}

// Relief takes one group before another, the same at all relays, so that the backend soon pays for one less.
func TestReliefTakesOneGroupFirst(t *testing.T) {
	var first string
	for seed := range uint64(5) {
		cfg := testConfig()
		cfg.GroupAffinity = true
		s := startBalancer(t, cfg, seed, 1)
		for id := range RequestID(40) {
			q := newRequest(id + 1)
			q.Group = string(rune('a' + (id+RequestID(seed))%2))
			s.b.RestoreConnection(s.now, q, "b0")
		}
		s.takeActions()
		s.b.Probed(s.now, "b0", OK, loadReport(1.1)) // some 16 of 40 go
		moved := 0
		for _, a := range s.takeActions() {
			if a.kind != "move" {
				continue
			}
			moved++
			g := s.b.requests[a.id].Group
			if first == "" {
				first = g
			}
			if g != first {
				t.Fatalf("relay %d moved one of group %q, others of %q", seed, g, first)
			}
		}
		if moved == 0 {
			t.Errorf("relay %d moved none", seed)
		}
	}
}

// Until its next report all relays read that a backend has room again: together they must not fill it far
// beyond that. On a day of 56 relays (L10768e) they put 35 connections at a time on a backend that held 15.
func TestRelaysShareRoom(t *testing.T) {
	const relays = 50
	sent := 0
	for seed := range uint64(relays) {
		cfg := testConfig()
		cfg.Relays = relays
		s := startBalancer(t, cfg, seed, 1)
		rep := loadReport(0.95)
		rep.Active = 19
		for id := RequestID(1); id <= 20; id++ {
			s.now = s.now.Add(250 * ms)
			if id > 16 { // a second with room for 5
				rep = loadReport(0.5)
				rep.Active = 10
			}
			s.b.Request(s.now, newRequest(id))
			for _, a := range s.takeActions() {
				if a.kind == "probe" {
					s.b.Probed(s.now, a.backend, OK, rep)
				}
			}
			sent += s.count(s.takeActions(), "send")
		}
	}
	if sent < 1 || sent > 15 {
		t.Errorf("%d relays sent %d within a second where there was room for 5", relays, sent)
	}
}

// Odd but legal input is taken without a panic.
func TestOddInput(t *testing.T) {
	for _, cfg := range []Config{{}, testConfig()} {
		s := startBalancer(t, cfg, 1, 0)
		s.b.Request(s.now, Request{ID: 1, Class: 99, Tenant: 99})
		s.b.Request(s.now, Request{ID: 2, Class: -1, Tenant: -1, Timeout: -5})
		s.b.Finished(s.now, 77, 0, true, OK, loadReport(0.5))
		s.b.Established(s.now, 77)
		s.b.ClientGone(s.now, 77)
		s.b.Probed(s.now, "nobody", OK, loadReport(0.5))
		s.b.DiscoveryUpdate(s.now, ListWhole, nil)
		s.b.DiscoveryUpdate(s.now, ListWhole, []Backend{{ID: "b0", State: Draining}})
		s.b.DiscoveryUpdate(s.now, ListPatch, []Backend{{ID: "b9", State: Gone}})
		s.b.Request(s.now, newRequest(3))
		s.b.DiscoveryUpdate(s.now, ListPatch, []Backend{{ID: "b0"}, {ID: "b0"}})
		if n := len(s.b.ready); n != 1 {
			t.Errorf("%d ready", n)
		}
		for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 1e300} {
			s.b.Probed(s.now, "b0", OK, loadReport(x))
			if w := s.b.byID["b0"].weight; !(w >= floorWeight && w <= fullWeight) {
				t.Errorf("load %v made the weight %v", x, w)
			}
		}
		s.runUntil(s.now.Add(60*sec), idleLoad, alwaysEndWith(OK))
	}
}

func TestSettingsThatCannotWork(t *testing.T) {
	tests := []struct {
		name string
		cfg  Config
		host Host
	}{
		{"no host", testConfig(), nil},
		{"relays", Config{Relays: -1}, &recordingHost{}},
		{"attempts", Config{MaxAttempts: -1}, &recordingHost{}},
		{"cold share", Config{Rules: Rules{InitialCapacity: 1.5}}, &recordingHost{}},
		{"warm-up", Config{Rules: Rules{WarmUpTime: -1}}, &recordingHost{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := New(tt.cfg, 1, tt.host); err == nil {
				t.Error("no error")
			}
		})
	}
}

// A backend that leaves probes unanswered takes nothing while others answer theirs: slow ones kept the W of
// better times and so won every sample (h1de8d8: 27% of the attempts timed out).
func TestUnansweredProbes(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 5)
	for id := RequestID(1); id <= 40; id++ {
		s.now = s.now.Add(sec)
		s.b.Request(s.now, newRequest(id))
		for _, a := range s.takeActions() {
			switch {
			case a.kind == "probe" && a.backend == "b0":
				s.b.Probed(s.now, a.backend, TimedOut, loadReport(math.NaN()))
			case a.kind == "probe":
				s.b.Probed(s.now, a.backend, OK, loadReport(0.7))
			}
		}
		for _, a := range s.takeActions() {
			if a.kind == "send" && a.backend == "b0" {
				t.Fatalf("request %d went to the silent backend", id)
			}
		}
	}
	if len(s.sends) == 0 {
		t.Error("nothing was sent")
	}
}

// A probe that the host could not send, for want of a descriptor, says nothing: the backend stays in use.
func TestUnsentProbes(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 2)
	for id := RequestID(1); id <= 20; id++ {
		s.now = s.now.Add(sec)
		s.b.Request(s.now, newRequest(id))
		for _, a := range s.takeActions() {
			switch {
			case a.kind == "probe" && a.backend == "b0":
				s.b.Probed(s.now, a.backend, NotSent, loadReport(math.NaN()))
			case a.kind == "probe":
				s.b.Probed(s.now, a.backend, OK, loadReport(0.7))
			}
		}
	}
	if s.b.ConnectionCount("b0")+s.b.ConnectionCount("b1") != 20 || s.b.ConnectionCount("b0") < 5 {
		t.Errorf("b0 has %d, b1 %d", s.b.ConnectionCount("b0"), s.b.ConnectionCount("b1"))
	}
}

// Near saturation what is worth less than most is held while the rest is placed; on an idle fleet nothing is.
func TestWorthLessWaits(t *testing.T) {
	for _, tt := range []struct {
		load   float64
		placed [2]bool
	}{{0.2, [2]bool{true, true}}, {0.65, [2]bool{true, false}}, {0.9, [2]bool{false, false}}} {
		cfg := testConfig()
		cfg.Classes = []Class{{SetupTarget: 500 * ms, Worth: 5}, {SetupTarget: 500 * ms, Worth: 1}}
		s := startBalancer(t, cfg, 1, 10)
		loads := func(string) float64 { return tt.load }
		for id := RequestID(1); id <= 30; id++ { // the mean worth is learnt
			s.now = s.now.Add(sec)
			s.place(newRequest(id), idleLoad)
		}
		for class, want := range tt.placed {
			s.now = s.now.Add(sec)
			q := newRequest(RequestID(100 + class))
			q.Class = class
			if got := s.place(q, loads) != ""; got != want {
				t.Errorf("load %v, class %d: placed %v, want %v", tt.load, class, got, want)
			}
		}
	}
}

// A process that dies breaks all its connections in one turn. That is one failure: counted one by one, five of
// them kept a backend that was back at once, and empty, out of use for 48 s.
func TestOneCauseIsOneFailure(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	for id := RequestID(1); id <= 6; id++ {
		s.now = s.now.Add(sec)
		if s.place(newRequest(id), idleLoad) != "b0" {
			t.Fatalf("request %d was held", id)
		}
		s.b.Established(s.now, id)
	}
	for id := RequestID(1); id <= 6; id++ {
		s.finish(id, true, Broken)
	}
	k := s.b.byID["b0"]
	if out := k.ejectedUntil.Sub(s.now); k.consecutiveFailures != 1 || out < 2*sec || out > 4*sec {
		t.Errorf("%d strikes, ejected for %v", k.consecutiveFailures, out)
	}
	s.now = k.ejectedUntil // what fails after that is another failure
	s.b.recordOutcome(s.now, k, NoConnect)
	if out := k.ejectedUntil.Sub(s.now); k.consecutiveFailures != 2 || out < 5*sec {
		t.Errorf("then %d strikes, ejected for %v", k.consecutiveFailures, out)
	}
}

// Clients that come back together find room as long as a backend has idle points: what one of them takes until
// the next report is little. As much for each as a new one must find refused them at half the load.
func TestManyFitBetweenReports(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	k := s.b.byID["b0"]
	s.b.Probed(s.now, "b0", OK, loadReport(0.5))
	placed := 0
	for id := RequestID(1); id <= 40; id++ {
		s.b.Request(s.now, newRequest(id)) // all before the next report
		placed += s.count(s.takeActions(), "send")
	}
	if placed < 8 || placed > 20 {
		t.Errorf("%d placed on a backend with %v idle points", placed, k.weight)
	}
}

// A refused client comes back after a part of the longest advice: room is found long before that is over, and
// until it is back its connection is worth nothing.
func TestAdviceIsShort(t *testing.T) {
	cfg := testConfig()
	cfg.MaxRetryAfter = 2 * sec
	s := startBalancer(t, cfg, 1, 1)
	s.b.Probed(s.now, "b0", OK, loadReport(1))
	q := newRequest(1)
	q.Timeout = 10 * ms
	s.b.Request(s.now, q)
	var refused []action
	for _, a := range s.takeActions() {
		if a.kind == "refuse" {
			refused = append(refused, a)
		}
	}
	if len(refused) != 1 || refused[0].d != 500*ms {
		t.Errorf("%v", refused)
	}
}

// What other relays know of a backend counts like an own failure: it is passed over wherever there is another, and no further;
// it is over at its time, with the word that takes it back, and when the backend has started anew.
func TestToldByOthers(t *testing.T) {
	cfg := testConfig()
	cfg.Relays = 1
	idle := func(string) float64 { return 0.1 }
	s := startBalancer(t, cfg, 1, 4)
	s.b.EjectUntil("b2", s.now.Add(time.Minute))
	if got := s.runRequests(40, 10*ms, idle, served); got["b2"] != 0 || got["b0"] == 0 {
		t.Errorf("told of b2, placed %v", got)
	}
	s.b.EjectUntil("b2", time.Time{})
	if got := s.runRequests(40, 10*ms, idle, served); got["b2"] == 0 {
		t.Errorf("taken back, placed %v", got)
	}
	s.b.EjectUntil("b3", s.now.Add(time.Minute))
	s.now = s.now.Add(61 * sec)
	if got := s.runRequests(40, 10*ms, idle, served); got["b3"] == 0 {
		t.Errorf("over, placed %v", got)
	}
	for i := range 4 {
		s.b.EjectUntil("b"+strconv.Itoa(i), s.now.Add(time.Minute))
	}
	if got := s.runRequests(40, 10*ms, idle, served); len(got) != 4 {
		t.Errorf("told of all, which can't all be at fault, placed %v", got)
	}
	s.b.EjectUntil("nobody", s.now.Add(time.Minute))
	list := readyBackends(4)
	list[1].StartTime = s.now.Add(-30 * sec)
	s.b.DiscoveryUpdate(s.now, ListWhole, list)
	if s.b.byID["b1"].unhealthy(s.now) {
		t.Error("a process that started anew is told of still")
	}
}

// A request for which all relays together have no room is refused at once, whoever is idle, and costs no attempt and no probe.
func TestBeyondTheLimitOfAll(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 3)
	s.takeActions()
	told := map[time.Duration]bool{}
	for id := range RequestID(20) {
		q := newRequest(id + 1)
		q.OverLimit = true
		s.b.Request(s.now, q)
		as := s.takeActions()
		if len(as) != 1 || as[0].kind != "refuse" || as[0].d < sec/2 || as[0].d > sec {
			t.Fatalf("it asked for %+v", as)
		}
		told[as[0].d] = true
	}
	if len(told) < 15 { // else they all come again together
		t.Errorf("20 refused clients are told %d different times", len(told))
	}
	if len(s.b.requests) != 0 {
		t.Error("it is kept")
	}
}

// While all relays together have made the further attempts that they may, a request whose attempt failed is answered at once; else it
// is tried elsewhere.
func TestThrifty(t *testing.T) {
	for _, thrifty := range []bool{false, true} {
		s := startBalancer(t, testConfig(), 1, 4)
		s.b.DisableRetries(thrifty)
		sent := s.runRequests(1, 10*ms, func(string) float64 { return 0.1 }, func(string) Outcome { return Error })
		n := 0
		for _, k := range sent {
			n += k
		}
		if thrifty != (n == 1) || thrifty != (len(s.b.requests) == 0) {
			t.Errorf("thrifty %v: %d attempts, %d requests kept", thrifty, n, len(s.b.requests))
		}
	}
}
