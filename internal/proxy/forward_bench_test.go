package proxy

import (
	"testing"

	"ospreyspan/internal/poll"
)

// player is a far end that keeps no more than how much it has read.
type player struct {
	sock *poll.Socket
	buf  [4096]byte
	got  int
}

func (p *player) Ready(poll.Ready) {
	n, _ := p.sock.Read(p.buf[:])
	p.got += n
}

// bareSide is one half of the least that a relay can do: read here, write there.
type bareSide struct {
	sock, to *poll.Socket
	buf      []byte
}

func (s *bareSide) Ready(poll.Ready) {
	if n, err := s.sock.Read(s.buf); err == nil {
		_, _ = s.to.Write(s.buf[:n])
	}
}

// roundTrips sends a line each way, b.N times.
func roundTrips(b *testing.B, loop *poll.Loop, client, target *player) {
	text := []byte("reading 7.25 bar 81.3 C running\r\n")
	client.got, target.got = 0, 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for _, way := range [2]struct{ from, to *player }{{client, target}, {target, client}} {
			if _, err := way.from.sock.Write(text); err != nil {
				b.Fatal(err)
			}
			for way.to.got < (i+1)*len(text) {
				if err := loop.Turn(true); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
}

// BenchmarkForward is the pass-through path: one line from the client to the target and one back, on real
// sockets, both far ends on the proxy's own loop. BenchmarkBareRelay is its limit.
func BenchmarkForward(b *testing.B) {
	bed := newRealBed(b, 1, false)
	c, t := bed.stands("a")
	client, target := &player{sock: c.sock}, &player{sock: t.sock}
	c.sock.SetHandler(client)
	t.sock.SetHandler(target)
	roundTrips(b, bed.loop, client, target)
}

// BenchmarkBareRelay passes the same lines through two sockets on the same kind of loop, and nothing else.
func BenchmarkBareRelay(b *testing.B) {
	loop, err := poll.New(func() {})
	if err != nil {
		b.Fatal(err)
	}
	defer loop.Close()
	var accepted []*poll.Socket
	l, err := loop.Listen(loopback(), func(s *poll.Socket, _ bool) poll.Handler {
		accepted = append(accepted, s)
		return &player{sock: s}
	})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	var dialled []*poll.Socket
	for len(accepted) < 2 {
		if len(dialled) == len(accepted) {
			s, err := loop.Dial(l.Addr(), &player{})
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
	client, target := &player{sock: dialled[0]}, &player{sock: accepted[1]}
	near, far := &bareSide{sock: accepted[0], to: dialled[1], buf: make([]byte, 64<<10)},
		&bareSide{sock: dialled[1], to: accepted[0], buf: make([]byte, 64<<10)}
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
