package lab

import (
	"net/netip"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/vnet"
)

// node is a loop with a box for what is to be done on it: the loop's own clock and timers are set right only in a turn.
type node struct {
	loop    *poll.Loop
	pending []func()
	direct  bool // there is one loop, and what is posted runs on it already
}

func (n *node) newLoop(k poll.Kernel, s *stage) *poll.Loop {
	n.pending = nil
	if s.real != nil { // all share one
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

// post has f called in the node's next turn.
func (n *node) post(f func()) {
	if n.direct {
		f()
		return
	}
	n.pending = append(n.pending, f)
	n.loop.Wake()
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
func (s *stage) addMachine(name string, addr netip.Addr, l vnet.Limits) machine {
	if s.real != nil {
		return s.real.machine(name, addr)
	}
	return s.world.AddHost(name, addr, l)
}

// is tells the judge what a machine is for.
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

// owns tells a machine that is no host of its own how its process is ended, and how it is silenced.
func (s *stage) setProcess(m machine, stop func(), silence func(on bool)) {
	if r, ok := m.(*realMachine); ok {
		r.stop, r.silence = stop, silence
	}
}
