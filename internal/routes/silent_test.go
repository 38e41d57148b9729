package routes

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ospreyspan/internal/poll"
)

// caller is discovery's end of a connection, on real sockets.
type caller struct {
	sock *poll.Socket
	got  []byte
}

func (c *caller) Ready(poll.Ready) {
	buf := make([]byte, 4096)
	n, err := c.sock.Read(buf)
	if c.got = append(c.got, buf[:n]...); err != nil && err != poll.ErrAgain {
		c.sock.Close()
	}
}

// A watch that falls silent, with only headers of an answer or with nothing, is opened anew in the turn in which it is given up: by
// its timer, which the test calls in place of waiting for it.
func TestSilentWatchIsOpenedAnewAtOnce(t *testing.T) {
	for _, said := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"se"} {
		loop, err := poll.New(func() {})
		if err != nil {
			t.Fatal(err)
		}
		var calls []*caller
		l, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *poll.Socket, _ bool) poll.Handler {
			c := &caller{sock: s}
			calls = append(calls, c)
			return c
		})
		if err != nil {
			t.Fatal(err)
		}
		var heard []error
		count := 0
		w := NewWatch(WatchConfig{Loop: loop, Addr: l.Addr(), Seq: 7, Rand: rand.New(rand.NewPCG(1, 1)), Calls: &count,
			OnResult: func(_ *List, err error) { heard = append(heard, err) }})
		w.Start()
		asked := func(n int, first string) {
			t.Helper()
			for begin := time.Now(); len(calls) < n || !bytes.Contains(calls[n-1].got, []byte("\r\n\r\n")); {
				if err := loop.Turn(false); err != nil || time.Since(begin) > 5*time.Second {
					t.Fatalf("%q: %d connections, %v", said, len(calls), err)
				}
			}
			if !bytes.HasPrefix(calls[n-1].got, []byte(first)) {
				t.Errorf("%q: asked %q", said, calls[n-1].got)
			}
		}
		again := "GET /registry/instances?index=7&wait=50 HTTP" // answered at once: nobody else has spoken
		if said != "" {
			again = "GET /registry/instances HTTP" // whoever said that may have other versions
		}
		for n, first := range []string{"GET /registry/instances?index=7&", again, again} {
			asked(n+1, first)
			if _, err := calls[n].sock.Write([]byte(said)); err != nil {
				t.Fatal(err)
			}
			for range 3 {
				_ = loop.Turn(false)
			}
			if n < 2 {
				loop.Disarm(&w.timer)
				w.onTimer() // its time is over
				if !w.timer.Armed() || w.state != watchWaiting {
					t.Errorf("%q: state %v after the silence", said, w.state)
				}
			}
		}
		if len(heard) != 2 || heard[0] != errNoAnswer || heard[1] != errNoAnswer {
			t.Errorf("%q: heard %v", said, heard)
		}
		w.Stop()
		l.Close()
		loop.Close()
	}
}
