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

// scheduleFault schedules all occurrences of a fault. Every random value is drawn now, from a
// stream of the fault's own.
func (s *stage) scheduleFault(t *Fault) {
	r := randomStream(s.seed, "trouble "+t.Name)
	at := s.scenario.Run.WarmUp + t.At.Draw(r)
	for range t.Repeats + 1 {
		s.scheduleOccurrence(t, at, r)
		at += t.RepeatAfter.Draw(r)
	}
}

// scheduleOccurrence schedules one occurrence of a fault.
func (s *stage) scheduleOccurrence(t *Fault, at time.Duration, r *rand.Rand) {
	span := t.For.Draw(r)
	size := t.Size.Draw(r)
	away := t.Away.Draw(r)
	switch t.Kind {
	case "silence":
		for _, n := range s.pickRelays(t, r) {
			s.silenceRelay(n, at, t.For.Draw(r), r)
		}
	case "slow":
		for _, n := range s.pickRelays(t, r) {
			s.during(at, span, func() { n.updateMachine(func(m *fleet.Machine, now time.Time) { m.SetSlowdown(now, size) }) },
				func() { n.updateMachine(func(m *fleet.Machine, now time.Time) { m.SetSlowdown(now, 1) }) })
		}
	case "failing":
		for _, n := range s.pickRelays(t, r) {
			s.during(at, span, func() { n.setFailing(size) }, func() { n.setFailing(0) })
		}
	case "relimit": // the operator changes the limit on one proxy after the other
		for i, p := range s.proxies {
			s.after(at+time.Duration(i)*t.Every, func() { s.setLimit(p, int(size)) })
		}
	case "cut-output":
		for _, n := range s.pickRelays(t, r) {
			s.after(at, func() { n.cutOutput(size) })
		}
	case "neighbour":
		for _, n := range s.pickRelays(t, r) {
			phase := t.Every
			if phase <= 0 {
				phase = span
			}
			for begin := at; begin < at+span; begin += 2 * phase { // alternates between on and off
				s.during(begin, min(phase, at+span-begin), func() { n.updateMachine(func(m *fleet.Machine, now time.Time) { m.SetNeighbourShare(now, size) }) },
					func() { n.updateMachine(func(m *fleet.Machine, now time.Time) { m.SetNeighbourShare(now, 0) }) })
			}
		}
	case "costly":
		part := t.Part.Draw(r)
		s.during(at, span, func() { s.costlyClasses[t.Class] = costlyFault{part, size} }, func() { delete(s.costlyClasses, t.Class) })
	case "drain":
		for i, n := range s.pickRelays(t, r) {
			s.drainRelay(n, at+time.Duration(i)*t.Every, t.For.Draw(r), t.Away.Draw(r), r)
		}
	case "lose":
		for _, n := range s.pickRelays(t, r) {
			s.loseRelay(n, at, r)
		}
	case "grow":
		s.addLateRelays(t, at, r)
	case "proxy-restart":
		for i, p := range s.pickProxies(t, r) {
			s.restartProxy(p, at+time.Duration(i)*t.Every, away, s.scenario.Front.LateClients.Draw(r))
		}
	case "proxy-kill":
		for i, p := range s.pickProxies(t, r) {
			s.killProxy(p, at+time.Duration(i)*t.Every, away)
		}
	case "partition":
		var inside, outside []*vnet.Host
		var partition *vnet.Partition
		s.extendFaults(at + 2*span + time.Second) // TCP retransmits late, since its timeout doubles
		s.during(at, span, func() {
			for _, h := range s.hosts() {
				if site := s.siteOf(h.Addr()); site != "" && siteListed(t.Sites, site) {
					inside = append(inside, h)
				} else {
					outside = append(outside, h)
				}
			}
			for _, n := range s.nodes { // proxies across the cut see any relay as failed
				n.faultUntil = s.now().Add(span)
			}
			partition = s.world.Cut(inside, outside)
		}, func() { partition.Heal() })
	case "isolate":
		for _, n := range s.pickRelays(t, r) {
			s.extendFaults(at + 2*span + time.Second)
			s.during(at, span, n.host.Isolate, n.host.Rejoin)
		}
	case "stall":
		for _, p := range s.pickProxies(t, r) {
			s.after(at, func() {
				p.stall(s, span)
				s.excuse(p, span+s.scenario.Rules.AnswerSlack)
			})
		}
	case "late-clock":
		for _, p := range s.pickProxies(t, r) {
			s.during(at, span, func() {
				p.vnetHost().ClockLag(away)
				s.judge.maxClockLag[p.vnetHost()] = max(s.judge.maxClockLag[p.vnetHost()], away)
				if away > s.scenario.Proxies.AnswerMargin/2 {
					s.excuse(p, span+away)
				}
			}, func() { p.vnetHost().ClockLag(0) })
		}
	case "descriptors":
		for _, p := range s.pickProxies(t, r) {
			s.during(at, span, func() {
				// The sockets of a process that is down do not tell what its successor needs.
				if p.running() {
					p.vnetHost().SetDescriptors(p.vnetHost().Open() + int(size))
				}
			},
				func() { p.vnetHost().SetDescriptors(s.scenario.Proxies.MaxDescriptors) })
		}
	case "ports":
		for _, p := range s.pickProxies(t, r) {
			s.during(at, span, func() { p.vnetHost().ExhaustPorts(true) }, func() { p.vnetHost().ExhaustPorts(false) })
		}
	case "rude":
		s.startBadClients(t, at, span, size)
	case "late-connects": // the share Size of the connections is established late, by up to Away
		for _, n := range s.pickRelays(t, r) {
			s.during(at, span, func() { n.host.(*vnet.Host).DelayConnects(size, away) }, func() { n.host.(*vnet.Host).DelayConnects(0, 0) })
		}
	case "leaving":
		for _, c := range s.crowds {
			s.during(at, span, func() { c.crowd.SetEarlyLeaveFraction(size) }, func() { c.crowd.SetEarlyLeaveFraction(0) })
		}
	case "group-start":
		s.startGroups(t, at, r)
	case "discovery-down":
		s.during(at, span, s.discovery.host.Kill, func() {
			s.recordError(s.startDiscovery())
			s.markPushedLists(0)
		})
	case "discovery-hang":
		s.during(at, span, func() { s.discovery.d.SetHanging(true) }, func() {
			s.discovery.d.SetHanging(false)
			s.silentUntil = s.now().Add(silentWatchDelay)
			s.markPushedLists(silentWatchDelay)
		})
	case "discovery-queue": // queues calls of other clients at discovery, all at once
		s.after(at, func() {
			if d := s.discovery; d.host.Up() {
				d.post(func() { d.d.AddWork(d.loop.Now(), span) })
			}
		})
	case "watches-silent":
		s.after(at, func() {
			if d := s.discovery; d.host.Up() {
				d.post(d.d.SilenceWatches)
			}
		})
	case "discovery-late":
		s.during(at, span, func() { s.changeDelay = away }, func() { s.changeDelay = 0 })
	}
}

