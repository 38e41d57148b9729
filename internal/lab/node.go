package lab

import (
	"net/netip"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// node is an event loop with a queue of functions to run on it. They run in a turn of the loop,
// since its clock and timers are up to date only there.
type node struct {
	loop    *poll.Loop
	pending []func()
	direct  bool // one loop serves all nodes, and posted functions run at once
}

func (n *node) newLoop(k poll.Kernel, s *stage) *poll.Loop {
	n.pending = nil
	if s.real != nil { // all nodes share one loop
		n.loop, n.direct = s.real.loop, true
		return n.loop
	}
	n.loop = poll.NewOn(k, func() {
		for len(n.pending) > 0 {
			f := n.pending[0]
			n.pending = n.pending[1:]
			f()
		}
	})
	return n.loop
}

// post runs f in the next turn of the node's loop.
func (n *node) post(f func()) {
	if n.direct {
		f()
		return
	}
	n.pending = append(n.pending, f)
	n.loop.Wake()
}

// machine is where a process of the day runs: a vnet.Host, or a part of this process that has an
// address of its own.
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

// addMachine adds a machine to the network.
func (s *stage) addMachine(name string, addr netip.Addr, l vnet.Limits) machine {
	if s.real != nil {
		return s.real.machine(name, addr)
	}
	return s.world.AddHost(name, addr, l)
}

// setRole registers a machine's role with the judge.
func (s *stage) setRole(m machine, r role, relay string) {
	if s.judge == nil {
		return
	}
	h := m.(*vnet.Host)
	if s.judge.roles[h] = r; relay != "" {
		s.judge.relayID[h] = relay
		s.judge.sites[relay], s.judge.blocks[relay] = s.siteOf(h.Addr()), (len(s.nodes))%2
	}
}

// setProcess registers how the process on a machine of the real network is stopped and silenced.
func (s *stage) setProcess(m machine, stop func(), silence func(on bool)) {
	if r, ok := m.(*realMachine); ok {
		r.stop, r.silence = stop, silence
	}
}
