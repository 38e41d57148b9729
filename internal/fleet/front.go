package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/poll"
)

// FrontBalancerConfig is how a front watches its proxies.
type FrontBalancerConfig struct {
	CheckInterval time.Duration // between two checks of a proxy
	FailureDelay  DurationRange // a proxy that fails its checks is given no more clients after this
}

// FrontBalancer hands clients out to the proxies of a site. A proxy is admitted once it has answered PING with PONG, and one
// that is dead is noticed late; where a site has none left, its clients go to those of the others.
type FrontBalancer struct {
	c     FrontBalancerConfig
	loop  *poll.Loop
	rng   *rand.Rand
	seats []*seat
}

// seat is a proxy as a front sees it.
type seat struct {
	f        *FrontBalancer
	addr     netip.AddrPort
	home     bool // it is of the front's site
	admitted bool
	out      bool // it is to stop: no more clients
	failing  time.Time
	late     time.Duration // drawn anew for each failure
	sock     *poll.Socket
	timer    poll.Timer
	got      []byte
}

// NewFrontBalancer returns a front without proxies.
func NewFrontBalancer(loop *poll.Loop, c FrontBalancerConfig, rng *rand.Rand) *FrontBalancer {
	return &FrontBalancer{c: c, loop: loop, rng: rng}
}

// Add has the front watch a proxy; home tells that it is of its own site.
func (f *FrontBalancer) Add(addr netip.AddrPort, home bool) {
	s := &seat{f: f, addr: addr, home: home}
	s.timer.Fire = s.check
	f.seats = append(f.seats, s)
	f.loop.After(&s.timer, 0)
}

// Withdraw gives a proxy no more clients until it is admitted anew: it was told to stop.
func (f *FrontBalancer) Withdraw(addr netip.AddrPort) {
	for _, s := range f.seats {
		if s.addr == addr {
			s.admitted, s.out = false, true
		}
	}
}

// AllowReadmission lets a proxy that was withdrawn be admitted again once it answers.
func (f *FrontBalancer) AllowReadmission(addr netip.AddrPort) {
	for _, s := range f.seats {
		if s.addr == addr {
			s.out = false
		}
	}
}

// Pick returns a proxy for a client; ok is false if none is admitted.
func (f *FrontBalancer) Pick() (at netip.AddrPort, ok bool) {
	for _, home := range []bool{true, false} {
		n := 0
		for _, s := range f.seats { // one of those that fit, drawn as they come
			if s.admitted && s.home == home {
				if n++; f.rng.IntN(n) == 0 {
					at = s.addr
				}
			}
		}
		if n > 0 {
			return at, true
		}
	}
	return at, false
}

// Admitted tells how many proxies get clients.
func (f *FrontBalancer) Admitted() int {
	n := 0
	for _, s := range f.seats {
		if s.admitted {
			n++
		}
	}
	return n
}

// Stop ends the watch.
func (f *FrontBalancer) Stop() {
	for _, s := range f.seats {
		f.loop.Disarm(&s.timer)
		s.hangUp()
	}
	f.seats = slices.Delete(f.seats, 0, len(f.seats))
}

func (s *seat) hangUp() {
	if s.sock != nil {
		s.sock.Close()
		s.sock = nil
	}
}

// check asks the proxy; what is still out from the last time has failed.
func (s *seat) check() {
	if s.sock != nil {
		s.hangUp()
		s.fails()
	}
	s.f.loop.After(&s.timer, s.f.c.CheckInterval)
	s.got = s.got[:0]
	sock, err := s.f.loop.Dial(s.addr, s)
	if err != nil {
		s.fails()
		return
	}
	s.sock = sock
}

func (s *seat) fails() {
	now := s.f.loop.Now()
	if s.failing.IsZero() {
		s.failing, s.late = now, s.f.c.FailureDelay.Draw(s.f.rng)
	}
	if now.Sub(s.failing) >= s.late {
		s.admitted = false
	}
}

// Ready is called by the loop.
func (s *seat) Ready(r poll.Ready) {
	if len(s.got) == 0 && r.Write {
		if s.sock.DialError() != nil {
			s.hangUp()
			s.fails()
			return
		}
		if _, err := s.sock.Write([]byte("PING\r\n")); err != nil {
			s.hangUp()
			s.fails()
			return
		}
		s.sock.Want(true, false)
	}
	if !r.Read {
		return
	}
	var buf [64]byte
	n, err := s.sock.Read(buf[:])
	if s.got = append(s.got, buf[:n]...); string(s.got) == "PONG\r\n" {
		s.hangUp()
		s.failing = time.Time{}
		s.admitted = !s.out
		return
	}
	if err != nil && err != poll.ErrAgain || len(s.got) > len("PONG\r\n") {
		s.hangUp()
		s.fails()
	}
}
