package lab

import (
	"net/netip"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// discoveryNode is the machine of the discovery service.
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
		loop := n.newLoop(k, s)
		c := fleet.DiscoveryConfig{
			CallWork: s.scenario.Discovery.CallTime, EntryWork: s.scenario.Discovery.LineTime, QueueTimeout: s.scenario.Discovery.Timeout,
			ResetFraction: s.scenario.Discovery.ResetShare,
		}
		d, err := fleet.NewDiscovery(loop, netip.AddrPortFrom(n.host.Addr(), discoveryPort), c, s.registry, s.ledger)
		if err != nil {
			return nil, err
		}
		n.d = d
		s.setProcess(n.host, d.Stop, nil)
		return func() error { return loop.Turn(true) }, nil
	})
}

// scheduleListChange changes discovery's list after the given delay.
func (s *stage) scheduleListChange(after time.Duration, change func()) {
	s.after(after+s.changeDelay, func() {
		change()
		if s.discovery.host.Up() {
			s.discovery.post(s.discovery.d.NotifyWatches)
		}
		s.markPushedLists(0)
	})
}

// silentWatchDelay is how long after a watch fell silent the changes it missed are deemed known.
const silentWatchDelay = 6 * time.Second

// markPushedLists records, where lists are pushed, that all proxies know discovery's list, whether
// or not they asked for it. It skips proxies that cannot be reached, and does nothing where packets
// may be lost: what reaches these proxies is recorded when it arrives.
func (s *stage) markPushedLists(after time.Duration) {
	if !s.scenario.Permissions.ListsPushed || s.judge == nil || s.scenario.Network.Loss > 0 {
		return
	}
	s.after(after, func() {
		h := s.discovery.host.(*vnet.Host)
		if !h.Up() || s.discovery.d == nil || s.discovery.d.Hanging() || s.world.Now().Before(s.silentUntil) {
			return
		}
		for _, p := range s.proxies {
			if p.running() && s.world.Reaches(h, p.vnetHost()) {
				for _, n := range s.nodes {
					if health, ok := s.registry.Health(n.plan.id); ok {
						s.ledger.RecordTold(s.world.Now(), p.host.Addr(), n.plan.id, health == fleet.Serving)
					}
				}
			}
		}
	})
}

// runClockChecks lets the judge check periodically which changes are deemed known.
func (s *stage) runClockChecks() {
	if s.judge == nil || s.scenario.Rules.NewsWithin <= 0 && s.scenario.Rules.AskAgain <= 0 || s.world.Elapsed() >= s.total {
		return
	}
	h := s.discovery.host.(*vnet.Host)
	answers := h.Up() && s.discovery.d != nil && !s.discovery.d.Hanging()
	for _, p := range s.proxies {
		if p.running() {
			s.judge.changeClock.update(p.host.Addr(), answers && s.world.Reaches(h, p.vnetHost()))
			s.judge.checkAskAgain(p.vnetHost())
		}
	}
	s.countColdAllowance()
	s.after(clockInterval, s.runClockChecks)
}

// countColdAllowance adds what cold relays may be sent within one clockInterval.
func (s *stage) countColdAllowance() {
	if s.judge.coldBudget == nil {
		return
	}
	now := s.world.Now()
	for _, n := range s.nodes {
		cold := n.relay != nil && !n.born.IsZero() && n.relay.Machine().WarmFraction(now) < 1
		if health, ok := s.registry.Health(n.plan.id); cold && ok && health == fleet.Serving {
			s.judge.coldBudget.countAllowance(n.relay.Machine(), now, clockInterval)
		}
	}
}
