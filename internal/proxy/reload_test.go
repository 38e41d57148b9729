package proxy

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// fakeDiscovery is an address at which the test answers the calls of a watch itself.
type fakeDiscovery struct {
	b        *testBed
	listener *poll.Listener
	calls    []*testConn
}

func newFakeDiscovery(b *testBed) *fakeDiscovery {
	b.t.Helper()
	d := &fakeDiscovery{b: b}
	var err error
	d.listener, err = b.loop.Listen(b.local, func(s *poll.Socket, _ bool) poll.Handler {
		e := &testConn{sock: s}
		d.calls = append(d.calls, e)
		return e
	})
	if err != nil {
		b.t.Fatal(err)
	}
	return d
}

// awaitCall waits for a call on the n-th connection, counted from 0, and returns its first line.
func (d *fakeDiscovery) awaitCall(n int) string {
	d.b.t.Helper()
	d.b.waitFor("a call", func() bool {
		return len(d.calls) > n && bytes.Contains(d.calls[n].received, []byte("\r\n\r\n"))
	})
	first, _, _ := strings.Cut(string(d.calls[n].received), "\r\n")
	d.calls[n].received = nil
	return first
}

func (d *fakeDiscovery) answer(n int, body string) {
	d.b.t.Helper()
	d.calls[n].write(d.b.t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	d.b.settle()
}

// close closes the listener and all its connections.
func (d *fakeDiscovery) close() {
	d.listener.Close()
	for _, c := range d.calls {
		c.sock.Close()
	}
}

// watchAt replaces the engine's watch by one at the given address.
func (b *testBed) watchAt(at netip.AddrPort) {
	b.engine.watch = routes.NewWatch(b.watchConfig(at))
	b.engine.watch.Start()
}

// A reloaded configuration names another address of discovery. The new address is asked at once,
// for the whole list, and answers from the old address, even one that has arrived in part, are
// ignored. Established connections go on.
func TestReload(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, target := b.establish("a")
	first, second, third := newFakeDiscovery(b), newFakeDiscovery(b), newFakeDiscovery(b)
	b.watchAt(first.listener.Addr())
	if got := first.awaitCall(0); !strings.HasPrefix(got, "GET /registry/instances?index=7&") {
		t.Fatalf("discovery got %q", got)
	}
	gone := `{"seq":8,"whole":false,"hosts":[{"host":"s0","health":"DELETED"}]}`
	first.calls[0].write(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(gone), gone[:20]))
	b.settle()
	first.calls[0].write(t, gone[20:]) // unread in the socket when the address changes
	b.engine.SetDiscovery(second.listener.Addr())
	b.engine.SetDiscovery(third.listener.Addr()) // two changes in a row: the last one applies
	if got := third.awaitCall(0); got != "GET /registry/instances HTTP/1.1" {
		t.Errorf("discovery got %q", got)
	}
	if b.engine.table.Find("s0") == nil {
		t.Error("an answer from the old address was applied")
	}
	b.waitFor("the old connections closed", func() bool {
		return (first.calls[0].eof || first.calls[0].reset) && (len(second.calls) == 0 || second.calls[0].eof || second.calls[0].reset)
	})
	third.answer(0, fmt.Sprintf(`{"seq":3,"whole":true,"hosts":[{"host":"s0","dial":%q,"health":"SERVING"}]}`, b.servers[0].Addr()))
	if got := third.awaitCall(0); !strings.HasPrefix(got, "GET /registry/instances?index=3&") {
		t.Errorf("after the list, discovery got %q, want index=3", got)
	}
	b.engine.SetDiscovery(third.listener.Addr()) // the same address: the call in progress goes on
	client.write(t, "reading\r\n")
	target.write(t, "fine\r\n")
	b.waitFor("lines both ways", func() bool { return string(client.received) == "fine\r\n" && string(target.received) == "reading\r\n" })
	if len(third.calls) != 1 || b.counters.Standing != 1 || b.counters.Reloads != 3 {
		t.Errorf("%d connections to the last address, want 1; counters: %+v", len(third.calls), b.counters)
	}
	b.engine.watch.Stop()
	for _, d := range []*fakeDiscovery{first, second, third} {
		d.close()
	}
	b.checkReleased(client)
}

// A new address of discovery that is down at first is tried again soon, however long the old one
// had failed before: its changes count as told 4 s after the reload. The same holds in a planned
// stop.
func TestReloadWithDiscoveryDown(t *testing.T) {
	b := newTestBed(t, 1, false)
	d := newFakeDiscovery(b)
	down := newFakeDiscovery(b)
	addr := down.listener.Addr()
	down.listener.Close()
	b.watchAt(addr)
	b.waitFor("failures", func() bool { return b.counters.WatchesFailed >= 3 })
	b.frontend.settings.MaxWaitByClass = []time.Duration{3 * time.Second}
	b.frontend.Drain(func() {})
	free := d.listener.Addr()
	d.listener.Close()
	begin := b.now()
	b.engine.SetDiscovery(free)
	failed := b.counters.WatchesFailed
	b.waitFor("retries at the new address", func() bool { return b.counters.WatchesFailed >= failed+5 })
	// Pauses that grow, or that continue those of the old address, would take over 2.9 s.
	if took := b.since(begin); took > 2700*time.Millisecond {
		t.Errorf("5 tries took %v, want at most 2.7 s", took)
	}
	var err error
	if d.listener, err = b.loop.Listen(free, func(s *poll.Socket, _ bool) poll.Handler {
		e := &testConn{sock: s}
		d.calls = append(d.calls, e)
		return e
	}); err != nil {
		t.Fatal(err)
	}
	if got := d.awaitCall(0); got != "GET /registry/instances HTTP/1.1" {
		t.Errorf("discovery got %q", got)
	}
	b.engine.watch.Stop()
}

