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

// discovery is one address at which a test answers the watch itself.
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

// asked waits for a call on the n-th connection and returns its first line.
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

// close takes the address away with all its connections.
func (d *fakeDiscovery) close() {
	d.listener.Close()
	for _, c := range d.calls {
		c.sock.Close()
	}
}

// watchAt has the bed's engine watch an address as after its start.
func (b *testBed) watchAt(at netip.AddrPort) {
	b.engine.watch = routes.NewWatch(b.watchConfig(at))
	b.engine.watch.Start()
}

// A replaced configuration names another address of discovery: it is asked at once, for the whole list, and
// what the old one still says, even half an answer, counts no more. Standing connections go on.
func TestReload(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, target := b.establish("a")
	first, second, third := newFakeDiscovery(b), newFakeDiscovery(b), newFakeDiscovery(b)
	b.watchAt(first.listener.Addr())
	if got := first.awaitCall(0); !strings.HasPrefix(got, "GET /registry/instances?index=7&") {
		t.Fatalf("asked %q", got)
	}
	gone := `{"seq":8,"whole":false,"hosts":[{"host":"s0","health":"DELETED"}]}`
	first.calls[0].write(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(gone), gone[:20]))
	b.settle()
	first.calls[0].write(t, gone[20:]) // it is in the socket when the address changes
	b.engine.SetDiscovery(second.listener.Addr())
	b.engine.SetDiscovery(third.listener.Addr()) // twice in a row: the last one counts
	if got := third.awaitCall(0); got != "GET /registry/instances HTTP/1.1" {
		t.Errorf("asked %q", got)
	}
	if b.engine.table.Find("s0") == nil {
		t.Error("an answer from the old address counted")
	}
	b.waitFor("the old connections closed", func() bool {
		return (first.calls[0].eof || first.calls[0].reset) && (len(second.calls) == 0 || second.calls[0].eof || second.calls[0].reset)
	})
	third.answer(0, fmt.Sprintf(`{"seq":3,"whole":true,"hosts":[{"host":"s0","dial":%q,"health":"SERVING"}]}`, b.servers[0].Addr()))
	if got := third.awaitCall(0); !strings.HasPrefix(got, "GET /registry/instances?index=3&") {
		t.Errorf("then asked %q", got)
	}
	b.engine.SetDiscovery(third.listener.Addr()) // the same again: the watch that is out goes on
	client.write(t, "reading\r\n")
	target.write(t, "fine\r\n")
	b.waitFor("lines both ways", func() bool { return string(client.received) == "fine\r\n" && string(target.received) == "reading\r\n" })
	if len(third.calls) != 1 || b.count.Standing != 1 || b.count.Reloads != 3 {
		t.Errorf("%d connections, %+v", len(third.calls), b.count)
	}
	b.engine.watch.Stop()
	for _, d := range []*fakeDiscovery{first, second, third} {
		d.close()
	}
	b.checkReleased(client)
}

// A new address that is down at first is tried again soon, however long the old one had failed before: its news
// counts as told 4 s after the reload. The same holds in a planned stop.
func TestReloadWithDiscoveryDown(t *testing.T) {
	b := newTestBed(t, 1, false)
	d := newFakeDiscovery(b)
	down := newFakeDiscovery(b)
	addr := down.listener.Addr()
	down.listener.Close()
	b.watchAt(addr)
	b.waitFor("failures", func() bool { return b.count.WatchesFailed >= 3 })
	b.frontend.settings.Waits = []time.Duration{3 * time.Second}
	b.frontend.Drain(func() {})
	free := d.listener.Addr()
	d.listener.Close()
	begin := b.now()
	b.engine.SetDiscovery(free)
	failed := b.count.WatchesFailed
	b.waitFor("retries at the new address", func() bool { return b.count.WatchesFailed >= failed+5 })
	if took := b.since(begin); took > 2700*time.Millisecond { // with pauses that grow, or go on from the old, over 2.9 s
		t.Errorf("5 tries took %v", took)
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
		t.Errorf("asked %q", got)
	}
	b.engine.watch.Stop()
}

