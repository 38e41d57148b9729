package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/routes"
)

// newStaleListTestBed returns a bed whose list lease has expired because discovery does not answer.
func newStaleListTestBed(t *testing.T, targets int, probes bool) (*testBed, *fakeDiscovery) {
	t.Helper()
	b := newTestBed(t, targets, probes)
	d := newFakeDiscovery(b)
	b.watchAt(d.listener.Addr())
	d.awaitCall(0)
	for begin := b.now(); b.since(begin) <= routes.ListLease; {
		b.settle()
	}
	return b, d
}

// answerNext answers the open call, or else the next one.
func (d *fakeDiscovery) answerNext(body string) {
	d.b.t.Helper()
	n := len(d.calls)
	if last := d.calls[n-1]; !last.eof && !last.reset && strings.HasSuffix(string(last.received), "\r\n\r\n") {
		n--
	}
	d.awaitCall(n)
	d.answer(n, body)
}

// auditWithoutSockets runs the audit except for sockets, since the test has sockets of its own on
// the same loop.
func (b *testBed) auditWithoutSockets() {
	b.t.Helper()
	out, err := b.frontend.auditExchanges()
	if err == nil {
		err = b.frontend.auditCounts(out)
	}
	if err != nil {
		b.t.Error(err)
	}
}

// stop stops the watch and closes the connections of discovery.
func (d *fakeDiscovery) stop() {
	d.b.engine.watch.Stop()
	d.close()
}

