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

// The model of the rules on effects: for each kind of class, each state of a request's hops and each one who may answer, what the
// client may be told; and where a further hop may be sent. It is written down from the protocol, not computed: asserted at the
// client's and the targets' ends of real connections. The test plays the module, which knows of no target.

var effectClasses = map[string]string{
	"free":        `"Repeat":"free"`,
	"single_shot": `"Repeat":"single_shot"`,
	"all":         `"Repeat":"guarded","DedupScope":"all","WindowUs":60000000`,
	"all, over":   `"Repeat":"guarded","DedupScope":"all","WindowUs":60000000`,
	"zone":        `"Repeat":"guarded","DedupScope":"zone","WindowUs":60000000`,
	"zone, over":  `"Repeat":"guarded","DedupScope":"zone","WindowUs":60000000`,
	"cell":        `"Repeat":"guarded","DedupScope":"cell","WindowUs":60000000`,
	"cell, over":  `"Repeat":"guarded","DedupScope":"cell","WindowUs":60000000`,
	"unknown":     `"Repeat":"seldom"`,
}

// hopStates are what may have come of a request's hops; ran tells those after which it may have run.
var hopStates = []struct {
	name string
	word string // of the target; empty: it says nothing
	out  bool   // the hop is out
	ran  bool
}{
	{name: "held"},
	{name: "dialling", out: true},
	{name: "asking", out: true, ran: true},
	{name: "turned away", word: "BUSY\r\n"},
	{name: "error", word: "ERR\r\n", ran: true},
	{name: "moved", word: "MOVE\r\n", ran: true},
	{name: "garbled", word: "frob\r\n", ran: true},
	{name: "too long", word: strings.Repeat("x", 5000), ran: true},
	{name: "half a word and the end", word: "BU", ran: true},
	{name: "reset", word: "reset", ran: true},
	{name: "no word and the end", word: "end", ran: true},
}

// refusableClasses are the kinds that may be refused after a hop that may have run.
var refusableClasses = []string{"free", "all"}

// allowedTargets are the targets, by kind of class, to which a further hop may go after one that may have run at the first: it is of zone
// z and cell 0, the others of z and 1, of y and 0, of y and 1.
var allowedTargets = map[string][]int{"free": {0, 1, 2, 3}, "all": {0, 1, 2, 3}, "zone": {0, 1}, "cell": {0, 2}}

// newEffectTestBed is a proxy whose table names four targets of which the module does not know.
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

// driveTo has the first target bring a request into a state.
func (b *testBed) driveTo(x *Exchange, state int) {
	b.t.Helper()
	s := hopStates[state]
	if s.name == "held" {
		return
	}
	b.engine.send(x, &action{target: "s0", duration: time.Second})
	if s.name == "dialling" {
		return
	}
	var h *testConn
	b.waitFor("the hop", func() bool { h = b.requestConn("a"); return h != nil })
	switch {
	case s.out:
		return
	case s.word == "reset":
		h.reset = true
		h.sock.Reset()
	case s.word == "end":
		h.sock.Close()
	default:
		h.write(b.t, s.word)
		if s.name == "half a word and the end" {
			h.sock.Close()
		}
	}
	b.waitFor("the end of the hop", func() bool { return !x.hopActive })
}

// expireWindow has the window be over where the kind says so.
func expireWindow(kind string, x *Exchange) {
	if strings.HasSuffix(kind, ", over") {
		x.maybeRanSentAt, x.sentAt = x.maybeRanSentAt.Add(-time.Minute), x.sentAt.Add(-time.Minute)
	}
}

// Who answers: the module by either word, the engine when time is over, and a planned stop.
func TestEffectsOfAnswers(t *testing.T) {
	for kind := range effectClasses {
		for state, s := range hopStates {
			for _, who := range []string{"refuse", "fail", "overdue", "stop", "client ends its sending"} {
				if s.out && (who == "refuse" || who == "fail") {
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
					for i, h := range b.targetConns { // nothing more is sent, and what was dialling is not sent either
						if n := strings.Count(string(h.received), "OPEN"); n > 1 || n == 1 && s.name == "dialling" {
							t.Errorf("connection %d was sent %q", i, h.received)
						}
					}
					b.checkReleased(c)
				})
			}
		}
	}
}

// To which targets a request may go again.
func TestEffectsOfFurtherHops(t *testing.T) {
	for kind := range effectClasses {
		for state, s := range hopStates {
			if s.out {
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
				t.Errorf("%s, %s: sent on to %v, want %v", kind, s.name, got, want)
			}
		}
	}
}

// Advice that ends beyond the window invites a repeat that the targets no longer drop.
func TestAdviceEndsWithinTheWindow(t *testing.T) {
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
	if hop, shed := permitted(balance.Class{Idempotency: balance.IdempotentByKey, DedupWindow: time.Second}, true, time.Second, true); hop || shed {
		t.Error("the window's last instant counts as within it")
	}
}
