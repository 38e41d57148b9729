package proxy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// These tests check the rules on effects: for each class, each state of a request's hops and each
// source of an answer, what the client may be told; and to which targets another hop may be sent.
// The expectations are written down from the protocol, not computed, and are checked at the
// client's and the targets' ends of real connections. The test takes the place of the module, which
// knows no target.

// effectClasses are the settings of each class. A class whose name ends in ", expired" has its
// window expired.
var effectClasses = map[string]string{
	"free":          `"Repeat":"free"`,
	"single_shot":   `"Repeat":"single_shot"`,
	"all":           `"Repeat":"guarded","DedupScope":"all","WindowUs":60000000`,
	"all, expired":  `"Repeat":"guarded","DedupScope":"all","WindowUs":60000000`,
	"zone":          `"Repeat":"guarded","DedupScope":"zone","WindowUs":60000000`,
	"zone, expired": `"Repeat":"guarded","DedupScope":"zone","WindowUs":60000000`,
	"cell":          `"Repeat":"guarded","DedupScope":"cell","WindowUs":60000000`,
	"cell, expired": `"Repeat":"guarded","DedupScope":"cell","WindowUs":60000000`,
	"unknown":       `"Repeat":"seldom"`,
}

// hopStates are the possible states of a request's hops. ran marks those after which the request
// may have run.
var hopStates = []struct {
	name   string
	answer string // from the target; empty: none
	active bool   // the hop has not ended
	ran    bool
}{
	{name: "no hop"},
	{name: "dialing", active: true},
	{name: "sent", active: true, ran: true},
	{name: "refused", answer: "BUSY\r\n"},
	{name: "error", answer: "ERR\r\n", ran: true},
	{name: "moved", answer: "MOVE\r\n", ran: true},
	{name: "unknown answer", answer: "frob\r\n", ran: true},
	{name: "line too long", answer: strings.Repeat("x", 5000), ran: true},
	{name: "partial line and close", answer: "BU", ran: true},
	{name: "reset", answer: "reset", ran: true},
	{name: "close", answer: "end", ran: true},
}

// refusableClasses are the classes that may be refused after a hop that may have run.
var refusableClasses = []string{"free", "all"}

// allowedTargets lists, by class, the targets to which another hop may go after one that may have
// run at target 0. Target 0 is in zone z and cell 0, the others in z and 1, y and 0, y and 1.
var allowedTargets = map[string][]int{"free": {0, 1, 2, 3}, "all": {0, 1, 2, 3}, "zone": {0, 1}, "cell": {0, 2}}

// newEffectTestBed returns a proxy whose route table has four targets that the module does not
// know.
func newEffectTestBed(t *testing.T, kind string) *testBed {
	t.Helper()
	b := newSocketTestBedWithSettings(t, 0, settingsWith(t, `"Repeat":"free"`, effectClasses[kind], `"Cancel":true`, `"Cancel":false`))
	list := &routes.List{Seq: 1}
	for i := range 4 {
		l, err := b.loop.Listen(b.local, func(s *poll.Socket, _ bool) poll.Handler {
			h := &testConn{sock: s}
			b.targetConns = append(b.targetConns, h)
			return h
		})
		if err != nil {
			t.Fatal(err)
		}
		b.servers = append(b.servers, l)
		list.Hosts = append(list.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: l.Addr(), Site: string("zy"[i/2]), Block: i % 2})
	}
	b.engine.table.Merge(list)
	b.baseSockets = b.loop.Open()
	return b
}

// driveTo brings a request into a state of hopStates at target 0.
func (b *testBed) driveTo(x *Exchange, state int) {
	b.t.Helper()
	s := hopStates[state]
	if s.name == "no hop" {
		return
	}
	b.engine.send(x, &action{target: "s0", duration: time.Second})
	if s.name == "dialing" {
		return
	}
	var h *testConn
	b.waitFor("the hop", func() bool { h = b.requestConn("a"); return h != nil })
	switch {
	case s.active:
		return
	case s.answer == "reset":
		h.reset = true
		h.sock.Reset()
	case s.answer == "end":
		h.sock.Close()
	default:
		h.write(b.t, s.answer)
		if s.name == "partial line and close" {
			h.sock.Close()
		}
	}
	b.waitFor("the end of the hop", func() bool { return !x.hopActive })
}

