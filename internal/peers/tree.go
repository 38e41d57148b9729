package peers

import "net/netip"

// Parent returns the address of this process's parent in a tree of the live members. The member
// with session root is first, the others follow in the order of their sessions, and each member has
// up to fanout children; fanout must be at least 1. The result ok is false if this process is the
// first member or root is 0.
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

// countBelow returns the number of live members whose session is below the given one, without the
// member with session except and without this process.
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

// nthLive returns the address of the live member with the given index, from 0, in the order of
// sessions. The member with session except and this process are not counted.
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
