package proxy

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// lateTarget is an egress target that the proxy's list does not name at first. It answers UP to
// each request, unless answer says otherwise.
type lateTarget struct {
	b        *testBed
	addr     netip.AddrPort
	listener *poll.Listener
	conns    []*testConn
}

func (b *testBed) newLateTarget() *lateTarget {
	b.t.Helper()
	l := &lateTarget{b: b}
	l.listen(b.local)
	l.addr = l.listener.Addr()
	return l
}

func (l *lateTarget) listen(at netip.AddrPort) {
	l.b.t.Helper()
	listener, err := l.b.loop.Listen(at, func(s *poll.Socket, _ bool) poll.Handler {
		c := &testConn{sock: s}
		l.conns = append(l.conns, c)
		return c
	})
	if err != nil {
		l.b.t.Fatal(err)
	}
	l.listener = listener
}

// requests returns the connections on which a request has arrived and that are still open.
func (l *lateTarget) requests() []*testConn {
	var open []*testConn
	for _, c := range l.conns {
		if !c.reset && !c.eof && strings.Contains(string(c.received), "\r\n") {
			open = append(open, c)
		}
	}
	return open
}

// answerUp answers UP to all requests that have arrived.
func (l *lateTarget) answerUp() {
	for _, c := range l.requests() {
		c.write(l.b.t, "UP late\r\n")
		c.received = nil
	}
}

// list returns a whole list of the bed's targets and the late one.
func (l *lateTarget) list(health routes.Health) *routes.List {
	all := append(l.b.engine.table.All(), &routes.Target{ID: "late", Addr: l.addr, Site: "z", Health: health})
	return &routes.List{Seq: 9, Whole: true, Hosts: all}
}

// tell passes a list to the engine, as discovery would, in a turn of the loop.
func (b *testBed) tell(l *routes.List) {
	b.t.Helper()
	b.loop.Post(func() { b.engine.handleDiscoveryAnswer(l, nil) })
	b.settle()
}

// limitDescriptors limits the descriptors of the proxy, whose loop has those of the test as well.
func (b *testBed) limitDescriptors(limit int) {
	own := 1 // the listener
	for _, s := range b.frontend.sessions {
		own++
		if s.hop != nil && s.hop.link.sock != nil {
			own++
		}
	}
	b.frontend.maxDescriptors = limit + b.loop.Open() - own
}

// run advances virtual time.
func (b *testBed) run(d time.Duration) {
	b.t.Helper()
	b.loop.Wake()
	if err := b.world.Run(d); err != nil {
		b.t.Fatal(err)
	}
}

// adopt sends the request of a connection that stood at the late target before the start.
func (b *testBed) adopt(id string, wait time.Duration) *testConn {
	c := b.dialClient()
	c.write(b.t, fmt.Sprintf("OPEN %s k c=c,d=%d,at=late\r\n", id, wait.Milliseconds()))
	b.settle()
	return c
}

// A connection that stood before the start of the proxy is kept until its target is listed, however
// that becomes known and however late within the client's wait. It was answered ERR after 1.8 s.
func TestStandingConnectionWaitsUntilItsTargetIsListed(t *testing.T) {
	sources := map[string]func(e *Engine, l *routes.List){
		"discovery":     func(e *Engine, l *routes.List) { e.handleDiscoveryAnswer(l, nil) },
		"other process": func(e *Engine, l *routes.List) { e.ApplyPeerList(l) },
	}
	for name, tell := range sources {
		for _, health := range []routes.Health{routes.Serving, routes.Draining} {
			for _, after := range []time.Duration{time.Second, 7 * time.Second, 39 * time.Second} {
				t.Run(fmt.Sprint(name, " ", health, " ", after), func(t *testing.T) {
					b := newTestBed(t, 1, false)
					late := b.newLateTarget()
					c := b.adopt("a", 40*time.Second)
					b.run(after)
					if len(c.received) > 0 {
						t.Fatalf("got %q before the target was listed, want nothing", c.received)
					}
					b.loop.Post(func() { tell(b.engine, late.list(health)) })
					b.waitFor("the hop", func() bool { return len(late.requests()) == 1 })
					late.answerUp()
					b.waitFor("UP", func() bool { return string(c.received) == "UP late\r\n" })
					if b.counters.Hops != 1 {
						t.Errorf("%d hops, want 1", b.counters.Hops)
					}
				})
			}
		}
	}
}

