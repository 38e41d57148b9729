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

// Options are settings of a run that are not part of the scenario.
type Options struct {
	// Log receives the proxies' logs, with the virtual time; nil: they are discarded.
	Log io.Writer
	// MaxRealProxies is how many proxies may run on real sockets; 0: 16.
	MaxRealProxies int
	// Progress is called about once per virtual second.
	Progress func(at, total time.Duration)
}

// stage is the running state of one day.
type stage struct {
	*day
	options          Options
	world            *vnet.World // nil: the day runs on real sockets
	real             *realDay
	ledger           *fleet.Ledger
	judge            *judge
	registry         *fleet.Registry
	discovery        *discoveryNode
	proxies          []*proxyNode
	nodes            []*relayNode
	crowds           []*crowdNode
	badClientSources int // machines of bad clients so far; numbers their addresses
	costlyClasses    map[string]costlyFault
	// Until silentUntil, changes missed by a silent watch are not deemed known.
	silentUntil   time.Time
	changeDelay   time.Duration // added to the delay of each change in discovery's list
	samples       samples
	endedCounters stats.Counters // sums of proxies that have ended
	limitSlices   int            // slices of the shared limit; 0: not set yet
	limitChecks   int            // times that the use of the limit was sampled
	shared        SharedStats    // fleet traffic of ended proxies, and use of the shared limit
	err           error
	faultsUntil   time.Duration // since the start, until when faults have effects
}

// newStage sets up the network of the day and everything that runs from its start.
func newStage(d *day, o Options) (*stage, error) {
	s := &stage{day: d, options: o, costlyClasses: make(map[string]costlyFault), registry: fleet.NewRegistry()}
	s.world = vnet.New(d.seed, s.link)
	s.ledger = fleet.NewLedger(s.world.Now().Add(d.scenario.Run.WarmUp), d.scenario.Run.Length, d.classes)
	s.ledger.ListShared = d.scenario.Proxies.Keepers > 0
	s.judge = newJudge(s.world, s.ledger, &d.scenario.Rules, newChangeClock(s.world, &d.scenario.Rules, &d.scenario.Permissions))
	s.registry.OnChange = s.judge.changeClock.listChanged
	if d.scenario.Rules.ColdBudget {
		s.judge.coldBudget, s.judge.findColdRelay = newColdBudget(d), s.coldRelay
	}
	for i := range d.scenario.Classes {
		s.judge.classes[d.scenario.Classes[i].Name] = &d.scenario.Classes[i]
	}
	return s, s.build()
}

// build sets up everything that runs from the start of the day.
func (s *stage) build() error {
	d := s.day
	for i := range d.relays {
		if err := s.addRelay(i); err != nil {
			return err
		}
	}
	h := s.addMachine("discovery", netip.AddrFrom4([4]byte{10, 0, 0, 1}), vnet.Limits{})
	s.setRole(h, roleDiscovery, "")
	s.discovery = &discoveryNode{host: h}
	if err := s.startDiscovery(); err != nil {
		return err
	}
	for i := range d.scenario.Proxies.Count {
		if err := s.addProxy(i); err != nil {
			return err
		}
	}
	for i, site := range d.scenario.Sites {
		if err := s.addCrowd(i, site); err != nil {
			return err
		}
	}
	s.sampleConnections()
	s.runClockChecks()
	s.scheduleStanding()
	for i := range d.scenario.Faults {
		s.scheduleFault(&d.scenario.Faults[i])
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

// play runs the day to its end and checks that everything was released.
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
		if s.options.Progress != nil {
			s.options.Progress(at+step, s.total)
		}
	}
	for _, c := range s.crowds {
		c.post(func() { c.crowd.Finish(); c.front.Stop() })
	}
	if err := s.world.Run(0); err != nil {
		return err
	}
	if s.scenario.Run.CoolDown == 0 {
		return nil
	}
	return s.finish()
}

// finish lets faults and open requests end, checks that nothing is left and stops the proxies in
// order.
func (s *stage) finish() error {
	if err := s.world.Run(max(s.faultsUntil-s.world.Elapsed(), 0) + s.scenario.Run.CoolDown); err != nil {
		return err
	}
	// By the value of starts, since an earlier planned restart may start another process.
	stopped := make(map[*proxyNode]int)
	for _, p := range s.proxies {
		if p.inst == nil || !p.host.Up() {
			continue
		}
		stopped[p] = p.starts
		if s.judge.reportAuditError(p.name, p.inst.Audit()); !p.inst.Idle() {
			s.judge.reportViolation("given-back", "%s: %v after the last client left, state of a connection is still held", p.name, s.scenario.Run.CoolDown)
		}
		p.loop.Wake()
	}
	if err := s.world.Run(5 * time.Second); err != nil {
		return err
	}
	for _, p := range s.proxies {
		if p.inst != nil && p.host.Up() && stopped[p] == p.starts {
			s.judge.reportViolation("given-back", "%s: a planned stop without clients has not finished after 5 s", p.name)
		}
	}
	return s.world.Run(0)
}

// proxyLogWriter writes lines of a proxy's log with the virtual time in front.
type proxyLogWriter struct {
	s    *stage
	name string
}

func (l proxyLogWriter) Write(p []byte) (int, error) {
	if l.s.options.Log == nil {
		return len(p), nil
	}
	if _, err := fmt.Fprintf(l.s.options.Log, "%v %s: %s", l.s.world.Elapsed(), l.name, p); err != nil {
		return 0, err
	}
	return len(p), nil
}
