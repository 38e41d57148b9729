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

// These tests force a bad order on real sockets each time: the kernel connects, takes and resets while the loop does not turn, so
// that a test has whatever it likes lie there at the next turn, in the order in which it was done.

// changed is testSettings with other words in it.
func changed(t testing.TB, pairs ...string) string {
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

// dialled turns the loop until so many hops have begun, and not once more: the last one's connection is up, and nobody knows yet.
// The turns before that leave nothing in the kernel's queue of what is ready: what comes next is told after that connection.
func (b *bed) dialled(n int) {
	b.t.Helper()
	for begin := b.now(); ; {
		for range 3 {
			if err := b.loop.Turn(false); err != nil || b.since(begin) > 5*time.Second {
				b.t.Fatalf("%d hops, %v", b.count.Hops, err)
			}
		}
		if b.engine.Deliver(); b.count.Hops >= n {
			return
		}
	}
}

// open sends a request and returns its exchange once it is taken.
func (b *bed) open(c *end, id string) *Exchange {
	b.t.Helper()
	c.say(b.t, "OPEN "+id+" k c=c,d=2000\r\n")
	for range 10 {
		if err := b.loop.Turn(false); err != nil {
			b.t.Fatal(err)
		}
		for _, x := range b.engine.exchanges {
			if x.name == id {
				return x
			}
		}
	}
	b.t.Fatal("the request is not taken")
	return nil
}

// A client that leaves while its hop connects is not sent on, although the kernel tells of the connection first, and whether or
// not the settings permit to cancel. One that has only ended its sending still gets an answer.
func TestLeftWhileDialling(t *testing.T) {
	for _, cancel := range []string{"true", "false"} {
		for _, how := range []string{"fin", "reset", "line", "line and fin"} {
			t.Run(how+", cancel "+cancel, func(t *testing.T) {
				b := newRealBedWith(t, 1, changed(t, `"Cancel":true`, `"Cancel":`+cancel))
				c := b.client()
				c.say(t, "OPEN a k c=c,d=2000\r\n")
				b.dialled(1)
				if strings.HasPrefix(how, "line") {
					c.say(t, "reading\r\n")
				}
				if strings.HasSuffix(how, "fin") {
					c.sock.CloseWrite()
				}
				if how == "reset" {
					c.reset = true
					c.sock.Reset()
				}
				b.until("the end of it", func() bool { return len(b.engine.exchanges) == 0 && (c.eof || c.reset) })
				b.settle()
				if len(b.hops) > 0 && len(b.hops[0].got) > 0 {
					t.Errorf("sent on: %q", b.hops[0].got)
				}
				want := map[string]string{"fin": "BUSY\r\n", "reset": "", "line": "ERR\r\n", "line and fin": "ERR\r\n"}[how]
				if string(c.got) != want || b.count.Left != 1 || b.engine.module.ConnectionCount("s0") != 0 {
					t.Errorf("got %q, want %q; %d left, the module counts %d", c.got, want, b.count.Left, b.engine.module.ConnectionCount("s0"))
				}
				b.over(c)
			})
		}
	}
}

// Where cancelling is not permitted a client that breaks the protocol while its hop asks leaves nothing behind, and a word that
// comes later is no second answer.
func TestLeftWhileAskingWithoutCancel(t *testing.T) {
	for _, how := range []string{"line", "fin", "reset"} {
		for _, word := range []string{"UP r\r\n", "BUSY\r\n", "BYE\r\n", ""} {
			b := newRealBedWith(t, 1, changed(t, `"Cancel":true`, `"Cancel":false`))
			c := b.client()
			c.say(t, "OPEN a k c=c,d=2000\r\n")
			b.until("the hop", func() bool { return b.asked("a") != nil })
			switch how {
			case "line":
				c.say(t, "reading\r\n")
			case "fin":
				c.sock.CloseWrite()
			default:
				c.reset = true
				c.sock.Reset()
			}
			b.until("it left", func() bool { return b.count.Left == 1 && (c.eof || c.reset) })
			for _, x := range b.engine.exchanges { // its hop is out, and nothing more is owed
				if x.timer.Armed() {
					t.Errorf("%s: the exchange still has a timer", how)
				}
			}
			if word == "" {
				b.hops[0].sock.Reset()
			} else {
				b.hops[0].say(t, word)
			}
			b.until("the end of the hop", func() bool { return len(b.engine.exchanges) == 0 })
			if n := strings.Count(string(c.got), "\n"); n > 1 || b.engine.module.ConnectionCount("s0") != 0 || b.count.Up != 0 {
				t.Errorf("%s, %q: the client got %q, the module counts %d", how, word, c.got, b.engine.module.ConnectionCount("s0"))
			}
			b.over(c)
		}
	}
}

// A connection that comes up in the turn in which its time ends is not sent what nobody waits for.
func TestUpWhenTimeIsOver(t *testing.T) {
	b := newRealBedWith(t, 1, changed(t, `"DialTimeoutUs":200000`, `"DialTimeoutUs":900000`))
	c := b.client()
	c.say(t, "OPEN a k c=c,d=60\r\n")
	b.dialled(1)
	time.Sleep(80 * time.Millisecond) // the process does not run
	b.until("an answer", func() bool { return c.eof })
	if len(b.hops) != 1 || len(b.hops[0].got) > 0 || string(c.got) != "BUSY\r\n" {
		t.Errorf("%d connections; the first was sent %q, the client got %q", len(b.hops), b.hops[0].got, c.got)
	}
	b.over(c)
}

// A further hop of a guarded request begins within its window, and comes up after it: it is not sent, and the client is not told
// to come again.
func TestWindowEndsWhileDialling(t *testing.T) {
	b := newRealBedWith(t, 2, changed(t, `"Repeat":"free"`, `"Repeat":"guarded","DedupScope":"all","WindowUs":300000`))
	c := b.client()
	c.say(t, "OPEN a k c=c,d=1000\r\n")
	b.until("the hop", func() bool { return b.asked("a") != nil })
	b.asked("a").say(t, "ERR\r\n") // it may have run
	b.dialled(2)
	for _, x := range b.engine.exchanges {
		x.ranAt = x.ranAt.Add(-300 * time.Millisecond) // the window is over
	}
	b.until("an answer", func() bool { return c.eof })
	sent := 0
	for _, h := range b.hops {
		if len(h.got) > 0 {
			sent++
		}
	}
	if sent != 1 || string(c.got) != "ERR\r\n" {
		t.Errorf("%d hops were sent, the client got %q", sent, c.got)
	}
	b.over(c)
}

// More than a refusal is no proof that the request never ran: a class that must not run twice is not sent again.
func TestRefusalAndMore(t *testing.T) {
	b := newRealBedWith(t, 2, changed(t, `"Repeat":"free"`, `"Repeat":"single_shot"`))
	for id, more := range map[string]string{"a": "UP r\r\n", "b": "half", "c": ""} {
		c := b.client()
		c.say(t, "OPEN "+id+" k c=c,d=300\r\n")
		b.until("the hop", func() bool { return b.asked(id) != nil })
		before := b.count.Hops
		h := b.asked(id)
		h.got = nil
		h.say(t, "BUSY\r\n"+more)
		if more == "" {
			b.until("another hop", func() bool { return b.asked(id) != nil })
			b.asked(id).say(t, "UP r\r\n")
			b.until("UP", func() bool { return string(c.got) == "UP r\r\n" })
			continue
		}
		b.until("an answer", func() bool { return c.eof })
		if string(c.got) != "ERR\r\n" || b.count.Hops != before {
			t.Errorf("%q: got %q, %d further hops", more, c.got, b.count.Hops-before)
		}
	}
}

// What a planned stop ends with: a request that lies unread on a connection that had asked for nothing, one on a connection that
// is not accepted yet, and one that comes after the refusal. None of them is lost, reset or sent on.
func TestRequestsAtTheEndOfAStop(t *testing.T) {
	b := newRealBed(t, 1, false)
	rests, unread := b.client(), b.client()
	done := 0
	b.front.Drain(func() { done++ })
	b.front.Drain(func() { done += 10 }) // a second SIGTERM
	b.front.drain.begin = b.loop.Now().Add(-lateClients - time.Millisecond)
	queued := &end{}
	sock, err := b.loop.Dial(b.front.listener.Addr(), queued) // the kernel has accepted it, the proxy has not
	if err != nil {
		t.Fatal(err)
	}
	queued.sock = sock
	sock.Want(true, false)
	unread.say(t, "OPEN u k c=c,d=2000\r\n")
	queued.say(t, "OPEN q k c=c,d=2000\r\n")
	b.front.drainStep() // before the loop has read any of it
	if done != 0 {
		t.Error("it ended while clients were still to read their answers")
	}
	rests.say(t, "OPEN r k c=c,d=2000\r\n")
	b.until("all ended", func() bool {
		return rests.eof && unread.eof && queued.eof || rests.reset || unread.reset || queued.reset
	})
	for what, c := range map[string]*end{"resting": rests, "unread": unread, "queued": queued} {
		if c.reset || string(c.got) != "BUSY\r\n" {
			t.Errorf("%s: reset %v, got %q", what, c.reset, c.got)
		}
		c.sock.Close()
	}
	b.until("the end", func() bool { return done > 0 })
	if done != 1 || b.count.Hops != 0 || len(b.front.sessions) != 0 {
		t.Errorf("done %d, %d hops, %d sessions", done, b.count.Hops, len(b.front.sessions))
	}
}

// A target hangs at a planned stop: who waits for it is answered and told to come again only where that does no harm.
func TestStopWhileATargetHangs(t *testing.T) {
	for repeat, want := range map[string]string{"free": "BUSY\r\n", "single_shot": "ERR\r\n"} {
		b := newRealBedWith(t, 1, changed(t, `"Repeat":"free"`, `"Repeat":"`+repeat+`"`, `"Cancel":true`, `"Cancel":false`))
		c := b.client()
		c.say(t, "OPEN a k c=c,d=2000\r\n")
		b.until("the hop", func() bool { return b.asked("a") != nil })
		done := false
		b.front.Drain(func() { done = true })
		b.front.drain.kill = b.loop.Now().Add(answersDone - time.Millisecond)
		b.front.drainStep()
		b.until("an answer", func() bool { return c.eof })
		if string(c.got) != want || len(b.engine.exchanges) != 0 {
			t.Errorf("%s: got %q, want %q; %d exchanges", repeat, c.got, want, len(b.engine.exchanges))
		}
		c.sock.Close()
		b.until("the end", func() bool { return done })
	}
}

// Who is turned away for want of a descriptor gets its refusal, whatever it has sent by then: a close over unread bytes would
// reset the connection and take the refusal with it. The same holds for one that has just had its last line.
func TestTurnedAwayOverUnreadBytes(t *testing.T) {
	b := newRealBed(t, 1, false)
	opening, closing := b.client(), b.client()
	closing.say(t, "frob\r\n")
	b.until("its last line", func() bool { return string(closing.got) == "ERR\r\n" && closing.eof })
	opening.say(t, strings.Repeat("x", 20<<10))
	closing.say(t, strings.Repeat("y", 20<<10))
	for _, s := range slices.Clone(b.front.sessions) {
		b.front.turnAway(s)
	}
	if err := closing.sock.Established(); err != nil { // its pending error
		t.Errorf("the one with its last line: %v", err)
	}
	b.until("the end", func() bool { return opening.eof || opening.reset })
	if opening.reset || string(opening.got) != "BUSY\r\n" {
		t.Errorf("reset %v, got %q", opening.reset, opening.got)
	}
	b.over(opening, closing)
}

// Lines of the target lie in the kernel when its client is moved: the whole ones go first, half a line does not.
func TestLinesBeforeMove(t *testing.T) {
	b := newRealBed(t, 1, false)
	for i, act := range []func(){
		func() { b.engine.move(b.session().x) },
		func() { b.session().due() },
		func() { b.session().abandon(balance.Broken) },
	} {
		client, target := b.stands(fmt.Sprint("m", i))
		target.say(t, "seen 1\r\nseen 2\r\nhalf a li")
		act()
		b.until("the end", func() bool { return client.eof || client.reset })
		if string(client.got) != "seen 1\r\nseen 2\r\nMOVE\r\n" {
			t.Errorf("%d: got %q", i, client.got)
		}
		client.sock.Close()
		b.until("the end of it", func() bool { return len(b.front.sessions) == 0 })
	}
}

// A target says its last lines and resets the connection; a line of the client is passed on first, and fails. What the target
// said reaches the client all the same.
func TestLastWordsBeforeAReset(t *testing.T) {
	b := newRealBed(t, 1, false)
	client, target := b.stands("a")
	client.say(t, "reading\r\n") // ready first
	target.say(t, "seen\r\nBYE\r\n")
	target.reset = true
	target.sock.Reset()
	b.until("the end", func() bool { return client.eof || client.reset })
	if string(client.got) != "seen\r\nBYE\r\n" || client.reset {
		t.Errorf("got %q, reset %v", client.got, client.reset)
	}
	b.over(client)
}

// An answer that lies unread when its hop's time ends counts: a turn takes so many events and no more.
func TestAnswerUnreadAtTheTimeOut(t *testing.T) {
	b := newRealBed(t, 1, false)
	c := b.client()
	c.say(t, "OPEN a k c=c,d=2000\r\n")
	b.until("the hop", func() bool { return b.asked("a") != nil })
	b.asked("a").say(t, "UP r\r\n")
	for _, s := range b.front.sessions {
		s.hop.due()
	}
	b.until("UP", func() bool { return string(c.got) == "UP r\r\n" })
	if b.count.HopTimeout != 0 {
		t.Error("it counts as timed out")
	}
	b.over(c)
}

// Half a line on a probe's idle connection is no beginning of the next answer.
func TestHalfALineBetweenProbes(t *testing.T) {
	b := newRealBed(t, 1, true)
	b.raw = true
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
			for _, h := range b.hops {
				if strings.HasSuffix(string(h.got), "STATS\r\n") {
					h.got = nil
					h.say(t, "PONG cpu=0.5\r\n")
				}
			}
		}
		b.engine.events = nil
		return got
	}
	b.engine.events = nil
	b.front.Probe(to)
	probed()
	b.hops[0].say(t, "PONG cpu")
	for range 5 {
		_ = b.loop.Turn(false)
	}
	b.front.Probe(to)
	if got := probed(); len(got) != 1 || got[0].outcome != balance.OK || got[0].report.CPU != 0.5 || len(b.hops) != 2 {
		t.Errorf("%+v on %d connections", got, len(b.hops))
	}
}

