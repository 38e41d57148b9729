package proxy

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

// The module may hold a request until its time ends, and the final answer must still leave in time.
// With a margin of 20 ms, a process that did not run for 100 ms at that moment left two clients
// without an answer.
func TestAnswerMargin(t *testing.T) {
	b := newTestBed(t, 0, false)
	x, _ := b.engine.addExchange(nil, ClientRequest{Class: "c", Wait: 2 * time.Second})
	if left := x.request.Timeout; left > 1850*time.Millisecond || left < 1500*time.Millisecond {
		t.Errorf("the module may use %v of 2 s, want 1.5 to 1.85 s", left)
	}
	x, _ = b.engine.addExchange(nil, ClientRequest{Class: "c", Wait: 80 * time.Millisecond})
	if left := x.request.Timeout; left < 60*time.Millisecond {
		t.Errorf("the module may use %v of 80 ms, want at least 60 ms", left)
	}
}

// A client whose request no target takes gets exactly one refusal, from the module and not from the
// engine's overdue timer.
func TestUnservedRequestIsRefusedOnce(t *testing.T) {
	b := newTestBed(t, 0, false)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=900\r\n")
	b.waitFor("an answer", func() bool { return c.eof })
	if string(c.received) != "BUSY\r\n" || b.counters.Shed != 1 || b.counters.Overdue != 0 {
		t.Errorf("got %q, want BUSY; counters: %+v", c.received, b.counters)
	}
	b.checkReleased(c)
}

// The first line is forwarded unchanged but for d, which is less than the client's own value.
func TestFirstLine(t *testing.T) {
	b := newTestBed(t, 1, false)
	c := b.dialClient()
	c.write(t, "PING\r\n")
	b.settle()
	c.write(t, "OPEN a k c=c,d=2000,g=7,extra=x\r\n")
	b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
	var ms int
	if _, err := fmt.Sscanf(string(b.requestConn("a").received), "OPEN a k c=c,d=%d,g=7,extra=x\r\n", &ms); err != nil || ms < 1 || ms >= 2000 {
		t.Errorf("the target got %q", b.requestConn("a").received)
	}
	if string(c.received) != "PONG\r\n" {
		t.Errorf("the client got %q, want PONG", c.received)
	}
	b.checkReleased(c)
}

// When a target stops reading, the proxy must not buffer the client's data without bound, and
// nothing is lost once the target reads again. The same holds in the other direction.
func TestBackpressure(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, target := b.establish("a")
	text := strings.Repeat(strings.Repeat("x", 998)+"\r\n", 64)
	for _, way := range []struct {
		from, to *testConn
		link     func() *link
	}{
		{client, target, func() *link { return &b.session().hop.link }},
		{target, client, func() *link { return &b.session().link }},
	} {
		way.to.readPaused = true
		way.to.sock.Want(false, false)
		way.to.received = nil
		sent, full := 0, 0
		for full < 50 {
			n, err := way.from.sock.Write([]byte(text[sent%1000 : sent%1000+1000*60]))
			if err != nil {
				t.Fatal(err)
			}
			if sent += n; n == 0 {
				full++
			}
			b.settle()
			if kept := len(way.link().unsent); kept > maxBacklog+len(b.frontend.scratch) {
				t.Fatalf("%d bytes are buffered, want at most %d", kept, maxBacklog+len(b.frontend.scratch))
			}
		}
		way.to.readPaused = false
		way.to.sock.Want(true, false)
		whole := sent / 1000 * 1000
		b.waitFor("all lines", func() bool { return len(way.to.received) >= whole })
		for i := 0; i+1000 <= len(way.to.received); i += 1000 {
			if string(way.to.received[i:i+1000]) != text[:1000] {
				t.Fatalf("the line at byte %d was changed", i)
			}
		}
		way.from.write(t, text[sent%1000:1000]) // completes the last line
		b.settle()
		way.to.received = nil
	}
	b.checkReleased(client)
}

// session returns the established session; the test has only one.
func (b *testBed) session() *session {
	for _, s := range b.frontend.sessions {
		if s.state == established {
			return s
		}
	}
	b.t.Fatal("no established session")
	return nil
}

