package proxy

import (
	"testing"

	"ospreyspan/internal/poll"
)

// countingConn is a remote end that keeps only the number of bytes that it has read.
type countingConn struct {
	sock     *poll.Socket
	buf      [4096]byte
	received int
}

func (p *countingConn) Ready(poll.Ready) {
	n, _ := p.sock.Read(p.buf[:])
	p.received += n
}

// relayHalf is one direction of a minimal relay: it writes what it reads to another socket.
type relayHalf struct {
	sock, to *poll.Socket
	buf      []byte
}

func (s *relayHalf) Ready(poll.Ready) {
	if n, err := s.sock.Read(s.buf); err == nil {
		_, _ = s.to.Write(s.buf[:n])
	}
}

// roundTrips sends a line in each direction, b.N times.
func roundTrips(b *testing.B, loop *poll.Loop, client, target *countingConn) {
	text := []byte("reading 7.25 bar 81.3 C running\r\n")
	client.received, target.received = 0, 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for _, way := range [2]struct{ from, to *countingConn }{{client, target}, {target, client}} {
			if _, err := way.from.sock.Write(text); err != nil {
				b.Fatal(err)
			}
			for way.to.received < (i+1)*len(text) {
				if err := loop.Turn(true); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// BenchmarkForward measures forwarding: one line from the client to the target and one back, on
// real sockets, with both remote ends on the proxy's own loop. BenchmarkBareRelay is its lower
// limit.
func BenchmarkForward(b *testing.B) {
	bed := newSocketTestBed(b, 1, false)
	c, t := bed.establish("a")
	client, target := &countingConn{sock: c.sock}, &countingConn{sock: t.sock}
	c.sock.SetHandler(client)
	t.sock.SetHandler(target)
	roundTrips(b, bed.loop, client, target)
}

// BenchmarkBareRelay passes the same lines through two sockets on the same kind of loop, and does
// nothing else.
func BenchmarkBareRelay(b *testing.B) {
	loop, err := poll.New(func() {})
	if err != nil {
		b.Fatal(err)
	}
	defer loop.Close()
	var accepted []*poll.Socket
	l, err := loop.Listen(loopback(), func(s *poll.Socket, _ bool) poll.Handler {
		accepted = append(accepted, s)
		return &countingConn{sock: s}
	})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	var dialled []*poll.Socket
	for len(accepted) < 2 {
		if len(dialled) == len(accepted) {
			s, err := loop.Dial(l.Addr(), &countingConn{})
			if err != nil {
				b.Fatal(err)
			}
			s.Want(false, false)
			dialled = append(dialled, s)
		}
		if err := loop.Turn(true); err != nil {
			b.Fatal(err)
		}
	}
	client, target := &countingConn{sock: dialled[0]}, &countingConn{sock: accepted[1]}
	near, far := &relayHalf{sock: accepted[0], to: dialled[1], buf: make([]byte, 64<<10)},
		&relayHalf{sock: dialled[1], to: accepted[0], buf: make([]byte, 64<<10)}
	client.sock.SetHandler(client)
	client.sock.Want(true, false)
	target.sock.SetHandler(target)
	near.sock.SetHandler(near)
	far.sock.SetHandler(far)
	far.sock.Want(true, false)
	roundTrips(b, loop, client, target)
	for _, s := range append(dialled, accepted...) {
		s.Close()
	}
}