// Where lists are pushed, all counts as told from the first moment of a process: the program asks at once, also as one of many.
func TestPushedListsAreAskedForAtOnce(t *testing.T) {
	b := newRealBed(t, 0, false)
	d := newDiscovery(b)
	set, err := settings.Decode([]byte(changed(t, `"Balancers":1`, `"Balancers":300`)))
	if err != nil {
		t.Fatal(err)
	}
	var count stats.Counters
	e, err := NewEngine(EngineConfig{
		Loop: b.loop, Settings: set, Known: &routes.List{Seq: 7, Whole: true, Hosts: []*routes.Target{{ID: "s0", Addr: b.local}}},
		Discovery: d.l.Addr(), Seed: 1, Count: &count, Log: b.engine.log,
	})
	if err != nil {
		t.Fatal(err)
	}
	for range 12 {
		if err := b.loop.Turn(false); err != nil {
			t.Fatal(err)
		}
	}
	if len(d.calls) != 1 || !strings.HasPrefix(string(d.calls[0].got), "GET /registry/instances?index=7&") {
		t.Fatalf("%d connections", len(d.calls))
	}
	e.watch.Stop()
	d.close()
}

// An event that was gathered for a connection which has closed since does not reach the one that took over its descriptor: the
// client's end and its target's word lie there in the same turn, and so does the next client.
func TestDescriptorReusedInTheSameTurn(t *testing.T) {
	b := newRealBed(t, 1, false)
	for i := range 20 {
		client, target := b.stands(fmt.Sprint("a", i))
		client.say(t, "reading\r\n")
		client.reset = true
		client.sock.Reset()
		target.say(t, "seen\r\nseen\r\n")
		next := b.client() // may have the descriptor of either
		next.say(t, "PING\r\n")
		b.until("PONG", func() bool { return string(next.got) == "PONG\r\n" })
		next.sock.Close()
		b.until("all ended", func() bool { return len(b.front.sessions) == 0 && len(b.engine.exchanges) == 0 })
	}
}

