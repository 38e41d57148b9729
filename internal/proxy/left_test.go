package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/routes"
)

// A client that has closed or cancelled is gone: no attempt of its request may begin, first or further. These tests have its end
// lie unread in its socket at the moment in which the attempt would begin.

// departures are the ways in which a client ends. Each leaves something to read in the proxy's socket, and nothing in its books.
var departures = map[string]func(c *testConn){
	"end of sending": func(c *testConn) { c.sock.CloseWrite() },
	"close":          func(c *testConn) { c.reset = true; c.sock.Close() },
	"reset":          func(c *testConn) { c.reset = true; c.sock.Reset() },
	"cancel by a line and the end": func(c *testConn) {
		_, _ = c.sock.Write([]byte("CANCEL\r\n"))
		c.sock.CloseWrite()
	},
}

// noAttempt turns the loop until all requests are over and checks that none of them was sent on.
func (b *testBed) checkNoAttempt() {
	b.t.Helper()
	b.waitFor("the end of all requests", func() bool { return len(b.engine.exchanges) == 0 && len(b.frontend.sessions) == 0 })
	for begin := b.now(); b.since(begin) < 150*time.Millisecond; { // longer than the rule leaves
		b.settle()
	}
	for _, h := range b.targetConns {
		if len(h.received) > 0 {
			b.t.Errorf("sent on: %q", h.received)
		}
	}
}

// serving has the targets in the route table serve or drain, as discovery would tell it.
func (b *testBed) setHealth(health routes.Health) {
	list := &routes.List{Seq: b.engine.table.Seq + 1}
	for i, l := range b.servers {
		list.Hosts = append(list.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: l.Addr(), Site: "z", Health: health})
	}
	b.engine.news(list, nil)
}

// The process stalls: the request and the client's end lie there together.
func TestClientLeavesBeforeRequestIsRead(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 1, false)
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			leave(c)
			time.Sleep(120 * time.Millisecond)
			b.checkNoAttempt()
			b.checkReleased(c)
		})
	}
}

// The module holds the request. In the turn that brings a target for it the client's end is not read yet.
func TestClientLeavesWhileRequestIsHeld(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 1, false)
			b.setHealth(routes.Draining)
			b.settle()
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			b.waitFor("the request", func() bool { return b.count.Exchanges == 1 })
			b.settle()
			leave(c)
			b.setHealth(routes.Serving)
			b.checkNoAttempt()
			if b.count.Left != 1 || b.engine.module.Held("s0") != 0 {
				t.Errorf("%d left, the module counts %d", b.count.Left, b.engine.module.Held("s0"))
			}
			b.checkReleased(c)
		})
	}
}

// An attempt ends in the turn in which its client leaves, and the kernel tells of the attempt first: by the target's word, by its
// reset, or because its time is over.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	for how, leave := range departures {
		for _, ending := range []string{"BUSY\r\n", "ERR\r\n", "reset", "timeout"} {
			t.Run(how+"/"+strings.TrimSpace(ending), func(t *testing.T) {
				t.Parallel()
				b := newSocketTestBed(t, 3, false)
				c := b.dialClient()
				c.write(t, "OPEN a k c=c,d=2000\r\n")
				b.waitFor("the first attempt", func() bool { return b.requestConn("a") != nil })
				first := b.requestConn("a")
				first.received = nil
				switch ending {
				case "reset":
					first.reset = true
					first.sock.Reset()
				case "timeout":
					b.frontend.sessions[0].hop.handleTimeout()
				default:
					first.write(t, ending)
				}
				b.dialled(2) // the second attempt's connection is up, and the process does not know yet
				leave(c)
				b.checkNoAttempt()
				b.checkReleased(c)
			})
		}
	}
}

// A connection of before the start is taken up again after a first try: its client leaves meanwhile.
func TestClientLeavesDuringAdoption(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 1, false)
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=5000,at=s0\r\n")
			b.waitFor("the first try", func() bool { return b.requestConn("a") != nil })
			first := b.requestConn("a")
			first.received = nil
			first.write(t, "BUSY\r\n")
			for b.count.Hops < 2 { // a timer begins it, in a turn
				if err := b.loop.Turn(true); err != nil {
					t.Fatal(err)
				}
			}
			leave(c)
			b.checkNoAttempt()
			b.checkReleased(c)
		})
	}
}

// The rest of a first line that the kernel did not take at once is not written for a client that has gone since.
func TestClientLeavesWhileFirstLineIsPartlyWritten(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 1, false)
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			b.waitFor("the attempt", func() bool { return b.requestConn("a") != nil })
			h := b.frontend.sessions[0].hop // its first bytes only were taken, and the rest waits
			h.state, h.link.unsent = hopSending, []byte("the rest\r\n")
			h.link.updateInterest()
			b.targetConns[0].received = nil
			leave(c)
			b.checkNoAttempt()
			b.checkReleased(c)
		})
	}
}

// Far more clients than one turn of the loop takes leave while the process stalls: some whose requests lie unread, some whose
// requests the module holds while news of a target lies there, and some whose attempts' connections are up.
func TestManyClientsLeaveAtOnce(t *testing.T) {
	const clients, targets = 600, 4 // over twice what a turn takes
	for _, when := range []string{"unread", "held", "connecting"} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, targets, false)
			if when == "held" {
				b.setHealth(routes.Draining)
				b.settle()
			}
			all := make([]*testConn, clients)
			for i := range all {
				all[i] = b.dialClient()
			}
			b.waitFor("all accepted", func() bool { return len(b.frontend.sessions) == clients })
			for i, c := range all {
				c.write(t, fmt.Sprintf("OPEN a%d k%d c=c,d=5000\r\n", i, i))
			}
			for when != "unread" && b.count.Exchanges < clients {
				if err := b.loop.Turn(true); err != nil {
					t.Fatal(err)
				}
			}
			if when != "unread" {
				if b.engine.Deliver(); when == "connecting" && b.count.Hops < 32 {
					t.Fatalf("%d attempts connect", b.count.Hops)
				}
			}
			for i, c := range all {
				c.reset = true
				if i%2 == 0 {
					c.sock.Close()
				} else {
					c.sock.Reset()
				}
			}
			time.Sleep(120 * time.Millisecond)
			b.setHealth(routes.Serving)
			b.checkNoAttempt()
		})
	}
}

// The process stalls while an attempt connects. When it runs on, the connection and the client's end lie there, in this order.
func TestClientLeavesDuringProcessStall(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 2, false)
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			b.dialled(1)
			leave(c)
			time.Sleep(120 * time.Millisecond)
			b.checkNoAttempt()
			b.checkReleased(c)
		})
	}
}
