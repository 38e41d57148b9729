package peers

import (
	"net/netip"
	"slices"
	"time"
)

// merge updates the table with a record that another process sent. The result does not depend on
// the order in which records arrive: of two records of a member, the one with the higher
// incarnation takes precedence, and at equal incarnations the one with the greater state. A member
// that has left does not return.
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
	case m == nil: // not live, or the table is full
	case m.supersededBy(record):
		p.update(now, m, record)
	case m.State == Dead && record.State == Alive:
		// Others see the member as alive. Without a notification, two members that declared each
		// other dead would never communicate again.
		p.notify(now, m)
	}
}

// isValidRecord reports whether the fields of a record are within their bounds.
func isValidRecord(record *Member) bool {
	return record.Session != 0 && record.State <= Dead && len(record.Name) <= maxNameBytes && len(record.Zone) <= maxNameBytes
}

// supersededBy reports whether the given record of the member takes precedence over the known one.
func (m *member) supersededBy(record *Member) bool {
	if m.State == Left {
		return false
	}
	return record.Incarnation > m.Incarnation || record.Incarnation == m.Incarnation && record.State > m.State
}

// update applies a record that takes precedence over the known one.
func (p *Peers) update(now time.Time, m *member, record *Member) {
	m.Incarnation = record.Incarnation
	m.Zone = record.Zone
	if m.State != record.State {
		p.setState(now, m, record.State)
	} else {
		p.updates.add(m)
	}
}

// add inserts a member that was not known.
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

// hasNameConflict reports whether another live member has the same name at a different address, and
// counts the conflict. A member of the same name at the same address is an earlier run of the
// process, since two processes cannot listen at the same address at once.
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

// setState sets a member's state, queues it for dissemination and, for other members, reports an
// event.
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

// noteLiveChange updates the counts after a member became live or ceased to be live.
func (p *Peers) noteLiveChange(m *member) {
	p.changeCount++
	if m.live() {
		p.members.liveOthers++
	} else {
		p.members.liveOthers--
	}
}

// refute handles a record about this process itself. If the record contradicts the own one, it
// raises the own incarnation, which no other process may do, and queues the own record for
// dissemination.
func (p *Peers) refute(record *Member) {
	if p.left || record.State == Alive && record.Incarnation == p.self.Incarnation {
		return
	}
	if record.Incarnation < p.self.Incarnation {
		// Already refuted, but the refutation was lost: the sender has not received it.
		p.updates.add(p.self)
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
