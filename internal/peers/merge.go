package peers

import (
	"net/netip"
	"slices"
	"time"
)

// merge takes what another process says of a member. The order in which things are told does not matter: of two records the
// one with the higher incarnation holds, of equal ones the worse state; who has left does not come back.
func (p *Peers) merge(now time.Time, r *Member) {
	if !valid(r) {
		p.Counters.Dropped++
		return
	}
	if r.Session == p.self.Session {
		p.refute(r)
		return
	}
	var addr netip.AddrPort
	if addr.UnmarshalBinary(r.EncodedAddr) != nil || !addr.IsValid() {
		p.Counters.Dropped++
		return
	}
	m := p.members.find(r.Session)
	switch {
	case m == nil && r.live() && len(p.members.list) < p.cfg.MaxMembers:
		p.add(now, r, addr)
	case m == nil: // one that is gone and was never known is no news
	case m.supersededBy(r):
		p.update(now, m, r)
	case m.State == Dead && r.State == Alive:
		p.notify(now, m) // others say that it lives: two that took each other for dead would never speak again
	}
}

// valid tells whether a record keeps the bounds.
func valid(r *Member) bool {
	return r.Session != 0 && r.State <= Dead && len(r.Name) <= mostName && len(r.Zone) <= mostName
}

// supersededBy tells whether another record of the member is newer.
func (m *member) supersededBy(r *Member) bool {
	if m.State == Left {
		return false
	}
	return r.Incarnation > m.Incarnation || r.Incarnation == m.Incarnation && r.State > m.State
}

// update takes a newer record of a member.
func (p *Peers) update(now time.Time, m *member, r *Member) {
	m.Incarnation = r.Incarnation
	m.Zone = r.Zone
	if m.State != r.State {
		p.setState(now, m, r.State)
	} else {
		p.updates.add(m)
	}
}

// add takes a member that was not known.
func (p *Peers) add(now time.Time, r *Member, addr netip.AddrPort) {
	m := &member{Member: *r, since: now}
	m.Addr, m.EncodedAddr = addr, slices.Clone(r.EncodedAddr)
	p.members.insert(m)
	p.detector.round.insert(m.Session, p.rng)
	if m.State == Suspect {
		m.deadAt = now.Add(p.suspicionTimeout())
	}
	p.updates.add(m)
	p.changed++
	p.events = append(p.events, Event{Member: m.Member, New: true, NameConflict: p.isTwin(m)})
}

// isTwin tells whether another live member has this one's name at another address. One at the same address is its former
// life: two can't listen there at once.
func (p *Peers) isTwin(m *member) bool {
	found := false
	for _, other := range p.members.namesakes(m.Name) {
		if other != m && (other == p.self || other.live()) && other.Addr != m.Addr {
			found = true
		}
	}
	if found {
		p.Counters.NameConflicts++
	}
	return found
}

// setState changes a member's state, tells it on and reports it.
func (p *Peers) setState(now time.Time, m *member, s State) {
	was, lived := m.State, m.live()
	m.State, m.since = s, now
	if s == Suspect {
		m.deadAt = now.Add(p.suspicionTimeout())
	}
	if s == Dead && was != Dead {
		p.Counters.Died++
	}
	p.updates.add(m)
	if m == p.self {
		return
	}
	if m.live() != lived {
		p.noteLiveChange(m)
	}
	if was != s {
		p.events = append(p.events, Event{Member: m.Member, Previous: was})
	}
}

// noteLiveChange counts a member that came back to life, or ended.
func (p *Peers) noteLiveChange(m *member) {
	p.changed++
	if m.live() {
		p.members.alive++
	} else {
		p.members.alive--
	}
}

// refute answers what others say of this process: only it may raise its incarnation.
func (p *Peers) refute(r *Member) {
	if p.left || r.State == Alive && r.Incarnation == p.self.Incarnation {
		return
	}
	if r.Incarnation < p.self.Incarnation {
		p.updates.add(p.self) // refuted before, on a way that lost it: whoever still says so has not heard
		return
	}
	if r.Incarnation > mostIncarnation {
		p.Counters.Dropped++
		return
	}
	p.Counters.Refuted++
	p.health.worsen()
	p.self.Incarnation = r.Incarnation + 1
	p.updates.add(p.self)
}
