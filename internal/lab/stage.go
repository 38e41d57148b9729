package lab

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/stats"
	"ospreyspan/internal/vnet"
)

// Options are how a day is played, beyond what the scenario says.
type Options struct {
	// Log gets the proxies' logs, with the virtual time; nil: nobody does.
	Log io.Writer
	// MostReal is how many proxies may be played on real sockets; 0: 16.
	MostReal int
	// Progress is called about every virtual second.
	Progress func(at, total time.Duration)
}

// stage is a day on the virtual network.
type stage struct {
	*day
	o         Options
	world     *vnet.World // nil: the day is played on real sockets
	real      *real
	ledger    *fleet.Ledger
	judge     *judge
	registry  *fleet.Registry
	discovery *discoveryNode
	proxies   []*proxyNode
	nodes     []*relayNode
	crowds    []*crowdNode
	rude      int // connections of bad clients
	costly    map[string]costly
	silent    time.Time     // until then what a watch missed that fell silent does not count as told
	late      time.Duration // news is later by that
	samples   samples
	ended     stats.Counters // the counts of proxies that are gone
	slices    int            // of the limit
	looked    int            // looks at what stands under a limit
	shared    Shared         // likewise, what they said to each other
	err       error
	troubled  time.Duration // until then, troubles have effects
}

// newStage builds the day's network with all that is there at its start.
func newStage(d *day, o Options) (*stage, error) {
	s := &stage{day: d, o: o, costly: make(map[string]costly), registry: fleet.NewRegistry()}
	s.world = vnet.New(d.seed, s.link)
	s.ledger = fleet.NewLedger(s.world.Now().Add(d.s.Run.WarmUp), d.s.Run.Length, d.classes)
	s.ledger.ListShared = d.s.Proxies.Keepers > 0
	s.judge = newJudge(s.world, s.ledger, &d.s.Rules, newNewsClock(s.world, &d.s.Rules, &d.s.Allow))
	s.registry.OnChange = s.judge.clock.changed
	if d.s.Rules.ColdBudget {
		s.judge.cold, s.judge.relay = newColdBudget(d), s.coldRelay
	}
	for i := range d.s.Classes {
		s.judge.classes[d.s.Classes[i].Name] = &d.s.Classes[i]
	}
	return s, s.build()
}

// build sets up all that is there at the day's start.
func (s *stage) build() error {
	d := s.day
	for i := range d.relays {
		if err := s.addRelay(i); err != nil {
			return err
		}
	}
	h := s.machine("discovery", netip.AddrFrom4([4]byte{10, 0, 0, 1}), vnet.Limits{})
	s.is(h, roleDiscovery, "")
	s.discovery = &discoveryNode{host: h}
	if err := s.startDiscovery(); err != nil {
		return err
	}
	for i := range d.s.Proxies.Count {
		if err := s.addProxy(i); err != nil {
			return err
		}
	}
	for i, site := range d.s.Sites {
		if err := s.addCrowd(i, site); err != nil {
			return err
		}
	}
	s.watchLimit()
	s.watchClock()
	for i := range d.s.Troubles {
		s.plot(&d.s.Troubles[i])
	}
	s.samples.init(s)
	return nil
}

func (s *stage) now() time.Time {
	if s.real != nil {
		return s.real.loop.Now()
	}
	return s.world.Now()
}

func (s *stage) after(d time.Duration, f func()) {
	if s.real != nil {
		s.real.loop.After(&poll.Timer{Fire: f}, d)
		return
	}
	s.world.After(d, f)
}

// play runs the day to its end and checks that everything was given back.
func (s *stage) play() error {
	step := time.Second
	for at := time.Duration(0); at < s.total; at += step {
		if err := s.world.Run(min(step, s.total-at)); err != nil {
			return err
		}
		if s.err != nil {
			return s.err
		}
		s.samples.take(s)
		if s.o.Progress != nil {
			s.o.Progress(at+step, s.total)
		}
	}
	for _, c := range s.crowds {
		c.post(func() { c.crowd.Finish(); c.front.Stop() })
	}
	if err := s.world.Run(0); err != nil {
		return err
	}
	if s.s.Run.CoolDown == 0 {
		return nil
	}
	return s.end()
}

// end lets what is out come to its end, looks that nothing is left, and stops the proxies in order.
func (s *stage) end() error {
	if err := s.world.Run(max(s.troubled-s.world.Elapsed(), 0) + s.s.Run.CoolDown); err != nil {
		return err
	}
	stopped := make(map[*proxyNode]int) // lives: a restart that was planned before may start another
	for _, p := range s.proxies {
		if p.inst == nil || !p.host.Up() {
			continue
		}
		stopped[p] = p.lives
		if s.judge.audit(p.name, p.inst.Audit()); !p.inst.Idle() {
			s.judge.broken("given-back", "%s: %v after the last client left something of one is still there", p.name, s.s.Run.CoolDown)
		}
		p.loop.Wake()
	}
	if err := s.world.Run(5 * time.Second); err != nil {
		return err
	}
	for _, p := range s.proxies {
		if p.inst != nil && p.host.Up() && stopped[p] == p.lives {
			s.judge.broken("given-back", "%s: a planned stop without clients is not over after 5 s", p.name)
		}
	}
	return s.world.Run(0)
}

// logTo writes lines of a proxy's log with the virtual time before them.
type logTo struct {
	s    *stage
	name string
}

func (l logTo) Write(p []byte) (int, error) {
	if l.s.o.Log == nil {
		return len(p), nil
	}
	if _, err := fmt.Fprintf(l.s.o.Log, "%v %s: %s", l.s.world.Elapsed(), l.name, p); err != nil {
		return 0, err
	}
	return len(p), nil
}