// A process that knows of no target says so to the front's PING until discovery's first list is there, also where that is empty; one
// that was given a list serves at once.
func TestPingBeforeTheFirstList(t *testing.T) {
	for name, list := range map[string]string{
		"a list":       `{"seq":8,"whole":true,"hosts":[{"host":"s0","dial":"127.0.0.1:1","health":"SERVING"}]}`,
		"an empty one": `{"seq":8,"whole":true,"hosts":[]}`,
	} {
		b := newRealBed(t, 0, false)
		d := newDiscovery(b)
		b.watchAt(d.l.Addr())
		c := b.client()
		c.say(t, "PING\r\n")
		b.until("an answer", func() bool { return len(c.got) > 0 })
		d.asked(0)
		d.answer(0, list)
		c.say(t, "PING\r\n")
		b.until("another", func() bool { return strings.Count(string(c.got), "\n") == 2 })
		if string(c.got) != "NO\r\nPONG\r\n" {
			t.Errorf("%s: got %q", name, c.got)
		}
		b.engine.watch.Stop()
		d.close()
	}
	b := newRealBed(t, 1, false)
	c := b.client()
	c.say(t, "PING\r\n")
	b.until("an answer", func() bool { return string(c.got) == "PONG\r\n" })
}

// A process whose configuration names no target and that discovery doesn't answer is ready all the same before long. A request is
// held then, and sent on once a list is there.
func TestReadyWithoutAList(t *testing.T) {
	b := newRealBed(t, 0, false)
	d := newDiscovery(b)
	b.watchAt(d.l.Addr())
	c := b.client()
	c.say(t, "PING\r\n")
	b.until("an answer", func() bool { return string(c.got) == "NO\r\n" })
	b.engine.startedAt = b.engine.startedAt.Add(-readyWithin)
	c.say(t, "PING\r\n")
	b.until("another", func() bool { return string(c.got) == "NO\r\nPONG\r\n" })
	c.say(t, "OPEN a k c=c,d=2000\r\n")
	b.settle()
	var target *end
	l, err := b.loop.Listen(b.local, func(s *poll.Socket, _ bool) poll.Handler {
		target = &end{sock: s}
		return target
	})
	if err != nil {
		t.Fatal(err)
	}
	d.asked(0)
	d.answer(0, fmt.Sprintf(`{"seq":8,"whole":true,"hosts":[{"host":"s0","dial":"%s","health":"SERVING"}]}`, l.Addr()))
	b.until("the attempt", func() bool { return target != nil && strings.HasPrefix(string(target.got), "OPEN a ") })
	b.engine.watch.Stop()
	d.close()
	target.sock.Close()
	l.Close()
}

