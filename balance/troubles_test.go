package balance

import (
	"math"
	"strconv"
	"testing"
	"time"
)

// runRequests sends n requests to a relay, one every gap. Attempts end as the function end says;
// established connections stay open until the end of the test. It returns the number of attempts by
// backend.
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

func alwaysSucceed(string) Outcome { return OK }

// Without any load reports, the connection counts alone decide, and requests are still spread.
func TestReportsAbsent(t *testing.T) {
	cfg := testConfig()
	cfg.Relays = 1
	s := startBalancer(t, cfg, 1, 5)
	got := s.runRequests(100, 300*ms, func(string) float64 { return math.NaN() }, alwaysSucceed)
	for i := range 5 {
		if n := got["b"+strconv.Itoa(i)]; n < 10 || n > 30 {
			t.Errorf("b%d got %d of 100 requests, want 10 to 30", i, n)
		}
	}
}

// A backend whose reported load never changes must not attract all requests for good.
func TestReportsFrozen(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 6)
	got := s.runRequests(200, 300*ms, func(b string) float64 {
		if b == "b0" {
			return 0.3
		}
		return 0.5
	}, alwaysSucceed)
	if got["b0"] > 140 || len(got) != 6 {
		t.Errorf("200 requests went to %v, want at most 140 to b0 and some to each of 6", got)
	}
}

// A backend that reports zero load and fails quickly must not be chosen from every sample.
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
		t.Errorf("%d attempts on a backend that always fails, want at most 30", got["b0"])
	}
	broken = false
	s.now = s.now.Add(60 * sec)
	if got = s.runRequests(100, 300*ms, loads, end); got["b0"] == 0 {
		t.Error("no attempts on the backend after it has recovered")
	}
}

// A backend that accepts connections and never answers costs few attempts. A request's other
// attempts go to other backends.
func TestSilentBackend(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 6)
	got := s.runRequests(200, 300*ms, idleLoad, func(b string) Outcome {
		if b == "b0" {
			return TimedOut
		}
		return OK
	})
	if got["b0"] > 20 || got["b0"] == 0 {
		t.Errorf("%d attempts on a backend that does not answer, want 1 to 20", got["b0"])
	}
}

// Requests are sent however many backends failed recently: an ejected backend is passed over only
// if there is another.
func TestAllBackendsEjected(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 10)
	for _, k := range s.b.ready {
		s.b.recordOutcome(s.now, k, NoConnect)
	}
	if s.place(newRequest(1), idleLoad) == "" {
		t.Error("request held while all backends are ejected")
	}
	for _, k := range s.b.ready[1:] {
		k.ejectedUntil = s.now.Add(100 * sec)
	}
	healthy := s.b.ready[0]
	healthy.ejectedUntil = time.Time{}
	seen := 0
	for id := RequestID(2); id < 32; id++ {
		s.now = s.now.Add(sec)
		got := s.place(newRequest(id), idleLoad)
		if healthy.lastReport.Equal(s.now) { // the backend was in the sample
			seen++
			if got != healthy.ID {
				t.Errorf("request %d went to %q, not to the only backend that is not ejected", id, got)
			}
		}
	}
	if seen == 0 {
		t.Error("the backend that is not ejected was in no sample")
	}
}

// A measurement of late messages makes the relay probe the backend of the connection, but not again
// as long as its report is recent.
func TestLateMessagesCauseProbe(t *testing.T) {
	for _, tt := range []struct {
		metric Metric
		level  float64
		want   int
	}{{MetricDelay, 400, 1}, {MetricDelay, 20, 0}, {MetricLoad, 4000, 0}} {
		cfg := testConfig()
		cfg.Classes[0].MessageTarget = 100 * ms
		s := startBalancer(t, cfg, 1, 3)
		s.b.RestoreConnection(s.now, newRequest(1), "b1")
		s.takeActions()
		for range 5 {
			s.b.ConnectionMeasured(s.now, 1, tt.metric, tt.level)
		}
		if n := s.count(s.takeActions(), "probe"); n != tt.want {
			t.Errorf("metric %d of %v: %d probes, want %d", tt.metric, tt.level, n, tt.want)
		}
		s.b.Probed(s.now, "b1", OK, loadReport(0.5))
		s.now = s.now.Add(100 * ms)
		s.b.ConnectionMeasured(s.now, 1, tt.metric, tt.level)
		if n := s.count(s.takeActions(), "probe"); n != 0 {
			t.Errorf("metric %d of %v: probed again right after a report", tt.metric, tt.level)
		}
	}
}

