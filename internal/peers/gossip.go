package peers

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

// updateQueue holds the members whose latest state is still to be disseminated by gossip.
type updateQueue []*member

// add queues a member's latest state for dissemination.
func (q *updateQueue) add(m *member) {
	m.transmissions = 0
	if !m.queued {
		m.queued = true
		*q = append(*q, m)
	}
}

// fill appends queued records to those of a packet, up to maxPacketRecords in total. Records that
// were sent least often come first.
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

// dropDisseminated removes the members whose latest state was sent at least limit times.
func (q *updateQueue) dropDisseminated(limit int) {
	*q = slices.DeleteFunc(*q, func(m *member) bool {
		m.queued = m.transmissions < limit
		return !m.queued
	})
}

// retransmitLimit returns how often a change is sent: enough to reach nearly all members. Syncs
// reach the rest.
func (p *Peers) retransmitLimit() int {
	return 4 + 3*int(math.Ceil(math.Log2(float64(len(p.members.others)+2))))/2
}

// send queues a packet for sending, with as many queued updates as fit into it.
func (p *Peers) send(to netip.AddrPort, packet Packet) {
	packet.Session = p.self.Session
	packet.Members = p.updates.fill(packet.Members)
	p.updates.dropDisseminated(p.retransmitLimit())
	p.sends = append(p.sends, Send{to, packet})
}