// A planned stop comes while a connection of before the start is still being taken up: between two tries, while a hop connects, and
// while its target is silent. It has one answer, and nothing is sent after that.
func TestStopWhileAdopting(t *testing.T) {
	for _, when := range []string{"between tries", "dialling", "asking"} {
		b := newRealBed(t, 1, false)
		c := b.client()
		c.say(t, "OPEN a k c=c,d=5000,at=s0\r\n")
		b.dialled(1)
		if when != "dialling" {
			b.until("the hop", func() bool { return b.asked("a") != nil })
		}
		if when == "between tries" {
			b.asked("a").say(t, "BUSY\r\n")
			b.until("the end of the hop", func() bool { return b.count.HopFull == 1 })
		}
		done := false
		b.front.Drain(func() { done = true })
		b.front.drain.kill = b.loop.Now().Add(answersDone - time.Millisecond)
		b.front.drainStep()
		b.until("an answer", func() bool { return c.eof })
		if string(c.got) != "BUSY\r\n" || b.count.Hops != 1 || len(b.engine.exchanges) != 0 {
			t.Errorf("%s: got %q, %d hops, %d exchanges", when, c.got, b.count.Hops, len(b.engine.exchanges))
		}
		if when == "dialling" && len(b.hops) > 0 && len(b.hops[0].got) > 0 {
			t.Errorf("sent %q", b.hops[0].got)
		}
		c.sock.Close()
		b.until("the end", func() bool { return done })
	}
}

