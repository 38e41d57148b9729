package proxy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/stats"
)

// These tests force a race on real sockets deterministically: the kernel connects, accepts and
// resets while the loop does not turn, so that a test decides which events are ready at the next
// turn, and in which order.

// settingsWith returns testSettings with replacements, given as pairs of old and new text.
func settingsWith(t testing.TB, pairs ...string) string {
	t.Helper()
	text := fmt.Sprintf(testSettings, false)
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("%q is not in the settings", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// awaitHops turns the loop until n hops have begun, and not once more: the connection of the last
// hop is established, but not yet noticed. The turns before leave nothing in the kernel's ready
// queue, so that later events are reported after that connection.
func (b *testBed) awaitHops(n int) {
	b.t.Helper()
	for begin := b.now(); ; {
		for range 3 {
			if err := b.loop.Turn(false); err != nil || b.since(begin) > 5*time.Second {
				b.t.Fatalf("%d hops, %v", b.counters.Hops, err)
			}
		}
		if b.engine.Deliver(); b.counters.Hops >= n {
			return
		}
	}
}

// openExchange sends a request and returns its exchange once it has been accepted.
func (b *testBed) openExchange(c *testConn, id string) *Exchange {
	b.t.Helper()
	c.write(b.t, "OPEN "+id+" k c=c,d=2000\r\n")
	for range 10 {
		if err := b.loop.Turn(false); err != nil {
			b.t.Fatal(err)
		}
		for _, x := range b.engine.exchanges {
			if x.clientID == id {
				return x
			}
		}
	}
	b.t.Fatal("the request was not accepted")
	return nil
}

// The request of a client that leaves while its hop connects is not sent, although the kernel
// reports the connection first, and whether or not the settings permit cancelling. A client that
// has only half-closed still gets an answer.
func TestClientLeavesWhileDialing(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		for _, how := range []string{"fin", "reset", "line", "line and fin"} {
			t.Run(how+", cancel "+cancel, func(t *testing.T) {
				b := newSocketTestBedWithSettings(t, 1, settingsWith(t, `"Cancel":true`, `"Cancel":`+cancel))
				c := b.dialClient()
				c.write(t, "OPEN a k c=c,d=2000\r\n")
				b.awaitHops(1)
				if strings.HasPrefix(how, "line") {
					c.write(t, "reading\r\n")
				}
				if strings.HasSuffix(how, "fin") {
					c.sock.CloseWrite()
				}
				if how == "reset" {
					c.reset = true
					c.sock.Reset()
				}
				b.waitFor("the end of the exchange", func() bool { return len(b.engine.exchanges) == 0 && (c.eof || c.reset) })
				b.settle()
				if len(b.targetConns) > 0 && len(b.targetConns[0].received) > 0 {
					t.Errorf("the target was sent %q", b.targetConns[0].received)
				}
				want := map[string]string{"fin": "BUSY\r\n", "reset": "", "line": "ERR\r\n", "line and fin": "ERR\r\n"}[how]
				if string(c.received) != want || b.counters.Left != 1 || b.engine.module.ConnectionCount("s0") != 0 {
					t.Errorf("got %q, want %q; %d left, the module counts %d", c.received, want, b.counters.Left, b.engine.module.ConnectionCount("s0"))
				}
				b.checkReleased(c)
			})
		}
	}
}

// Where cancelling is not permitted, a client that breaks the protocol or leaves while its hop
// awaits an answer leaves nothing behind, and a later answer of the target is not a second answer
// to the client.
func TestClientLeavesAfterSendWithoutCancel(t *testing.T) {
	for _, how := range []string{"line", "fin", "reset"} {
		for _, word := range []string{"UP r\r\n", "BUSY\r\n", "BYE\r\n", ""} {
			b := newSocketTestBedWithSettings(t, 1, settingsWith(t, `"Cancel":true`, `"Cancel":false`))
			c := b.dialClient()
			c.write(t, "OPEN a k c=c,d=2000\r\n")
			b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
			switch how {
			case "line":
				c.write(t, "reading\r\n")
			case "fin":
				c.sock.CloseWrite()
			default:
				c.reset = true
				c.sock.Reset()
			}
			b.waitFor("the client to leave", func() bool { return b.counters.Left == 1 && (c.eof || c.reset) })
			// the hop is active, but the client is owed no answer
			for _, x := range b.engine.exchanges {
				if x.timer.Armed() {
					t.Errorf("%s: the exchange still has a timer", how)
				}
			}
			if word == "" {
				b.targetConns[0].sock.Reset()
			} else {
				b.targetConns[0].write(t, word)
			}
			b.waitFor("the end of the hop", func() bool { return len(b.engine.exchanges) == 0 })
			if n := strings.Count(string(c.received), "\n"); n > 1 || b.engine.module.ConnectionCount("s0") != 0 || b.counters.Up != 0 {
				t.Errorf("%s, %q: the client got %q, the module counts %d", how, word, c.received, b.engine.module.ConnectionCount("s0"))
			}
			b.checkReleased(c)
		}
	}
}

// A request whose connection is established in the turn in which its deadline passes is not sent.
func TestConnectedAtTheDeadline(t *testing.T) {
	b := newSocketTestBedWithSettings(t, 1, settingsWith(t, `"DialTimeoutUs":200000`, `"DialTimeoutUs":900000`))
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=60\r\n")
	b.awaitHops(1)
	time.Sleep(80 * time.Millisecond) // the process is stalled
	b.waitFor("an answer", func() bool { return c.eof })
	if len(b.targetConns) != 1 || len(b.targetConns[0].received) > 0 || string(c.received) != "BUSY\r\n" {
		t.Errorf("%d connections; the first was sent %q, the client got %q", len(b.targetConns), b.targetConns[0].received, c.received)
	}
	b.checkReleased(c)
}

// Another hop of a guarded request begins within the window and connects after its end: the request
// is not sent, and the client is not told to repeat it.
func TestWindowEndsWhileDialing(t *testing.T) {
	b := newSocketTestBedWithSettings(t, 2, settingsWith(t, `"Repeat":"free"`, `"Repeat":"guarded","DedupScope":"all","WindowUs":300000`))
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=1000\r\n")
	b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
	b.requestConn("a").write(t, "ERR\r\n") // the request may have run
	b.awaitHops(2)
	for _, x := range b.engine.exchanges {
		x.maybeRanSentAt = x.maybeRanSentAt.Add(-300 * time.Millisecond) // the window has ended
	}
	b.waitFor("an answer", func() bool { return c.eof })
	sent := 0
	for _, h := range b.targetConns {
		if len(h.received) > 0 {
			sent++
		}
	}
	if sent != 1 || string(c.received) != "ERR\r\n" {
		t.Errorf("%d hops were sent, the client got %q", sent, c.received)
	}
	b.checkReleased(c)
}

// A refusal followed by other data does not prove that the request never ran: a class that must not
// run twice is not sent again.
func TestRefusalFollowedByData(t *testing.T) {
	b := newSocketTestBedWithSettings(t, 2, settingsWith(t, `"Repeat":"free"`, `"Repeat":"single_shot"`))
	for id, more := range map[string]string{"a": "UP r\r\n", "b": "half", "c": ""} {
		c := b.dialClient()
		c.write(t, "OPEN "+id+" k c=c,d=300\r\n")
		b.waitFor("the hop", func() bool { return b.requestConn(id) != nil })
		before := b.counters.Hops
		h := b.requestConn(id)
		h.received = nil
		h.write(t, "BUSY\r\n"+more)
		if more == "" {
			b.waitFor("another hop", func() bool { return b.requestConn(id) != nil })
			b.requestConn(id).write(t, "UP r\r\n")
			b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
			continue
		}
		b.waitFor("an answer", func() bool { return c.eof })
		if string(c.received) != "ERR\r\n" || b.counters.Hops != before {
			t.Errorf("%q: got %q, %d further hops", more, c.received, b.counters.Hops-before)
		}
	}
}

// At the end of a planned stop there is an unread request on an idle connection, one on a
// connection that is not accepted yet, and one that arrives after the refusal. None of them may be
// lost, reset or sent to a target.
func TestRequestsAtTheEndOfAStop(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	idle, unread := b.dialClient(), b.dialClient()
	done := 0
	b.frontend.Drain(func() { done++ })
	b.frontend.Drain(func() { done += 10 }) // a second SIGTERM
	b.frontend.drain.startedAt = b.loop.Now().Add(-newClientPeriod - time.Millisecond)
	queued := &testConn{}
	// accepted by the kernel, not by the proxy
	sock, err := b.loop.Dial(b.frontend.listener.Addr(), queued)
	if err != nil {
		t.Fatal(err)
	}
	queued.sock = sock
	sock.Want(true, false)
	unread.write(t, "OPEN u k c=c,d=2000\r\n")
	queued.write(t, "OPEN q k c=c,d=2000\r\n")
	b.frontend.drainStep() // before the loop has read any of it
	if done != 0 {
		t.Error("the stop ended before the clients had read their answers")
	}
	idle.write(t, "OPEN r k c=c,d=2000\r\n")
	b.waitFor("all ended", func() bool {
		return idle.eof && unread.eof && queued.eof || idle.reset || unread.reset || queued.reset
	})
	for what, c := range map[string]*testConn{"idle": idle, "unread": unread, "queued": queued} {
		if c.reset || string(c.received) != "BUSY\r\n" {
			t.Errorf("%s: reset %v, got %q", what, c.reset, c.received)
		}
		c.sock.Close()
	}
	b.waitFor("the end", func() bool { return done > 0 })
	if done != 1 || b.counters.Hops != 0 || len(b.frontend.sessions) != 0 {
		t.Errorf("done %d, %d hops, %d sessions", done, b.counters.Hops, len(b.frontend.sessions))
	}
}

// A target does not answer during a planned stop: its waiting clients are answered, and told to
// repeat only where a repeat is harmless.
func TestStopWhileATargetHangs(t *testing.T) {
	for repeat, want := range map[string]string{"free": "BUSY\r\n", "single_shot": "ERR\r\n"} {
		b := newSocketTestBedWithSettings(t, 1, settingsWith(t, `"Repeat":"free"`, `"Repeat":"`+repeat+`"`, `"Cancel":true`, `"Cancel":false`))
		c := b.dialClient()
		c.write(t, "OPEN a k c=c,d=2000\r\n")
		b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
		done := false
		b.frontend.Drain(func() { done = true })
		b.frontend.drain.killAt = b.loop.Now().Add(finalAnswerLead - time.Millisecond)
		b.frontend.drainStep()
		b.waitFor("an answer", func() bool { return c.eof })
		if string(c.received) != want || len(b.engine.exchanges) != 0 {
			t.Errorf("%s: got %q, want %q; %d exchanges", repeat, c.received, want, len(b.engine.exchanges))
		}
		c.sock.Close()
		b.waitFor("the end", func() bool { return done })
	}
}

// A client that is refused for lack of a descriptor gets its refusal, whatever it has sent by then:
// closing with unread bytes would reset the connection and lose the refusal. The same holds for a
// client that was just sent its last line.
func TestRefusalWithUnreadBytes(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	opening, closing := b.dialClient(), b.dialClient()
	closing.write(t, "frob\r\n")
	b.waitFor("its last line", func() bool { return string(closing.received) == "ERR\r\n" && closing.eof })
	opening.write(t, strings.Repeat("x", 20<<10))
	closing.write(t, strings.Repeat("y", 20<<10))
	for _, s := range slices.Clone(b.frontend.sessions) {
		b.frontend.refuseAndClose(s)
	}
	if err := closing.sock.DialError(); err != nil { // its pending error
		t.Errorf("connection with its last line: %v", err)
	}
	b.waitFor("the end", func() bool { return opening.eof || opening.reset })
	if opening.reset || string(opening.received) != "BUSY\r\n" {
		t.Errorf("reset %v, got %q", opening.reset, opening.received)
	}
	b.checkReleased(opening, closing)
}

// Lines of the target are unread when its client is moved: whole lines are forwarded before MOVE, a
// partial line is not.
func TestLinesBeforeMove(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	for i, act := range []func(){
		func() { b.engine.move(b.session().exchange) },
		func() { b.session().handleTimeout() },
		func() { b.session().endGracefully(balance.Broken) },
	} {
		client, target := b.establish(fmt.Sprint("m", i))
		target.write(t, "seen 1\r\nseen 2\r\nhalf a li")
		act()
		b.waitFor("the end", func() bool { return client.eof || client.reset })
		if string(client.received) != "seen 1\r\nseen 2\r\nMOVE\r\n" {
			t.Errorf("%d: got %q", i, client.received)
		}
		client.sock.Close()
		b.waitFor("the end of the exchange", func() bool { return len(b.frontend.sessions) == 0 })
	}
}

// A target writes its last lines and resets the connection; forwarding a line of the client fails
// first. The target's lines still reach the client.
func TestLastLinesBeforeAReset(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	client, target := b.establish("a")
	client.write(t, "reading\r\n") // reported before the reset
	target.write(t, "seen\r\nBYE\r\n")
	target.reset = true
	target.sock.Reset()
	b.waitFor("the end", func() bool { return client.eof || client.reset })
	if string(client.received) != "seen\r\nBYE\r\n" || client.reset {
		t.Errorf("got %q, reset %v", client.received, client.reset)
	}
	b.checkReleased(client)
}

// An answer that is unread when its hop times out still counts, since a turn of the loop processes
// a limited number of events.
func TestAnswerUnreadAtTheTimeOut(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=2000\r\n")
	b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
	b.requestConn("a").write(t, "UP r\r\n")
	for _, s := range b.frontend.sessions {
		s.hop.handleTimeout()
	}
	b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
	if b.counters.HopTimeout != 0 {
		t.Error("the hop is counted as timed out")
	}
	b.checkReleased(c)
}

// A partial line on an idle probe connection is not the beginning of the next answer.
func TestPartialLineBetweenProbes(t *testing.T) {
	b := newSocketTestBed(t, 1, true)
	b.manualDelivery = true
	to := b.engine.table.Find("s0")
	probed := func() (got []event) {
		b.t.Helper()
		for begin := b.now(); len(got) == 0 && b.since(begin) < 5*time.Second; {
			_ = b.loop.Turn(false)
			for _, ev := range b.engine.events {
				if ev.kind == evProbed {
					got = append(got, ev)
				}
			}
			for _, h := range b.targetConns {
				if strings.HasSuffix(string(h.received), "STATS\r\n") {
					h.received = nil
					h.write(t, "PONG cpu=0.5\r\n")
				}
			}
		}
		b.engine.events = nil
		return got
	}
	b.engine.events = nil
	b.frontend.Probe(to)
	probed()
	b.targetConns[0].write(t, "PONG cpu")
	for range 5 {
		_ = b.loop.Turn(false)
	}
	b.frontend.Probe(to)
	if got := probed(); len(got) != 1 || got[0].outcome != balance.OK || got[0].report.CPU != 0.5 || len(b.targetConns) != 2 {
		t.Errorf("%+v on %d connections", got, len(b.targetConns))
	}
}

// Where lists are pushed, all changes count as known from the start of a process: it calls
// discovery at once, even if it is one of many processes.
func TestPushedListsAreAskedForAtOnce(t *testing.T) {
	b := newSocketTestBed(t, 0, false)
	d := newFakeDiscovery(b)
	set, err := settings.Decode([]byte(settingsWith(t, `"Balancers":1`, `"Balancers":300`)))
	if err != nil {
		t.Fatal(err)
	}
	var count stats.Counters
	e, err := NewEngine(EngineConfig{
		Loop: b.loop, Settings: set, Known: &routes.List{Seq: 7, Whole: true, Hosts: []*routes.Target{{ID: "s0", Addr: b.local}}},
		Discovery: d.listener.Addr(), Seed: 1, Count: &count, Log: b.engine.log,
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 12 {
		if err := b.loop.Turn(false); err != nil {
			t.Fatal(err)
		}
	}
	if len(d.calls) != 1 || !strings.HasPrefix(string(d.calls[0].received), "GET /registry/instances?index=7&") {
		t.Fatalf("%d connections", len(d.calls))
	}
	e.watch.Stop()
	d.close()
}

// An event for a connection that has closed since must not reach the connection that reuses its
// descriptor. The client's reset, the target's lines and the next client are ready in the same
// turn.
func TestDescriptorReusedInTheSameTurn(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	for i := range 20 {
		client, target := b.establish(fmt.Sprint("a", i))
		client.write(t, "reading\r\n")
		client.reset = true
		client.sock.Reset()
		target.write(t, "seen\r\nseen\r\n")
		next := b.dialClient() // may reuse the descriptor of either end
		next.write(t, "PING\r\n")
		b.waitFor("PONG", func() bool { return string(next.received) == "PONG\r\n" })
		next.sock.Close()
		b.waitFor("all ended", func() bool { return len(b.frontend.sessions) == 0 && len(b.engine.exchanges) == 0 })
	}
}

// A process without targets answers PING with NO until discovery's first list arrives, even if that
// is empty. A process that was given a list serves at once.
func TestPingBeforeTheFirstList(t *testing.T) {
	for name, list := range map[string]string{
		"a list":       `{"seq":8,"whole":true,"hosts":[{"host":"s0","dial":"127.0.0.1:1","health":"SERVING"}]}`,
		"an empty one": `{"seq":8,"whole":true,"hosts":[]}`,
	} {
		b := newSocketTestBed(t, 0, false)
		d := newFakeDiscovery(b)
		b.watchAt(d.listener.Addr())
		c := b.dialClient()
		c.write(t, "PING\r\n")
		b.waitFor("an answer", func() bool { return len(c.received) > 0 })
		d.awaitCall(0)
		d.answer(0, list)
		c.write(t, "PING\r\n")
		b.waitFor("another", func() bool { return strings.Count(string(c.received), "\n") == 2 })
		if string(c.received) != "NO\r\nPONG\r\n" {
			t.Errorf("%s: got %q", name, c.received)
		}
		b.engine.watch.Stop()
		d.close()
	}
	b := newSocketTestBed(t, 1, false)
	c := b.dialClient()
	c.write(t, "PING\r\n")
	b.waitFor("an answer", func() bool { return string(c.received) == "PONG\r\n" })
}

// A process whose configuration names no target and whose discovery does not answer becomes ready
// after readyTimeout. A request is then held, and sent once a list arrives.
func TestReadyWithoutAList(t *testing.T) {
	b := newSocketTestBed(t, 0, false)
	d := newFakeDiscovery(b)
	b.watchAt(d.listener.Addr())
	c := b.dialClient()
	c.write(t, "PING\r\n")
	b.waitFor("an answer", func() bool { return string(c.received) == "NO\r\n" })
	b.engine.startedAt = b.engine.startedAt.Add(-readyTimeout)
	c.write(t, "PING\r\n")
	b.waitFor("another", func() bool { return string(c.received) == "NO\r\nPONG\r\n" })
	c.write(t, "OPEN a k c=c,d=2000\r\n")
	b.settle()
	var target *testConn
	l, err := b.loop.Listen(b.local, func(s *poll.Socket, _ bool) poll.Handler {
		target = &testConn{sock: s}
		return target
	})
	if err != nil {
		t.Fatal(err)
	}
	d.awaitCall(0)
	d.answer(0, fmt.Sprintf(`{"seq":8,"whole":true,"hosts":[{"host":"s0","dial":"%s","health":"SERVING"}]}`, l.Addr()))
	b.waitFor("the attempt", func() bool { return target != nil && strings.HasPrefix(string(target.received), "OPEN a ") })
	b.engine.watch.Stop()
	d.close()
	target.sock.Close()
	l.Close()
}

// A planned stop begins while a connection from before the start is being adopted: between two
// attempts, while a hop connects, and while its target is silent. The client gets one answer, and
// nothing is sent after it.
func TestStopWhileAdopting(t *testing.T) {
	for _, when := range []string{"between attempts", "dialing", "sent"} {
		b := newSocketTestBed(t, 1, false)
		c := b.dialClient()
		c.write(t, "OPEN a k c=c,d=5000,at=s0\r\n")
		b.awaitHops(1)
		if when != "dialing" {
			b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
		}
		if when == "between attempts" {
			b.requestConn("a").write(t, "BUSY\r\n")
			b.waitFor("the end of the hop", func() bool { return b.counters.HopFull == 1 })
		}
		done := false
		b.frontend.Drain(func() { done = true })
		b.frontend.drain.killAt = b.loop.Now().Add(finalAnswerLead - time.Millisecond)
		b.frontend.drainStep()
		b.waitFor("an answer", func() bool { return c.eof })
		if string(c.received) != "BUSY\r\n" || b.counters.Hops != 1 || len(b.engine.exchanges) != 0 {
			t.Errorf("%s: got %q, %d hops, %d exchanges", when, c.received, b.counters.Hops, len(b.engine.exchanges))
		}
		if when == "dialing" && len(b.targetConns) > 0 && len(b.targetConns[0].received) > 0 {
			t.Errorf("sent %q", b.targetConns[0].received)
		}
		c.sock.Close()
		b.waitFor("the end", func() bool { return done })
	}
}

// A connection without a request times out just when its request arrives, which the loop has not
// read: the client gets a refusal, and its request is sent to no target.
func TestRequestAtTheTimeOut(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	c := b.dialClient()
	c.write(t, "OPEN a k c=c,d=2000\r\n")
	b.frontend.sessions[0].handleTimeout()
	b.waitFor("the end", func() bool { return c.eof || c.reset })
	b.settle()
	if string(c.received) != "BUSY\r\n" || c.reset || b.counters.Hops != 0 {
		t.Errorf("got %q, reset %v, %d hops", c.received, c.reset, b.counters.Hops)
	}
	b.checkReleased(c)
}

// A client sends its request byte by byte, and a target its answer: a line is forwarded once it is
// complete, and not before. A second answer is forwarded like any line and does not count as one.
// An answer line that never ends gets the client a refusal at its deadline.
func TestAnswersInPieces(t *testing.T) {
	b := newSocketTestBed(t, 1, false)
	c := b.dialClient()
	for _, piece := range strings.SplitAfter("OPEN a k c=c,d=2000\r\n", "") {
		c.write(t, piece)
		b.settle()
	}
	b.waitFor("the hop", func() bool { return b.requestConn("a") != nil })
	h := b.requestConn("a")
	for _, piece := range strings.SplitAfter("UP r\r\n", "") {
		if len(c.received) > 0 {
			t.Fatalf("the client got %q before the line was whole", c.received)
		}
		h.write(t, piece)
		b.settle()
	}
	b.waitFor("UP", func() bool { return string(c.received) == "UP r\r\n" })
	h.write(t, "ERR\r\nseen") // a second answer is forwarded like any line; a partial line is kept back
	b.waitFor("the line", func() bool { return string(c.received) == "UP r\r\nERR\r\n" })
	h.sock.Close()
	b.waitFor("the end", func() bool { return c.eof })
	if string(c.received) != "UP r\r\nERR\r\n" || c.reset {
		t.Errorf("got %q, reset %v", c.received, c.reset)
	}
	b.checkReleased(c)

	endless := b.dialClient()
	endless.write(t, "OPEN b k c=c,d=300\r\n")
	b.waitFor("the hop", func() bool { return b.requestConn("b") != nil })
	b.requestConn("b").write(t, "UP for ever")
	b.waitFor("an answer", func() bool { return endless.eof })
	if string(endless.received) != "BUSY\r\n" {
		t.Errorf("got %q", endless.received)
	}
	b.checkReleased(endless)
}

// A client that is slow to read during a planned stop gets all whole lines of its target and MOVE,
// if it reads before the end. The stop does not wait for a client that never reads.
func TestSlowReadersAtAStop(t *testing.T) {
	for _, reads := range []bool{true, false} {
		b := newSocketTestBed(t, 1, false)
		c, target := b.establish("a")
		c.readPaused = true
		c.sock.Want(false, false)
		text := strings.Repeat("x", 1022) + "\r\n"
		sent := 0
		s := b.session()
		for len(s.link.unsent) == 0 { // until the kernel accepts no more
			n, err := target.sock.Write([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			if sent += n; n < len(text) {
				break
			}
			b.settle()
		}
		done := false
		b.frontend.Drain(func() { done = true })
		b.frontend.drain.startedAt = b.loop.Now().Add(-newClientPeriod - time.Millisecond)
		// every move is due now
		b.frontend.drain.killAt = b.loop.Now().Add(b.engine.tuning.MovesDone + drainInterval)
		b.frontend.drainStep()
		if reads {
			c.readPaused = false
			c.sock.Want(true, false)
			b.waitFor("all of it", func() bool { return c.eof || c.reset })
			if want := len(text) * (sent / len(text)); c.reset || len(c.received) < want || !strings.HasSuffix(string(c.received), "\r\nMOVE\r\n") {
				t.Errorf("reset %v, got %d of %d bytes, at last %q", c.reset, len(c.received), want, c.received[max(len(c.received)-20, 0):])
			}
			c.sock.Close()
		}
		begin := b.loop.Now()
		b.waitFor("the end", func() bool { return done })
		if took := b.loop.Now().Sub(begin); took > b.engine.tuning.MovesDone {
			t.Errorf("reads %v: took %v", reads, took)
		}
	}
}

// Refusals by the proxy itself, during a planned stop and for lack of a descriptor, follow the
// settings like those of the module: no retry delay where the settings pass none on, and none
// longer than clients heed.
func TestRetryDelayFollowsTheSettings(t *testing.T) {
	for permissions, want := range map[string]string{
		`"RetryAfter":false,"MaxRetryAfterUs":2000000`: "BUSY\r\n",
		`"RetryAfter":true,"MaxRetryAfterUs":400000`:   "BUSY 400\r\n",
		`"RetryAfter":true,"MaxRetryAfterUs":2000000`:  "BUSY 1000\r\n",
	} {
		b := newSocketTestBedWithSettings(t, 1, settingsWith(t, `"Cancel":true`, `"Cancel":true,`+permissions))
		full, waits, unread, idle := b.dialClient(), b.dialClient(), b.dialClient(), b.dialClient()
		b.frontend.refuseAndClose(b.frontend.sessions[0])
		waits.write(t, "OPEN w k c=c,d=2000\r\n")
		b.waitFor("the hop", func() bool { return b.requestConn("w") != nil })
		b.frontend.Drain(func() {})
		b.frontend.drain.killAt = b.loop.Now().Add(finalAnswerLead - time.Millisecond)
		unread.write(t, "OPEN u k c=c,d=2000\r\n")
		b.frontend.drainStep()
		for name, c := range map[string]*testConn{"out of descriptors": full, "waiting": waits, "unread": unread, "idle": idle} {
			b.waitFor("an answer", func() bool { return c.eof })
			if string(c.received) != want {
				t.Errorf("%s, %s: got %q, want %q", permissions, name, c.received, want)
			}
		}
	}
}
