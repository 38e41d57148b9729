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

// malformedFirstLines are first lines that violate the protocol. None may reach an egress target:
// the target would answer with an error, and the module would eject a healthy target for a client's
// fault.
var malformedFirstLines = []string{
	"frob 1", "OPEN", "OPEN 1", "OPEN 1 k", "OPEN  k c=c,d=5", "OPEN 1 k c=other,d=2000", "OPEN 1 k c=C,d=2000",
	"OPEN 1 k c=c", "OPEN 1 k c=c,d=", "OPEN 1 k c=c,d=soon", "OPEN 1 k c=c,d=-5", "OPEN 1 k c=c,d=1e9",
	"OPEN 1 k c=c,d=99999999999999999999999", "OPEN 1 k c=c,d=5,g=\x00", "\xf5f\x8d\x01", "", "UP 1",
	"OPEN 1 k c=c,t=nobody,d=2000", "OPEN 1 k c=c,t=,d=2000", "OPEN 1 k c=c,t=vale,t=vale,d=2000",
	"OPEN 1 k c=c,d=2000\r\nOPEN 2 k c=c,d=2000", "OPEN 1 k c=c,d=2000\r\nhalf", strings.Repeat("PING\r\n", 300),
	strings.Repeat("OPEN 1 k c=c,d=2000\r\n", 300), strings.Repeat("x", 9000),
}

// A client with a malformed first line gets an error at once, and its connection is closed. No hop
// is started, and the log has one line for all such clients.
func TestMalformedFirstLines(t *testing.T) {
	b := newTestBed(t, 1, false)
	var all []*testConn
	for i, text := range malformedFirstLines {
		c := b.dialClient()
		all = append(all, c)
		c.write(t, text+"\r\n")
		b.waitFor(fmt.Sprintf("an error for %.40q", text), func() bool { return c.eof })
		if got := strings.ReplaceAll(string(c.received), "PONG\r\n", ""); got != "ERR\r\n" {
			t.Errorf("%.40q got %q, want ERR", text, got)
		}
		if b.counters.Malformed != i+1 || b.counters.Hops != 0 || b.counters.Exchanges != 0 {
			t.Fatalf("after %.40q: counters: %+v", text, b.counters)
		}
	}
	if n := strings.Count(b.log.String(), "\n"); n != 1 {
		t.Errorf("%d lines in the log, want 1", n)
	}
	b.checkReleased(all...)
}

// A client that sends the id of an open exchange gets an error, whether the other client's
// connection waits for its answer or is established, and the first exchange goes on. Once that has
// ended, the id is free.
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
	if b.counters.Hops != 1 {
		t.Errorf("%d hops, want 1", b.counters.Hops)
	}
	owner.sock.Close()
	b.waitFor("the end", func() bool { return len(b.engine.exchanges) == 0 })
	third, _ := b.establish("a")
	b.checkReleased(first, second, third)
}

// The client's tenant reaches the module, also for a connection from before the start of the proxy:
// otherwise no tenant's share could be counted. A client that names no tenant has no share (tenant
// -1).
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
	if b.counters.Standing != 6 || b.counters.Malformed != 0 {
		t.Errorf("%d connections established, want 6; %d malformed, want 0", b.counters.Standing, b.counters.Malformed)
	}
}

// A client that sends more data before its answer gets an error, and its hop is cancelled.
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
	if b.engine.module.ConnectionCount("s0") != 0 {
		t.Errorf("the module counts %d connections at s0, want 0", b.engine.module.ConnectionCount("s0"))
	}
	b.checkReleased()
}

// A client that sends part of its first line and then closes or resets the connection is released
// at once. One that keeps the connection open gets an answer in time.
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
		t.Errorf("after %v, want at most 2.9 s: got %q and %q, want BUSY", took, stays.received, says.received)
	}
	b.checkReleased(fin, stays, says)
}

// A client that sends a line without end gets its error in full, though its input is not read to
// the end: the bytes read in total are bounded, and so are those read in one turn.
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
	if string(c.received) != "ERR\r\n" || b.counters.Malformed != 1 {
		t.Errorf("got %q, want ERR; counters: %+v", c.received, b.counters)
	}
	if sent > 8<<20 || stuck == 0 {
		t.Errorf("%d bytes were accepted, want at most %d; %d writes found the socket full, want some", sent, 8<<20, stuck)
	}
	for _, s := range b.frontend.sessions {
		if s.discarded > maxDiscard+len(b.frontend.scratch) || cap(s.link.partial) > 2*openingReadSize {
			t.Errorf("%d bytes discarded, want at most %d; %d buffered, want at most %d", s.discarded, maxDiscard+len(b.frontend.scratch), cap(s.link.partial), 2*openingReadSize)
		}
	}
	b.checkReleased(c)
}

