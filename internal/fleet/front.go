package fleet

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/poll"
)

// FrontBalancerConfig describes how a front balancer checks its proxies.
type FrontBalancerConfig struct {
	CheckInterval time.Duration // between two checks of a proxy
	FailureDelay  DurationRange // failing checks for this long withdraws the admission
}

// FrontBalancer assigns clients to the proxies of a site. A proxy is admitted once it has answered
// PING with PONG, and a failed proxy is removed with a delay. If the site has no admitted proxy,
// its clients go to the proxies of other sites.
type FrontBalancer struct {
	config  FrontBalancerConfig
	loop    *poll.Loop
	rng     *rand.Rand
	proxies []*proxyState
}

// proxyState is the state of one proxy at a front balancer.
type proxyState struct {
	front        *FrontBalancer
	addr         netip.AddrPort
	sameSite     bool // it is in the balancer's site
	admitted     bool
	withdrawn    bool // it is to stop and gets no more clients
	failingSince time.Time
	failureDelay time.Duration // drawn again for each failure
	sock         *poll.Socket
	timer        poll.Timer
	answer       []byte
}

// NewFrontBalancer returns a front balancer without proxies.
func NewFrontBalancer(loop *poll.Loop, c FrontBalancerConfig, rng *rand.Rand) *FrontBalancer {
	return &FrontBalancer{config: c, loop: loop, rng: rng}
}

// Add starts the checks of a proxy; sameSite tells whether it is in the balancer's own site.
func (f *FrontBalancer) Add(addr netip.AddrPort, sameSite bool) {
	s := &proxyState{front: f, addr: addr, sameSite: sameSite}
	s.timer.Fire = s.check
	f.proxies = append(f.proxies, s)
	f.loop.After(&s.timer, 0)
}

// Withdraw stops assigning clients to a proxy that was told to stop. It is admitted again only
// after AllowReadmission and a check that it answers.
func (f *FrontBalancer) Withdraw(addr netip.AddrPort) {
	for _, s := range f.proxies {
		if s.addr == addr {
			s.admitted, s.withdrawn = false, true
		}
	}
}

// AllowReadmission lets a withdrawn proxy be admitted again once it answers a check.
func (f *FrontBalancer) AllowReadmission(addr netip.AddrPort) {
	for _, s := range f.proxies {
		if s.addr == addr {
			s.withdrawn = false
		}
	}
}

// Pick returns a proxy for a client; ok is false if none is admitted.
func (f *FrontBalancer) Pick() (proxy netip.AddrPort, ok bool) {
	for _, sameSite := range []bool{true, false} {
		n := 0
		for _, s := range f.proxies { // reservoir sampling: each matching proxy is equally likely
			if s.admitted && s.sameSite == sameSite {
				if n++; f.rng.IntN(n) == 0 {
					proxy = s.addr
				}
			}
		}
		if n > 0 {
			return proxy, true
		}
	}
	return proxy, false
}

// Admitted returns the number of proxies that get clients.
func (f *FrontBalancer) Admitted() int {
	n := 0
	for _, s := range f.proxies {
		if s.admitted {
			n++
		}
	}
	return n
}

// Stop ends all checks and removes all proxies.
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

// check starts the next check of the proxy. A check that is still open by then has failed.
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

// Ready handles readiness of the check's socket.
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
