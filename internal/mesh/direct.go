package mesh

import "net/netip"

// OwnerMessage is a request to the owner of a lease, or the owner's response. A response counts as
// an effect of the owner: its token must pass the fence of the process that sent the request.
type OwnerMessage struct {
	Lease      string `cbor:"1,keyasint"`           // name of the lease
	Token      uint64 `cbor:"2,keyasint"`           // fencing token of the owner; set in responses
	Seq        uint64 `cbor:"3,keyasint"`           // number of the request, repeated in the response
	IsResponse bool   `cbor:"4,keyasint,omitempty"` // response, not request
	Data       []byte `cbor:"5,keyasint"`
}

// OwnerAddr returns the address of the owner of a lease according to its latest announcement. ok is
// false if there is no announcement, if the owner is not known to be alive, or if the owner is this
// process.
func (n *Node) OwnerAddr(lease string) (at netip.AddrPort, ok bool) {
	latest := n.announcements.find(lease)
	if latest == nil || !latest.known || latest.OwnerSession == n.cfg.Session {
		return netip.AddrPort{}, false
	}
	return n.peers.AddrOf(latest.OwnerSession)
}

// SendOwnerRequest sends a request to the owner of a lease. Like any datagram, it may be lost.
func (n *Node) SendOwnerRequest(to netip.AddrPort, m OwnerMessage) {
	m.IsResponse = false
	n.send(to, &envelope{OwnerMessage: &m})
}

// SendOwnerResponse sends a response as the owner of the lease. It sends nothing if this process
// does not hold the lease.
func (n *Node) SendOwnerResponse(to netip.AddrPort, m OwnerMessage) {
	token, ok := n.Holds(m.Lease)
	if !ok || !n.fence.Accept(m.Lease, token) {
		return
	}
	m.IsResponse, m.Token = true, token
	n.send(to, &envelope{OwnerMessage: &m})
}

// handleOwnerMessage passes requests, and responses whose token passes the fence, to
// Config.OnOwnerMessage. This process sends requests only to owners that it knows by their
// announcements, so that a response about any other lease is unsolicited: it is dropped before it
// reaches the fence, which keeps a token for each lease that it accepts.
func (n *Node) handleOwnerMessage(from netip.AddrPort, m *OwnerMessage) {
	if n.cfg.OnOwnerMessage == nil || len(m.Lease) > maxLeaseNameBytes {
		return
	}
	if m.IsResponse {
		if latest := n.announcements.find(m.Lease); latest == nil || !latest.known {
			n.Counters.Unsolicited++
			return
		}
		if !n.fence.Accept(m.Lease, m.Token) {
			n.Counters.AnnouncementsStale++
			return
		}
	}
	n.cfg.OnOwnerMessage(from, m)
}

// SharedMessage is a message on a topic that has no owner. The participants in the topic define the
// meaning of its data.
type SharedMessage struct {
	Topic   string `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"` // of the sender
	Data    []byte `cbor:"3,keyasint"`
}

// SendShared sends data on a topic to one process. Like any datagram, it may be lost, delayed,
// duplicated or reordered.
func (n *Node) SendShared(to netip.AddrPort, topic string, data []byte) {
	n.send(to, &envelope{SharedMessage: &SharedMessage{Topic: topic, Session: n.cfg.Session, Data: data}})
}

// handleSharedMessage passes a message of another process to Config.OnSharedMessage.
func (n *Node) handleSharedMessage(from netip.AddrPort, m *SharedMessage) {
	if n.cfg.OnSharedMessage == nil || len(m.Topic) > maxLeaseNameBytes || m.Session == 0 {
		n.Counters.Damaged++
		return
	}
	n.cfg.OnSharedMessage(from, m)
}
