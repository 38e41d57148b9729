package lab

import (
	"net/netip"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

type discoveryNode struct {
	node
	host machine
	d    *fleet.Discovery
}

func (s *stage) startDiscovery() error {
	n := s.discovery
	if n.host.Running() { // outages may overlap
		return nil
	}
	return n.host.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.on(k, s)
		c := fleet.DiscoveryConfig{
			CallWork: s.s.Discovery.Call, EntryWork: s.s.Discovery.Line, QueueTimeout: s.s.Discovery.Timeout,
			ResetFraction: s.s.Discovery.Resets,
		}
		d, err := fleet.NewDiscovery(loop, netip.AddrPortFrom(n.host.Addr(), discoveryPort), c, s.registry, s.ledger)
		if err != nil {
			return nil, err
		}
		n.d = d
		s.owns(n.host, d.Stop, nil)
		return func() error { return loop.Turn(true) }, nil
	})
}

// news changes discovery's list after a while.
func (s *stage) news(after time.Duration, change func()) {
	s.after(after+s.late, func() {
		change()
		if s.discovery.host.Up() {
			s.discovery.post(s.discovery.d.NotifyWatches)
		}
		s.agents(0)
	})
}

// silentFor is how long after a watch fell silent what it missed counts as told.
const silentFor = 6 * time.Second

// agents takes down, where lists are pushed, that all proxies were told what discovery has, whether or not they asked. One that can't be
// reached, or whose news may be held up on its way, is not counted: what reaches it then counts when it arrives.
func (s *stage) agents(after time.Duration) {
	if !s.s.Allow.Pushed || s.judge == nil || s.s.Network.Loss > 0 {
		return
	}
	s.after(after, func() {
		h := s.discovery.host.(*vnet.Host)
		if !h.Up() || s.discovery.d == nil || s.discovery.d.Hanging() || s.world.Now().Before(s.silent) {
			return
		}
		for _, p := range s.proxies {
			if p.running() && s.world.Reaches(h, p.virtual()) {
				for _, n := range s.nodes {
					if health, ok := s.registry.Health(n.plan.id); ok {
						s.ledger.RecordTold(s.world.Now(), p.host.Addr(), n.plan.id, health == fleet.Serving)
					}
				}
			}
		}
	})
}

// watchClock has the judge look, every now and then, at what counts as told by a clock.
func (s *stage) watchClock() {
	if s.judge == nil || s.s.Rules.NewsWithin <= 0 && s.s.Rules.AskAgain <= 0 || s.world.Elapsed() >= s.total {
		return
	}
	h := s.discovery.host.(*vnet.Host)
	answers := h.Up() && s.discovery.d != nil && !s.discovery.d.Hanging()
	for _, p := range s.proxies {
		if p.running() {
			s.judge.clock.look(p.host.Addr(), answers && s.world.Reaches(h, p.virtual()))
			s.judge.asksAgain(p.virtual())
		}
	}
	s.countColdRoom()
	s.after(clockStep, s.watchClock)
}

// countColdRoom counts what cold relays may be sent, for one step of the clock.
func (s *stage) countColdRoom() {
	if s.judge.cold == nil {
		return
	}
	now := s.world.Now()
	for _, n := range s.nodes {
		cold := n.relay != nil && !n.born.IsZero() && n.relay.Machine().WarmFraction(now) < 1
		if health, ok := s.registry.Health(n.plan.id); cold && ok && health == fleet.Serving {
			s.judge.cold.runs(n.relay.Machine(), now, clockStep)
		}
	}
}
