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
var departures = map[string]func(c *end){
	"end of sending": func(c *end) { c.sock.CloseWrite() },
	"close":          func(c *end) { c.reset = true; c.sock.Close() },
	"reset":          func(c *end) { c.reset = true; c.sock.Reset() },
	"cancel by a line and the end": func(c *end) {
		_, _ = c.sock.Write([]byte("CANCEL\r\n"))
		c.sock.CloseWrite()
	},
}

// noAttempt turns the loop until all requests are over and checks that none of them was sent on.
func (b *bed) noAttempt() {
	b.t.Helper()
	b.until("the end of all requests", func() bool { return len(b.engine.exchanges) == 0 && len(b.front.sessions) == 0 })
	for begin := b.now(); b.since(begin) < 150*time.Millisecond; { // longer than the rule leaves
		b.settle()
	}
	for _, h := range b.hops {
		if len(h.got) > 0 {
			b.t.Errorf("sent on: %q", h.got)
		}
	}
}

// serving has the targets in the route table serve or drain, as discovery would tell it.
func (b *bed) serving(health routes.Health) {
	list := &routes.List{Seq: b.engine.table.Seq + 1}
	for i, l := range b.servers {
		list.Hosts = append(list.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: l.Addr(), Site: "z", Health: health})
	}
	b.engine.news(list, nil)
}

// The process stalls: the request and the client's end lie there together.
func TestGoneBeforeItsRequestIsRead(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newRealBed(t, 1, false)
			c := b.client()
			c.say(t, "OPEN a k c=c,d=2000\r\n")
			leave(c)
			time.Sleep(120 * time.Millisecond)
			b.noAttempt()
			b.over(c)
		})
	}
}

// The module holds the request. In the turn that brings a target for it the client's end is not read yet.
func TestGoneWhileHeld(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newRealBed(t, 1, false)
			b.serving(routes.Draining)
			b.settle()
			c := b.client()
			c.say(t, "OPEN a k c=c,d=2000\r\n")
			b.until("the request", func() bool { return b.count.Exchanges == 1 })
			b.settle()
			leave(c)
			b.serving(routes.Serving)
			b.noAttempt()
			if b.count.Left != 1 || b.engine.module.ConnectionCount("s0") != 0 {
				t.Errorf("%d left, the module counts %d", b.count.Left, b.engine.module.ConnectionCount("s0"))
			}
			b.over(c)
		})
	}
}

// An attempt ends in the turn in which its client leaves, and the kernel tells of the attempt first: by the target's word, by its
// reset, or because its time is over.
func TestGoneBetweenAttempts(t *testing.T) {
	for how, leave := range departures {
		for _, ending := range []string{"BUSY\r\n", "ERR\r\n", "reset", "timeout"} {
			t.Run(how+"/"+strings.TrimSpace(ending), func(t *testing.T) {
				t.Parallel()
				b := newRealBed(t, 3, false)
				c := b.client()
				c.say(t, "OPEN a k c=c,d=2000\r\n")
				b.until("the first attempt", func() bool { return b.asked("a") != nil })
				first := b.asked("a")
				first.got = nil
				switch ending {
				case "reset":
					first.reset = true
					first.sock.Reset()
				case "timeout":
					b.front.sessions[0].hop.due()
				default:
					first.say(t, ending)
				}
				b.dialled(2) // the second attempt's connection is up, and the process does not know yet
				leave(c)
				b.noAttempt()
				b.over(c)
			})
		}
	}
}

// A connection of before the start is taken up again after a first try: its client leaves meanwhile.
func TestGoneWhileAdopted(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newRealBed(t, 1, false)
			c := b.client()
			c.say(t, "OPEN a k c=c,d=5000,at=s0\r\n")
			b.until("the first try", func() bool { return b.asked("a") != nil })
			first := b.asked("a")
			first.got = nil
			first.say(t, "BUSY\r\n")
			for b.count.Hops < 2 { // a timer begins it, in a turn
				if err := b.loop.Turn(true); err != nil {
					t.Fatal(err)
				}
			}
			leave(c)
			b.noAttempt()
			b.over(c)
		})
	}
}

// The rest of a first line that the kernel did not take at once is not written for a client that has gone since.
func TestGoneWhileItsLineIsHalfWritten(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newRealBed(t, 1, false)
			c := b.client()
			c.say(t, "OPEN a k c=c,d=2000\r\n")
			b.until("the attempt", func() bool { return b.asked("a") != nil })
			h := b.front.sessions[0].hop // its first bytes only were taken, and the rest waits
			h.state, h.link.out = hopSending, []byte("the rest\r\n")
			h.link.want()
			b.hops[0].got = nil
			leave(c)
			b.noAttempt()
			b.over(c)
		})
	}
}

// Far more clients than one turn of the loop takes leave while the process stalls: some whose requests lie unread, some whose
// requests the module holds while news of a target lies there, and some whose attempts' connections are up.
func TestGoneInABurst(t *testing.T) {
	const clients, targets = 600, 4 // over twice what a turn takes
	for _, when := range []string{"unread", "held", "connecting"} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			b := newRealBed(t, targets, false)
			if when == "held" {
				b.serving(routes.Draining)
				b.settle()
			}
			all := make([]*end, clients)
			for i := range all {
				all[i] = b.client()
			}
			b.until("all accepted", func() bool { return len(b.front.sessions) == clients })
			for i, c := range all {
				c.say(t, fmt.Sprintf("OPEN a%d k%d c=c,d=5000\r\n", i, i))
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
			b.serving(routes.Serving)
			b.noAttempt()
		})
	}
}

// The process stalls while an attempt connects. When it runs on, the connection and the client's end lie there, in this order.
func TestGoneDuringAStall(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			b := newRealBed(t, 2, false)
			c := b.client()
			c.say(t, "OPEN a k c=c,d=2000\r\n")
			b.dialled(1)
			leave(c)
			time.Sleep(120 * time.Millisecond)
			b.noAttempt()
			b.over(c)
		})
	}
}
