package proxy

import (
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/stats"
)

const (
	// clientLinePeriod is the time between two lines of a client on an established connection.
	clientLinePeriod = 2 * time.Second
	// silenceLimit is the time after which a connection that returns nothing must be ended or moved.
	silenceLimit = 7*time.Second + 50*time.Millisecond
)

// runSilence lets a client send a line every clientLinePeriod and calls eachTick every 100 ms, until
// the client's connection ends or the time is up. It returns how long that took.
func runSilence(b *testBed, client *testConn, most time.Duration, eachTick func(since time.Duration)) time.Duration {
	b.t.Helper()
	begin := b.now()
	nextLine := clientLinePeriod
	for !client.eof && !client.reset && b.since(begin) < most {
		if since := b.since(begin); since >= nextLine {
			client.write(b.t, "reading\r\n")
			nextLine += clientLinePeriod
		}
		eachTick(b.since(begin))
		for range 100 {
			b.settle()
		}
	}
	return b.since(begin)
}

// A target that hangs after any output that does not answer the client's line has its client moved
// in time. Behind a LOAD line such a connection was kept for good: the check compared the time of
// the last line of any kind with that of the client's line.
func TestClientIsMovedWhereTargetHangsAfterOutput(t *testing.T) {
	for _, tt := range []struct{ name, output string }{
		{"nothing", ""},
		{"a load", "LOAD 5\r\n"},
		{"several loads", "LOAD 5\r\nLOAD 6\r\nLOAD 7\r\n"},
		{"part of a load", "LO"},
		{"a load without its last byte", "LOAD 5\r"},
		{"part of an answer", "re read"},
		{"a load and part of an answer", "LOAD 5\r\nre"},
		{"an answer without its last byte", "re reading\r"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t, 1, false)
			client, target := b.establish("a")
			client.write(t, "reading\r\n")
			b.settle()
			target.write(t, tt.output)
			took := runSilence(b, client, 2*silenceLimit, func(time.Duration) {})
			if !strings.HasSuffix(string(client.received), "MOVE\r\n") || took > silenceLimit {
				t.Errorf("after %v the client has %q, want MOVE within %v", took, client.received, silenceLimit)
			}
			b.checkReleased(client)
		})
	}
}

// Loads that keep coming do not stand for an answer.
func TestClientIsMovedWhereOnlyLoadsCome(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, target := b.establish("a")
	client.write(t, "reading\r\n")
	b.settle()
	took := runSilence(b, client, 2*silenceLimit, func(time.Duration) { target.write(t, "LOAD 5\r\n") })
	if !strings.HasSuffix(string(client.received), "MOVE\r\n") || took > silenceLimit {
		t.Errorf("the client was moved after %v, want at most %v", took, silenceLimit)
	}
	b.checkReleased(client)
}

// Of two lines that are unanswered the first is answered, and then the target hangs. The client's
// next line shows it.
func TestClientIsMovedWhereSecondLineIsNotAnswered(t *testing.T) {
	b := newTestBed(t, 1, false)
	client, target := b.establish("a")
	client.write(t, "reading 1\r\nreading 2\r\n")
	b.settle()
	target.write(t, "re reading 1\r\nLOAD 5\r\n")
	took := runSilence(b, client, 2*silenceLimit, func(time.Duration) {})
	if !strings.HasSuffix(string(client.received), "MOVE\r\n") || took > silenceLimit {
		t.Errorf("the client was moved after %v, want at most %v", took, silenceLimit)
	}
	b.checkReleased(client)
}

// A target that answers slowly but surely, and reports loads meanwhile, keeps its clients, as does
// its neighbour connection that is answered at once.
func TestSlowAnswersBesideLoadsKeepClients(t *testing.T) {
	b := newTestBed(t, 1, false)
	slow, slowTarget := b.establish("a")
	sound, soundTarget := b.establish("b")
	answerAt := make([]time.Duration, 0, 16)
	seenSlow, seenSound := 0, 0
	runSilence(b, slow, 20*time.Second, func(since time.Duration) {
		sound.write(t, "reading\r\n")
		for ; seenSound < strings.Count(string(soundTarget.received), "\r\n"); seenSound++ {
			soundTarget.write(t, "re\r\n")
		}
		for ; seenSlow < strings.Count(string(slowTarget.received), "\r\n"); seenSlow++ {
			answerAt = append(answerAt, since+3*time.Second)
			slowTarget.write(t, "LOAD 9\r\n")
		}
		for len(answerAt) > 0 && answerAt[0] <= since {
			answerAt = answerAt[1:]
			slowTarget.write(t, "re\r\n")
		}
	})
	if slow.eof || sound.eof || b.counters.Silent != 0 {
		t.Errorf("moved: slow %v, sound %v; connections taken for silent: %d, want none", slow.eof, sound.eof, b.counters.Silent)
	}
	b.checkReleased(slow, sound)
}

// A target that announces the end of a connection and then hangs, without ending it, has the
// client's connection ended within a second.
func TestAnnouncedEndThatDoesNotCome(t *testing.T) {
	for last, counter := range map[string]func(*stats.Counters) int{
		"BYE\r\n":  func(c *stats.Counters) int { return c.HopOK },
		"MOVE\r\n": func(c *stats.Counters) int { return c.HopCancelled },
	} {
		b := newTestBed(t, 1, false)
		client, target := b.establish("a")
		client.write(t, "reading\r\n")
		b.settle()
		target.write(t, last)
		took := runSilence(b, client, 2*silenceLimit, func(time.Duration) {})
		if took > time.Second+50*time.Millisecond || string(client.received) != last || counter(&b.counters) != 1 {
			t.Errorf("%q: the connection ended after %v with %q, counted %d times by its outcome; want within 1.05s and once", last, took, client.received, counter(&b.counters))
		}
		b.checkReleased(client)
	}
}