// A watch that falls silent, with its connection open, is given up soon: targets that drain in that time are
// told late, and stop with clients on them.
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
	if got := d.awaitCall(1); got != "GET /registry/instances?index=8&wait=50 HTTP/1.1" { // answered nearly at once, whatever is missed
		t.Errorf("asked %q", got)
	}
	// Two silences and two connections that come up a second late fit in between it and the end of the excuse.
	if took := b.since(begin); took > wait+850*time.Millisecond || b.count.WatchesFailed != 1 {
		t.Errorf("asked again after %v, %d failures", took, b.count.WatchesFailed)
	}
	b.engine.watch.Stop()
	d.close()
}

// Whatever goes wrong with a watch, twice in a row and with connections that come up as late as a second, the list of whoever answers
// then is there before what was missed counts as told (6 s after the first silence) and new work may no longer follow (0.5 s more).
// After an answer that was none, the next question asks for the whole list: the versions of another process need not go on from those
// that are known. After silence and after a refusal, which a queue can make of any call, it opens a watch with the known version, which
// costs discovery one call in place of two; a version that goes back is told by its answer, see TestVersionsThatGoBack.
func TestWatchFaults(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n"
	for name, fault := range map[string]func(c *testConn){
		"silence":           func(*testConn) {},
		"only headers":      func(c *testConn) { c.write(t, head) },
		"half a body":       func(c *testConn) { c.write(t, head+`{"seq":9,"whole":true,`) },
		"half and a reset":  func(c *testConn) { c.write(t, head+`{"seq":9,`); c.reset = true; c.sock.Reset() },
		"half and the end":  func(c *testConn) { c.write(t, head+`{"seq":9,`); c.sock.CloseWrite() },
		"a reset":           func(c *testConn) { c.reset = true; c.sock.Reset() },
		"turned away":       func(c *testConn) { c.write(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"something else":    func(c *testConn) { c.write(t, "HELLO\r\n\r\n") },
		"no list":           func(c *testConn) { c.write(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]") },
		"a list without id": func(c *testConn) { c.write(t, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"+`{"hosts":[{}]}`) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t, 1, false)
			d := newFakeDiscovery(b)
			b.watchAt(d.listener.Addr())
			d.awaitCall(0)
			b.host.LateConnects(1, time.Second)
			begin := b.now()
			for i := range 2 {
				fault(d.calls[i])
				want := "GET /registry/instances HTTP/1.1"
				if name == "silence" || name == "turned away" {
					want = "GET /registry/instances?index=7&wait=50 HTTP/1.1"
				}
				if got := d.awaitCall(i + 1); got != want {
					t.Errorf("asked %q", got)
				}
			}
			d.answer(2, "{\n  \"seq\": 3,\n  \"whole\": true,\n  \"hosts\": []\n}") // an older version, and indented
			b.waitFor("the list", func() bool { return b.engine.table.Find("s0") == nil })
			if took := b.since(begin); took > 6500*time.Millisecond || b.count.WatchesFailed != 2 {
				t.Errorf("took %v, %d failures", took, b.count.WatchesFailed)
			}
			b.engine.watch.Stop()
			d.close()
		})
	}
}

// Another process of discovery, whose versions are lower than those that are known, is asked for the whole list.
func TestDecreasingListVersions(t *testing.T) {
	b := newTestBed(t, 1, false)
	d := newFakeDiscovery(b)
	b.watchAt(d.listener.Addr())
	d.awaitCall(0)
	d.answer(0, `{"seq":3,"whole":false,"hosts":[]}`)
	if got := d.awaitCall(1); got != "GET /registry/instances HTTP/1.1" {
		t.Errorf("asked %q", got)
	}
	d.answer(1, `{"seq":3,"whole":true,"hosts":[]}`)
	b.waitFor("the list", func() bool { return b.engine.table.Find("s0") == nil })
	b.engine.watch.Stop()
	d.close()
}

// between is what stands in a text between two others, empty where they are not there.
func between(text, before, after string) string {
	_, text, _ = strings.Cut(text, before)
	text, _, _ = strings.Cut(text, after)
	return text
}
