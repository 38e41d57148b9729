package poll

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Listener accepts connections. It keeps one descriptor in reserve: without it a process that is out of
// descriptors could neither answer new connections nor get rid of them, and would turn without end.
type Listener struct {
	sock    *Socket
	reserve int
	accept  func(s *Socket, last bool) Handler
	retry   Timer
}

// receiveBuffer bounds what the kernel keeps of a connection that is not read: some clients send megabytes, and
// the kernel would let each of hundreds have as much.
const receiveBuffer = 32 << 10

// Listen accepts connections at an address. accept gets each and returns its handler; last tells that the
// descriptors are used up: the connection must be answered and closed before accept returns.
func (l *Loop) Listen(at netip.AddrPort, accept func(s *Socket, last bool) Handler) (*Listener, error) {
	fd, err := l.kernel.Listen(at, receiveBuffer)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", at, err)
	}
	n := &Listener{accept: accept, reserve: -1}
	n.retry.Fire = func() { n.sock.Want(true, false) }
	if n.sock, err = l.add(fd, n, WantRead); err != nil {
		return nil, err
	}
	n.hoard()
	return n, nil
}

func (n *Listener) hoard() {
	fd, err := n.sock.loop.kernel.Spare()
	if err != nil {
		fd = -1 // tried again at the next shortage
	}
	n.reserve = fd
}

// unhoard gives the reserve back.
func (n *Listener) unhoard() {
	if n.reserve >= 0 {
		n.sock.loop.kernel.CloseFD(n.reserve)
		n.reserve = -1
	}
}

// acceptBatch bounds the connections taken in one turn, so that a surge does not starve the others.
const acceptBatch = 64

// shortageRest is how long nothing is accepted when there is no descriptor at all.
const shortageRest = 20 * time.Millisecond

// Ready accepts what is waiting.
func (n *Listener) Ready(Ready) { n.batch() }

// AcceptAll accepts all that waits, before Close: what waits then is reset.
func (n *Listener) AcceptAll() {
	for range acceptMost {
		if !n.batch() {
			return
		}
	}
}

// acceptMost bounds the batches of AcceptAll, in case connections come as fast as they are accepted: more than the kernel's queue.
const acceptMost = 256

// batch accepts up to acceptBatch connections, and tells whether more may wait.
func (n *Listener) batch() bool {
	loop := n.sock.loop
	for range acceptBatch {
		if n.sock.fd < 0 {
			return false
		}
		fd, err := loop.kernel.Accept(n.sock.fd)
		last := errors.Is(err, ErrDescriptors)
		if last {
			n.unhoard()
			fd, err = loop.kernel.Accept(n.sock.fd)
		}
		if errors.Is(err, ErrAborted) {
			continue
		}
		if err == nil {
			if s, addErr := loop.add(fd, nil, WantRead); addErr == nil {
				s.handler = n.accept(s, last)
			}
		}
		if last && n.sock.fd >= 0 {
			n.hoard()
		}
		if errors.Is(err, ErrDescriptors) {
			// Not even the reserve's place was left, as when the limit was lowered or the whole machine is out: the
			// listener stays ready, and a loop that looks again at once would do nothing else.
			n.sock.Want(false, false)
			loop.After(&n.retry, shortageRest)
		}
		if err != nil {
			return false
		}
	}
	return true
}

// Addr is the address at which it listens.
func (n *Listener) Addr() netip.AddrPort { return n.sock.Name() }

// Closed tells whether Close was called.
func (n *Listener) Closed() bool { return n.sock.fd < 0 }

// Close stops listening.
func (n *Listener) Close() {
	n.unhoard()
	if n.sock.fd >= 0 {
		n.sock.loop.Disarm(&n.retry)
	}
	n.sock.Close()
}
