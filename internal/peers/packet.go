package peers

import "net/netip"

// Kind is the kind of a Packet.
type Kind uint8

// The kinds of packets. Their values are part of the wire format.
const (
	Ping    Kind = 1 + iota // answered with an Ack by its receiver, whatever the Target
	Ack                     // answers a Ping; carries the Ping's Seq and Target
	PingReq                 // asks the receiver to ping Target and to forward the Ack
	Sync                    // carries members that the sender knows; answered with SyncAcks
	SyncAck                 // carries members that the sender knows; not answered
)

// Packet is a message to another member. It is sent in one datagram.
type Packet struct {
	Kind    Kind     `cbor:"1,keyasint"`
	Seq     uint64   `cbor:"2,keyasint,omitempty"`
	Session uint64   `cbor:"3,keyasint"`           // session of the sender
	Target  uint64   `cbor:"4,keyasint,omitempty"` // session to ping; see Ping
	Members []Member `cbor:"5,keyasint,omitempty"` // records to merge
}

// Send is a Packet to be sent and its destination.
type Send struct {
	To     netip.AddrPort
	Packet Packet
}