// With all backends over capacity, requests are held and refused with a bounded number of probes.
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
		t.Errorf("%d requests refused and %d sent, want 50 and 0", refused, len(s.sends))
	}
	if probes > 50*5*sampleSize {
		t.Errorf("%d probes for 50 requests, want at most 5 samples each", probes)
	}
}

// Half of the backends are removed at the same time. The clients of their connections reconnect and
// are placed on the other half.
func TestHalfOfBackendsRemoved(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 10)
	s.runRequests(50, 200*ms, idleLoad, alwaysSucceed)
	s.b.DiscoveryUpdate(s.now, ListWhole, readyBackends(10)[5:])
	for _, r := range s.b.requests {
		if r.backend.State == Gone {
			s.finish(r.ID, true, Broken)
		}
	}
	got := s.runRequests(50, 50*ms, idleLoad, alwaysSucceed)
	for i := range 5 {
		if n := got["b"+strconv.Itoa(i)]; n != 0 {
			t.Errorf("%d requests sent to b%d, which is not in the list", n, i)
		}
	}
	if len(got) != 5 {
		t.Errorf("requests went to %v, want all 5 remaining backends", got)
	}
}

// A rolling deployment adds many cold backends at once. The warm ones continue to get requests and
// the cold ones get them slowly.
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
		t.Errorf("%d requests went to cold backends and %d to warm ones, want 10 at least for each and at most %.1f for cold ones", cold, warm, budget)
	}
}

// All clients reconnect within a second. The number of pending attempts stays bounded, also if all
// fail.
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
		t.Errorf("%d pending attempts at once, want at most the window", most)
	}
	// The storage that all backends depend on stalls: every attempt fails.
	for id := range RequestID(300) {
		s.finish(id+1, false, Error)
	}
	if s.b.attemptWindow > 2 {
		t.Errorf("attempt window %v after failures, want at most 2", s.b.attemptWindow)
	}
	for id := range RequestID(300) {
		s.b.ClientGone(s.now, id+1)
	}
	if s.b.pendingAttempts < 0 || s.b.pendingAttempts > maxAttemptWindow {
		t.Errorf("%d pending attempts after all clients left, want 0 up to the window", s.b.pendingAttempts)
	}
}

// A relay starts with an old list, of which half of the backends are down.
func TestStaleInitialList(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 8)
	got := s.runRequests(100, 200*ms, idleLoad, func(b string) Outcome {
		if b < "b4" {
			return NoConnect
		}
		return OK
	})
	live := got["b4"] + got["b5"] + got["b6"] + got["b7"]
	if live < 90 {
		t.Errorf("%d of 100 requests were set up, want at least 90: %v", live, got)
	}
}

// The clock jumps far forward. Nothing panics, held requests end, and new requests are placed.
func TestClockJump(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 4)
	s.b.Request(s.now, newRequest(1))
	s.now = s.now.Add(3600 * sec)
	s.b.Timer(s.now, 1<<timerKindBits|timerRequest)
	s.b.Timer(s.now, timerProbe)
	s.answerProbes(s.takeActions(), idleLoad)
	for id, r := range s.b.requests {
		if r.backend == nil {
			t.Errorf("request %d is still held after the jump", id)
		}
	}
	if s.place(newRequest(2), idleLoad) == "" {
		t.Error("request not placed after the jump")
	}
}

// Held requests account for most probes while capacity is short. They use reports that others asked
// for.
func TestHeldRequestsProbeLess(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 3)
	full := func(string) float64 { return 0.99 }
	s.takeActions()
	for id := RequestID(1); id <= 10; id++ {
		s.b.Request(s.now, newRequest(id))
	}
	probes := s.count(s.runUntil(s.now.Add(sec), full, alwaysEndWith(OK)), "probe")
	if probes < 3 || probes > 9 {
		t.Errorf("%d probes of 3 backends within a second, want 3 to 9", probes)
	}
}

