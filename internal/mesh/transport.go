package mesh

import (
	"errors"
	"net/netip"

	"ospreyspan/internal/poll"
)

// receiveBuffer is the size of the buffer for one datagram, in bytes: above MaxDatagram, so that a longer one is noticed.
const receiveBuffer = 2048

// transport sends and receives the messages of one cluster, a datagram each, and counts them.
type transport struct {
	loop    *poll.Loop
	socket  *poll.UDPSocket
	cluster string
	count   *Counters
	buffer  [receiveBuffer]byte
}

// send sends a message. One that can't be sent is counted and dropped, as if it had been lost on the way.
func (t *transport) send(to netip.AddrPort, message *envelope) {
	message.Cluster = t.cluster
	datagram, err := encode(message)
	if err != nil {
		t.count.Unsent++
		return
	}
	if t.socket.Send(datagram, to) != nil {
		t.count.Unsent++
		return
	}
	t.count.Sent++
	t.count.BytesSent += uint64(len(datagram))
}

// receive takes the next datagram off the socket; more is false if none waits. message is nil for one that was dropped.
func (t *transport) receive() (message *envelope, from netip.AddrPort, more bool) {
	size, from, err := t.socket.Receive(t.buffer[:])
	if err != nil {
		return nil, from, false
	}
	// A stop of the process between the turn's look at the clock and this read must not make an age that is told shorter, or a
	// renewal look as if it had come before it was asked for.
	t.loop.RefreshNow()
	t.count.Received++
	t.count.BytesReceived += uint64(size)
	return t.parse(size), from, true
}

// parse decodes the datagram of that size in the buffer. It counts one that can't be used, and returns nil for it.
func (t *transport) parse(size int) *envelope {
	if size > MaxDatagram {
		t.count.Long++
		return nil
	}
	message, err := decode(t.buffer[:size], t.cluster)
	switch {
	case errors.Is(err, errForeign):
		t.count.Foreign++
	case err != nil:
		t.count.Damaged++
	default:
		return message
	}
	return nil
}
