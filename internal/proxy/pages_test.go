package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/poll"
)

// These tests check requirements of the operators that no other test covers; docs/acceptance.md
// names the test for each requirement.

// After a reload, the new discovery reports a target as draining while an attempt at it connects.
// The list and the established connection arrive in one turn of the loop; the request is not sent.
func TestDrainSoonAfterAReload(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	first, second := newFakeDiscovery(b), newFakeDiscovery(b)
	b.watchAt(first.listener.Addr())
	first.awaitCall(0)
	b.engine.SetDiscovery(second.listener.Addr())
	second.awaitCall(0)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=300\r\n")
	b.awaitHops(1)
	list := fmt.Sprintf(`{"seq":3,"whole":true,"hosts":[{"host":"s0","dial":%q,"health":"DRAINING"}]}`, b.servers[0].Addr())
	second.calls[0].write(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	b.waitFor("an answer", func() bool { return c.eof })
	if len(b.targetConns) != 1 || len(b.targetConns[0].received) > 0 || string(c.received) != "BUSY\r\n" {
		t.Errorf("%d connections, want 1; the target got %q, want nothing; the client got %q, want BUSY", len(b.targetConns), b.targetConns[0].received, c.received)
	}
	b.engine.watch.Stop()
	first.close()
	second.close()
}

// A target fails right after it accepted a connection. If the request was not written in full, it
// never ran, and any request may go to another target. If it was, it may have run, and a request
// that must not run twice fails.
func TestTargetResetsAfterAccept(t *testing.T) {
	for _, repeat := range []string{"free", "single_shot"} {
		for _, written := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, written %v", repeat, written), func(t *testing.T) {
				b := newSocketTestBedWithSettings(t, 2, settingsWith(t, `"Repeat":"free"`, `"Repeat":"`+repeat+`"`))
				c := b.dialClient()
				c.write(t, "OPEN a k c=c,d=1500\r\n")
				b.awaitHops(1)
				if written {
					b.waitFor("the request", func() bool { return b.requestConn("a") != nil })
				} else {
					// The targets accept, while the proxy has not seen yet that it is connected.
					for _, l := range b.servers {
						l.Ready(poll.Ready{Read: true})
					}
				}
				dead := b.targetConns[0]
				dead.received, dead.reset = nil, true
				dead.sock.Reset()
				if written && repeat == "single_shot" {
					b.waitFor("a failure", func() bool { return c.eof })
					if string(c.received) != "ERR\r\n" || len(b.targetConns) != 1 {
						t.Errorf("got %q after %d attempts", c.received, len(b.targetConns))
					}
					return
				}
				b.waitFor("another attempt", func() bool {
					return len(b.targetConns) > 1 && strings.HasPrefix(string(b.targetConns[1].received), "OPEN a ")
				})
				b.targetConns[1].write(t, "UP r\r\n")
				b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
			})
		}
	}
}

// A request arrives in pieces around the end of a planned stop. Whatever part of it has arrived
// when the proxy stops taking requests, and whenever the rest arrives, its client gets a refusal
// and no reset, and nothing is sent to a target.
func TestSplitRequestAtTheEndOfAStop(t *testing.T) {
	const request = "OPEN a k c=c,d=2000\r\n"
	for cut := 1; cut < len(request); cut += 4 {
		b := newSocketTestBed(t, 1, false)
		c := b.dialClient()
		c.write(t, request[:cut])
		b.settle()
		b.frontend.Drain(func() {})
		b.frontend.drain.startedAt = b.loop.Now().Add(-newClientPeriod - time.Millisecond)
		b.frontend.drainStep()
		c.write(t, request[cut:])
		b.waitFor("the end", func() bool { return c.eof || c.reset })
		if c.reset || string(c.received) != "BUSY\r\n" || b.counters.Hops != 0 {
			t.Errorf("split at byte %d: reset %v, got %q, want BUSY; %d attempts, want 0", cut, c.reset, c.received, b.counters.Hops)
		}
	}
}

// A request that no target answers gets its final answer before its time is over, however it
// arrived: whole, in pieces, late in a turn of the loop, or as the last of many.
func TestUnansweredRequestsEnd(t *testing.T) {
	b := newSocketTestBed(t, 3, false)
	const clients = 40
	all := make([]*testConn, clients)
	ends := make([]time.Time, clients)
	for i := range all {
		all[i] = b.dialClient()
		request := fmt.Sprintf("OPEN u%d k%d c=c,d=500\r\n", i, i)
		if i%2 == 0 {
			all[i].write(t, request[:9])
			b.settle()
			request = request[9:]
		}
		all[i].write(t, request)
		ends[i] = b.now().Add(500 * time.Millisecond)
	}
	for _, l := range b.servers[1:] {
		l.Close() // these refuse connections; the first target stays silent
	}
	late := 0
	b.waitFor("all answers", func() bool {
		left := 0
		for i, c := range all {
			switch {
			case !c.eof:
				left++
			case !ends[i].IsZero():
				if b.now().After(ends[i].Add(50 * time.Millisecond)) {
					late++
				}
				ends[i] = time.Time{}
			}
		}
		return left == 0
	})
	for i, c := range all {
		if got := string(c.received); got != "BUSY\r\n" && got != "ERR\r\n" {
			t.Errorf("client %d got %q", i, got)
		}
	}
	if late > 0 || len(b.engine.exchanges) > 0 {
		t.Errorf("%d of %d answers were late; %d exchanges are left", late, clients, len(b.engine.exchanges))
	}
}