// One tenant far exceeds its quota. With loaded backends its requests are held while those of other
// tenants are placed. With idle backends they are placed as well.
func TestTenantFlood(t *testing.T) {
	for _, tt := range []struct {
		name   string
		load   float64
		placed bool
	}{{"loaded", 0.6, false}, {"idle", 0, true}} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			// 5 each at this relay
			cfg.Tenants = []Tenant{{ConnectionQuota: 50}, {ConnectionQuota: 50}}
			s := startBalancer(t, cfg, 1, 10)
			place := func(id RequestID, tenant int) bool {
				s.now = s.now.Add(sec)
				q := newRequest(id)
				q.Tenant = tenant
				to := s.place(q, func(string) float64 { return tt.load })
				s.b.Established(s.now, id)
				return to != ""
			}
			lastPlaced := true
			for id := range RequestID(14) {
				lastPlaced = place(id+1, 0)
			}
			if lastPlaced != tt.placed {
				t.Errorf("requests of the tenant over its quota placed: %v", lastPlaced)
			}
			if !place(100, 1) {
				t.Error("the request of the other tenant was held")
			}
		})
	}
}

// Requests go to other zones if the backends of the own zone are full, and stay in the own zone if
// it has capacity.
func TestZoneSpillover(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.08
	for _, tt := range []struct {
		name string
		home float64
		far  bool
	}{{"own zone has capacity", 0.3, false}, {"own zone is full", 0.95, true}} {
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
			}, alwaysSucceed) {
				if s.b.byID[id].Zone == "there" {
					far += n
				}
			}
			if tt.far && far == 0 || !tt.far && far > 40 {
				t.Errorf("%d of 200 requests crossed zones", far)
			}
		})
	}
}

// A part of the connections is moved off an overloaded backend, and no more until reports can show
// the effect.
func TestOverloadMovesConnections(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	for id := range RequestID(40) {
		s.b.RestoreConnection(s.now, newRequest(id+1), "b0")
	}
	s.takeActions()
	s.b.Probed(s.now, "b0", OK, loadReport(0.90))
	if n := s.count(s.takeActions(), "move"); n != 0 {
		t.Errorf("%d connections moved below the overload threshold", n)
	}
	s.b.Probed(s.now, "b0", OK, loadReport(1.3))
	if n := s.count(s.takeActions(), "move"); n < 19 || n > 21 {
		t.Errorf("%d of 40 connections moved at twice the target load, want half", n)
	}
	s.now = s.now.Add(sec)
	s.b.Probed(s.now, "b0", OK, loadReport(1.3))
	if n := s.count(s.takeActions(), "move"); n != 0 {
		t.Errorf("%d connections moved again after a second, want none", n)
	}
}

// Connections of one group are moved off an overloaded backend before those of another, the same at
// all relays, so that the backend soon serves one group less.
func TestOverloadMovesOneGroupFirst(t *testing.T) {
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
		s.b.Probed(s.now, "b0", OK, loadReport(1.1)) // about 16 of 40 are moved
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
				t.Fatalf("relay %d moved a connection of group %q, other relays of %q", seed, g, first)
			}
		}
		if moved == 0 {
			t.Errorf("relay %d moved no connection", seed)
		}
	}
}

// Until the next report of a backend, all relays see the same free capacity. Together they must not
// place far more than that. In a simulation of 56 relays (L10768e) they placed 35 connections at a
// time on a backend that held 15.
func TestRelaysShareCapacity(t *testing.T) {
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
			if id > 16 { // one second with capacity for 5 connections
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
		t.Errorf("%d relays sent %d requests within a second to a backend with capacity for 5, want 1 to 15", relays, sent)
	}
}