// Discovery comes back without the target, drops it again, and lists it once more.
func TestStandingConnectionOutlivesChangingLists(t *testing.T) {
	b := newTestBed(t, 1, false)
	late := b.newLateTarget()
	without := &routes.List{Seq: 8, Whole: true, Hosts: b.engine.table.All()}
	c := b.adopt("a", 40*time.Second)
	b.run(5 * time.Second)
	b.tell(without)
	b.run(5 * time.Second)
	listed := late.list(routes.Serving)
	b.loop.Post(func() { // the target is dropped again before the hop has started
		b.engine.handleDiscoveryAnswer(listed, nil)
		b.engine.handleDiscoveryAnswer(without, nil)
	})
	b.run(5 * time.Second)
	if len(late.conns) > 0 || len(c.received) > 0 {
		t.Fatalf("%d hops to a target that is not listed, client got %q", len(late.conns), c.received)
	}
	b.tell(late.list(routes.Serving))
	b.waitFor("the hop", func() bool { return len(late.requests()) == 1 })
	late.answerUp()
	b.waitFor("UP", func() bool { return string(c.received) == "UP late\r\n" })
}

// A target that is never listed: the client gets one answer, at the end of its wait or of the
// protocol's 40 s, that invites it to come again.
func TestStandingConnectionIsAnsweredAtItsDeadline(t *testing.T) {
	for _, wait := range []time.Duration{time.Second, 10 * time.Second, 50 * time.Second} {
		b := newTestBed(t, 1, false)
		c := b.adopt("a", wait)
		until := min(wait, 40*time.Second)
		b.run(until - 200*time.Millisecond)
		if len(c.received) > 0 {
			t.Errorf("wait %v: got %q before the end of the wait", wait, c.received)
		}
		b.run(200 * time.Millisecond)
		if string(c.received) != "BUSY\r\n" || len(b.engine.exchanges) != 0 || b.counters.Overdue != 0 {
			t.Errorf("wait %v: got %q, %d exchanges, %d overdue; want BUSY, 0, 0", wait, c.received, len(b.engine.exchanges), b.counters.Overdue)
		}
		b.checkReleased(c)
	}
}

// The target is listed but refuses connections for a while, or breaks them. The client comes up once
// the target takes it.
func TestStandingConnectionWaitsUntilItsTargetIsReachable(t *testing.T) {
	for _, how := range []string{"refuses", "resets"} {
		b := newTestBed(t, 1, false)
		late := b.newLateTarget()
		b.tell(late.list(routes.Serving))
		if how == "refuses" {
			late.listener.Close()
		}
		c := b.adopt("a", 40*time.Second)
		for range 20 {
			b.run(500 * time.Millisecond)
			for _, conn := range late.requests() {
				conn.sock.Reset()
				conn.reset = true
			}
		}
		if len(c.received) > 0 {
			t.Fatalf("%s: got %q while the target could not be reached, want nothing", how, c.received)
		}
		if how == "refuses" {
			late.listen(late.addr)
		}
		b.waitFor("the next hop", func() bool { return len(late.requests()) == 1 })
		late.answerUp()
		b.waitFor("UP", func() bool { return string(c.received) == "UP late\r\n" })
	}
}

// A request whose class must not run twice is not sent again after a hop that may have run, and its
// client is not invited to repeat it.
func TestStandingConnectionDoesNotRunTwice(t *testing.T) {
	b := newTestBed(t, 1, false)
	b.engine.settings.Config.Classes[0].Idempotency = balance.NotIdempotent
	late := b.newLateTarget()
	b.tell(late.list(routes.Serving))
	c := b.adopt("a", 40*time.Second)
	b.waitFor("the hop", func() bool { return len(late.requests()) == 1 })
	late.requests()[0].sock.Reset()
	late.conns[0].reset = true
	b.run(20 * time.Second)
	if string(c.received) != "ERR\r\n" || len(late.conns) != 1 {
		t.Errorf("got %q after %d hops, want ERR after 1", c.received, len(late.conns))
	}
}

