package lab

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
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

const (
	proxyPort     = 8443
	relayPort     = 8443
	discoveryPort = 8500
)

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

type costly struct{ part, times float64 }

// node is a loop with a box for what is to be done on it: the loop's own clock and timers are set right only in a turn.
type node struct {
	loop   *poll.Loop
	box    []func()
	direct bool // there is one loop, and what is posted runs on it already
}

func (n *node) on(k poll.Kernel, s *stage) *poll.Loop {
	n.box = nil
	if s.real != nil { // all share one
		n.loop, n.direct = s.real.loop, true
		return n.loop
	}
	n.loop = poll.NewOn(k, func() {
		for len(n.box) > 0 {
			f := n.box[0]
			n.box = n.box[1:]
			f()
		}
	})
	return n.loop
}

// post has f called in the node's next turn.
func (n *node) post(f func()) {
	if n.direct {
		f()
		return
	}
	n.box = append(n.box, f)
	n.loop.Wake()
}

type proxyNode struct {
	name  string
	site  string
	host  machine
	loop  *poll.Loop
	inst  *instance.Instance // nil: none runs, or it is a process of its own
	rng   *rand.Rand         // seeds of its lives
	audit time.Time
	lives int
}

func (p *proxyNode) addr() netip.AddrPort { return netip.AddrPortFrom(p.host.Addr(), proxyPort) }

type relayNode struct {
	node
	plan  *relayPlan
	host  machine
	relay *fleet.Relay // nil: none runs
	lives int
	gone  bool // it stays away
	// trouble is when the last trouble that was made for it ends or ended.
	trouble time.Time
}

type discoveryNode struct {
	node
	host machine
	d    *fleet.Discovery
}

type crowdNode struct {
	node
	site  string
	host  machine
	front *fleet.Front
	crowd *fleet.Crowd
}

// newStage builds the day's network with all that is there at its start.
func newStage(d *day, o Options) (*stage, error) {
	s := &stage{day: d, o: o, costly: make(map[string]costly), registry: fleet.NewRegistry()}
	s.world = vnet.New(d.seed, s.link)
	s.ledger = fleet.NewLedger(s.world.Now().Add(d.s.Run.WarmUp), d.s.Run.Length, d.classes)
	s.ledger.Shared = d.s.Proxies.Keepers > 0
	s.judge = newJudge(s.world, s.ledger, &d.s.Rules)
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
	for i := range d.s.Troubles {
		s.plot(&d.s.Troubles[i])
	}
	s.samples.init(s)
	return nil
}

// siteOf is the site of a machine, by its address: the second byte counts the sites from 1, and 0 is none.
func (s *stage) siteOf(a netip.Addr) string {
	if i := int(a.As4()[1]); i > 0 && i <= len(s.s.Sites) {
		return s.s.Sites[i-1]
	}
	return ""
}

// at is the address of a machine: its site, what it is and its number.
func at(site, what, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(site + 1), byte(what<<4 + n>>8), byte(n)})
}

// What a machine is, in its address.
const (
	atRelay = iota
	atProxy
	atClients
	atRude
)

func (s *stage) link(from, to *vnet.Host) vnet.Link {
	a, b := s.siteOf(from.Addr()), s.siteOf(to.Addr())
	d := s.same
	if a != b && a != "" && b != "" {
		d = s.cross[[2]string{a, b}]
	}
	for _, h := range []*vnet.Host{from, to} {
		if s.judge != nil && s.judge.roles[h] == roleClient {
			d += s.client[s.siteOf(h.Addr())]
		}
	}
	return vnet.Link{
		Delay: d, Jitter: time.Duration(s.jitter * float64(d)), Loss: s.s.Network.Loss, Bandwidth: s.s.Network.Bandwidth,
	}
}

func siteIndex(sites []string, site string) int { return slices.Index(sites, site) }

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
		Health: fleet.Serving, Share: 1, BornMS: bornMS, Block: slices.Index(s.nodes, n) % 2,
	}
}