// Unusual but valid input causes no panic.
func TestUnusualInput(t *testing.T) {
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
			t.Errorf("%d backends ready, want 1", n)
		}
		for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 1e300} {
			s.b.Probed(s.now, "b0", OK, loadReport(x))
			if w := s.b.byID["b0"].weight; !(w >= floorWeight && w <= fullWeight) {
				t.Errorf("load %v gave weight %v, want floorWeight to fullWeight", x, w)
			}
		}
		s.runUntil(s.now.Add(60*sec), idleLoad, alwaysEndWith(OK))
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	tests := []struct {
		name string
		cfg  Config
		host Host
	}{
		{"no host", testConfig(), nil},
		{"relays", Config{Relays: -1}, &recordingHost{}},
		{"attempts", Config{MaxAttempts: -1}, &recordingHost{}},
		{"initial capacity", Config{Rules: Rules{InitialCapacity: 1.5}}, &recordingHost{}},
		{"warm-up", Config{Rules: Rules{WarmUpTime: -1}}, &recordingHost{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := New(tt.cfg, 1, tt.host); err == nil {
				t.Error("New returned no error")
			}
		})
	}
}

// A backend that does not answer probes gets no requests while others answer theirs. Slow backends
// kept the weight of their last report and were chosen from every sample; 27% of the attempts timed
// out in a simulation (h1de8d8).
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
				t.Fatalf("request %d went to the backend that does not answer probes", id)
			}
		}
	}
	if len(s.sends) == 0 {
		t.Error("no request was sent")
	}
}

// A probe that the host could not send, for want of a file descriptor, tells nothing about the
// backend, which stays in use.
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
		t.Errorf("b0 has %d connections and b1 %d, want 20 in all and at least 5 on b0", s.b.ConnectionCount("b0"), s.b.ConnectionCount("b1"))
	}
}

