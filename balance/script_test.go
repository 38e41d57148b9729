package balance

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// action is one call of a Host method.
type action struct {
	kind    string // send, refuse, fail, cancel, move, probe, watch or after
	id      RequestID
	backend string
	d       time.Duration // timeout, advised delay or timer delay
	token   uint64
	attempt int
}

// recordingHost is a Host that records the actions of its Balancer, and passes events to it for a
// test.
type recordingHost struct {
	t       *testing.T
	b       *Balancer
	now     time.Time
	actions []action
	sends   map[RequestID]int
}

func (s *recordingHost) record(a action) { s.actions = append(s.actions, a) }

func (s *recordingHost) Send(id RequestID, backend string, timeout time.Duration) {
	s.sends[id]++
	s.record(action{kind: "send", id: id, backend: backend, d: timeout})
}
func (s *recordingHost) Refuse(id RequestID, d time.Duration) {
	s.record(action{kind: "refuse", id: id, d: d})
}
func (s *recordingHost) Fail(id RequestID) { s.record(action{kind: "fail", id: id}) }
func (s *recordingHost) Cancel(id RequestID, attempt int) {
	s.record(action{kind: "cancel", id: id, attempt: attempt})
}
func (s *recordingHost) Move(id RequestID)    { s.record(action{kind: "move", id: id}) }
func (s *recordingHost) Probe(backend string) { s.record(action{kind: "probe", backend: backend}) }
func (s *recordingHost) WatchDiscovery()      { s.record(action{kind: "watch"}) }
func (s *recordingHost) After(d time.Duration, token uint64) {
	s.record(action{kind: "after", d: d, token: token})
}
func (s *recordingHost) takeActions() []action { a := s.actions; s.actions = nil; return a }
func (s *recordingHost) count(actions []action, kind string) int {
	n := 0
	for _, a := range actions {
		if a.kind == kind {
			n++
		}
	}
	return n
}

// testConfig returns a simple configuration: one idempotent class, no tenants, discovery without
// subscriptions.
func testConfig() Config {
	return Config{
		Relays:        10,
		Zone:          "here",
		Classes:       []Class{{SetupTarget: 500 * ms, Worth: 1}},
		MaxAttempts:   5,
		MaxRetryAfter: sec,
		MayProbe:      true,
		MayCancel:     true,
		Rules: Rules{
			AnswerSlack: 8 * ms, MaxDiscoveryGap: 10 * sec, InitialCapacity: 0.2, WarmUpTime: 20 * sec,
			OverloadFactor: 3, OverloadWindow: 1500 * ms,
		},
	}
}

// startBalancer starts a Balancer that has n ready backends, b0 and up, all in its own zone.
func startBalancer(t *testing.T, cfg Config, seed uint64, n int) *recordingHost {
	t.Helper()
	s := &recordingHost{t: t, now: time.UnixMicro(0).Add(1000 * sec), sends: make(map[RequestID]int)}
	b, err := New(cfg, seed, s)
	if err != nil {
		t.Fatal(err)
	}
	s.b = b
	b.Start(s.now)
	b.DiscoveryUpdate(s.now, ListStale, readyBackends(n))
	return s
}

func readyBackends(n int) []Backend {
	var list []Backend
	for i := range n {
		list = append(list, Backend{ID: "b" + strconv.Itoa(i), Zone: "here", Cell: i / 2, Size: 1})
	}
	return list
}

// loadReport returns a report that has no value but the load.
func loadReport(x float64) Report {
	nan := math.NaN()
	return Report{Load: x, CPU: nan, Active: nan, Waiting: nan, Latency: nan, Rate: nan, Errors: nan}
}

// answerProbes answers each probe among the actions with the load that loads returns for its
// backend.
func (s *recordingHost) answerProbes(actions []action, loads func(backend string) float64) {
	for _, a := range actions {
		if a.kind == "probe" {
			s.b.Probed(s.now, a.backend, OK, loadReport(loads(a.backend)))
		}
	}
}

// place passes a request to the Balancer, answers its probes, and returns the backend to which the
// request was sent, or "" if it was not sent.
func (s *recordingHost) place(q Request, loads func(string) float64) string {
	s.b.Request(s.now, q)
	actions := s.takeActions()
	s.answerProbes(actions, loads)
	actions = append(actions, s.takeActions()...)
	for _, a := range actions {
		if a.kind == "send" && a.id == q.ID {
			return a.backend
		}
	}
	return ""
}

func (s *recordingHost) finish(id RequestID, settled bool, o Outcome) {
	s.b.Finished(s.now, id, s.sends[id]-1, settled, o, loadReport(math.NaN()))
}

func idleLoad(string) float64 { return 0.1 }

func newRequest(id RequestID) Request { return Request{ID: id, Tenant: -1, Timeout: 3 * sec} }

// requireSameActions fails the test if two sequences of actions differ.
func requireSameActions(t *testing.T, a, b []action) {
	t.Helper()
	if len(a) != len(b) {
		t.Fatalf("got %d actions, want %d", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("action %d: got %v, want %v", i, a[i], b[i])
		}
	}
}

func (a action) String() string {
	return fmt.Sprintf("%s %d %s %d %d", a.kind, a.id, a.backend, a.d, a.token)
}