func (s *stage) startRelay(n *relayNode, cold bool) error {
	n.lives++
	rng := stream(s.seed, fmt.Sprintf("relay %s %d", n.plan.id, n.lives))
	return n.host.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.on(k, s)
		c := s.relay(n.plan, cold, rng)
		c.SiteOf = s.siteOf
		c.Costly = func(class string) (float64, float64) { return s.costly[class].part, s.costly[class].times }
		r, err := fleet.NewRelay(loop, netip.AddrPortFrom(n.host.Addr(), relayPort), c, rng, s.ledger)
		if err != nil {
			return nil, err
		}
		n.relay = r
		r.Fell = func() { n.host.Kill(); n.relay, n.gone = nil, true }
		s.owns(n.host, r.Stop, r.Silence)
		return func() error { return loop.Turn(true) }, nil
	})
}

func (s *stage) startDiscovery() error {
	n := s.discovery
	if n.host.Running() { // outages may overlap
		return nil
	}
	return n.host.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.on(k, s)
		c := fleet.DiscoveryConfig{Call: s.s.Discovery.Call, Line: s.s.Discovery.Line, Timeout: s.s.Discovery.Timeout}
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
			s.discovery.post(s.discovery.d.News)
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
		if !h.Up() || s.discovery.d == nil || s.discovery.d.Hangs() || s.world.Now().Before(s.silent) {
			return
		}
		for _, p := range s.proxies {
			if p.running() && s.world.Reaches(h, p.virtual()) {
				for _, n := range s.nodes {
					if health, ok := s.registry.HealthOf(n.plan.id); ok {
						s.ledger.Told(s.world.Now(), p.host.Addr(), n.plan.id, health == fleet.Serving)
					}
				}
			}
		}
	})
}

func (s *stage) addProxy(i int) error {
	site := i % len(s.s.Sites)
	name := fmt.Sprintf("proxy-%03d", i)
	h := s.machine(name, at(site, atProxy, i), vnet.Limits{
		Descriptors: s.s.Proxies.Sockets, EventCost: s.s.Proxies.EventCost,
	})
	s.is(h, roleProxy, "")
	p := &proxyNode{name: name, site: s.s.Sites[site], host: h, rng: stream(s.seed, "proxy "+name)}
	s.proxies = append(s.proxies, p)
	return s.startProxy(p)
}

func (s *stage) startProxy(p *proxyNode) error {
	set, err := s.settingsAt(p.site)
	if err != nil {
		return err
	}
	p.lives++
	if s.real != nil {
		return s.real.startProxy(s, p)
	}
	c := instance.Config{
		Name: p.name, Listen: p.addr(), Discovery: netip.AddrPortFrom(s.discovery.host.Addr(), discoveryPort),
		Seed: p.rng.Uint64(), Sockets: s.s.Proxies.Sockets, Known: s.known(), Settings: set, Tuning: s.s.Tuning(),
		Log: log.New(logTo{s, p.name}, "", 0),
	}
	if c.Fleet, err = s.shares(p); err != nil {
		return err
	}
	return p.host.Start(func(k poll.Kernel) (func() error, error) {
		var inst *instance.Instance
		loop := poll.NewOn(k, func() { inst.Drain() })
		var err error
		if inst, err = instance.New(loop, c); err != nil {
			return nil, err
		}
		p.inst, p.loop = inst, loop
		s.agents(0)
		return func() error { return s.turn(p, inst) }, nil
	})
}

// turn is one turn of a proxy, with a look at its books.
func (s *stage) turn(p *proxyNode, inst *instance.Instance) error {
	if err := inst.Turn(); err != nil {
		return err
	}
	if inst.Done() {
		if err := s.judge.exits(p.host.(*vnet.Host)); err != nil {
			s.judge.audit(p.name, err)
		}
		s.ended.Add(&inst.Count)
		s.meshEnded(inst)
		p.inst = nil
		return vnet.ErrExit
	}
	if now := s.world.Now(); !now.Before(p.audit) {
		p.audit = now.Add(s.s.Run.Audit)
		s.judge.audit(p.name, inst.Audit())
	}
	return nil
}