// recordError keeps the first error of the emulator itself.
func (s *stage) recordError(err error) {
	if s.err == nil {
		s.err = err
	}
}

// extendFaults records that the effects of a fault last until the given time since the start.
func (s *stage) extendFaults(until time.Duration) { s.faultsUntil = max(s.faultsUntil, until) }

// during schedules the begin and the end of a fault.
func (s *stage) during(at, span time.Duration, begin, end func()) {
	s.extendFaults(at + span)
	s.after(at, begin)
	s.after(at+span, end)
}

// hosts returns all machines of a virtual day.
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

// targetCount returns how many of n targets a fault strikes: its count, else its share rounded but
// at least one, else all.
func (t *Fault) targetCount(n int, r *rand.Rand) int {
	switch part := t.Part.Draw(r); {
	case t.Count > 0:
		return min(t.Count, n)
	case t.Part.To > 0:
		return min(max(int(math.Round(part*float64(n))), 1), n)
	}
	return n
}

// pickTargets draws the targets that a fault strikes.
func pickTargets[T any](t *Fault, list []T, r *rand.Rand) []T {
	picked := make([]T, 0, len(list))
	for _, i := range r.Perm(len(list))[:t.targetCount(len(list), r)] {
		picked = append(picked, list[i])
	}
	return picked
}