// A call to discovery that gets no answer while its connection stays open is replaced soon: targets
// that begin to drain meanwhile would be noticed late, and would stop with clients connected.
func TestSilentWatchIsReplacedSoon(t *testing.T) {
	b := newTestBed(t, 1, false)
	d := newFakeDiscovery(b)
	b.watchAt(d.listener.Addr())
	d.awaitCall(0)
	d.answer(0, `{"seq":8,"whole":false,"hosts":[]}`)
	var wait time.Duration
	if ms, err := strconv.Atoi(between(d.awaitCall(0), "GET /registry/instances?index=8&wait=", " HTTP/1.1")); err != nil {
		t.Fatal(err)
	} else {
		wait = time.Duration(ms) * time.Millisecond
	}
	begin := b.now()
	// The short wait has discovery answer nearly at once, with whatever was missed.
	if got := d.awaitCall(1); got != "GET /registry/instances?index=8&wait=50 HTTP/1.1" {
		t.Errorf("discovery got %q", got)
	}
	// Two silent calls and two connections that are established a second late fit in between that
	// and the time from which the missed changes count as told.
	if took := b.since(begin); took > wait+850*time.Millisecond || b.counters.WatchesFailed != 1 {
		t.Errorf("asked again after %v, want at most %v; %d failures, want 1", took, wait+850*time.Millisecond, b.counters.WatchesFailed)
	}
	b.engine.watch.Stop()
	d.close()
}

// A watch fails twice in a row, in any way, and connections take up to a second to be established.
// The next list must still be there before the missed changes count as told (6 s after the first
// silence) and new work may no longer be sent (0.5 s more).
//
// After an invalid answer, the next call asks for the whole list: another process may have
// answered, whose versions need not continue the known ones. After silence and after a refusal,
// which a queue can cause for any call, it asks with the known version, which costs discovery one
// call in place of two. Its answer shows if the version went back, see TestDecreasingListVersions.
func TestWatchFaults(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n"
	for name, fault := range map[string]func(c *testConn){
		"silence":                 func(*testConn) {},
		"only headers":            func(c *testConn) { c.write(t, head) },
		"half a body":             func(c *testConn) { c.write(t, head+`{"seq":9,"whole":true,`) },
		"half a body and a reset": func(c *testConn) { c.write(t, head+`{"seq":9,`); c.reset = true; c.sock.Reset() },
		"half a body and the end": func(c *testConn) { c.write(t, head+`{"seq":9,`); c.sock.CloseWrite() },
		"a reset":                 func(c *testConn) { c.reset = true; c.sock.Reset() },
		"refused":                 func(c *testConn) { c.write(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"not HTTP":                func(c *testConn) { c.write(t, "HELLO\r\n\r\n") },
		"no list":                 func(c *testConn) { c.write(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]") },
		"a host without id":       func(c *testConn) { c.write(t, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"+`{"hosts":[{}]}`) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t, 1, false)
			d := newFakeDiscovery(b)
			b.watchAt(d.listener.Addr())
			d.awaitCall(0)
			b.host.DelayConnects(1, time.Second)
			begin := b.now()
			for i := range 2 {
				fault(d.calls[i])
				want := "GET /registry/instances HTTP/1.1"
				if name == "silence" || name == "refused" {
					want = "GET /registry/instances?index=7&wait=50 HTTP/1.1"
				}
				if got := d.awaitCall(i + 1); got != want {
					t.Errorf("discovery got %q", got)
				}
			}
			// The list has an older version and is indented.
			d.answer(2, "{\n  \"seq\": 3,\n  \"whole\": true,\n  \"hosts\": []\n}")
			b.waitFor("the list", func() bool { return b.engine.table.Find("s0") == nil })
			if took := b.since(begin); took > 6500*time.Millisecond || b.counters.WatchesFailed != 2 {
				t.Errorf("the list took %v, want at most 6.5 s; %d failures, want 2", took, b.counters.WatchesFailed)
			}
			b.engine.watch.Stop()
			d.close()
		})
	}
}

// Discovery answers with a lower version than the known one, as another process of it may do: the
// next call asks for the whole list.
func TestDecreasingListVersions(t *testing.T) {
	b := newTestBed(t, 1, false)
	d := newFakeDiscovery(b)
	b.watchAt(d.listener.Addr())
	d.awaitCall(0)
	d.answer(0, `{"seq":3,"whole":false,"hosts":[]}`)
	if got := d.awaitCall(1); got != "GET /registry/instances HTTP/1.1" {
		t.Errorf("discovery got %q", got)
	}
	d.answer(1, `{"seq":3,"whole":true,"hosts":[]}`)
	b.waitFor("the list", func() bool { return b.engine.table.Find("s0") == nil })
	b.engine.watch.Stop()
	d.close()
}

// between returns the part of text between the strings before and after; empty if before is
// missing.
func between(text, before, after string) string {
	_, text, _ = strings.Cut(text, before)
	text, _, _ = strings.Cut(text, after)
	return text
}
