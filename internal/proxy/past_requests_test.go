package proxy

import (
	"fmt"
	"testing"
	"time"

	"ospreyspan/balance"
)

// setClass changes what may be repeated of the bed's class.
func (b *testBed) setClass(idempotency balance.Idempotency, window time.Duration) {
	c := &b.engine.settings.Config.Classes[0]
	c.Idempotency, c.DedupWindow, c.DedupScope = idempotency, window, balance.DedupScopeAll
}

// request sends a request by an id and returns its client's end.
func (b *testBed) request(id string) *testConn {
	c := b.dialClient()
	c.write(b.t, "OPEN "+id+" k c=c,d=2000\r\n")
	b.settle()
	return c
}

// refuseAll has each target refuse the request.
func refuseAll(b *testBed, _ *testConn) {
	for i := 0; i < len(b.targetConns); i++ { // the next target follows
		b.targetConns[i].write(b.t, "BUSY\r\n")
		b.settle()
	}
}

// A client leaves and comes again by the same id. Its request ran again at once, as the proxy forgot
// with the exchange that it may have run: it may be sent only where, and for as long as, the class
// allows it. One that has never run may always come again.
func TestSameIDDoesNotRunAgain(t *testing.T) {
	const window = 500 * time.Millisecond
	firsts := map[string]struct {
		play func(b *testBed, c *testConn)
		ran  bool
	}{
		"left":            {func(b *testBed, c *testConn) { c.sock.Close() }, true},
		"reset":           {func(b *testBed, c *testConn) { c.sock.Reset() }, true},
		"error":           {func(b *testBed, c *testConn) { b.requestConn("a").write(b.t, "ERR\r\n") }, true},
		"up, then ended":  {func(b *testBed, c *testConn) { b.requestConn("a").write(b.t, "UP r\r\n"); b.settle(); c.sock.Close() }, true},
		"served":          {func(b *testBed, c *testConn) { b.requestConn("a").write(b.t, "BYE\r\n") }, true},
		"refused by all":  {refuseAll, false},
		"more than asked": {func(b *testBed, c *testConn) { c.write(b.t, "more\r\n") }, true},
	}
	for name, first := range firsts {
		for _, tt := range []struct {
			class       balance.Idempotency
			after       time.Duration
			runs, again bool
		}{
			{balance.Idempotent, 0, true, true}, {balance.NotIdempotent, 0, true, false}, {balance.NotIdempotent, 50 * time.Second, true, false},
			{balance.IdempotentByKey, 0, true, true}, {balance.IdempotentByKey, 2 * window, true, false}, {balance.NotIdempotent, 70 * time.Second, true, true},
		} {
			t.Run(fmt.Sprint(name, " ", tt.class, " ", tt.after), func(t *testing.T) {
				b := newTestBed(t, 3, false) // a failed attempt leaves some in use
				b.setClass(tt.class, window)
				c := b.request("a")
				first.play(b, c)
				b.settle()
				c.sock.Close()
				b.settle()
				for _, conn := range b.targetConns {
					conn.sock.Close()
				}
				b.run(tt.after + time.Millisecond)
				before := len(b.targetConns)
				again := b.request("a")
				b.run(100 * time.Millisecond)
				sent, want := len(b.targetConns) > before, tt.again || !first.ran
				if sent != want {
					t.Errorf("sent again: %v, want %v", sent, want)
				}
				if !want && string(again.received) != "ERR\r\n" {
					t.Errorf("got %q, want ERR: a refusal would invite another try", again.received)
				}
			})
		}
	}
}

// While no further request can be remembered, requests whose class needs it are refused before they
// are sent; others are served. Room comes back with time.
func TestRequestsThatCannotBeRememberedAreRefused(t *testing.T) {
	b := newTestBed(t, 1, false)
	b.setClass(balance.NotIdempotent, 0)
	b.engine.past.capacity = 3
	for i := range 3 {
		b.request(fmt.Sprint("id", i)).sock.Close()
		b.settle()
	}
	hops := b.counters.Hops
	if c := b.request("late"); string(c.received) != "BUSY\r\n" || b.counters.Hops != hops {
		t.Errorf("got %q and %d hops, want BUSY and none", c.received, b.counters.Hops-hops)
	}
	b.setClass(balance.Idempotent, 0)
	if b.request("free").sock.Close(); b.counters.Hops != hops+1 {
		t.Error("a request that may be repeated was not sent")
	}
	b.settle()
	b.setClass(balance.NotIdempotent, 0)
	b.run(pastRequestRetention)
	if b.request("later"); b.counters.Hops != hops+2 || len(b.engine.past.runs) != 0 || len(b.engine.past.queue) != 0 {
		t.Errorf("%d hops, %d remembered after the retention; want 2 and 0", b.counters.Hops-hops, len(b.engine.past.runs))
	}
}
