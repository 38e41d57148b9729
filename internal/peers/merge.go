package peers

import (
	"net/netip"
	"slices"
	"time"
)

// merge takes what another process says of a member. The order in which things are told does not matter: of two records the
// one with the higher incarnation holds, of equal ones the worse state; who has left does not come back.
func (p *Peers) merge(now time.Time, record *Member) {
	if !isValidRecord(record) {
		p.Counters.Dropped++
		return
	}
	if record.Session == p.self.Session {
		p.refute(record)
		return
	}
	var addr netip.AddrPort
	if addr.UnmarshalBinary(record.EncodedAddr) != nil || !addr.IsValid() {
		p.Counters.Dropped++
		return
	}
	m := p.members.find(record.Session)
	switch {
	case m == nil && record.live() && len(p.members.others) < p.cfg.MaxMembers:
		p.add(now, record, addr)
	case m == nil: // one that is gone and was never known is no news
	case m.supersededBy(record):
		p.update(now, m, record)
	case m.State == Dead && record.State == Alive:
		p.notify(now, m) // others say that it lives: two that took each other for dead would never speak again
	}
}

// isValidRecord tells whether a record keeps the bounds.
func isValidRecord(record *Member) bool {
	return record.Session != 0 && record.State <= Dead && len(record.Name) <= maxNameBytes && len(record.Zone) <= maxNameBytes
}

// supersededBy tells whether another record of the member is newer.
func (m *member) supersededBy(record *Member) bool {
	if m.State == Left {
		return false
	}
	return record.Incarnation > m.Incarnation || record.Incarnation == m.Incarnation && record.State > m.State
}

// update takes a newer record of a member.
func (p *Peers) update(now time.Time, m *member, record *Member) {
	m.Incarnation = record.Incarnation
	m.Zone = record.Zone
	if m.State != record.State {
		p.setState(now, m, record.State)
	} else {
		p.updates.add(m)
	}
}

// add takes a member that was not known.
func (p *Peers) add(now time.Time, record *Member, addr netip.AddrPort) {
	m := &member{Member: *record, stateSince: now}
	m.Addr, m.EncodedAddr = addr, slices.Clone(record.EncodedAddr)
	p.members.insert(m)
	p.detector.round.insert(m.Session, p.rng)
	if m.State == Suspect {
		m.suspicionDeadline = now.Add(p.suspicionTimeout())
	}
	p.updates.add(m)
	p.changeCount++
	p.events = append(p.events, Event{Member: m.Member, New: true, NameConflict: p.hasNameConflict(m)})
}

// hasNameConflict tells whether another live member has this one's name at another address. One at the same address is its former
// life: two can't listen there at once.
func (p *Peers) hasNameConflict(m *member) bool {
	found := false
	for _, other := range p.members.withName(m.Name) {
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
func (p *Peers) setState(now time.Time, m *member, state State) {
	previous, wasLive := m.State, m.live()
	m.State, m.stateSince = state, now
	if state == Suspect {
		m.suspicionDeadline = now.Add(p.suspicionTimeout())
	}
	if state == Dead && previous != Dead {
		p.Counters.Died++
	}
	p.updates.add(m)
	if m == p.self {
		return
	}
	if m.live() != wasLive {
		p.noteLiveChange(m)
	}
	if previous != state {
		p.events = append(p.events, Event{Member: m.Member, Previous: previous})
	}
}

// noteLiveChange counts a member that came back to life, or ended.
func (p *Peers) noteLiveChange(m *member) {
	p.changeCount++
	if m.live() {
		p.members.liveOthers++
	} else {
		p.members.liveOthers--
	}
}

// refute answers what others say of this process: only it may raise its incarnation.
func (p *Peers) refute(record *Member) {
	if p.left || record.State == Alive && record.Incarnation == p.self.Incarnation {
		return
	}
	if record.Incarnation < p.self.Incarnation {
		p.updates.add(p.self) // refuted before, on a way that lost it: whoever still says so has not heard
		return
	}
	if record.Incarnation > maxIncarnation {
		p.Counters.Dropped++
		return
	}
	p.Counters.Refuted++
	p.health.worsen()
	p.self.Incarnation = record.Incarnation + 1
	p.updates.add(p.self)
}