// A crowd waits for a target that is never listed and holds all descriptors. Clients with ordinary
// requests are served, and the connections that came before the crowd are kept for their target.
func TestCrowdOfStandingConnectionsLeavesRoomForOthers(t *testing.T) {
	b := newTestBed(t, 1, false)
	late := b.newLateTarget()
	const limit, firstComers = 160, 5
	var first []*testConn
	for i := range firstComers {
		first = append(first, b.adopt(fmt.Sprint("first", i), 40*time.Second))
	}
	for i := range limit {
		b.limitDescriptors(limit)
		c := b.dialClient()
		c.write(t, fmt.Sprintf("OPEN crowd%d k c=c,d=40000,at=never\r\n", i))
		b.settle()
	}
	for i := range 10 {
		b.limitDescriptors(limit)
		id := fmt.Sprint("ordinary", i)
		client, _ := b.establish(id)
		client.sock.Close()
	}
	b.limitDescriptors(limit)
	b.tell(late.list(routes.Serving))
	b.waitFor("the hops", func() bool { return len(late.requests()) == firstComers })
	late.answerUp()
	for _, c := range first {
		b.waitFor("UP", func() bool { return string(c.received) == "UP late\r\n" })
	}
	if err := b.frontend.Audit(); err != nil && !strings.Contains(err.Error(), "sockets are open") { // the bed's own
		t.Error(err)
	}
}

// countingLimits counts the places that are taken.
type countingLimits struct{ taken int }

func (l *countingLimits) Acquire(int, int, bool) (uint64, bool) { l.taken++; return 1, true }
func (l *countingLimits) Release(uint64)                        { l.taken-- }

// A connection that waits for its target to be listed takes no place under a limit: names that never
// come would keep out other clients. It takes one while it is tried and while it stands.
func TestStandingConnectionTakesPlaceUnderLimitOnceListed(t *testing.T) {
	b := newTestBed(t, 1, false)
	limits := &countingLimits{}
	b.engine.SetLimits(limits)
	late := b.newLateTarget()
	c := b.adopt("a", 40*time.Second)
	b.run(time.Second)
	if limits.taken != 0 {
		t.Errorf("%d places taken while the target is not listed, want 0", limits.taken)
	}
	b.tell(late.list(routes.Serving))
	b.waitFor("the hop", func() bool { return len(late.requests()) == 1 })
	late.answerUp()
	b.waitFor("UP", func() bool { return string(c.received) == "UP late\r\n" })
	if limits.taken != 1 {
		t.Errorf("%d places taken by an established connection, want 1", limits.taken)
	}
	c.sock.Close()
	b.run(time.Second)
	for _, conn := range late.conns {
		conn.sock.Close()
	}
	b.run(time.Second)
	if limits.taken != 0 {
		t.Errorf("%d places taken after the end, want 0", limits.taken)
	}
}

// The client leaves, or the process is told to stop, while a connection waits for its target to be
// listed. Nothing is sent for it afterwards.
func TestStandingConnectionEndsWhileItsTargetIsNotListed(t *testing.T) {
	for _, how := range []string{"leaves", "resets", "stop"} {
		b := newTestBed(t, 1, false)
		late := b.newLateTarget()
		c := b.adopt("a", 40*time.Second)
		b.run(time.Second)
		done := false
		switch how {
		case "leaves":
			c.sock.Close()
		case "resets":
			c.sock.Reset()
		case "stop":
			b.frontend.Drain(func() { done = true })
			b.run(3 * time.Second)
			if string(c.received) != "BUSY 1000\r\n" && string(c.received) != "BUSY\r\n" || !done {
				t.Errorf("stop: got %q, done %v", c.received, done)
			}
		}
		b.run(10 * time.Millisecond)
		b.tell(late.list(routes.Serving))
		b.run(2 * time.Second)
		if len(late.conns) != 0 || len(b.engine.exchanges) != 0 {
			t.Errorf("%s: %d hops, %d exchanges; want none", how, len(late.conns), len(b.engine.exchanges))
		}
	}
}

// The module counted a connection that took more than one hop to come up for good, also after its
// end: it knew of one attempt, and was told of the end of a later one.
func TestStandingConnectionIsNotCountedAfterItsEnd(t *testing.T) {
	b := newTestBed(t, 1, false)
	late := b.newLateTarget()
	b.tell(late.list(routes.Serving))
	c := b.adopt("a", 40*time.Second)
	late.requests()[0].write(t, "BUSY\r\n")
	b.waitFor("the next hop", func() bool { return len(late.conns) == 2 && len(late.conns[1].received) > 0 })
	late.conns[1].write(t, "UP late\r\n")
	b.waitFor("UP", func() bool { return string(c.received) == "UP late\r\n" })
	standing := b.engine.module.ConnectionCount("late")
	c.sock.Close()
	b.waitFor("the end", func() bool { return late.conns[1].eof })
	late.conns[1].sock.Close()
	b.settle()
	if after := b.engine.module.ConnectionCount("late"); standing != 1 || after != 0 {
		t.Errorf("the module counts %d connections while it stands and %d after its end, want 1 and 0", standing, after)
	}
}
