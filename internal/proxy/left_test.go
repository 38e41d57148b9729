package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/routes"
)

// No attempt of a request, first or further, may begin after its client has closed its connection
// or cancelled. In these tests the end of the client's connection is still unread in the proxy's
// socket when the attempt would begin.

// departures are the ways in which a client leaves. Each is visible in the proxy's socket only, and
// not in its state, until the socket is read.
var departures = map[string]func(c *testConn){
	"close of the sending side": func(c *testConn) { c.sock.CloseWrite() },
	"close":                     func(c *testConn) { c.reset = true; c.sock.Close() },
	"reset":                     func(c *testConn) { c.reset = true; c.sock.Reset() },
	"CANCEL line and close of the sending side": func(c *testConn) {
		_, _ = c.sock.Write([]byte("CANCEL\r\n"))
		c.sock.CloseWrite()
	},
}

// checkNoAttempt runs the loop until all requests have ended and checks that none of them was sent
// to a target.
func (b *testBed) checkNoAttempt() {
	b.t.Helper()
	b.waitFor("the end of all requests", func() bool { return len(b.engine.exchanges) == 0 && len(b.frontend.sessions) == 0 })
	for begin := b.now(); b.since(begin) < 150*time.Millisecond; { // longer than the rule allows
		b.settle()
	}
	for _, h := range b.targetConns {
		if len(h.received) > 0 {
			b.t.Errorf("a target got %q after the client left", h.received)
		}
	}
}

// setHealth sets the health of all targets in the route table, as an answer of discovery would.
func (b *testBed) setHealth(health routes.Health) {
	list := &routes.List{Seq: b.engine.table.Seq + 1}
	for i, l := range b.servers {
		list.Hosts = append(list.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: l.Addr(), Site: "z", Health: health})
	}
	b.engine.handleDiscoveryAnswer(list, nil)
}

// The process stalls, so that the request and the end of the client's connection are both unread.
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

// The module holds the request. In the turn in which a target becomes available for it, the end of
// the client's connection is not read yet.
func TestClientLeavesWhileRequestIsHeld(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 1, false)
			b.setHealth(routes.Draining)
			b.settle()
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			b.waitFor("the request", func() bool { return b.counters.Exchanges == 1 })
			b.settle()
			leave(c)
			b.setHealth(routes.Serving)
			b.checkNoAttempt()
			if b.counters.Left != 1 || b.engine.module.ConnectionCount("s0") != 0 {
				t.Errorf("%d clients left, want 1; the module counts %d connections at s0, want 0", b.counters.Left, b.engine.module.ConnectionCount("s0"))
			}
			b.checkReleased(c)
		})
	}
}

// An attempt ends in the turn in which its client leaves, and the proxy learns of the attempt's end
// first: by the target's answer, by its reset, or because the attempt timed out.
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
				// the second attempt is connected, and the process has not seen it yet
				b.awaitHops(2)
				leave(c)
				b.checkNoAttempt()
				b.checkReleased(c)
			})
		}
	}
}

// A connection from before the start of the proxy is tried again after a first try was refused, and
// its client leaves in between.
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
			for b.counters.Hops < 2 { // a timer starts the second try within a turn
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

// The kernel accepts only part of a first line, and the client leaves: the rest of the line is not
// written.
func TestClientLeavesWhileFirstLineIsPartlyWritten(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 1, false)
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			b.waitFor("the attempt", func() bool { return b.requestConn("a") != nil })
			h := b.frontend.sessions[0].hop // as if only the first bytes were written
			h.state, h.link.unsent = hopSending, []byte("the rest\r\n")
			h.link.updateInterest()
			b.targetConns[0].received = nil
			leave(c)
			b.checkNoAttempt()
			b.checkReleased(c)
		})
	}
}

// Far more clients than one turn of the loop handles leave while the process stalls: clients whose
// requests are unread, clients whose requests the module holds while an update of the targets is
// unread, and clients whose attempts are connected.
func TestManyClientsLeaveAtOnce(t *testing.T) {
	const clients, targets = 600, 4 // more than twice the events of one turn
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
			for when != "unread" && b.counters.Exchanges < clients {
				if err := b.loop.Turn(true); err != nil {
					t.Fatal(err)
				}
			}
			if when != "unread" {
				if b.engine.Deliver(); when == "connecting" && b.counters.Hops < 32 {
					t.Fatalf("%d attempts are connecting, want at least 32", b.counters.Hops)
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

// The process stalls while an attempt connects. When it continues, the established connection and
// the end of the client's connection are both unread, in this order.
func TestClientLeavesDuringProcessStall(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newSocketTestBed(t, 2, false)
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			b.awaitHops(1)
			leave(c)
			time.Sleep(120 * time.Millisecond)
			b.checkNoAttempt()
			b.checkReleased(c)
		})
	}
}