// The connections to a machine that vanished stay open and silent: their clients are moved in time.
// A target that sends data on any connection keeps its clients. A check that runs late decides
// nothing, since what arrived meanwhile has to be read first.
func TestSilentTarget(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, target := b.establish("a")
	h := b.session().hop
	client.write(t, "reading 1\r\n")
	b.settle()
	if !h.timer.Armed() || h.pendingSince.IsZero() {
		t.Fatal("no check is scheduled for the client's line")
	}
	target.write(t, "LOAD 5\r\n")
	b.settle()
	now := b.loop.Now()
	for _, tt := range []struct {
		what                              string
		pending, heard, targetHeard, late time.Duration // before now
		silent                            int
	}{
		{"data on this connection", maxSilence, maxSilence / 2, maxSilence / 2, 0, 0},
		{"data on another connection", b.engine.tuning.SilentAfter, maxSilence, 0, 0, 0},
		{"silent for half the limit", b.engine.tuning.SilentAfter / 2, maxSilence, maxSilence, 0, 0},
		{"the check is late", maxSilence, 2 * maxSilence, 2 * maxSilence, 2 * lateCheckTolerance, 0},
		{"silent", b.engine.tuning.SilentAfter, maxSilence, maxSilence, 0, 1},
	} {
		h.pendingSince, h.lastHeard, h.target.lastHeard, h.checkAt = now.Add(-tt.pending), now.Add(-tt.heard), now.Add(-tt.targetHeard), now.Add(-tt.late)
		h.checkSilence()
		if b.counters.Silent != tt.silent {
			t.Fatalf("%s: taken for silent %d times, want %d", tt.what, b.counters.Silent, tt.silent)
		}
	}
	b.waitFor("MOVE", func() bool { return client.eof && string(client.received) == "LOAD 5\r\nMOVE\r\n" })
	if maxSilence+delayNoteInterval+lateCheckTolerance > 7*time.Second {
		t.Error("silence is detected later than the 7 s that the rules allow")
	}
	if b.engine.tuning.SilentAfter+lateCheckTolerance > time.Second {
		t.Error("clients of a machine that vanished are without service for more than 1 s after their line")
	}
	b.checkReleased(client)
}

// The module is told of slow messages at most once a second, and once more when they are fast
// again.
func TestDelayNotes(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, target := b.establish("a")
	h := b.session().hop
	notes := func(took time.Duration) int {
		client.write(t, "reading\r\n")
		b.settle()
		h.pendingSince = b.loop.Now().Add(-took)
		before := len(b.engine.events)
		h.measureDelay()
		n := len(b.engine.events) - before
		b.settle()
		return n
	}
	got := []int{notes(time.Millisecond), notes(30 * time.Millisecond), notes(40 * time.Millisecond), notes(time.Millisecond), notes(time.Millisecond)}
	if fmt.Sprint(got) != "[0 1 0 1 0]" {
		t.Errorf("notes after each message: %v, want [0 1 0 1 0]", got)
	}
	target.write(t, "LOAD 7\r\n")
	b.settle()
	b.checkReleased(client)
}

// No new request may reach a target that discovery reports as draining: a hop that is still
// connecting then is cancelled, and one whose request has been sent goes on.
func TestDrainingTargetCancelsUnsentHops(t *testing.T) {
	b := newTestBed(t, 1, false)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=2000\r\n")
	b.waitFor("the hop", func() bool { return b.counters.Hops == 1 })
	s := func() *session {
		for _, s := range b.frontend.sessions {
			return s
		}
		return nil
	}()
	stop := &routes.List{Seq: 2, Hosts: []*routes.Target{{ID: "s0", Addr: s.hop.target.entry.Addr, Health: routes.Draining}}}
	s.hop.state = hopDialing
	b.engine.handleDiscoveryAnswer(stop, nil)
	if s.hop != nil || b.counters.HopNoConnect != 1 {
		t.Error("a hop that was still connecting was not cancelled")
	}
	b.settle()
	if b.counters.Hops != 1 {
		t.Error("another hop was started at a draining target")
	}
	b.checkReleased(c)
}

// A request that the module sends to a target that stopped meanwhile must not be sent, but the
// module must be told of the attempt's end.
func TestSendToStoppedTarget(t *testing.T) {
	b := newTestBed(t, 1, false)
	c := b.dialClient()
	s := &session{frontend: b.frontend}
	x, _ := b.engine.addExchange(s, ClientRequest{Class: "c", Wait: time.Second})
	b.engine.table.Merge(&routes.List{Hosts: []*routes.Target{{ID: "s0", Health: routes.Deleted}}})
	b.engine.send(x, &action{target: "s0"})
	if n := len(b.engine.events); n != 1 || b.engine.events[0].outcome != balance.NoConnect || b.counters.Hops != 0 {
		t.Errorf("%d events, want 1 with NoConnect; %d hops, want 0", n, b.counters.Hops)
	}
	b.engine.release(x)
	b.checkReleased(c)
}