func (s *stage) pickRelays(t *Fault, r *rand.Rand) []*relayNode {
	var list []*relayNode
	for _, n := range s.nodes {
		if !n.plan.startsLate && siteListed(t.Sites, n.plan.site) {
			list = append(list, n)
		}
	}
	list = pickTargets(t, list, r)
	for _, n := range list {
		if end := s.now().Add(s.scenario.Run.WarmUp + t.At.To + t.For.To + t.Away.To + time.Duration(len(list))*t.Every + faultAftermath); end.After(n.faultUntil) {
			n.faultUntil = end
		}
	}
	return list
}

// faultAftermath is how long a relay may still look bad after a fault: the change in discovery's
// list comes late, and the relay is cold when it returns.
const faultAftermath = 30 * time.Second

func (s *stage) pickProxies(t *Fault, r *rand.Rand) []*proxyNode {
	var list []*proxyNode
	for _, p := range s.proxies {
		if siteListed(t.Sites, p.site) {
			list = append(list, p)
		}
	}
	return pickTargets(t, list, r)
}

// updateMachine changes the emulated machine of a relay, if the relay runs.
func (n *relayNode) updateMachine(f func(m *fleet.Machine, now time.Time)) {
	if r := n.relay; r != nil {
		n.post(func() { f(r.Machine(), n.loop.Now()) })
	}
}

func (n *relayNode) setFailing(part float64) {
	if r := n.relay; r != nil {
		n.post(func() { r.SetErrorFraction(part) })
	}
}

// cutOutput makes a relay stop answering on a part of its connections, after any byte.
func (n *relayNode) cutOutput(part float64) {
	if r := n.relay; r != nil {
		n.post(func() { r.CutOutput(part) })
	}
}

// silenceRelay makes a relay's machine vanish. It returns cold, with a new process under the same
// id.
func (s *stage) silenceRelay(n *relayNode, at, span time.Duration, r *rand.Rand) {
	silenceNotice, startNotice := s.scenario.Relays.SilenceNotice.Draw(r), s.scenario.Relays.StartNotice.Draw(r)
	s.after(at, func() {
		if n.relay == nil {
			return
		}
		start := n.starts
		n.host.Vanish()
		n.relay = nil
		s.scheduleListChange(silenceNotice, func() {
			if n.starts == start { // the relay has not been restarted since
				s.registry.SetHealth(n.plan.id, fleet.Deleted)
			}
		})
		s.after(span, func() {
			n.host.Return()
			s.restartRelay(n, startNotice)
		})
	})
}

// restartRelay starts a relay cold. Discovery lists it after the given delay.
func (s *stage) restartRelay(n *relayNode, notice time.Duration) {
	if n.removed || n.host.Running() {
		return
	}
	if err := s.startRelay(n, true); err != nil {
		s.recordError(err)
		return
	}
	n.born = s.now()
	if s.judge != nil {
		s.judge.changeClock.serverRestarted(n.plan.id)
	}
	start := n.starts
	s.scheduleListChange(notice, func() {
		if n.starts == start && n.host.Up() {
			s.registry.Set(s.entry(n, n.born.UnixMilli()))
		}
	})
}

// drainRelay drains and stops a relay, and restarts it cold under the same id.
func (s *stage) drainRelay(n *relayNode, at, span, away time.Duration, r *rand.Rand) {
	drainNotice, stopNotice, startNotice := s.scenario.Relays.DrainNotice.Draw(r), s.scenario.Relays.DrainNotice.Draw(r), s.scenario.Relays.StartNotice.Draw(r)
	s.after(at, func() {
		if n.relay == nil {
			return
		}
		start := n.starts
		same := func(f func()) func() {
			return func() {
				if n.starts == start {
					f()
				}
			}
		}
		n.relay.Drain()
		s.scheduleListChange(drainNotice, same(func() { s.registry.SetHealth(n.plan.id, fleet.Draining) }))
		s.after(span, same(func() {
			n.host.Kill()
			n.relay = nil
			s.scheduleListChange(stopNotice, same(func() { s.registry.SetHealth(n.plan.id, fleet.Deleted) }))
			s.after(away, func() { s.restartRelay(n, startNotice) })
		}))
	})
}

