package lab

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

type costly struct{ part, times float64 }

type relayNode struct {
	node
	plan  *relayPlan
	host  machine
	relay *fleet.Relay // nil: none runs
	lives int
	gone  bool      // it stays away
	born  time.Time // it started cold then; zero: it was there from the start
	// trouble is when the last trouble that was made for it ends or ended.
	trouble time.Time
}

func (s *stage) addRelay(i int) error {
	p := &s.relays[i]
	h := s.machine(p.id, at(siteIndex(s.s.Sites, p.site), atRelay, i), vnet.Limits{})
	s.is(h, roleRelay, p.id)
	n := &relayNode{plan: p, host: h}
	s.nodes = append(s.nodes, n)
	if p.late {
		return nil
	}
	if err := s.startRelay(n, false); err != nil {
		return err
	}
	s.registry.Set(s.entry(n, 0))
	return nil
}

func (s *stage) entry(n *relayNode, bornMS int64) fleet.Entry {
	return fleet.Entry{
		Host: n.plan.id, Dial: netip.AddrPortFrom(n.host.Addr(), relayPort).String(), Site: n.plan.site, Kind: n.plan.kind.Name,
		Health: fleet.Serving, Share: 1, StartedMS: bornMS, Block: slices.Index(s.nodes, n) % 2,
	}
}

// coldRelay is a relay that has started during the day, for the judge.
func (s *stage) coldRelay(id string) (coldRelay, bool) {
	i := slices.IndexFunc(s.nodes, func(n *relayNode) bool { return n.plan.id == id })
	if i < 0 || s.nodes[i].relay == nil || s.nodes[i].born.IsZero() {
		return coldRelay{}, false
	}
	return coldRelay{bornMS: s.nodes[i].born.UnixMilli(), machine: s.nodes[i].relay.Machine()}, true
}

func (s *stage) startRelay(n *relayNode, cold bool) error {
	n.lives++
	rng := stream(s.seed, fmt.Sprintf("relay %s %d", n.plan.id, n.lives))
	return n.host.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.on(k, s)
		c := s.relay(n.plan, cold, rng)
		c.SiteOf = s.siteOf
		c.CostlyConnections = func(class string) (float64, float64) { return s.costly[class].part, s.costly[class].times }
		r, err := fleet.NewRelay(loop, netip.AddrPortFrom(n.host.Addr(), relayPort), c, rng, s.ledger)
		if err != nil {
			return nil, err
		}
		n.relay = r
		r.OnCrash = func() { n.host.Kill(); n.relay, n.gone = nil, true }
		s.owns(n.host, r.Stop, r.SetSilent)
		return func() error { return loop.Turn(true) }, nil
	})
}