// The module is told of the end of each of its attempts, also if the client left in the same turn:
// otherwise it would count the attempt as in progress for ever.
func TestSendForClientThatLeft(t *testing.T) {
	b := newTestBed(t, 1, false)
	x, _ := b.engine.Accept(&session{frontend: b.frontend}, ClientRequest{Class: "c", Wait: time.Second})
	x.ClientLeft()
	b.engine.Deliver() // the module learns of both, and asks for a hop in between
	var ends []event
	for _, ev := range b.engine.events {
		if ev.kind == evEnded {
			ends = append(ends, ev)
		}
	}
	if len(ends) != 1 || ends[0].outcome != balance.NotSent || !ends[0].clientSettled || ends[0].attempt != 0 {
		t.Errorf("ends of the attempt: %+v, want one, settled and not sent", ends)
	}
	b.settle()
	if b.counters.Hops != 0 || len(b.engine.exchanges) != 0 || b.counters.Left != 1 {
		t.Errorf("counters: %+v; %d exchanges, want 0", b.counters, len(b.engine.exchanges))
	}
}

// A connection from before the start of the proxy goes to its target, is reported to the module
// once it is established, and is tried again while the target has no room.
func TestAdoptedConnection(t *testing.T) {
	b := newTestBed(t, 2, false)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=5000,at=s1\r\n")
	b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
	b.requestConn("a").write(t, "BUSY\r\n")
	b.targetConns[0].received = nil
	b.waitFor("the next hop", func() bool { return b.requestConn("a") != nil })
	b.requestConn("a").write(t, "UP r\r\n")
	b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
	if b.counters.Hops != 2 || b.counters.Standing != 1 {
		t.Errorf("counters: %+v", b.counters)
	}
	(*host)(b.engine).Move(1) // the module can move it like any other connection
	b.waitFor("MOVE", func() bool { return c.eof })
	b.checkReleased(c)
}

// A line over the length limit ends the connection on which it was sent, and no other.
func TestLongLines(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, _ := b.establish("a")
	other, far := b.establish("b")
	long := strings.Repeat("x", 5000)
	client.write(t, long)
	b.waitFor("the end", func() bool { return client.eof || client.reset })
	opening := b.dialClient()
	opening.write(t, long)
	b.waitFor("ERR", func() bool { return strings.HasPrefix(string(opening.received), "ERR\r\n") })
	far.write(t, "still here\r\n")
	b.waitFor("a line", func() bool { return string(other.received) == "still here\r\n" })
	if b.counters.Malformed != 2 {
		t.Errorf("%d malformed clients counted, want 2", b.counters.Malformed)
	}
	b.checkReleased(client, other, opening)
}

// A client that arrives when no descriptor is free still gets an answer.
func TestRefusalWithoutDescriptors(t *testing.T) {
	b := newTestBed(t, 1, false)
	b.frontend.maxDescriptors = 1
	c := b.dialClient()
	b.waitFor("BUSY", func() bool { return strings.HasPrefix(string(c.received), "BUSY\r\n") })
	if b.counters.Full != 1 || len(b.frontend.sessions) != 0 {
		t.Errorf("counters: %+v; %d sessions, want 0", b.counters, len(b.frontend.sessions))
	}
	b.frontend.maxDescriptors = 0
	c2, _ := b.establish("a")
	b.checkReleased(c, c2)
}

