package mesh

import (
	"errors"
	"net/netip"

	"ospreyspan/internal/poll"
)

// receiveBufferBytes is the size of the receive buffer for one datagram. It is larger than
// MaxDatagram so that oversized datagrams are detected.
const receiveBufferBytes = 2048

// transport sends and receives the messages of one cluster, one datagram each, and counts them.
type transport struct {
	loop     *poll.Loop
	socket   *poll.UDPSocket
	cluster  string
	counters *Counters
	buffer   [receiveBufferBytes]byte
}

// send sends a message. A message that can't be sent is counted and dropped, as if it had been lost
// in the network.
func (t *transport) send(to netip.AddrPort, message *envelope) {
	message.Cluster = t.cluster
	datagram, err := encode(message)
	if err != nil {
		t.counters.Unsent++
		return
	}
	if t.socket.Send(datagram, to) != nil {
		t.counters.Unsent++
		return
	}
	t.counters.Sent++
	t.counters.BytesSent += uint64(len(datagram))
}

// receive reads the next datagram from the socket. more is false if none is waiting. message is nil
// if the datagram was dropped.
func (t *transport) receive() (message *envelope, from netip.AddrPort, more bool) {
	size, from, err := t.socket.Receive(t.buffer[:])
	if err != nil {
		return nil, from, false
	}
	// Read the clock again. If the process was paused between the loop's clock reading and this
	// read, the outdated time would make reported ages too small, or make a lease renewal seem to
	// arrive before it was requested.
	t.loop.RefreshNow()
	t.counters.Received++
	t.counters.BytesReceived += uint64(size)
	return t.parse(size), from, true
}

// parse decodes the first size bytes of the buffer. It counts a datagram that can't be used, and
// returns nil for it.
func (t *transport) parse(size int) *envelope {
	if size > MaxDatagram {
		t.counters.Long++
		return nil
	}
	message, err := decode(t.buffer[:size], t.cluster)
	switch {
	case errors.Is(err, errForeign):
		t.counters.Foreign++
	case err != nil:
		t.counters.Damaged++
	default:
		return message
	}
	return nil
}
