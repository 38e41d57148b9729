package peers

import "net/netip"

// Parent returns the address of this process's parent in the tree of the members that live: root, a session, is first, the others
// follow in the order of their sessions, and each has up to fanout children, at least 1. ok is false for the first member, and where
// root is 0.
func (p *Peers) Parent(root uint64, fanout int) (addr netip.AddrPort, ok bool) {
	if root == 0 || root == p.self.Session {
		return netip.AddrPort{}, false
	}
	index := p.members.countBelow(p.self.Session, root)
	rootIsLive := p.IsLive(root)
	if rootIsLive {
		index++
	}
	if index == 0 {
		return netip.AddrPort{}, false
	}
	parentIndex := (index - 1) / fanout
	if !rootIsLive {
		return p.members.nthLive(parentIndex, root), true
	}
	if parentIndex == 0 {
		return p.members.find(root).Addr, true
	}
	return p.members.nthLive(parentIndex-1, root), true
}

// countBelow returns how many members other than one live whose sessions are below a given one.
func (t *memberTable) countBelow(session, except uint64) int {
	count := 0
	for _, m := range t.others {
		if m.Session >= session {
			break
		}
		if m.live() && m.Session != except {
			count++
		}
	}
	return count
}

// nthLive returns the address of a member by its place, from 0, among those that live other than one, in the order of their sessions.
func (t *memberTable) nthLive(index int, except uint64) netip.AddrPort {
	for _, m := range t.others {
		if !m.live() || m.Session == except {
			continue
		}
		if index == 0 {
			return m.Addr
		}
		index--
	}
	return netip.AddrPort{}
}