// A probe's connection is reused for the next probe, and opened anew if the target closed it while
// it was idle. An absent figure in a report does not count as zero. A probe that gets no answer
// times out, and its connection is closed.
func TestProbes(t *testing.T) {
	b := newTestBed(t, 1, true)
	b.manualDelivery = true
	to := b.engine.table.Find("s0")
	var got []event
	answered := func() bool {
		for _, ev := range b.engine.events {
			if ev.kind == evProbed {
				got = append(got, ev)
			}
		}
		b.engine.events = nil
		b.settle()
		return len(got) > 0
	}
	b.frontend.Probe(to)
	b.waitFor("the first probe", func() bool { return len(b.targetConns) == 1 && string(b.targetConns[0].received) == "STATS\r\n" })
	b.targetConns[0].write(t, "PONG cpu=0.25,x0=\r\n")
	for range 50 {
		answered()
	}
	if len(got) != 1 || got[0].report.CPU != 0.25 || got[0].report.Load == got[0].report.Load || got[0].outcome != balance.OK {
		t.Fatalf("probe results: %+v", got)
	}
	got = nil
	b.frontend.Probe(to)
	for range 50 {
		answered()
	}
	if len(b.targetConns) != 1 || string(b.targetConns[0].received) != "STATS\r\nSTATS\r\n" {
		t.Fatalf("%d connections; the first got %q", len(b.targetConns), b.targetConns[0].received)
	}
	b.targetConns[0].sock.Close() // as if idle for too long, just when the probe was sent
	for len(b.targetConns) < 2 || string(b.targetConns[1].received) != "STATS\r\n" {
		answered()
	}
	b.targetConns[1].write(t, "ERR\r\n")
	for !answered() {
	}
	if got[0].outcome != balance.Error || b.counters.ProbesRefused != 1 {
		t.Errorf("probe result: %+v; %d refused, want 1", got[0], b.counters.ProbesRefused)
	}
	got = nil
	b.frontend.Probe(to)
	for begin := b.now(); !answered(); { // the target stays silent: the probe times out
		if b.since(begin) > time.Second {
			t.Fatal("the probe did not time out within 1 s")
		}
	}
	if b.counters.ProbesFailed != 2 || b.counters.ProbesRefused != 1 {
		t.Errorf("%d probes failed, want 2; %d of them refused, want 1", b.counters.ProbesFailed, b.counters.ProbesRefused)
	}
	if got[0].outcome != balance.TimedOut || b.frontend.targetStates["s0"].link.sock != nil {
		t.Errorf("probe result: %+v", got[0])
	}
	// The state of a deleted target is released, and a probe in progress still gets a result.
	got = nil
	b.frontend.Probe(to)
	b.engine.handleDiscoveryAnswer(&routes.List{Hosts: []*routes.Target{{ID: "s0", Health: routes.Deleted}}}, nil)
	if answered(); len(got) != 1 || got[0].outcome != balance.NoConnect || len(b.frontend.targetStates) != 0 {
		t.Errorf("probe results: %+v; %d target states, want 0", got, len(b.frontend.targetStates))
	}
}

// A target that refuses connections costs a hop that never ran; the request goes to another target.
func TestRefusedTarget(t *testing.T) {
	b := newTestBed(t, 2, false)
	b.servers[0].Close()
	for i := range 6 {
		c, _ := b.establish(fmt.Sprint("c", i))
		defer c.sock.Close()
	}
	if b.counters.Up != 6 || b.counters.Hops != 6+b.counters.HopNoConnect {
		t.Errorf("counters: %+v", b.counters)
	}
}

// In a planned stop every client with an established connection is sent MOVE, spread over the
// available time; clients that wait are answered, and so are those that connect late.
func TestDrain(t *testing.T) {
	b := newTestBed(t, 1, false)
	var clients []*testConn
	for i := range 8 {
		c, _ := b.establish(fmt.Sprint("c", i))
		clients = append(clients, c)
	}
	waits := b.dialClient()
	waits.write(t, "OPEN w k c=c,d=30000\r\n")
	b.settle()
	// SIGKILL after 2.1 s.
	b.frontend.settings.MaxWaitByClass = []time.Duration{1400 * time.Millisecond}
	begin, done := b.now(), false
	b.frontend.Drain(func() { done = true })
	most, before := 0, 0
	var late *testConn
	for !done {
		b.settle()
		moved := 0
		for _, c := range clients {
			if string(c.received) == "MOVE\r\n" {
				moved++
			}
		}
		most, before = max(most, moved-before), moved
		if late == nil && b.since(begin) > 300*time.Millisecond {
			late = b.dialClient()
			late.write(t, "OPEN l k c=c,d=30000\r\n")
		}
		if b.since(begin) > 2100*time.Millisecond {
			t.Fatal("the stop was not complete at SIGKILL, after 2.1 s")
		}
	}
	if before != len(clients) || most > 3 {
		t.Errorf("%d of %d moved, up to %d at once, want at most 3", before, len(clients), most)
	}
	for _, c := range []*testConn{waits, late} {
		if string(c.received) != "BUSY\r\n" {
			t.Errorf("a waiting client got %q, want BUSY", c.received)
		}
	}
}

