package routes

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ospreyspan/internal/poll"
)

// serverConn is discovery's end of a connection on real sockets.
type serverConn struct {
	sock     *poll.Socket
	received []byte
}

func (c *serverConn) Ready(poll.Ready) {
	buf := make([]byte, 4096)
	n, err := c.sock.Read(buf)
	if c.received = append(c.received, buf[:n]...); err != nil && err != poll.ErrAgain {
		c.sock.Close()
	}
}

// A watch that is not answered in time is reopened in the same loop turn in which it is given up,
// whether it received nothing, only headers or part of a body. The test calls the timer function
// instead of waiting for the timer.
func TestUnansweredWatchReopensAtOnce(t *testing.T) {
	for _, partial := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"se"} {
		loop, err := poll.New(func() {})
		if err != nil {
			t.Fatal(err)
		}
		var conns []*serverConn
		l, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(s *poll.Socket, _ bool) poll.Handler {
			c := &serverConn{sock: s}
			conns = append(conns, c)
			return c
		})
		if err != nil {
			t.Fatal(err)
		}
		var failures []error
		count := 0
		w := NewWatch(WatchConfig{Loop: loop, Addr: l.Addr(), Seq: 7, Rand: rand.New(rand.NewPCG(1, 1)), Requests: &count,
			OnResult: func(_ *List, err error) { failures = append(failures, err) }})
		w.Start()
		waitForRequest := func(n int, prefix string) {
			t.Helper()
			for begin := time.Now(); len(conns) < n || !bytes.Contains(conns[n-1].received, []byte("\r\n\r\n")); {
				if err := loop.Turn(false); err != nil || time.Since(begin) > 5*time.Second {
					t.Fatalf("%q: no complete request after %d connections, error %v", partial, len(conns), err)
				}
			}
			if !bytes.HasPrefix(conns[n-1].received, []byte(prefix)) {
				t.Errorf("%q: request is %q", partial, conns[n-1].received)
			}
		}
		reopened := "GET /registry/instances?index=7&wait=50 HTTP" // nothing was received, so that the known version still holds
		if partial != "" {
			reopened = "GET /registry/instances HTTP" // the answer may be from a process with other versions
		}
		for n, prefix := range []string{"GET /registry/instances?index=7&", reopened, reopened} {
			waitForRequest(n+1, prefix)
			if _, err := conns[n].sock.Write([]byte(partial)); err != nil {
				t.Fatal(err)
			}
			for range 3 {
				_ = loop.Turn(false)
			}
			if n < 2 {
				loop.Disarm(&w.timer)
				w.onTimer() // the request times out
				if !w.timer.Armed() || w.state != watchWaiting {
					t.Errorf("%q: state %v after the timeout", partial, w.state)
				}
			}
		}
		if len(failures) != 2 || failures[0] != errNoAnswer || failures[1] != errNoAnswer {
			t.Errorf("%q: errors reported: %v", partial, failures)
		}
		w.Stop()
		l.Close()
		loop.Close()
	}
}
