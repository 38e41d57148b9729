package lab

import (
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

type crowdNode struct {
	node
	site  string
	host  machine
	front *fleet.FrontBalancer
	crowd *fleet.LoadGenerator
}

func (s *stage) addCrowd(i int, site string) error {
	h := s.machine("clients-"+site, at(i, atClients, i), vnet.Limits{})
	s.is(h, roleClient, "")
	n := &crowdNode{site: site, host: h}
	s.crowds = append(s.crowds, n)
	return h.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.on(k, s)
		n.front = fleet.NewFrontBalancer(loop, fleet.FrontBalancerConfig{CheckInterval: s.s.Front.Every, FailureDelay: s.s.Front.Notice}, stream(s.seed, "front "+site))
		for _, p := range s.proxies {
			n.front.Add(p.addr(), p.site == site)
		}
		start := loop.Now()
		n.crowd = fleet.NewLoadGenerator(loop, fleet.LoadGeneratorConfig{
			Site: site, Traffic: s.traffic, Classes: s.classes, Groups: s.groups, Seed: s.seed,
			Rate: func(now time.Time) float64 { return s.rate(site, now.Sub(start)) },
		}, n.front, stream(s.seed, "arrivals "+site), s.ledger)
		s.owns(h, n.crowd.Stop, nil)
		return func() error { return loop.Turn(true) }, nil
	})
}