// Discovery that is down is asked again after random, growing pauses, and a call without an answer
// is given up early enough for the next one to be answered before its changes count as told.
func TestWatch(t *testing.T) {
	b := newTestBed(t, 1, false)
	var calls []*testConn
	l, err := b.loop.Listen(b.local, func(s *poll.Socket, _ bool) poll.Handler {
		e := &testConn{sock: s}
		calls = append(calls, e)
		return e
	})
	if err != nil {
		t.Fatal(err)
	}
	b.engine.watch.Stop()
	b.engine.watch = routes.NewWatch(b.watchConfig(l.Addr()))
	b.engine.watch.Start()
	b.waitFor("a call", func() bool { return len(calls) == 1 && bytes.Contains(calls[0].received, []byte("\r\n\r\n")) })
	if !strings.HasPrefix(string(calls[0].received), "GET /registry/instances?index=7&wait=") {
		t.Errorf("discovery got %q", calls[0].received)
	}
	calls[0].received = nil
	calls[0].write(t, "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":9,\"whole\":false,")
	calls[0].write(t, "\"hosts\":[]}")
	b.settle()
	// The next call must follow within 200 ms, on the same connection.
	if len(calls) != 1 || !strings.Contains(string(calls[0].received), "index=9&") {
		t.Fatalf("%d connections, want 1; discovery got %q", len(calls), calls[0].received)
	}
	calls[0].write(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	b.settle()
	if len(calls) != 1 || b.counters.WatchesFailed != 1 {
		t.Errorf("%d calls right after a failure, want 1; %d failures, want 1", len(calls), b.counters.WatchesFailed)
	}
	b.waitFor("a retry", func() bool { return len(calls) == 2 })
	calls[1].sock.Reset()
	calls[1].reset = true
	b.waitFor("another retry", func() bool { return len(calls) == 3 })
	if b.counters.WatchesFailed != 2 || b.engine.table.Find("s0") == nil {
		t.Errorf("counters: %+v", b.counters)
	}
	b.engine.watch.Stop()
}

// While every other call of a watch fails, as in a fleet too large for its discovery, calls are
// made again soon, the log reports it once a minute, and the list stays.
func TestDiscoveryThatFailsOften(t *testing.T) {
	b := newTestBed(t, 1, false)
	calls, list := 0, `{"seq":9,"whole":true,"hosts":[{"host":"s0","dial":"127.0.0.1:9","health":"SERVING"}]}`
	l, err := b.loop.Listen(b.local, func(s *poll.Socket, _ bool) poll.Handler {
		calls++
		if calls%2 == 1 {
			s.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
		} else {
			s.Write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
		}
		return &testConn{sock: s}
	})
	if err != nil {
		t.Fatal(err)
	}
	b.engine.watch.Stop()
	b.log.Reset()
	b.engine.watch = routes.NewWatch(b.watchConfig(l.Addr()))
	b.engine.watch.Start()
	begin := b.now()
	b.waitFor("many calls", func() bool {
		if b.engine.table.Find("s0") == nil {
			t.Fatal("the target is no longer in the route table")
		}
		return b.since(begin) > 4*time.Second
	})
	if n := strings.Count(b.log.String(), "\n"); b.counters.WatchesFailed < 10 || n != 2 {
		t.Errorf("%d of %d calls failed, want at least 10; %d log lines, want 2:\n%s", b.counters.WatchesFailed, calls, n, b.log.String())
	}
	b.engine.watch.Stop()
}

// A planned stop moves no client while new clients may still arrive: a client moved that early may
// reconnect to the same proxy, and would be moved again.
func TestDrainDelaysFirstMoves(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, _ := b.establish("a")
	// With these settings SIGKILL comes after 0.8 s: all clients would be moved at once.
	b.frontend.settings.MaxWaitByClass = []time.Duration{100 * time.Millisecond}
	begin := b.now()
	b.frontend.Drain(func() {})
	b.waitFor("MOVE", func() bool { return len(client.received) > 0 })
	if took := b.since(begin); took < newClientPeriod {
		t.Errorf("moved after %v, want at least %v", took, newClientPeriod)
	}
}