// loseRelay stops a relay's machine for good.
func (s *stage) loseRelay(n *relayNode, at time.Duration, r *rand.Rand) {
	notice := s.scenario.Relays.DrainNotice.Draw(r)
	s.after(at, func() {
		n.host.Kill()
		n.relay, n.removed = nil, true
		s.scheduleListChange(notice, func() { s.registry.SetHealth(n.plan.id, fleet.Deleted) })
	})
}

// addLateRelays starts relays that did not run from the start.
func (s *stage) addLateRelays(t *Fault, at time.Duration, r *rand.Rand) {
	startNotices := make([]time.Duration, t.Count)
	for i := range startNotices {
		startNotices[i] = s.scenario.Relays.StartNotice.Draw(r)
	}
	s.after(at, func() {
		for _, n := range s.nodes {
			if len(startNotices) > 0 && n.plan.startsLate && n.starts == 0 {
				s.restartRelay(n, startNotices[0])
				startNotices = startNotices[1:]
			}
		}
	})
}

// restartProxy performs a planned restart: SIGTERM, then SIGKILL if the process still runs at the
// end of its drain time, then a new start.
func (s *stage) restartProxy(p *proxyNode, at, away, lateClients time.Duration) {
	s.after(at, func() {
		if !p.running() {
			return
		}
		start := p.starts
		p.terminate()
		set, err := s.settingsAt(p.site)
		if err != nil {
			s.recordError(err)
			return
		}
		limit := instance.MaxDrainDuration(set)
		s.after(lateClients, func() {
			for _, c := range s.crowds {
				c.front.Withdraw(p.addr())
			}
		})
		s.after(limit, func() {
			if p.starts == start && p.running() {
				if s.judge != nil {
					s.judge.reportAuditError(p.name, s.judge.checkProxyExit(p.host.(*vnet.Host)))
				}
				s.killProcess(p)
			}
		})
		s.after(limit+away, func() { s.startProxyAgain(p) })
	})
}

// killProcess ends a proxy's process without a drain.
func (s *stage) killProcess(p *proxyNode) {
	if p.inst != nil {
		s.endedCounters.Add(&p.inst.Count)
		p.inst = nil
	}
	p.host.Kill()
}

func (s *stage) killProxy(p *proxyNode, at, away time.Duration) {
	s.after(at, func() {
		if !p.running() {
			return
		}
		s.killProcess(p)
		s.after(away, func() { s.startProxyAgain(p) })
	})
}

// startProxyAgain starts a proxy after a restart or a kill, and has the load balancers check it
// again.
func (s *stage) startProxyAgain(p *proxyNode) {
	if p.running() {
		return
	}
	s.ledger.ForgetProxy(p.host.Addr())
	if err := s.startProxy(p); err != nil {
		s.recordError(err)
	}
	for _, c := range s.crowds {
		c.front.AllowReadmission(p.addr())
	}
}

// startBadClients runs clients that violate the protocol.
func (s *stage) startBadClients(t *Fault, at, span time.Duration, rate float64) {
	s.badClientSources++
	name := fmt.Sprintf("rude-%d", s.badClientSources)
	n := &badClientNode{host: s.addMachine(name, badClientAddr(s.badClientSources), vnet.Limits{})}
	var to []netip.AddrPort
	for _, p := range s.proxies {
		if siteListed(t.Sites, p.site) {
			to = append(to, p.addr())
		}
	}
	rng := randomStream(s.seed, name)
	s.during(at, span, func() {
		s.recordError(n.host.Start(func(k poll.Kernel) (func() error, error) {
			loop := n.newLoop(k, s)
			r := fleet.NewBadClients(loop, to, max(rate, 0.1), rng)
			s.setProcess(n.host, r.Stop, nil)
			return func() error { return loop.Turn(true) }, nil
		}))
	}, n.host.Kill)
}

type badClientNode struct {
	node
	host machine
}

// badClientAddr returns the address of the n-th machine of clients that violate the protocol.
func badClientAddr(n int) netip.Addr { return machineAddr(0, addrBadClients, n) }
