package mesh

import "net/netip"

// OwnerMessage is a request to the owner of a lease, or the owner's response. A response is an effect: its token must pass the fence of
// whoever sent the request.
type OwnerMessage struct {
	Lease      string `cbor:"1,keyasint"`           // name
	Token      uint64 `cbor:"2,keyasint"`           // of a response
	Seq        uint64 `cbor:"3,keyasint"`           // of the request
	IsResponse bool   `cbor:"4,keyasint,omitempty"` // it is a response
	Data       []byte `cbor:"5,keyasint"`
}

// OwnerAddr returns the address of the owner of a lease, by its latest announcement; ok is false if there is none, or the owner is not
// known to live, or it is this process.
func (n *Node) OwnerAddr(lease string) (at netip.AddrPort, ok bool) {
	latest := n.announcements.find(lease)
	if latest == nil || !latest.known || latest.OwnerSession == n.cfg.Session {
		return netip.AddrPort{}, false
	}
	return n.peers.AddrOf(latest.OwnerSession)
}

// SendOwnerRequest sends a request to an owner. It may be lost like any datagram.
func (n *Node) SendOwnerRequest(at netip.AddrPort, d OwnerMessage) {
	d.IsResponse = false
	n.send(at, &envelope{Direct: &d})
}

// SendOwnerResponse sends a response as the owner of its lease; it sends nothing if this process does not own it.
func (n *Node) SendOwnerResponse(to netip.AddrPort, d OwnerMessage) {
	token, ok := n.Holds(d.Lease)
	if !ok || !n.fence.Accept(d.Lease, token) {
		return
	}
	d.IsResponse, d.Token = true, token
	n.send(to, &envelope{Direct: &d})
}

// handleDirect passes a request on, and a response if its token passes the fence.
func (n *Node) handleDirect(from netip.AddrPort, d *OwnerMessage) {
	if n.cfg.OnOwnerMessage == nil || len(d.Lease) > mostLeaseName {
		return
	}
	if d.IsResponse && !n.fence.Accept(d.Lease, d.Token) {
		n.Counters.AnnouncementsStale++
		return
	}
	n.cfg.OnOwnerMessage(from, d)
}

// SharedMessage is a message on a matter that has no owner; its meaning is up to those who take part.
type SharedMessage struct {
	Topic   string `cbor:"1,keyasint"`
	Session uint64 `cbor:"2,keyasint"` // of the sender
	Data    []byte `cbor:"3,keyasint"`
}

// SendShared sends data on a matter. It may be lost, late, repeated or out of order like any datagram.
func (n *Node) SendShared(to netip.AddrPort, matter string, data []byte) {
	n.send(to, &envelope{Shared: &SharedMessage{Topic: matter, Session: n.cfg.Session, Data: data}})
}

// handleShared passes what another process says of a matter on to whoever takes part in it.
func (n *Node) handleShared(from netip.AddrPort, s *SharedMessage) {
	if n.cfg.OnSharedMessage == nil || len(s.Topic) > mostLeaseName || s.Session == 0 {
		n.Counters.Damaged++
		return
	}
	n.cfg.OnSharedMessage(from, s)
}