// Connections that send nothing must not keep a client with a request, or its hop, from getting a
// descriptor: the oldest is closed first, after an answer.
func TestIdleConnectionsAreClosedForNewRequests(t *testing.T) {
	b := newTestBed(t, 1, false)
	standing, _ := b.establish("a")
	b.frontend.maxDescriptors = b.loop.Open() + reservedFromClients + 20
	idle := make([]*testConn, 30)
	for i := range idle {
		idle[i] = b.dialClient()
		b.frontend.maxDescriptors++ // for the remote end, which is on the same loop
	}
	b.settle()
	for i := range idle[:9] {
		if !idle[i].eof || string(idle[i].received) != "BUSY\r\n" {
			t.Fatalf("idle connection %d got %q, want BUSY; ended: %v", i, idle[i].received, idle[i].eof)
		}
	}
	if last := idle[29]; last.eof || b.frontend.loop.Open()+reservedFromClients > b.frontend.maxDescriptors {
		t.Error("the youngest idle connection was closed, or too many idle connections stay open")
	}
	b.frontend.maxDescriptors += 3 // for the remote ends of the following connections
	c, target := b.establish("b")
	target.write(t, "fine\r\n")
	b.waitFor("a line", func() bool { return string(c.received) == "fine\r\n" })
	if standing.eof || standing.reset {
		t.Error("an established connection was closed")
	}
	b.frontend.maxDescriptors = 0
	b.checkReleased(append(idle, standing, c)...)
}

// A client whose request is unread in the socket is not idle: it is served when idle connections
// are closed to free a descriptor for another client's attempt, also while the module's actions are
// carried out. The same holds for a connection from before the start of the proxy.
func TestClientWithUnreadRequestIsNotClosedAsIdle(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	first, adopted, second := b.dialClient(), b.dialClient(), b.dialClient()
	// Closing these frees enough descriptors for one attempt of each client.
	idle := []*testConn{b.dialClient(), b.dialClient(), b.dialClient()}
	first.write(t, "OPEN a k c=c,d=2000\r\n")
	for b.counters.Exchanges == 0 {
		if err := b.loop.Turn(true); err != nil {
			t.Fatal(err)
		}
	}
	adopted.write(t, "OPEN b k c=c,d=2000,at=s0\r\n")
	second.write(t, "OPEN c k c=c,d=2000\r\n")
	// No descriptor is free for the first attempt.
	b.frontend.maxDescriptors = b.loop.Open() + reservedFromAttempts
	b.engine.Deliver()
	b.frontend.maxDescriptors = 0
	for id, c := range map[string]*testConn{"a": first, "b": adopted, "c": second} {
		b.waitFor("the attempt for "+id, func() bool { return b.requestConn(id) != nil })
		b.requestConn(id).write(t, "UP r\r\n")
		b.waitFor("UP for "+id, func() bool { return string(c.received) == "UP r\r\n" })
	}
	if b.waitFor("a refusal", func() bool { return idle[0].eof }); string(idle[0].received) != "BUSY\r\n" {
		t.Errorf("the oldest idle connection got %q, want BUSY", idle[0].received)
	}
	b.checkReleased(append(idle, first, adopted, second)...)
}

// A shortage of descriptors in this process is no evidence against a target: neither a hop nor a
// probe may count against it.
func TestDescriptorShortageIsNotATargetFailure(t *testing.T) {
	b := newTestBed(t, 1, true)
	to := b.engine.table.Find("s0")
	p := b.frontend.targetState(to)
	for _, tt := range []struct {
		err  error
		want balance.Outcome
	}{{fmt.Errorf("%w: none left", poll.ErrNoSocket), balance.NotSent}, {errors.New("refused"), balance.NoConnect}} {
		if got := dialOutcome(tt.err); got != tt.want {
			t.Errorf("the outcome of %v is %v, want %v", tt.err, got, tt.want)
		}
	}
	b.engine.events = nil
	p.state = probeDialing
	// The target's address changes: the probe is sent to the new one.
	b.frontend.targetState(&routes.Target{ID: "s0", Addr: b.frontend.listener.Addr()})
	if p.state != probeDialing || p.entry.Addr != b.frontend.listener.Addr() || len(b.engine.events) != 0 {
		t.Errorf("after a change of address: state %v, address %v; %d events, want 0", p.state, p.entry.Addr, len(b.engine.events))
	}
	p.closeConn()
	b.checkReleased()
}
