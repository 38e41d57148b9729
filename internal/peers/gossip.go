package peers

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

// updateQueue holds the members whose latest state is still to be told on.
type updateQueue []*member

// add has a member's latest state told on.
func (q *updateQueue) add(m *member) {
	m.transmissions = 0
	if !m.queued {
		m.queued = true
		*q = append(*q, m)
	}
}

// fill adds records to those of a packet while it has room: what was told least often goes first.
func (q *updateQueue) fill(records []Member) []Member {
	slices.SortStableFunc(*q, func(a, b *member) int { return cmp.Compare(a.transmissions, b.transmissions) })
	for _, m := range *q {
		if len(records) >= maxPacketRecords {
			break
		}
		records = append(records, m.Member)
		m.transmissions++
	}
	return records
}

// dropDisseminated removes what was told often enough.
func (q *updateQueue) dropDisseminated(limit int) {
	*q = slices.DeleteFunc(*q, func(m *member) bool {
		m.queued = m.transmissions < limit
		return !m.queued
	})
}

// retransmitLimit is how often a change is told on: enough to reach nearly all; Syncs reach the rest.
func (p *Peers) retransmitLimit() int {
	return 4 + 3*int(math.Ceil(math.Log2(float64(len(p.members.others)+2))))/2
}

// send adds a packet, with as many updates as it has room for.
func (p *Peers) send(to netip.AddrPort, packet Packet) {
	packet.Session = p.self.Session
	packet.Members = p.updates.fill(packet.Members)
	p.updates.dropDisseminated(p.retransmitLimit())
	p.sends = append(p.sends, Send{to, packet})
}
