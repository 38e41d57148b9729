package lab

import (
	"testing"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/vnet"
)

// The time at which a change is deemed known depends on the calls that a proxy has made. All times
// are in seconds since the start.
func TestChangesDeemedKnown(t *testing.T) {
	second := func(s float64) time.Time { return time.Unix(1e9, 0).Add(time.Duration(s * float64(time.Second))) }
	n := &changeClock{newsWithin: 6 * time.Second, askWithin: 10 * time.Second}
	watch := &discoveryConn{calledAt: second(8), wait: 2 * time.Second}
	long := &discoveryConn{calledAt: second(8), wait: 20 * time.Second}
	for _, tt := range []struct {
		name   string
		caller discoveryClient
		at     float64 // 0: no time limit applies
	}{
		{"last call answered", discoveryClient{reachableSince: second(1), lastAnswer: second(9)}, 20},
		{"last call answered, discovery unreachable since", discoveryClient{reachableSince: second(12), lastAnswer: second(9)}, 22},
		{"last call failed", discoveryClient{reachableSince: second(1), lastAnswer: second(2), failedSince: second(11)}, 16},
		{"last call failed after the change was due", discoveryClient{reachableSince: second(1), lastAnswer: second(9), failedSince: second(18)}, 18},
		{"last call failed, discovery unreachable since", discoveryClient{reachableSince: second(14), lastAnswer: second(2), failedSince: second(11)}, 20},
		{"a watch is open", discoveryClient{reachableSince: second(1), lastAnswer: second(8), currentCall: watch}, 0},
		{"a watch is open after a failure", discoveryClient{reachableSince: second(1), failedSince: second(7), currentCall: watch}, 16},
		{"a watch fell silent", discoveryClient{reachableSince: second(1), lastAnswer: second(8), currentCall: watch, silentSince: second(9)}, 15},
		{"a watch with a long wait fell silent", discoveryClient{reachableSince: second(1), lastAnswer: second(8), currentCall: long, silentSince: second(9)}, 30},
	} {
		at, ok := tt.caller.knownAt(second(10), n)
		if ok != (tt.at > 0) || ok && !at.Equal(second(tt.at)) {
			t.Errorf("%s: %v s, %v, want %v s", tt.name, at.Sub(second(0)).Seconds(), ok, tt.at)
		}
	}
}

// The clock distinguishes answered calls from failed ones by the bytes alone.
func TestCallsRecognisedFromBytes(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{} })
	n := newChangeClock(w, &Rules{NewsWithin: 6 * time.Second}, &Permissions{AskWithin: 10 * time.Second})
	proxy := machineAddr(0, addrProxy, 1)
	n.proxyStarted(proxy)
	c, d := n.clients[proxy], &discoveryConn{}
	call := []byte("GET /registry/instances?index=4&wait=2000 HTTP/1.1\r\n\r\n")
	n.callWritten(proxy, d, call)
	if c.currentCall != d || d.wait != 2*time.Second {
		t.Fatalf("%+v, wait %v", c, d.wait)
	}
	n.answerArrived(proxy, d, []byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{"))
	if c.currentCall != d {
		t.Error("a partial answer ends the call")
	}
	n.answerArrived(proxy, d, []byte("\"\"}"))
	if c.currentCall != nil || !c.failedSince.IsZero() {
		t.Errorf("answered: %+v", c)
	}
	n.connectionEnded(proxy, d)
	if !c.failedSince.IsZero() {
		t.Error("the end of an idle connection counts as a failed call")
	}
	n.callWritten(proxy, d, call)
	n.answerArrived(proxy, d, []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	if c.failedSince.IsZero() {
		t.Error("a call answered with 503 does not count as failed")
	}
	n.callWritten(proxy, d, call)
	n.answerArrived(proxy, d, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	n.callWritten(proxy, d, call)
	n.connectionEnded(proxy, d)
	if c.failedSince.IsZero() {
		t.Error("an abandoned call does not count as failed")
	}
}

// When open watches fall silent while discovery answers all other calls, the proxies notice and ask
// anew before the changes missed are deemed known.
func TestWatchesFallSilent(t *testing.T) {
	s := mustParse(t, `
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

// A discovery that gets too many calls fails those that its queue has no room for: a part with 503,
// the others with a reset.
func TestDiscoveryQueueFailsCalls(t *testing.T) {
	s := mustParse(t, `
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

// A drain is deemed known after the time limit, until the server runs again.
func TestDrainKnownUntilServerRestarts(t *testing.T) {
	w := vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{} })
	n := newChangeClock(w, &Rules{NewsWithin: 6 * time.Second}, &Permissions{AskWithin: 10 * time.Second})
	proxy := machineAddr(0, addrProxy, 1)
	n.proxyStarted(proxy)
	n.update(proxy, true)
	n.listChanged(fleet.Entry{Host: "s", Health: fleet.Draining})
	n.connectionEnded(proxy, &discoveryConn{})
	for _, tt := range []struct {
		after time.Duration
		told  bool
	}{{5900 * time.Millisecond, false}, {200 * time.Millisecond, true}} {
		if err := w.Run(tt.after); err != nil {
			t.Fatal(err)
		}
		n.update(proxy, true)
		if since, told := n.unavailableSince(proxy, "s"); told != tt.told || told && w.Now().Sub(since) != 100*time.Millisecond {
			t.Errorf("%v: told %v since %v", w.Elapsed(), told, since)
		}
	}
	n.serverRestarted("s")
	n.update(proxy, true)
	if _, told := n.unavailableSince(proxy, "s"); told {
		t.Error("the server runs again, but is still deemed unavailable")
	}
}