// The time of a connection that has not asked for anything is over just when its request arrives, which the loop has not read: the
// client finds a refusal, and its request is sent to nobody.
func TestRequestAtTheTimeOut(t *testing.T) {
	b := newRealBed(t, 1, false)
	c := b.client()
	c.say(t, "OPEN a k c=c,d=2000\r\n")
	b.front.sessions[0].due()
	b.until("the end", func() bool { return c.eof || c.reset })
	b.settle()
	if string(c.got) != "BUSY\r\n" || c.reset || b.count.Hops != 0 {
		t.Errorf("got %q, reset %v, %d hops", c.got, c.reset, b.count.Hops)
	}
	b.over(c)
}

// A target answers byte by byte, and a client asks so: what is whole is passed on, and nothing before. A word that does not end, or
// ends a little later with another one behind it, is no answer of two.
func TestAnswersInPieces(t *testing.T) {
	b := newRealBed(t, 1, false)
	c := b.client()
	for _, piece := range strings.SplitAfter("OPEN a k c=c,d=2000\r\n", "") {
		c.say(t, piece)
		b.settle()
	}
	b.until("the hop", func() bool { return b.asked("a") != nil })
	h := b.asked("a")
	for _, piece := range strings.SplitAfter("UP r\r\n", "") {
		if len(c.got) > 0 {
			t.Fatalf("the client got %q before the line was whole", c.got)
		}
		h.say(t, piece)
		b.settle()
	}
	b.until("UP", func() bool { return string(c.got) == "UP r\r\n" })
	h.say(t, "ERR\r\nseen") // a second answer is a line like others; half a line is kept
	b.until("the line", func() bool { return string(c.got) == "UP r\r\nERR\r\n" })
	h.sock.Close()
	b.until("the end", func() bool { return c.eof })
	if string(c.got) != "UP r\r\nERR\r\n" || c.reset {
		t.Errorf("got %q, reset %v", c.got, c.reset)
	}
	b.over(c)

	endless := b.client()
	endless.say(t, "OPEN b k c=c,d=300\r\n")
	b.until("the hop", func() bool { return b.asked("b") != nil })
	b.asked("b").say(t, "UP for ever")
	b.until("an answer", func() bool { return endless.eof })
	if string(endless.got) != "BUSY\r\n" {
		t.Errorf("got %q", endless.got)
	}
	b.over(endless)
}

