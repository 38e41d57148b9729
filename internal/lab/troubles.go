package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// plot puts a trouble's events in the day's queue. All its draws come now, from a stream of its own.
func (s *stage) plot(t *Trouble) {
	r := stream(s.seed, "trouble "+t.Name)
	at := s.s.Run.WarmUp + t.At.Draw(r)
	for range t.Again + 1 {
		s.once(t, at, r)
		at += t.After.Draw(r)
	}
}

// once plots one time of a trouble.
func (s *stage) once(t *Trouble, at time.Duration, r *rand.Rand) {
	span := t.For.Draw(r)
	size := t.Size.Draw(r)
	away := t.Away.Draw(r)
	switch t.Kind {
	case "silence":
		for _, n := range s.someRelays(t, r) {
			s.silence(n, at, t.For.Draw(r), r)
		}
	case "slow":
		for _, n := range s.someRelays(t, r) {
			s.during(at, span, func() { n.tell(func(m *fleet.Machine, now time.Time) { m.Slow(now, size) }) },
				func() { n.tell(func(m *fleet.Machine, now time.Time) { m.Slow(now, 1) }) })
		}
	case "failing":
		for _, n := range s.someRelays(t, r) {
			s.during(at, span, func() { n.fail(size) }, func() { n.fail(0) })
		}
	case "relimit": // the proxies' operators change the limit of all, one proxy after the other
		for i, p := range s.proxies {
			s.after(at+time.Duration(i)*t.Every, func() { s.relimit(p, int(size)) })
		}
	case "neighbour":
		for _, n := range s.someRelays(t, r) {
			on := t.Every
			if on <= 0 {
				on = span
			}
			for begin := at; begin < at+span; begin += 2 * on { // on and off
				s.during(begin, min(on, at+span-begin), func() { n.tell(func(m *fleet.Machine, now time.Time) { m.Neighbour(now, size) }) },
					func() { n.tell(func(m *fleet.Machine, now time.Time) { m.Neighbour(now, 0) }) })
			}
		}
	case "costly":
		part := t.Part.Draw(r)
		s.during(at, span, func() { s.costly[t.Class] = costly{part, size} }, func() { delete(s.costly, t.Class) })
	case "drain":
		for i, n := range s.someRelays(t, r) {
			s.drain(n, at+time.Duration(i)*t.Every, t.For.Draw(r), t.Away.Draw(r), r)
		}
	case "lose":
		for _, n := range s.someRelays(t, r) {
			s.lose(n, at, r)
		}
	case "grow":
		s.grow(t, at, r)
	case "proxy-restart":
		for i, p := range s.someProxies(t, r) {
			s.restart(p, at+time.Duration(i)*t.Every, away, s.s.Front.Late.Draw(r))
		}
	case "proxy-kill":
		for i, p := range s.someProxies(t, r) {
			s.kill(p, at+time.Duration(i)*t.Every, away)
		}
	case "partition":
		var in, out []*vnet.Host
		var cut *vnet.Partition
		s.lasts(at + 2*span + time.Second) // TCP sends again after a while that doubles
		s.during(at, span, func() {
			for _, h := range s.hosts() {
				if site := s.siteOf(h.Addr()); site != "" && listed(t.Sites, site) {
					in = append(in, h)
				} else {
					out = append(out, h)
				}
			}
			for _, n := range s.nodes { // whoever sees them across the cut
				n.trouble = s.now().Add(span)
			}
			cut = s.world.Cut(in, out)
		}, func() { cut.Heal() })
	case "isolate":
		for _, n := range s.someRelays(t, r) {
			s.lasts(at + 2*span + time.Second)
			s.during(at, span, n.host.Isolate, n.host.Rejoin)
		}
	case "stall":
		for _, p := range s.someProxies(t, r) {
			s.after(at, func() {
				p.stall(s, span)
				s.excuse(p, span+s.s.Rules.AnswerSlack)
			})
		}
	case "late-clock":
		for _, p := range s.someProxies(t, r) {
			s.during(at, span, func() {
				p.virtual().ClockLag(away)
				s.judge.lag[p.virtual()] = max(s.judge.lag[p.virtual()], away)
				if away > s.s.Proxies.AnswerMargin/2 {
					s.excuse(p, span+away)
				}
			}, func() { p.virtual().ClockLag(0) })
		}
	case "descriptors":
		for _, p := range s.someProxies(t, r) {
			s.during(at, span, func() {
				if p.running() { // what a process holds that is not there says nothing of what the next one needs
					p.virtual().SetDescriptors(p.virtual().Open() + int(size))
				}
			},
				func() { p.virtual().SetDescriptors(s.s.Proxies.Sockets) })
		}
	case "ports":
		for _, p := range s.someProxies(t, r) {
			s.during(at, span, func() { p.virtual().ExhaustPorts(true) }, func() { p.virtual().ExhaustPorts(false) })
		}
	case "rude":
		s.badClients(t, at, span, size)
	case "late-connects": // a part of the connections to them, size, come up late, by up to away
		for _, n := range s.someRelays(t, r) {
			s.during(at, span, func() { n.host.(*vnet.Host).DelayConnects(size, away) }, func() { n.host.(*vnet.Host).DelayConnects(0, 0) })
		}
	case "leaving":
		for _, c := range s.crowds {
			s.during(at, span, func() { c.crowd.Leaving(size) }, func() { c.crowd.Leaving(0) })
		}
	case "discovery-down":
		s.during(at, span, s.discovery.host.Kill, func() {
			s.failed(s.startDiscovery())
			s.agents(0)
		})
	case "discovery-hang":
		s.during(at, span, func() { s.discovery.d.Hang(true) }, func() {
			s.discovery.d.Hang(false)
			s.silent = s.now().Add(silentFor)
			s.agents(silentFor)
		})
	case "discovery-queue": // others ask it, all at once
		s.after(at, func() {
			if d := s.discovery; d.host.Up() {
				d.post(func() { d.d.Occupy(d.loop.Now(), span) })
			}
		})
	case "watches-silent":
		s.after(at, func() {
			if d := s.discovery; d.host.Up() {
				d.post(d.d.SilenceWatches)
			}
		})
	case "discovery-late":
		s.during(at, span, func() { s.late = away }, func() { s.late = 0 })
	}
}