// expireWindow lets the window of an expired class end.
func expireWindow(kind string, x *Exchange) {
	if strings.HasSuffix(kind, ", expired") {
		x.maybeRanSentAt, x.sentAt = x.maybeRanSentAt.Add(-time.Minute), x.sentAt.Add(-time.Minute)
	}
}

// The answer may come from the module, as a refusal or a failure, from the engine at the deadline,
// from a planned stop, or from the client's half-close.
func TestEffectsOfAnswers(t *testing.T) {
	for kind := range effectClasses {
		for state, s := range hopStates {
			for _, who := range []string{"refuse", "fail", "overdue", "stop", "client half-closes"} {
				if s.active && (who == "refuse" || who == "fail") {
					continue // the module answers once its hop has ended
				}
				t.Run(fmt.Sprintf("%s/%s/%s", kind, s.name, who), func(t *testing.T) {
					b := newEffectTestBed(t, kind)
					c := b.dialClient()
					x := b.openExchange(c, "a")
					b.driveTo(x, state)
					expireWindow(kind, x)
					switch who {
					case "refuse":
						b.engine.execute(&action{kind: acRefuse, id: x.id})
					case "fail":
						b.engine.execute(&action{kind: acFail, id: x.id})
					case "overdue":
						b.engine.answerOverdue(x)
					case "stop":
						b.engine.Shutdown(0)
					default:
						c.sock.CloseWrite()
					}
					b.waitFor("an answer", func() bool { return c.eof || c.reset })
					want := "BUSY\r\n"
					if who == "fail" || s.ran && !slices.Contains(refusableClasses, kind) {
						want = "ERR\r\n"
					}
					if string(c.received) != want || c.reset {
						t.Errorf("the client got %q, want %q", c.received, want)
					}
					// at most one hop is sent, and none that was dialing
					for i, h := range b.targetConns {
						if n := strings.Count(string(h.received), "OPEN"); n > 1 || n == 1 && s.name == "dialing" {
							t.Errorf("connection %d was sent %q", i, h.received)
						}
					}
					b.checkReleased(c)
				})
			}
		}
	}
}

// A further hop is sent only to targets that drop repeats of what may have run.
func TestEffectsOfFurtherHops(t *testing.T) {
	for kind := range effectClasses {
		for state, s := range hopStates {
			if s.active {
				continue
			}
			want := []int{0, 1, 2, 3}
			if s.ran {
				want = allowedTargets[kind]
			}
			var got []int
			for to := range 4 {
				b := newEffectTestBed(t, kind)
				c := b.dialClient()
				x := b.openExchange(c, "a")
				b.driveTo(x, state)
				expireWindow(kind, x)
				before := len(b.targetConns)
				b.engine.execute(&action{kind: acSend, id: x.id, target: fmt.Sprint("s", to), duration: time.Second})
				b.settle()
				if x.hopActive {
					b.waitFor("the hop", func() bool { return len(b.targetConns) > before && len(b.targetConns[before].received) > 0 })
					got = append(got, to)
				}
				b.checkReleased(c)
			}
			if !slices.Equal(got, want) {
				t.Errorf("%s, %s: sent to %v, want %v", kind, s.name, got, want)
			}
		}
	}
}

// A retry delay that ends after the window would invite a repeat that the targets no longer drop.
func TestRetryDelayEndsWithinTheWindow(t *testing.T) {
	for after, want := range map[time.Duration]string{59 * time.Second: "BUSY 59000\r\n", time.Minute: "ERR\r\n"} {
		b := newEffectTestBed(t, "all")
		c := b.dialClient()
		x := b.openExchange(c, "a")
		b.driveTo(x, 4)
		b.engine.execute(&action{kind: acRefuse, id: x.id, duration: after})
		b.waitFor("an answer", func() bool { return c.eof })
		if string(c.received) != want {
			t.Errorf("%v: got %q", after, c.received)
		}
	}
	if hop, refuse := permitted(balance.Class{Idempotency: balance.IdempotentByKey, DedupWindow: time.Second}, true, time.Second, true); hop || refuse {
		t.Error("the end of the window counts as within the window")
	}
}