// A client that is slow to read at a planned stop gets all whole lines of its target and MOVE, if it reads before the end; the end
// does not wait for one that never does.
func TestSlowReadersAtAStop(t *testing.T) {
	for _, reads := range []bool{true, false} {
		b := newRealBed(t, 1, false)
		c, target := b.stands("a")
		c.deaf = true
		c.sock.Want(false, false)
		text := strings.Repeat("x", 1022) + "\r\n"
		sent := 0
		s := b.session()
		for len(s.link.out) == 0 { // until the kernel takes no more of it
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
		b.front.Drain(func() { done = true })
		b.front.drain.begin = b.loop.Now().Add(-lateClients - time.Millisecond)
		b.front.drain.kill = b.loop.Now().Add(b.engine.tuning.MovesDone + drainStep) // all moves are due
		b.front.drainStep()
		if reads {
			c.deaf = false
			c.sock.Want(true, false)
			b.until("all of it", func() bool { return c.eof || c.reset })
			if want := len(text) * (sent / len(text)); c.reset || len(c.got) < want || !strings.HasSuffix(string(c.got), "\r\nMOVE\r\n") {
				t.Errorf("reset %v, got %d of %d bytes, at last %q", c.reset, len(c.got), want, c.got[max(len(c.got)-20, 0):])
			}
			c.sock.Close()
		}
		begin := b.loop.Now()
		b.until("the end", func() bool { return done })
		if took := b.loop.Now().Sub(begin); took > b.engine.tuning.MovesDone {
			t.Errorf("reads %v: took %v", reads, took)
		}
	}
}

// What the proxy itself refuses, at a planned stop and for want of a descriptor, keeps to the settings like the module's refusals: no
// advice where they pass none on, and none that is longer than clients heed.
func TestAdviceKeepsToTheSettings(t *testing.T) {
	for permissions, want := range map[string]string{
		`"RetryAfter":false,"MaxRetryAfterUs":2000000`: "BUSY\r\n",
		`"RetryAfter":true,"MaxRetryAfterUs":400000`:   "BUSY 400\r\n",
		`"RetryAfter":true,"MaxRetryAfterUs":2000000`:  "BUSY 1000\r\n",
	} {
		b := newRealBedWith(t, 1, changed(t, `"Cancel":true`, `"Cancel":true,`+permissions))
		full, waits, unread, rests := b.client(), b.client(), b.client(), b.client()
		b.front.turnAway(b.front.sessions[0])
		waits.say(t, "OPEN w k c=c,d=2000\r\n")
		b.until("the hop", func() bool { return b.asked("w") != nil })
		b.front.Drain(func() {})
		b.front.drain.kill = b.loop.Now().Add(answersDone - time.Millisecond)
		unread.say(t, "OPEN u k c=c,d=2000\r\n")
		b.front.drainStep()
		for name, c := range map[string]*end{"out of descriptors": full, "waiting": waits, "unread": unread, "resting": rests} {
			b.until("an answer", func() bool { return c.eof })
			if string(c.got) != want {
				t.Errorf("%s, %s: got %q, want %q", permissions, name, c.got, want)
			}
		}
	}
}
