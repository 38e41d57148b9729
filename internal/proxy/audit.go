package proxy

import (
	"fmt"
	"maps"
	"slices"
)

// Audit checks that the state of the engine, the frontend and the loop's sockets is consistent, and
// returns the first violation, prefixed with the name of the rule that it breaks. It is for tests
// and simulated runs, between two turns of the loop while no event is pending. Its cost grows with
// the number of exchanges.
func (f *LineFrontend) Audit() error {
	if f.engine.Pending() {
		return nil // the module does not know of all events yet
	}
	hops, err := f.auditExchanges()
	if err == nil {
		err = f.auditCounts(hops)
	}
	if err == nil {
		err = f.auditSockets(hops)
	}
	if err == nil {
		err = f.auditBacklog()
	}
	return err
}

// auditBacklog compares what is accounted for unsent output with the buffers of all links.
func (f *LineFrontend) auditBacklog() error {
	held := 0
	for _, s := range f.sessions {
		held += cap(s.link.unsent)
	}
	for _, x := range f.engine.exchanges { // the sum does not depend on the order
		if s, ours := x.client.(*session); ours && s.hop != nil {
			held += cap(s.hop.link.unsent)
		}
	}
	for _, p := range f.targetStates {
		held += cap(p.link.unsent)
	}
	if held != f.backlog.used {
		return fmt.Errorf("given-back: %d bytes of unsent output are accounted for, links hold %d", f.backlog.used, held)
	}
	return nil
}

// auditExchanges checks each exchange against its session and returns the exchanges with an active
// hop.
func (f *LineFrontend) auditExchanges() ([]*Exchange, error) {
	var out []*Exchange
	withClientID, unlisted := 0, 0
	for _, x := range f.engine.sortedExchanges() {
		if x.clientID != "" {
			withClientID++
		}
		if x.awaitsListing() {
			unlisted++
		}
		if x.hopActive {
			out = append(out, x)
		}
		s, ours := x.client.(*session)
		switch {
		case !x.answered && !x.timer.Armed():
			return nil, fmt.Errorf("one-final-answer: exchange %d has no answer and no timer", x.id)
		case x.answered && x.timer.Armed():
			return nil, fmt.Errorf("given-back: exchange %d is answered, but its timer is armed", x.id)
		case x.answered && !x.hopActive:
			return nil, fmt.Errorf("given-back: exchange %d has ended, but is still in the table", x.id)
		case !ours:
			continue
		case x.hopActive != (s.hop != nil):
			return nil, fmt.Errorf("counts: exchange %d: hop active %v, its session has a hop %v", x.id, x.hopActive, s.hop != nil)
		case x.established && x.hopActive && s.state != established && s.state != closed:
			return nil, fmt.Errorf("counts: exchange %d is established, its session is in state %d", x.id, s.state)
		case s.hop != nil && s.hop.link.sock == nil && !s.hop.timer.Armed():
			return nil, fmt.Errorf("given-back: exchange %d has a hop without a socket and without a timer", x.id)
		}
	}
	if withClientID != len(f.engine.clientIDs) {
		return nil, fmt.Errorf("given-back: %d client ids are registered for %d exchanges", len(f.engine.clientIDs), withClientID)
	}
	if unlisted != len(f.engine.unlisted) {
		return nil, fmt.Errorf("given-back: %d exchanges are registered as waiting for their targets to be listed, %d wait", len(f.engine.unlisted), unlisted)
	}
	return out, nil
}

// auditCounts compares what the module counts at each target with the active hops. To the module, a
// target that left the table and returned is a new one, at which hops of the old one do not count.
func (f *LineFrontend) auditCounts(out []*Exchange) error {
	held := make(map[string]int)
	for _, x := range out {
		if now := f.engine.table.Find(x.target.ID); now != nil && now.SameEntry(x.target) && (x.adoption == nil || x.established) {
			held[x.target.ID]++
		}
	}
	for _, h := range f.engine.listWait.held {
		held[h.action.target]++
	}
	for _, id := range f.engine.table.IDs() {
		if n := f.engine.module.ConnectionCount(id); n != held[id] {
			return fmt.Errorf("counts: the module counts %d at %s, %d are active", n, id, held[id])
		}
	}
	return nil
}

// auditSockets compares the loop's sockets with those that have an owner.
func (f *LineFrontend) auditSockets(out []*Exchange) error {
	hops := 0
	for _, x := range out {
		// a hop has no socket while this machine cannot begin its connection
		if s, ours := x.client.(*session); !ours || s.hop.link.sock != nil {
			hops++
		}
	}
	sessions, probes := 0, 0
	for _, s := range f.sessions {
		if s.state == closed || s.link.sock == nil {
			return fmt.Errorf("given-back: a session in state %d without a socket is in the table", s.state)
		}
		sessions++
	}
	for _, id := range slices.Sorted(maps.Keys(f.targetStates)) {
		p := f.targetStates[id]
		if (p.state == probeNone) != (p.link.sock == nil) {
			return fmt.Errorf("given-back: the probe of %s is in state %d, has a socket: %v", id, p.state, p.link.sock != nil)
		}
		if p.link.sock != nil {
			probes++
		}
	}
	own := f.engine.watch.SocketCount() + f.sharedSockets
	if f.listener != nil && !f.listener.Closed() {
		own++
	}
	if open := f.loop.Open(); open != sessions+probes+hops+own {
		return fmt.Errorf("given-back: %d sockets are open; %d sessions, %d hops, %d probes and %d of the proxy's own",
			open, sessions, hops, probes, own)
	}
	return nil
}

// Idle reports whether there is no session and no exchange.
func (f *LineFrontend) Idle() bool { return len(f.sessions) == 0 && len(f.engine.exchanges) == 0 }
