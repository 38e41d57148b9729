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
	config  FrontBalancerConfig
	loop    *poll.Loop
	rng     *rand.Rand
	proxies []*proxyState
}

// proxyState is a proxy as a front sees it.
type proxyState struct {
	front        *FrontBalancer
	addr         netip.AddrPort
	sameSite     bool // it is of the front's site
	admitted     bool
	withdrawn    bool // it is to stop: no more clients
	failingSince time.Time
	failureDelay time.Duration // drawn anew for each failure
	sock         *poll.Socket
	timer        poll.Timer
	answer       []byte
}

// NewFrontBalancer returns a front without proxies.
func NewFrontBalancer(loop *poll.Loop, c FrontBalancerConfig, rng *rand.Rand) *FrontBalancer {
	return &FrontBalancer{config: c, loop: loop, rng: rng}
}

// Add has the front watch a proxy; home tells that it is of its own site.
func (f *FrontBalancer) Add(addr netip.AddrPort, home bool) {
	s := &proxyState{front: f, addr: addr, sameSite: home}
	s.timer.Fire = s.check
	f.proxies = append(f.proxies, s)
	f.loop.After(&s.timer, 0)
}

// Withdraw gives a proxy no more clients until it is admitted anew: it was told to stop.
func (f *FrontBalancer) Withdraw(addr netip.AddrPort) {
	for _, s := range f.proxies {
		if s.addr == addr {
			s.admitted, s.withdrawn = false, true
		}
	}
}

// AllowReadmission lets a proxy that was withdrawn be admitted again once it answers.
func (f *FrontBalancer) AllowReadmission(addr netip.AddrPort) {
	for _, s := range f.proxies {
		if s.addr == addr {
			s.withdrawn = false
		}
	}
}

// Pick returns a proxy for a client; ok is false if none is admitted.
func (f *FrontBalancer) Pick() (at netip.AddrPort, ok bool) {
	for _, home := range []bool{true, false} {
		n := 0
		for _, s := range f.proxies { // one of those that fit, drawn as they come
			if s.admitted && s.sameSite == home {
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
	for _, s := range f.proxies {
		if s.admitted {
			n++
		}
	}
	return n
}

// Stop ends the watch.
func (f *FrontBalancer) Stop() {
	for _, s := range f.proxies {
		f.loop.Disarm(&s.timer)
		s.closeSocket()
	}
	f.proxies = slices.Delete(f.proxies, 0, len(f.proxies))
}

func (s *proxyState) closeSocket() {
	if s.sock != nil {
		s.sock.Close()
		s.sock = nil
	}
}

// check asks the proxy; what is still out from the last time has failed.
func (s *proxyState) check() {
	if s.sock != nil {
		s.closeSocket()
		s.recordFailure()
	}
	s.front.loop.After(&s.timer, s.front.config.CheckInterval)
	s.answer = s.answer[:0]
	sock, err := s.front.loop.Dial(s.addr, s)
	if err != nil {
		s.recordFailure()
		return
	}
	s.sock = sock
}

func (s *proxyState) recordFailure() {
	now := s.front.loop.Now()
	if s.failingSince.IsZero() {
		s.failingSince, s.failureDelay = now, s.front.config.FailureDelay.Draw(s.front.rng)
	}
	if now.Sub(s.failingSince) >= s.failureDelay {
		s.admitted = false
	}
}

// Ready is called by the loop.
func (s *proxyState) Ready(r poll.Ready) {
	if len(s.answer) == 0 && r.Write {
		if s.sock.DialError() != nil {
			s.closeSocket()
			s.recordFailure()
			return
		}
		if _, err := s.sock.Write([]byte("PING\r\n")); err != nil {
			s.closeSocket()
			s.recordFailure()
			return
		}
		s.sock.Want(true, false)
	}
	if !r.Read {
		return
	}
	var buf [64]byte
	n, err := s.sock.Read(buf[:])
	if s.answer = append(s.answer, buf[:n]...); string(s.answer) == "PONG\r\n" {
		s.closeSocket()
		s.failingSince = time.Time{}
		s.admitted = !s.withdrawn
		return
	}
	if err != nil && err != poll.ErrAgain || len(s.answer) > len("PONG\r\n") {
		s.closeSocket()
		s.recordFailure()
	}
}
