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

// costlyFault makes a share of the connections of a class cost a multiple of the usual load.
type costlyFault struct{ share, multiple float64 }

// relayNode is the machine of a relay.
type relayNode struct {
	node
	plan    *relayPlan
	host    machine
	relay   *fleet.Relay // nil: none runs
	starts  int
	removed bool      // for good
	born    time.Time // time of the cold start; zero: it ran from the start
	// faultUntil is when the last fault that strikes the relay ends or ended.
	faultUntil time.Time
}

func (s *stage) addRelay(i int) error {
	p := &s.relays[i]
	h := s.addMachine(p.id, machineAddr(siteIndex(s.scenario.Sites, p.site), addrRelay, i), vnet.Limits{})
	s.setRole(h, roleRelay, p.id)
	n := &relayNode{plan: p, host: h}
	s.nodes = append(s.nodes, n)
	if p.startsLate {
		return nil
	}
	if err := s.startRelay(n, false); err != nil {
		return err
	}
	if s.unlisted(i) {
		s.scheduleListChange(s.scenario.Standing.ListedAfter, func() { s.registry.Set(s.entry(n, 0)) })
		return nil
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

// coldRelay returns a relay that has started during the day.
func (s *stage) coldRelay(id string) (coldRelay, bool) {
	i := slices.IndexFunc(s.nodes, func(n *relayNode) bool { return n.plan.id == id })
	if i < 0 || s.nodes[i].relay == nil || s.nodes[i].born.IsZero() {
		return coldRelay{}, false
	}
	return coldRelay{bornMS: s.nodes[i].born.UnixMilli(), machine: s.nodes[i].relay.Machine()}, true
}

func (s *stage) startRelay(n *relayNode, cold bool) error {
	n.starts++
	rng := randomStream(s.seed, fmt.Sprintf("relay %s %d", n.plan.id, n.starts))
	return n.host.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.newLoop(k, s)
		c := s.relayConfig(n.plan, cold, rng)
		c.SiteOf = s.siteOf
		c.CostlyConnections = func(class string) (float64, float64) {
			return s.costlyClasses[class].share, s.costlyClasses[class].multiple
		}
		r, err := fleet.NewRelay(loop, netip.AddrPortFrom(n.host.Addr(), relayPort), c, rng, s.ledger)
		if err != nil {
			return nil, err
		}
		n.relay = r
		r.OnCrash = func() { n.host.Kill(); n.relay, n.removed = nil, true }
		s.setProcess(n.host, r.Stop, r.SetSilent)
		return func() error { return loop.Turn(true) }, nil
	})
}
