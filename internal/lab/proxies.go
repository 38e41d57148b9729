package lab

import (
	"fmt"
	"log"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/vnet"
)

// proxyNode is the machine of a proxy.
type proxyNode struct {
	name       string
	site       string
	host       machine
	loop       *poll.Loop
	inst       *instance.Instance // nil: none runs, or it is a separate process
	seedSource *rand.Rand         // one seed for each start of the process
	nextAudit  time.Time
	starts     int
}

func (p *proxyNode) addr() netip.AddrPort { return netip.AddrPortFrom(p.host.Addr(), proxyPort) }

func (s *stage) addProxy(i int) error {
	site := i % len(s.scenario.Sites)
	name := fmt.Sprintf("proxy-%03d", i)
	h := s.addMachine(name, machineAddr(site, addrProxy, i), vnet.Limits{
		Descriptors: s.scenario.Proxies.MaxDescriptors, EventCost: s.scenario.Proxies.EventCost,
	})
	s.setRole(h, roleProxy, "")
	p := &proxyNode{name: name, site: s.scenario.Sites[site], host: h, seedSource: randomStream(s.seed, "proxy "+name)}
	s.proxies = append(s.proxies, p)
	return s.startProxy(p)
}

func (s *stage) startProxy(p *proxyNode) error {
	set, err := s.settingsAt(p.site)
	if err != nil {
		return err
	}
	p.starts++
	if s.real != nil {
		return s.real.startProxy(s, p)
	}
	c := instance.Config{
		Name: p.name, Listen: p.addr(), Discovery: netip.AddrPortFrom(s.discovery.host.Addr(), discoveryPort),
		Seed: p.seedSource.Uint64(), MaxDescriptors: s.scenario.Proxies.MaxDescriptors, KnownList: s.knownList(), Settings: set, Tuning: s.scenario.Tuning(),
		Log: log.New(proxyLogWriter{s, p.name}, "", 0),
	}
	if c.Fleet, err = s.fleetConfig(p); err != nil {
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
		s.judge.changeClock.proxyStarted(p.host.Addr())
		s.markPushedLists(0)
		return func() error { return s.runTurn(p, inst) }, nil
	})
}

// runTurn runs one turn of a proxy and audits its bookkeeping when that is due.
func (s *stage) runTurn(p *proxyNode, inst *instance.Instance) error {
	if err := inst.Turn(); err != nil {
		return err
	}
	if inst.Done() {
		if err := s.judge.checkProxyExit(p.host.(*vnet.Host)); err != nil {
			s.judge.reportAuditError(p.name, err)
		}
		s.endedCounters.Add(&inst.Count)
		s.addMeshStats(inst)
		p.inst = nil
		return vnet.ErrExit
	}
	if now := s.world.Now(); !now.Before(p.nextAudit) {
		p.nextAudit = now.Add(s.scenario.Run.AuditPeriod)
		s.judge.reportAuditError(p.name, inst.Audit())
	}
	return nil
}

// knownList returns the relay list that a proxy starts with.
func (s *stage) knownList() *routes.List {
	l := &routes.List{Whole: true}
	for i := range s.relays {
		if s.relays[i].startsLate || s.unlisted(i) {
			continue
		}
		n := s.nodes[i]
		l.Hosts = append(l.Hosts, &routes.Target{
			ID: n.plan.id, Addr: netip.AddrPortFrom(n.host.Addr(), relayPort), Site: n.plan.site, MachineKind: n.plan.kind.Name, Share: 1,
			Block: i % 2,
		})
	}
	return l
}

// excuse permits late answers of a proxy for a while.
func (s *stage) excuse(p *proxyNode, d time.Duration) {
	if s.judge != nil {
		s.judge.excuse(p.host.(*vnet.Host), s.now().Add(d))
	}
}

// vnetHost returns the proxy's machine on the virtual network.
func (p *proxyNode) vnetHost() *vnet.Host { return p.host.(*vnet.Host) }

func (p *proxyNode) running() bool {
	if r, ok := p.host.(*realMachine); ok {
		return r.Running()
	}
	return p.inst != nil
}

// terminate sends SIGTERM to the proxy.
func (p *proxyNode) terminate() {
	if r, ok := p.host.(*realMachine); ok {
		r.signal(syscall.SIGTERM)
		return
	}
	p.loop.Wake()
}

// stall stops a proxy's process for a while.
func (p *proxyNode) stall(s *stage, d time.Duration) {
	if r, ok := p.host.(*realMachine); ok {
		r.signal(syscall.SIGSTOP)
		s.after(d, func() { r.signal(syscall.SIGCONT) })
		return
	}
	p.vnetHost().Stall(d)
}
