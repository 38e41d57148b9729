package proxy

import (
	"fmt"
	"maps"
	"slices"
)

// Audit checks the engine's and the front's books against each other and against the loop's sockets, and returns the
// first thing that does not fit, named by the rule that it breaks. It is for tests and emulated runs, between two turns
// while nothing is pending; its cost grows with the number of exchanges.
func (f *LineFrontend) Audit() error {
	if f.engine.Pending() {
		return nil // the module has not been told everything yet
	}
	hops, err := f.auditExchanges()
	if err == nil {
		err = f.auditCounts(hops)
	}
	if err == nil {
		err = f.auditSockets(hops)
	}
	return err
}

// auditExchanges checks each exchange against its session and returns those with a hop out.
func (f *LineFrontend) auditExchanges() ([]*Exchange, error) {
	var out []*Exchange
	names := 0
	for _, x := range f.engine.sortedExchanges() {
		if x.clientID != "" {
			names++
		}
		if x.hopActive {
			out = append(out, x)
		}
		s, ours := x.client.(*session)
		switch {
		case !x.answered && !x.timer.Armed():
			return nil, fmt.Errorf("one-final-answer: exchange %d has no answer and nothing that reminds of it", x.id)
		case x.answered && x.timer.Armed():
			return nil, fmt.Errorf("given-back: exchange %d is answered and its timer runs", x.id)
		case x.answered && !x.hopActive:
			return nil, fmt.Errorf("given-back: exchange %d is over and still in the table", x.id)
		case !ours:
			continue
		case x.hopActive != (s.hop != nil):
			return nil, fmt.Errorf("counts: exchange %d: hop out %v, its session has one %v", x.id, x.hopActive, s.hop != nil)
		case x.established && x.hopActive && s.state != established && s.state != closed:
			return nil, fmt.Errorf("counts: exchange %d stands, its session is in state %d", x.id, s.state)
		case s.hop != nil && s.hop.link.sock == nil && !s.hop.timer.Armed():
			return nil, fmt.Errorf("given-back: exchange %d has a hop without a socket and nothing that reminds of it", x.id)
		}
	}
	if names != len(f.engine.clientIDs) {
		return nil, fmt.Errorf("given-back: %d clients' ids are kept for %d exchanges", len(f.engine.clientIDs), names)
	}
	return out, nil
}

// auditCounts compares what the module counts at each target with the hops that are out there. A target that left the
// table and came back is a new one to the module: what is out at the old one does not count.
func (f *LineFrontend) auditCounts(out []*Exchange) error {
	held := make(map[string]int)
	for _, x := range out {
		if now := f.engine.table.Find(x.target.ID); now != nil && now.Same(x.target) && (x.adoptTarget == "" || x.established) {
			held[x.target.ID]++
		}
	}
	for _, h := range f.engine.listWait.held {
		held[h.action.target]++
	}
	for _, id := range f.engine.table.IDs() {
		if n := f.engine.module.Held(id); n != held[id] {
			return fmt.Errorf("counts: the module counts %d at %s, %d are out", n, id, held[id])
		}
	}
	return nil
}

// auditSockets compares the loop's sockets with those that somebody owns.
func (f *LineFrontend) auditSockets(out []*Exchange) error {
	hops := 0
	for _, x := range out {
		if s, ours := x.client.(*session); !ours || s.hop.link.sock != nil { // else this machine could not begin its connection yet
			hops++
		}
	}
	sessions, probes := 0, 0
	for _, s := range f.sessions {
		if s.state == closed || s.link.sock == nil {
			return fmt.Errorf("given-back: a session in state %d is in the table without a socket", s.state)
		}
		sessions++
	}
	for _, id := range slices.Sorted(maps.Keys(f.targetStates)) {
		p := f.targetStates[id]
		if (p.state == probeNone) != (p.link.sock == nil) {
			return fmt.Errorf("given-back: the probe of %s is in state %d, with a socket: %v", id, p.state, p.link.sock != nil)
		}
		if p.link.sock != nil {
			probes++
		}
	}
	own := f.engine.watch.Sockets() + f.sharedSockets
	if f.listener != nil && !f.listener.Closed() {
		own++
	}
	if open := f.loop.Open(); open != sessions+probes+hops+own {
		return fmt.Errorf("given-back: %d sockets are open; %d sessions, %d hops, %d probes and %d of the proxy's own",
			open, sessions, hops, probes, own)
	}
	return nil
}

// Idle tells whether nobody is left: no session, no exchange and no hop.
func (f *LineFrontend) Idle() bool { return len(f.sessions) == 0 && len(f.engine.exchanges) == 0 }
