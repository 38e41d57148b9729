package lab

import (
	"testing"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/vnet"
)

// When a change counts as told, by the calls that a proxy has made. All times are seconds since the start.
func TestChangesCountAsTold(t *testing.T) {
	second := func(s float64) time.Time { return time.Unix(1e9, 0).Add(time.Duration(s * float64(time.Second))) }
	n := &newsClock{newsWithin: 6 * time.Second, askWithin: 10 * time.Second}
	watch := &discoveryConn{asked: second(8), wait: 2 * time.Second}
	long := &discoveryConn{asked: second(8), wait: 20 * time.Second}
	for _, tt := range []struct {
		name   string
		caller caller
		at     float64 // 0: no clock runs
	}{
		{"last call answered", caller{reach: second(1), last: second(9)}, 20},
		{"the same, and discovery was away since", caller{reach: second(12), last: second(9)}, 22},
		{"last call failed", caller{reach: second(1), last: second(2), failed: second(11)}, 16},
		{"it failed late", caller{reach: second(1), last: second(9), failed: second(18)}, 18},
		{"it failed, and discovery was away since", caller{reach: second(14), last: second(2), failed: second(11)}, 20},
		{"a watch is open", caller{reach: second(1), last: second(8), call: watch}, 0},
		{"a watch is open after a failure", caller{reach: second(1), failed: second(7), call: watch}, 16},
		{"a watch fell silent", caller{reach: second(1), last: second(8), call: watch, silent: second(9)}, 15},
		{"a watch with a long wait fell silent", caller{reach: second(1), last: second(8), call: long, silent: second(9)}, 30},
	} {
		at, ok := tt.caller.toldAt(second(10), n)
		if ok != (tt.at > 0) || ok && !at.Equal(second(tt.at)) {
			t.Errorf("%s: %v s, %v, want %v s", tt.name, at.Sub(second(0)).Seconds(), ok, tt.at)
		}
	}
}

// The clock tells calls that are answered from such that fail, by the bytes alone.
func TestCallsOnTheWire(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{} })
	n := newNewsClock(w, &Rules{NewsWithin: 6 * time.Second}, &Permissions{AskWithin: 10 * time.Second})
	proxy := at(0, atProxy, 1)
	n.begins(proxy)
	c, d := n.callers[proxy], &discoveryConn{}
	call := []byte("GET /registry/instances?index=4&wait=2000 HTTP/1.1\r\n\r\n")
	n.asks(proxy, d, call)
	if c.call != d || d.wait != 2*time.Second {
		t.Fatalf("%+v, wait %v", c, d.wait)
	}
	n.hears(proxy, d, []byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{"))
	if c.call != d {
		t.Error("a half answer ends the call")
	}
	n.hears(proxy, d, []byte("\"\"}"))
	if c.call != nil || !c.failed.IsZero() {
		t.Errorf("answered: %+v", c)
	}
	n.ends(proxy, d)
	if !c.failed.IsZero() {
		t.Error("an idle connection that ends passes for a call that failed")
	}
	n.asks(proxy, d, call)
	n.hears(proxy, d, []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	if c.failed.IsZero() {
		t.Error("503 is no failure")
	}
	n.asks(proxy, d, call)
	n.hears(proxy, d, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	n.asks(proxy, d, call)
	n.ends(proxy, d)
	if c.failed.IsZero() {
		t.Error("a call that was given up is no failure")
	}
}

// Open watches fall silent while discovery answers all other calls: the proxies notice and ask anew before what they missed counts
// as told.
func TestWatchesFallSilent(t *testing.T) {
	s := must(t, `
[run]
length = 25s
warm_up = 5s
[relays]
drain_notice = 0s..100ms
[trouble silence]
kind = watches-silent
at = 2s
again = 2
after = 7s
[trouble drains]
kind = drain
at = 2100ms
count = 6
every = 2s
for = 8s
away = 1s
`)
	if r := play(t, s, 6); r.Counters.WatchesFailed < 6 || r.Clients.Moved == 0 {
		t.Errorf("%d calls failed, %d clients moved", r.Counters.WatchesFailed, r.Clients.Moved)
	}
}

// A discovery that is asked too much fails calls by its queue: a part with 503, the others with a reset.
func TestDiscoveryFailsCallsByItsQueue(t *testing.T) {
	s := must(t, `
[run]
length = 20s
warm_up = 5s
[proxies]
count = 24
[discovery]
call = 195ms
timeout = 2s
resets = 0.5
[rules]
news_within = 0s
`)
	r := play(t, s, 1)
	busy, failed := r.Counters.WatchesBusy, r.Counters.WatchesFailed
	t.Logf("%d calls, %d failed, %d with 503", r.Counters.Watches, failed, busy)
	if busy < 5 || failed-busy < 5 || failed >= r.Counters.Watches {
		t.Errorf("%d calls, %d failed, %d with 503", r.Counters.Watches, failed, busy)
	}
}

// A server that drains counts as told by the clock, until it runs anew.
func TestClockUntilTheServerReturns(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{} })
	n := newNewsClock(w, &Rules{NewsWithin: 6 * time.Second}, &Permissions{AskWithin: 10 * time.Second})
	proxy := at(0, atProxy, 1)
	n.begins(proxy)
	n.look(proxy, true)
	n.changed(fleet.Entry{Host: "s", Health: fleet.Draining})
	n.ends(proxy, &discoveryConn{})
	for _, tt := range []struct {
		after time.Duration
		told  bool
	}{{5900 * time.Millisecond, false}, {200 * time.Millisecond, true}} {
		if err := w.Run(tt.after); err != nil {
			t.Fatal(err)
		}
		n.look(proxy, true)
		if since, told := n.goneSince(proxy, "s"); told != tt.told || told && w.Now().Sub(since) != 100*time.Millisecond {
			t.Errorf("%v: told %v since %v", w.Elapsed(), told, since)
		}
	}
	n.returns("s")
	n.look(proxy, true)
	if _, told := n.goneSince(proxy, "s"); told {
		t.Error("it runs anew, and counts as gone")
	}
}
