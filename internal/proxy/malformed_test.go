package proxy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// rude are first lines that no client of the protocol sends. None may reach an egress target: it would answer
// with an error, and the module would eject a sound one for what a client did.
var malformedFirstLines = []string{
	"frob 1", "OPEN", "OPEN 1", "OPEN 1 k", "OPEN  k c=c,d=5", "OPEN 1 k c=other,d=2000", "OPEN 1 k c=C,d=2000",
	"OPEN 1 k c=c", "OPEN 1 k c=c,d=", "OPEN 1 k c=c,d=soon", "OPEN 1 k c=c,d=-5", "OPEN 1 k c=c,d=1e9",
	"OPEN 1 k c=c,d=99999999999999999999999", "OPEN 1 k c=c,d=5,g=\x00", "\xf5f\x8d\x01", "", "UP 1",
	"OPEN 1 k c=c,t=nobody,d=2000", "OPEN 1 k c=c,t=,d=2000", "OPEN 1 k c=c,t=vale,t=vale,d=2000",
	"OPEN 1 k c=c,d=2000\r\nOPEN 2 k c=c,d=2000", "OPEN 1 k c=c,d=2000\r\nhalf", strings.Repeat("PING\r\n", 300),
	strings.Repeat("OPEN 1 k c=c,d=2000\r\n", 300), strings.Repeat("x", 9000),
}

// Each gets an error and the end of the connection at once, costs no hop, and the log one line for all.
func TestMalformedFirstLines(t *testing.T) {
	b := newTestBed(t, 1, false)
	var all []*testConn
	for i, text := range malformedFirstLines {
		c := b.dialClient()
		all = append(all, c)
		c.write(t, text+"\r\n")
		b.waitFor(fmt.Sprintf("an error for %.40q", text), func() bool { return c.eof })
		if got := strings.ReplaceAll(string(c.received), "PONG\r\n", ""); got != "ERR\r\n" {
			t.Errorf("%.40q got %q", text, got)
		}
		if b.count.Malformed != i+1 || b.count.Hops != 0 || b.count.Exchanges != 0 {
			t.Fatalf("%.40q: %+v", text, b.count)
		}
	}
	if n := strings.Count(b.log.String(), "\n"); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
	b.checkReleased(all...)
}

// The id of an open exchange is its client's: another that sends it gets an error, whether the first one waits
// or stands, and the first one goes on. Once that has ended the id is free.
func TestIDInUse(t *testing.T) {
	b := newTestBed(t, 1, false)
	owner := b.dialClient()
	owner.write(t, "OPEN a k c=c,d=2000\r\n")
	b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
	try := func() *testConn {
		c := b.dialClient()
		c.write(t, "OPEN a k c=c,d=2000\r\n")
		b.waitFor("an error", func() bool { return c.eof && string(c.received) == "ERR\r\n" })
		return c
	}
	first := try()
	target := b.requestConn("a")
	target.write(t, "UP r\r\n")
	b.waitFor("UP", func() bool { return string(owner.received) == "UP r\r\n" })
	second := try()
	target.received, owner.received = nil, nil
	owner.write(t, "reading\r\n")
	target.write(t, "fine\r\n")
	b.waitFor("lines both ways", func() bool { return string(owner.received) == "fine\r\n" && string(target.received) == "reading\r\n" })
	if b.count.Hops != 1 {
		t.Errorf("%d hops", b.count.Hops)
	}
	owner.sock.Close()
	b.waitFor("the end", func() bool { return len(b.engine.exchanges) == 0 })
	third, _ := b.establish("a")
	b.checkReleased(first, second, third)
}