// Near saturation, requests of less than the mean worth are held while the others are placed. With
// idle backends no request is held.
func TestLowWorthIsHeldFirst(t *testing.T) {
	for _, tt := range []struct {
		load   float64
		placed [2]bool
	}{{0.2, [2]bool{true, true}}, {0.65, [2]bool{true, false}}, {0.9, [2]bool{false, false}}} {
		cfg := testConfig()
		cfg.Classes = []Class{{SetupTarget: 500 * ms, Worth: 5}, {SetupTarget: 500 * ms, Worth: 1}}
		s := startBalancer(t, cfg, 1, 10)
		loads := func(string) float64 { return tt.load }
		for id := RequestID(1); id <= 30; id++ { // sets the mean worth
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

// A process that dies breaks all its connections at once. That counts as one failure: when each
// connection counted, five of them kept a backend that was back at once, with no connections, out
// of use for 48 s.
func TestSimultaneousFailuresCountOnce(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	for id := RequestID(1); id <= 6; id++ {
		s.now = s.now.Add(sec)
		if s.place(newRequest(id), idleLoad) != "b0" {
			t.Fatalf("request %d was not placed", id)
		}
		s.b.Established(s.now, id)
	}
	for id := RequestID(1); id <= 6; id++ {
		s.finish(id, true, Broken)
	}
	k := s.b.byID["b0"]
	if ejectedFor := k.ejectedUntil.Sub(s.now); k.consecutiveFailures != 1 || ejectedFor < 2*sec || ejectedFor > 4*sec {
		t.Errorf("%d failures, ejected for %v; want 1 failure and 2 s to 4 s", k.consecutiveFailures, ejectedFor)
	}
	s.now = k.ejectedUntil // a failure after the ejection is a new one
	s.b.recordOutcome(s.now, k, NoConnect)
	if ejectedFor := k.ejectedUntil.Sub(s.now); k.consecutiveFailures != 2 || ejectedFor < 5*sec {
		t.Errorf("after another failure: %d failures, ejected for %v; want 2 failures and at least 5 s", k.consecutiveFailures, ejectedFor)
	}
}

// Clients that reconnect at the same time are placed as long as a backend has spare weight: each
// takes little of it until the next report. When each was assumed to use as much as a backend must
// have spare for a new one, they were refused at half the load.
func TestPlacementsBetweenReports(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 1)
	k := s.b.byID["b0"]
	s.b.Probed(s.now, "b0", OK, loadReport(0.5))
	placed := 0
	for id := RequestID(1); id <= 40; id++ {
		s.b.Request(s.now, newRequest(id)) // all before the next report
		placed += s.count(s.takeActions(), "send")
	}
	if placed < 8 || placed > 20 {
		t.Errorf("%d requests placed on a backend of weight %v, want 8 to 20", placed, k.weight)
	}
}

// A refused client is advised to wait for a part of MaxRetryAfter: capacity is found long before
// that is over, and the connection is of no worth until the client is back.
func TestRetryAfterOfRefusals(t *testing.T) {
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
		t.Errorf("got refusals %v, want one with an advised delay of 500 ms", refused)
	}
}

// A backend that other relays know to be failing is treated like one that failed at this relay: it
// is passed over only if there is another. This ends at the given time, when EjectUntil revokes it,
// and when the process of the backend restarts.
func TestEjectUntil(t *testing.T) {
	cfg := testConfig()
	cfg.Relays = 1
	idle := func(string) float64 { return 0.1 }
	s := startBalancer(t, cfg, 1, 4)
	s.b.EjectUntil("b2", s.now.Add(time.Minute))
	if got := s.runRequests(40, 10*ms, idle, alwaysSucceed); got["b2"] != 0 || got["b0"] == 0 {
		t.Errorf("b2 ejected, but requests went to %v", got)
	}
	s.b.EjectUntil("b2", time.Time{})
	if got := s.runRequests(40, 10*ms, idle, alwaysSucceed); got["b2"] == 0 {
		t.Errorf("ejection of b2 revoked, but requests went to %v", got)
	}
	s.b.EjectUntil("b3", s.now.Add(time.Minute))
	s.now = s.now.Add(61 * sec)
	if got := s.runRequests(40, 10*ms, idle, alwaysSucceed); got["b3"] == 0 {
		t.Errorf("ejection of b3 over, but requests went to %v", got)
	}
	for i := range 4 {
		s.b.EjectUntil("b"+strconv.Itoa(i), s.now.Add(time.Minute))
	}
	if got := s.runRequests(40, 10*ms, idle, alwaysSucceed); len(got) != 4 {
		t.Errorf("all backends ejected, which cannot all be at fault: requests went to %v, want all 4", got)
	}
	s.b.EjectUntil("nobody", s.now.Add(time.Minute))
	list := readyBackends(4)
	list[1].StartTime = s.now.Add(-30 * sec)
	s.b.DiscoveryUpdate(s.now, ListWhole, list)
	if s.b.byID["b1"].unhealthy(s.now) {
		t.Error("b1 is still ejected after a restart of its process")
	}
}

// A request beyond the limit of all relays together is refused at once, even if backends are idle.
// It costs no attempt and no probe.
func TestRequestBeyondFleetLimit(t *testing.T) {
	s := startBalancer(t, testConfig(), 1, 3)
	s.takeActions()
	delays := map[time.Duration]bool{}
	for id := range RequestID(20) {
		q := newRequest(id + 1)
		q.OverLimit = true
		s.b.Request(s.now, q)
		as := s.takeActions()
		if len(as) != 1 || as[0].kind != "refuse" || as[0].d < sec/2 || as[0].d > sec {
			t.Fatalf("got actions %+v, want one refusal with a delay of 0.5 s to 1 s", as)
		}
		delays[as[0].d] = true
	}
	if len(delays) < 15 { // with equal delays the clients would all return at the same time
		t.Errorf("20 refused clients got %d different delays, want at least 15", len(delays))
	}
	if len(s.b.requests) != 0 {
		t.Error("the refused requests are still kept")
	}
}

// While retries are disabled, since all relays together have used up their budget, a request whose
// attempt failed is answered at once. Otherwise it is tried on another backend.
func TestDisableRetries(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := startBalancer(t, testConfig(), 1, 4)
		s.b.DisableRetries(disabled)
		sent := s.runRequests(1, 10*ms, func(string) float64 { return 0.1 }, func(string) Outcome { return Error })
		n := 0
		for _, k := range sent {
			n += k
		}
		if disabled != (n == 1) || disabled != (len(s.b.requests) == 0) {
			t.Errorf("retries disabled %v: %d attempts, %d requests kept", disabled, n, len(s.b.requests))
		}
	}
}