// known is the list that a proxy starts with.
func (s *stage) known() *routes.List {
	l := &routes.List{Whole: true}
	for i := range s.relays {
		if s.relays[i].late {
			continue
		}
		n := s.nodes[i]
		l.Hosts = append(l.Hosts, &routes.Target{
			ID: n.plan.id, Addr: netip.AddrPortFrom(n.host.Addr(), relayPort), Site: n.plan.site, Kind: n.plan.kind.Name, Share: 1,
			Block: i % 2,
		})
	}
	return l
}

func (s *stage) addCrowd(i int, site string) error {
	h := s.machine("clients-"+site, at(i, atClients, i), vnet.Limits{})
	s.is(h, roleClient, "")
	n := &crowdNode{site: site, host: h}
	s.crowds = append(s.crowds, n)
	return h.Start(func(k poll.Kernel) (func() error, error) {
		loop := n.on(k, s)
		n.front = fleet.NewFront(loop, fleet.FrontConfig{Every: s.s.Front.Every, Notice: s.s.Front.Notice}, stream(s.seed, "front "+site))
		for _, p := range s.proxies {
			n.front.Add(p.addr(), p.site == site)
		}
		start := loop.Now()
		n.crowd = fleet.NewCrowd(loop, fleet.CrowdConfig{
			Site: site, Traffic: s.traffic, Classes: s.classes, Groups: s.groups, Seed: s.seed,
			Rate: func(now time.Time) float64 { return s.rate(site, now.Sub(start)) },
		}, n.front, stream(s.seed, "arrivals "+site), s.ledger)
		s.owns(h, n.crowd.Stop, nil)
		return func() error { return loop.Turn(true) }, nil
	})
}

// machine is where a process of the day runs: a vnet.Host, or a part of this process on an address of its own.
type machine interface {
	Name() string
	Addr() netip.Addr
	Start(begin func(k poll.Kernel) (step func() error, err error)) error
	Kill()
	Vanish()
	Return()
	Isolate()
	Rejoin()
	Running() bool
	Up() bool
}

// machine adds one.
func (s *stage) machine(name string, addr netip.Addr, l vnet.Limits) machine {
	if s.real != nil {
		return s.real.machine(name, addr)
	}
	return s.world.AddHost(name, addr, l)
}

// is tells the judge what a machine is for.
func (s *stage) is(m machine, r role, relay string) {
	if s.judge == nil {
		return
	}
	h := m.(*vnet.Host)
	if s.judge.roles[h] = r; relay != "" {
		s.judge.relayID[h] = relay
		s.judge.sites[relay], s.judge.blocks[relay] = s.siteOf(h.Addr()), (len(s.nodes))%2
	}
}

// owns tells a machine that is no host of its own how its process is ended, and how it is silenced.
func (s *stage) owns(m machine, stop func(), silence func(on bool)) {
	if r, ok := m.(*realMachine); ok {
		r.stop, r.silence = stop, silence
	}
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

// excuse lets a proxy's answers be late for a while.
func (s *stage) excuse(p *proxyNode, d time.Duration) {
	if s.judge != nil {
		s.judge.excuse(p.host.(*vnet.Host), s.now().Add(d))
	}
}

// virtual is the proxy's machine where it is one of the virtual network.
func (p *proxyNode) virtual() *vnet.Host { return p.host.(*vnet.Host) }

func (p *proxyNode) running() bool {
	if r, ok := p.host.(*realMachine); ok {
		return r.Running()
	}
	return p.inst != nil
}

// term is SIGTERM.
func (p *proxyNode) term() {
	if r, ok := p.host.(*realMachine); ok {
		r.signal(syscall.SIGTERM)
		return
	}
	p.loop.Wake()
}

func (p *proxyNode) stall(s *stage, d time.Duration) {
	if r, ok := p.host.(*realMachine); ok {
		r.signal(syscall.SIGSTOP)
		s.after(d, func() { r.signal(syscall.SIGCONT) })
		return
	}
	p.virtual().Stall(d)
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