// An attempt whose list may be 6 s behind waits for the next list and goes to a server on that
// list.
func TestAttemptWaitsForAList(t *testing.T) {
	b, d := newStaleListTestBed(t, 2, false)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=60000\r\n")
	b.settle()
	if b.requestConn("a") != nil || b.counters.ListWaits != 1 {
		t.Errorf("sent with an expired list, or not counted: %d attempts waited, want 1", b.counters.ListWaits)
	}
	b.auditWithoutSockets()
	d.answerNext(fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s1","dial":%q,"health":"SERVING"}]}`, b.servers[1].Addr()))
	b.waitFor("the attempt", func() bool { return b.requestConn("a") != nil })
	if x := b.engine.sortedExchanges()[0]; x.target.ID != "s1" {
		t.Errorf("sent to %s, which is not on the list any more", x.target.ID)
	}
	d.stop()
	b.checkReleased(c)
}

// answerProbes answers the probes that have arrived at the servers.
func (b *testBed) answerProbes() {
	for _, h := range b.targetConns {
		if strings.HasPrefix(string(h.received), "STATS") {
			h.received = nil
			h.write(b.t, "PONG x0=0.1\r\n")
		}
	}
}

// newProvenTestBed returns a bed with an expired list lease, of which one server accepted a request
// shortly before the lease expired.
func newProvenTestBed(t *testing.T, targets int) (b *testBed, d *fakeDiscovery, standing *testConn) {
	t.Helper()
	b = newTestBed(t, targets, false)
	// lists are not pushed, as for the watch of the bed
	b.engine.proofs.validity = proofValidity(b.engine.settings.DrainGrace, false)
	d = newFakeDiscovery(b)
	b.watchAt(d.listener.Addr())
	d.awaitCall(0)
	begin := b.now()
	for b.since(begin) <= routes.ListLease-time.Second {
		b.settle()
	}
	standing, _ = b.establish("before")
	for b.since(begin) <= routes.ListLease {
		b.settle()
	}
	return b, d, standing
}

// While discovery does not answer, nothing is sent to a server that has not accepted a request
// recently: an answer to a probe does not prove that it is not draining. The request is refused in
// time.
func TestAttemptWithoutAList(t *testing.T) {
	for _, probe := range []string{"none", "answered", "unanswered"} {
		t.Run(probe, func(t *testing.T) {
			b, d := newStaleListTestBed(t, 1, probe != "none")
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			begin := b.now()
			for b.since(begin) < 2100*time.Millisecond {
				b.settle()
				if probe == "answered" {
					b.answerProbes()
				}
			}
			if b.requestConn("a") != nil || !strings.HasPrefix(string(c.received), "BUSY") {
				t.Errorf("sent: %v, the client got %q", b.requestConn("a") != nil, c.received)
			}
			if b.counters.ListWaits != 1 {
				t.Errorf("%d attempts waited", b.counters.ListWaits)
			}
			d.stop()
			b.checkReleased(c)
		})
	}
}

// A server that has just accepted a request is sent the next ones at once while that proof is
// valid, and each accepted request renews the proof. The module places requests only at such
// servers.
func TestAttemptsAtAProvenServer(t *testing.T) {
	b, d, standing := newProvenTestBed(t, 4)
	ends := []*testConn{standing}
	for i := range 4 {
		c := b.dialClient()
		id := fmt.Sprint("a", i)
		c.write(t, "OPEN "+id+" k c=c,d=2000\r\n")
		begin := b.now()
		b.waitFor("the attempt", func() bool { return b.requestConn(id) != nil })
		if took := b.since(begin); took > 50*time.Millisecond {
			t.Errorf("sent after %v", took)
		}
		b.requestConn(id).write(t, "UP r\r\n")
		b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
		ends = append(ends, c)
		for begin = b.now(); b.since(begin) < 4*time.Second; {
			b.settle()
		}
	}
	if b.counters.ListWaits != 0 || b.counters.ListsExpired != 0 {
		t.Errorf("%d attempts waited, %d were not sent", b.counters.ListWaits, b.counters.ListsExpired)
	}
	for begin := b.now(); b.since(begin) < b.engine.proofs.validity; {
		b.settle()
	}
	c := b.dialClient()
	c.write(t, "OPEN late k c=c,d=2000\r\n")
	b.waitFor("a refusal", func() bool { return strings.HasPrefix(string(c.received), "BUSY") })
	if b.requestConn("late") != nil {
		t.Error("sent with an expired proof")
	}
	d.stop()
	b.checkReleased(append(ends, c)...)
}

// A proof dates from the last clock reading before the request was written, not from the answer:
// the server may have begun to drain after that, and a process that was stalled reads the answer
// late.
func TestProofDatesFromTheWrite(t *testing.T) {
	b, d := newStaleListTestBed(t, 1, false)
	b.engine.proofs.validity = proofValidity(b.engine.settings.DrainGrace, false)
	d.answerNext(`{"seq":9,"whole":false,"hosts":[]}`)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=60000\r\n")
	b.waitFor("the attempt", func() bool { return b.requestConn("a") != nil })
	written := b.now()
	for b.since(written) < 150*time.Millisecond {
		b.settle()
	}
	b.requestConn("a").write(t, "UP r\r\n")
	b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
	life := b.engine.proofs.validity
	if !b.engine.proofs.valid("s0", written.Add(life-10*time.Millisecond)) || b.engine.proofs.valid("s0", written.Add(life)) {
		t.Error("the proof does not expire its validity after the write")
	}
	d.stop()
	b.checkReleased(c)
}

// Where lists are pushed, a drain counts as known at once, whether or not it has arrived: a request
// that a server accepted proves nothing for the next one while no watch is open.
func TestNothingIsProvenWhereListsArePushed(t *testing.T) {
	for _, tt := range []struct {
		grace  time.Duration
		pushed bool
		life   time.Duration
	}{{500 * time.Millisecond, true, 0}, {time.Second, true, 0}, {500 * time.Millisecond, false, 5350 * time.Millisecond}} {
		if life := proofValidity(tt.grace, tt.pushed); life != tt.life {
			t.Errorf("%+v: %v", tt, life)
		}
	}
}

// A server that leaves the list loses its proof and has none when it returns.
func TestServerThatLeavesLosesItsProof(t *testing.T) {
	for _, state := range []string{"DRAINING", "DELETED"} {
		b, d, standing := newProvenTestBed(t, 1)
		d.answerNext(fmt.Sprintf(`{"seq":9,"whole":false,"hosts":[{"host":"s0","dial":%q,"health":%q}]}`, b.servers[0].Addr(), state))
		b.settle()
		if b.engine.proofs.valid("s0", b.now()) {
			t.Errorf("%s: the proof is still valid", state)
		}
		d.stop()
		b.checkReleased(standing)
	}
}

// Once a call has failed since the lease expired, a request does not wait for the next call. The
// next answer ends that.
func TestAttemptDoesNotWaitAfterAFailedCall(t *testing.T) {
	b, d := newStaleListTestBed(t, 1, true)
	failed := b.counters.WatchesFailed
	b.waitFor("a failure", func() bool { return b.counters.WatchesFailed > failed })
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=2000\r\n")
	b.waitFor("a refusal", func() bool {
		b.answerProbes()
		return strings.HasPrefix(string(c.received), "BUSY")
	})
	if b.requestConn("a") != nil || b.counters.ListWaits != 0 {
		t.Errorf("sent: %v, %d waited", b.requestConn("a") != nil, b.counters.ListWaits)
	}
	d.answerNext(`{"seq":9,"whole":false,"hosts":[]}`)
	if b.engine.listWait.failed {
		t.Error("the next request would still not wait")
	}
	d.stop()
	b.checkReleased(c)
}

// A client that leaves or is answered while its attempt waits for a list leaves nothing behind: the
// module's attempt ends, and nothing is sent when the list arrives.
func TestRequestEndsWhileItsAttemptWaits(t *testing.T) {
	for _, end := range []string{"left", "stopped"} {
		t.Run(end, func(t *testing.T) {
			b, d := newStaleListTestBed(t, 1, false)
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=60000\r\n")
			b.settle()
			if end == "left" {
				c.sock.Reset()
				c.reset = true
			} else {
				b.engine.Shutdown(0)
			}
			b.settle()
			if n := b.engine.module.ConnectionCount("s0"); n != 0 || len(b.engine.exchanges) != 0 || len(b.engine.listWait.held) != 0 {
				t.Errorf("the module counts %d attempts, %d exchanges and %d attempts remain", n, len(b.engine.exchanges), len(b.engine.listWait.held))
			}
			b.auditWithoutSockets()
			d.answerNext(fmt.Sprintf(`{"seq":9,"whole":true,"hosts":[{"host":"s0","dial":%q,"health":"SERVING"}]}`, b.servers[0].Addr()))
			if b.settle(); b.requestConn("a") != nil || b.counters.ListWaits != 1 {
				t.Errorf("sent for a request that has ended, or not counted: %d attempts waited, want 1", b.counters.ListWaits)
			}
			if end == "stopped" && string(c.received) != "BUSY\r\n" {
				t.Errorf("the client got %q", c.received)
			}
			d.stop()
			b.checkReleased(c)
		})
	}
}
