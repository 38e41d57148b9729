package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// crowdNode is the machine of all clients of a site, with the load balancer that serves them.
type crowdNode struct {
	node
	site  string
	host  machine
	front *fleet.FrontBalancer
	crowd *fleet.LoadGenerator
}

func (s *stage) addCrowd(i int, site string) error {
	h := s.addMachine("clients-"+site, machineAddr(i, addrClients, i), vnet.Limits{})
	s.setRole(h, roleClient, "")
	n := &crowdNode{site: site, host: h}
	s.crowds = append(s.crowds, n)
	return h.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.newLoop(k, s)
		n.front = fleet.NewFrontBalancer(loop, fleet.FrontBalancerConfig{CheckInterval: s.scenario.Front.CheckPeriod, FailureDelay: s.scenario.Front.Notice}, randomStream(s.seed, "front "+site))
		for _, p := range s.proxies {
			n.front.Add(p.addr(), p.site == site)
		}
		start := loop.Now()
		n.crowd = fleet.NewLoadGenerator(loop, fleet.LoadGeneratorConfig{
			Site: site, Traffic: s.traffic, Classes: s.classes, Groups: s.groupsPerSite, Seed: s.seed,
			Rate: func(now time.Time) float64 { return s.arrivalRate(site, now.Sub(start)) },
		}, n.front, randomStream(s.seed, "arrivals "+site), s.ledger)
		s.setProcess(h, n.crowd.Stop, nil)
		return func() error { return loop.Turn(true) }, nil
	})
}

// startGroups starts Count groups at the sites in turn, Every after each other. Each has Size new
// clients, which connect within For.
func (s *stage) startGroups(t *Fault, at time.Duration, r *rand.Rand) {
	for i := range t.Count {
		c := s.crowds[i%len(s.crowds)]
		name := fmt.Sprintf("%s-%s-%d-%d", c.site, t.Name, at.Milliseconds(), i)
		clients, within := int(t.Size.Draw(r)), t.For.Draw(r)
		stream := randomStream(s.seed, "group "+name)
		s.after(at+time.Duration(i)*t.Every, func() {
			c.post(func() { c.crowd.StartGroup(name, clients, within, stream) })
		})
	}
}