// Whose client it is reaches the module, also of a connection that stands since before the start: without it no tenant's
// share could count. One that names nobody has no share.
func TestTenant(t *testing.T) {
	b := newTestBed(t, 1, false)
	for want, list := range map[int]string{0: "t=serra,", 1: "t=vale,", -1: ""} {
		for _, at := range []string{"", ",at=" + b.engine.table.All()[0].ID} {
			id := fmt.Sprintf("i%d%.3s", want+1, at)
			c := b.dialClient()
			c.write(t, "OPEN "+id+" k c=c,"+list+"d=2000"+at+"\r\n")
			b.waitFor("the hop", func() bool { return b.requestConn(id) != nil })
			for _, x := range b.engine.exchanges {
				if x.clientID == id && x.request.Tenant != want {
					t.Errorf("%q%s: tenant %d, want %d", list, at, x.request.Tenant, want)
				}
			}
			b.requestConn(id).write(t, "UP r\r\n")
			b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
		}
	}
	if b.count.Standing != 6 || b.count.Malformed != 0 {
		t.Errorf("%d stand, %d malformed", b.count.Standing, b.count.Malformed)
	}
}

// A client that does not wait for its answer has no answer but an error, and its hop is given up.
func TestLinesBeforeAnswer(t *testing.T) {
	b := newTestBed(t, 1, false)
	for i, text := range []string{"reading\r\n", "half"} {
		c := b.dialClient()
		id := fmt.Sprint("e", i)
		c.write(t, "OPEN "+id+" k c=c,d=2000\r\n")
		b.waitFor("the hop", func() bool { return b.requestConn(id) != nil })
		c.write(t, text)
		b.waitFor("ERR", func() bool { return c.eof && string(c.received) == "ERR\r\n" })
		b.waitFor("the end of the hop", func() bool { return b.requestConn(id).eof })
		c.sock.Close()
	}
	if b.engine.module.Held("s0") != 0 {
		t.Errorf("the module counts %d", b.engine.module.Held("s0"))
	}
	b.checkReleased()
}

// Half a line and the end, by FIN or reset, costs nothing more; without an end it has an answer in time.
func TestPartialFirstLine(t *testing.T) {
	b := newTestBed(t, 0, false)
	fin, rst, stays, says := b.dialClient(), b.dialClient(), b.dialClient(), b.dialClient()
	for _, c := range []*testConn{fin, rst, stays} {
		c.write(t, "OPEN 1 k c=c,")
	}
	b.settle()
	fin.sock.CloseWrite()
	rst.reset = true
	rst.sock.Reset()
	b.waitFor("two gone", func() bool { return len(b.frontend.sessions) == 2 && fin.eof })
	begin := b.now()
	b.waitFor("an answer", func() bool { return stays.eof && says.eof })
	if took := b.since(begin); took > 2900*time.Millisecond || string(stays.received) != "BUSY\r\n" || string(says.received) != "BUSY\r\n" {
		t.Errorf("after %v: %q and %q", took, stays.received, says.received)
	}
	b.checkReleased(fin, stays, says)
}

// A client that sends without end gets its error whole, though it is not read to the end: what is read of it in
// all is bounded, and what a turn reads as well.
func TestEndlessLine(t *testing.T) {
	b := newTestBed(t, 1, false)
	c := b.dialClient()
	text := []byte(strings.Repeat("x", 16<<10))
	sent, stuck := 0, 0
	for begin := b.now(); !c.reset && stuck < 40 && b.since(begin) < 900*time.Millisecond; b.settle() {
		n, err := c.sock.Write(text)
		if sent += n; n == 0 {
			stuck++
		}
		if err != nil {
			break
		}
	}
	if string(c.received) != "ERR\r\n" || b.count.Malformed != 1 {
		t.Errorf("got %q; %+v", c.received, b.count)
	}
	if sent > 8<<20 || stuck == 0 {
		t.Errorf("%d bytes were taken", sent)
	}
	for _, s := range b.frontend.sessions {
		if s.discarded > maxDiscard+len(b.frontend.scratch) || cap(s.link.partial) > 2*openingReadSize {
			t.Errorf("%d bytes read, %d kept", s.discarded, cap(s.link.partial))
		}
	}
	b.checkReleased(c)
}

