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

// action is one thing a Balancer asked of its host.
type action struct {
	what    string // send, refuse, fail, cancel, move, probe, watch, after
	id      RequestID
	backend string
	d       time.Duration // time-out, advice or delay
	token   uint64
	attempt int
}

// script is a Host that records actions and helps a test feed events.
type script struct {
	t       *testing.T
	b       *Balancer
	now     time.Time
	actions []action
	sends   map[RequestID]int
}

func (s *script) do(a action) { s.actions = append(s.actions, a) }

func (s *script) Send(id RequestID, backend string, timeout time.Duration) {
	s.sends[id]++
	s.do(action{what: "send", id: id, backend: backend, d: timeout})
}
func (s *script) Refuse(id RequestID, d time.Duration) { s.do(action{what: "refuse", id: id, d: d}) }
func (s *script) Fail(id RequestID)                    { s.do(action{what: "fail", id: id}) }
func (s *script) Cancel(id RequestID, attempt int) {
	s.do(action{what: "cancel", id: id, attempt: attempt})
}
func (s *script) Move(id RequestID)    { s.do(action{what: "move", id: id}) }
func (s *script) Probe(backend string) { s.do(action{what: "probe", backend: backend}) }
func (s *script) Watch()               { s.do(action{what: "watch"}) }
func (s *script) After(d time.Duration, token uint64) {
	s.do(action{what: "after", d: d, token: token})
}
func (s *script) take() []action { a := s.actions; s.actions = nil; return a }
func (s *script) count(as []action, what string) int {
	n := 0
	for _, a := range as {
		if a.what == what {
			n++
		}
	}
	return n
}

// config is a plain deployment: one free class, no tenants, discovery by push.
func config() Config {
	return Config{
		Balancers:   10,
		Zone:        "here",
		Classes:     []Class{{SetupTarget: 500 * ms, Worth: 1}},
		MaxAttempts: 5,
		MaxAdvice:   sec,
		MayProbe:    true,
		MayCancel:   true,
		Rules: Rules{
			AnswerSlack: 8 * ms, AskWithin: 10 * sec, ColdFrom: 0.2, WarmWithin: 20 * sec,
			FallMultiple: 3, FallWithin: 1500 * ms,
		},
	}
}

// start returns a Balancer that knows n ready backends, b0 and on, all of one zone.
func start(t *testing.T, cfg Config, seed uint64, n int) *script {
	t.Helper()
	s := &script{t: t, now: time.UnixMicro(0).Add(1000 * sec), sends: make(map[RequestID]int)}
	b, err := New(cfg, seed, s)
	if err != nil {
		t.Fatal(err)
	}
	s.b = b
	b.Start(s.now)
	b.DiscoveryUpdate(s.now, ListStale, backends(n))
	return s
}

func backends(n int) []Backend {
	var list []Backend
	for i := range n {
		list = append(list, Backend{ID: "b" + strconv.Itoa(i), Zone: "here", Cell: i / 2, Size: 1})
	}
	return list
}

// load is a report of x0 alone.
func load(x float64) Report {
	nan := math.NaN()
	return Report{Load: x, CPU: nan, Active: nan, Waiting: nan, Latency: nan, Rate: nan, Errors: nan}
}

// answer lets every probe in as be answered with the load that loads gives its backend.
func (s *script) answer(as []action, loads func(backend string) float64) {
	for _, a := range as {
		if a.what == "probe" {
			s.b.Probed(s.now, a.backend, OK, load(loads(a.backend)))
		}
	}
}

// place brings a request, answers its probes, and returns where it was sent, or "".
func (s *script) place(q Request, loads func(string) float64) string {
	s.b.Request(s.now, q)
	as := s.take()
	s.answer(as, loads)
	as = append(as, s.take()...)
	for _, a := range as {
		if a.what == "send" && a.id == q.ID {
			return a.backend
		}
	}
	return ""
}

func (s *script) finish(id RequestID, settled bool, o Outcome) {
	s.b.Finished(s.now, id, s.sends[id]-1, settled, o, load(math.NaN()))
}

func idle(string) float64 { return 0.1 }

func ask(id RequestID) Request { return Request{ID: id, Tenant: -1, Left: 3 * sec} }

// sameActions fails the test where two runs differ.
func sameActions(t *testing.T, a, b []action) {
	t.Helper()
	if len(a) != len(b) {
		t.Fatalf("%d actions and %d", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("action %d: %v and %v", i, a[i], b[i])
		}
	}
}

func (a action) String() string {
	return fmt.Sprintf("%s %d %s %d %d", a.what, a.id, a.backend, a.d, a.token)
}