// failed keeps the first error of the stage's own.
func (s *stage) failed(err error) {
	if s.err == nil {
		s.err = err
	}
}

// lasts takes down that a trouble's effects go on until then.
func (s *stage) lasts(until time.Duration) { s.troubled = max(s.troubled, until) }

// during has something happen and end after a while.
func (s *stage) during(at, span time.Duration, begin, end func()) {
	s.lasts(at + span)
	s.after(at, begin)
	s.after(at+span, end)
}

// hosts are all machines of a virtual stage.
func (s *stage) hosts() []*vnet.Host {
	list := []*vnet.Host{s.discovery.host.(*vnet.Host)}
	for _, p := range s.proxies {
		list = append(list, p.host.(*vnet.Host))
	}
	for _, n := range s.nodes {
		list = append(list, n.host.(*vnet.Host))
	}
	for _, c := range s.crowds {
		list = append(list, c.host.(*vnet.Host))
	}
	return list
}

// number is how many of n a trouble strikes: its count, or its part and one at least; all if it gives neither.
func (t *Trouble) number(n int, r *rand.Rand) int {
	switch part := t.Part.Draw(r); {
	case t.Count > 0:
		return min(t.Count, n)
	case t.Part.To > 0:
		return min(max(int(math.Round(part*float64(n))), 1), n)
	}
	return n
}

func some[T any](t *Trouble, list []T, r *rand.Rand) []T {
	picked := make([]T, 0, len(list))
	for _, i := range r.Perm(len(list))[:t.number(len(list), r)] {
		picked = append(picked, list[i])
	}
	return picked
}

func (s *stage) someRelays(t *Trouble, r *rand.Rand) []*relayNode {
	var list []*relayNode
	for _, n := range s.nodes {
		if !n.plan.late && listed(t.Sites, n.plan.site) {
			list = append(list, n)
		}
	}
	list = some(t, list, r)
	for _, n := range list {
		if end := s.now().Add(s.s.Run.WarmUp + t.At.To + t.For.To + t.Away.To + time.Duration(len(list))*t.Every + coldAfter); end.After(n.trouble) {
			n.trouble = end
		}
	}
	return list
}

// coldAfter is how long a relay may go on to look bad after its trouble: the news of it is late, and it is back cold.
const coldAfter = 30 * time.Second

func (s *stage) someProxies(t *Trouble, r *rand.Rand) []*proxyNode {
	var list []*proxyNode
	for _, p := range s.proxies {
		if listed(t.Sites, p.site) {
			list = append(list, p)
		}
	}
	return some(t, list, r)
}

// tell changes the machine of a relay, where one runs.
func (n *relayNode) tell(f func(m *fleet.Machine, now time.Time)) {
	if r := n.relay; r != nil {
		n.post(func() { f(r.Machine(), n.loop.Now()) })
	}
}

func (n *relayNode) fail(part float64) {
	if r := n.relay; r != nil {
		n.post(func() { r.Failing(part) })
	}
}

// silence has a relay's machine vanish and come back cold, with a new process under its id.
func (s *stage) silence(n *relayNode, at, span time.Duration, r *rand.Rand) {
	notice, back := s.s.Relays.Silent.Draw(r), s.s.Relays.Return.Draw(r)
	s.after(at, func() {
		if n.relay == nil {
			return
		}
		life := n.lives
		n.host.Vanish()
		n.relay = nil
		s.news(notice, func() {
			if n.lives == life { // else it is back already
				s.registry.Health(n.plan.id, fleet.Deleted)
			}
		})
		s.after(span, func() {
			n.host.Return()
			s.comeBack(n, back)
		})
	})
}