// Connections that say nothing must not keep out a client with a request, nor its hop: the oldest goes first,
// with an answer.
func TestIdleConnectionsAreClosedForNewRequests(t *testing.T) {
	b := newTestBed(t, 1, false)
	standing, _ := b.establish("a")
	b.frontend.maxDescriptors = b.loop.Open() + keptFromClients + 20
	idle := make([]*testConn, 30)
	for i := range idle {
		idle[i] = b.dialClient()
		b.frontend.maxDescriptors++ // the far ends are on the same loop
	}
	b.settle()
	for i := range idle[:9] {
		if !idle[i].eof || string(idle[i].received) != "BUSY\r\n" {
			t.Fatalf("the %d. idle connection got %q, ended: %v", i, idle[i].received, idle[i].eof)
		}
	}
	if last := idle[29]; last.eof || b.frontend.loop.Open()+keptFromClients > b.frontend.maxDescriptors {
		t.Error("a young one went, or too many stay")
	}
	b.frontend.maxDescriptors += 3 // the far ends of what follows
	c, target := b.establish("b")
	target.write(t, "fine\r\n")
	b.waitFor("a line", func() bool { return string(c.received) == "fine\r\n" })
	if standing.eof || standing.reset {
		t.Error("a standing connection was cut off")
	}
	b.frontend.maxDescriptors = 0
	b.checkReleased(append(idle, standing, c)...)
}

// A client whose request lies unread is not idle: where room is made for another's attempt, also while the module's actions are
// carried out, it is served. The same holds for a connection of before the start.
func TestClientWithUnreadRequestIsNotClosedAsIdle(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	first, adopted, second := b.dialClient(), b.dialClient(), b.dialClient()
	idle := []*testConn{b.dialClient(), b.dialClient(), b.dialClient()} // enough for an attempt of each
	first.write(t, "OPEN a k c=c,d=2000\r\n")
	for b.count.Exchanges == 0 {
		if err := b.loop.Turn(true); err != nil {
			t.Fatal(err)
		}
	}
	adopted.write(t, "OPEN b k c=c,d=2000,at=s0\r\n")
	second.write(t, "OPEN c k c=c,d=2000\r\n")
	b.frontend.maxDescriptors = b.loop.Open() + keptFromAttempts // none is left for the first attempt
	b.engine.Deliver()
	b.frontend.maxDescriptors = 0
	for id, c := range map[string]*testConn{"a": first, "b": adopted, "c": second} {
		b.waitFor("the attempt for "+id, func() bool { return b.requestConn(id) != nil })
		b.requestConn(id).write(t, "UP r\r\n")
		b.waitFor("UP for "+id, func() bool { return string(c.received) == "UP r\r\n" })
	}
	if b.waitFor("a refusal", func() bool { return idle[0].eof }); string(idle[0].received) != "BUSY\r\n" {
		t.Errorf("the oldest idle one got %q", idle[0].received)
	}
	b.checkReleased(append(idle, first, adopted, second)...)
}

// A shortage of descriptors here is no word on a target: neither a hop nor a probe may speak against it.
func TestDescriptorShortageIsNotATargetFailure(t *testing.T) {
	b := newTestBed(t, 1, true)
	to := b.engine.table.Find("s0")
	p := b.frontend.targetState(to)
	for _, tt := range []struct {
		err  error
		want balance.Outcome
	}{{fmt.Errorf("%w: none left", poll.ErrNoSocket), balance.NotSent}, {errors.New("refused"), balance.NoConnect}} {
		if got := dialOutcome(tt.err); got != tt.want {
			t.Errorf("%v is taken for %v", tt.err, got)
		}
	}
	b.engine.events = nil
	p.state = probeDialing
	b.frontend.targetState(&routes.Target{ID: "s0", Addr: b.frontend.listener.Addr()}) // it moves: the probe goes with it
	if p.state != probeDialing || p.entry.Addr != b.frontend.listener.Addr() || len(b.engine.events) != 0 {
		t.Errorf("after a move: state %v, %d events", p.state, len(b.engine.events))
	}
	p.closeConn()
	b.checkReleased()
}