// comeBack starts a relay cold, and has discovery tell of it a little later.
func (s *stage) comeBack(n *relayNode, notice time.Duration) {
	if n.gone || n.host.Running() {
		return
	}
	if err := s.startRelay(n, true); err != nil {
		s.failed(err)
		return
	}
	n.born = s.now()
	if s.judge != nil {
		s.judge.clock.returns(n.plan.id)
	}
	life := n.lives
	s.news(notice, func() {
		if n.lives == life && n.host.Up() {
			s.registry.Set(s.entry(n, n.born.UnixMilli()))
		}
	})
}

// drain has a relay take nothing new, stop and come back cold under its id.
func (s *stage) drain(n *relayNode, at, span, away time.Duration, r *rand.Rand) {
	told, gone, back := s.s.Relays.Notice.Draw(r), s.s.Relays.Notice.Draw(r), s.s.Relays.Return.Draw(r)
	s.after(at, func() {
		if n.relay == nil {
			return
		}
		life := n.lives
		same := func(f func()) func() {
			return func() {
				if n.lives == life {
					f()
				}
			}
		}
		n.relay.Drain()
		s.news(told, same(func() { s.registry.Health(n.plan.id, fleet.Draining) }))
		s.after(span, same(func() {
			n.host.Kill()
			n.relay = nil
			s.news(gone, same(func() { s.registry.Health(n.plan.id, fleet.Deleted) }))
			s.after(away, func() { s.comeBack(n, back) })
		}))
	})
}

// lose has a relay's machine die for good.
func (s *stage) lose(n *relayNode, at time.Duration, r *rand.Rand) {
	notice := s.s.Relays.Notice.Draw(r)
	s.after(at, func() {
		n.host.Kill()
		n.relay, n.gone = nil, true
		s.news(notice, func() { s.registry.Health(n.plan.id, fleet.Deleted) })
	})
}

// grow switches on relays that were not there.
func (s *stage) grow(t *Trouble, at time.Duration, r *rand.Rand) {
	back := make([]time.Duration, t.Count)
	for i := range back {
		back[i] = s.s.Relays.Return.Draw(r)
	}
	s.after(at, func() {
		for _, n := range s.nodes {
			if len(back) > 0 && n.plan.late && n.lives == 0 {
				s.comeBack(n, back[0])
				back = back[1:]
			}
		}
	})
}

// restart is a planned restart of a proxy: SIGTERM, SIGKILL if it is still there when its time is up, and a new start.
func (s *stage) restart(p *proxyNode, at, away, late time.Duration) {
	s.after(at, func() {
		if !p.running() {
			return
		}
		life := p.lives
		p.term()
		set, err := s.settingsAt(p.site)
		if err != nil {
			s.failed(err)
			return
		}
		limit := instance.MaxDrainDuration(set)
		s.after(late, func() {
			for _, c := range s.crowds {
				c.front.Withdraw(p.addr())
			}
		})
		s.after(limit, func() {
			if p.lives == life && p.running() {
				if s.judge != nil {
					s.judge.audit(p.name, s.judge.exits(p.host.(*vnet.Host)))
				}
				s.kill9(p)
			}
		})
		s.after(limit+away, func() { s.backAgain(p) })
	})
}

// kill9 ends a proxy's process outright.
func (s *stage) kill9(p *proxyNode) {
	if p.inst != nil {
		s.ended.Add(&p.inst.Count)
		p.inst = nil
	}
	p.host.Kill()
}

func (s *stage) kill(p *proxyNode, at, away time.Duration) {
	s.after(at, func() {
		if !p.running() {
			return
		}
		s.kill9(p)
		s.after(away, func() { s.backAgain(p) })
	})
}

func (s *stage) backAgain(p *proxyNode) {
	if p.running() {
		return
	}
	s.ledger.ForgetProxy(p.host.Addr())
	if err := s.startProxy(p); err != nil {
		s.failed(err)
	}
	for _, c := range s.crowds {
		c.front.Expect(p.addr())
	}
}

// badClients has clients come that break the protocol.
func (s *stage) badClients(t *Trouble, at, span time.Duration, rate float64) {
	s.rude++
	name := fmt.Sprintf("rude-%d", s.rude)
	n := &rudeNode{host: s.machine(name, at2(s.rude), vnet.Limits{})}
	var to []netip.AddrPort
	for _, p := range s.proxies {
		if listed(t.Sites, p.site) {
			to = append(to, p.addr())
		}
	}
	rng := stream(s.seed, name)
	s.during(at, span, func() {
		s.failed(n.host.Start(func(k poll.Kernel) (func() error, error) {
			loop := n.on(k, s)
			r := fleet.NewRude(loop, to, max(rate, 0.1), rng)
			s.owns(n.host, r.Stop, nil)
			return func() error { return loop.Turn(true) }, nil
		}))
	}, n.host.Kill)
}

type rudeNode struct {
	node
	host machine
}

// at2 is the address of a source of bad clients.
func at2(n int) netip.Addr { return at(0, atRude, n) }
