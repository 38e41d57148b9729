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
	sock          *Socket
	reserve       int // -1: none
	accept        func(s *Socket, last bool) Handler
	retry         Timer
	shortageSince time.Time // the machine has been short of files or memory since then; zero: it is not
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
	n.sock = l.add(fd, n, WantRead)
	n.takeReserve()
	return n, nil
}

// takeReserve opens the reserve descriptor unless it is there.
func (n *Listener) takeReserve() {
	if n.reserve >= 0 || n.sock.fd < 0 {
		return
	}
	fd, err := n.sock.loop.kernel.OpenReserve()
	if err != nil {
		fd = -1 // tried again with the next connection
	}
	n.reserve = fd
}

// releaseReserve gives the reserve back.
func (n *Listener) releaseReserve() {
	if n.reserve >= 0 {
		n.sock.loop.kernel.CloseFD(n.reserve)
		n.reserve = -1
	}
}

const (
	// acceptBatchSize bounds the connections taken in one turn, so that a surge does not starve the others.
	acceptBatchSize = 64
	// maxAcceptBatches bounds the batches of AcceptAll, in case connections come as fast as they are accepted: more than the kernel's queue.
	maxAcceptBatches = 256
	// shortagePause is how long nothing is accepted when there is no descriptor at all, or the machine is short of something: the
	// listener stays ready, and a loop that looks again at once would do nothing else.
	shortagePause = 5 * time.Millisecond
	// maxShortage is how long a shortage of the machine is waited out. From then on the reserve's place is used, and who is accepted
	// on it is turned away: a client that waits unread for longer may have no time left for its answer.
	maxShortage = 200 * time.Millisecond
)

// Ready accepts what is waiting.
func (n *Listener) Ready(Ready) { n.acceptBatch() }

// AcceptAll accepts all that waits, before Close: what waits then is reset. It returns false if something may still wait, for want of
// descriptors or memory, and is to be called again soon.
func (n *Listener) AcceptAll() bool {
	for range maxAcceptBatches {
		if err := n.acceptBatch(); err != nil {
			return errors.Is(err, ErrAgain)
		}
	}
	return false
}

// acceptBatch accepts up to acceptBatch connections. It returns why it stopped: ErrAgain if none waits, nil if more may.
func (n *Listener) acceptBatch() error {
	for range acceptBatchSize {
		if n.sock.fd < 0 {
			return ErrAgain
		}
		err := n.acceptOne()
		switch {
		case err == nil || errors.Is(err, ErrAborted):
		case errors.Is(err, ErrAgain):
			n.shortageSince = time.Time{}
			return err
		default:
			n.pause()
			return err
		}
	}
	return nil
}

// acceptOne accepts the next connection, in the reserve's place if there is no other.
func (n *Listener) acceptOne() error {
	loop := n.sock.loop
	fd, err := loop.kernel.Accept(n.sock.fd)
	if err == nil {
		n.shortageSince = time.Time{}
		n.takeReserve()
		n.handOver(fd, false)
		return nil
	}
	if !errors.Is(err, ErrDescriptors) && !n.shortageLasted(err) {
		return err
	}
	n.releaseReserve()
	if fd, err = loop.kernel.Accept(n.sock.fd); err == nil {
		n.handOver(fd, true)
	}
	n.takeReserve()
	return err
}

// shortageLasted tells whether an error of accept is a shortage of the machine that has lasted.
func (n *Listener) shortageLasted(err error) bool {
	if !errors.Is(err, ErrShortage) {
		return false
	}
	now := n.sock.loop.Now()
	if n.shortageSince.IsZero() {
		n.shortageSince = now
	}
	return now.Sub(n.shortageSince) >= maxShortage
}

func (n *Listener) handOver(fd int, last bool) {
	s := n.sock.loop.add(fd, nil, WantRead)
	s.handler = n.accept(s, last)
}

// pause accepts nothing for a while.
func (n *Listener) pause() {
	n.sock.Want(false, false)
	n.sock.loop.After(&n.retry, shortagePause)
}

// Addr is the address at which it listens.
func (n *Listener) Addr() netip.AddrPort { return n.sock.LocalAddr() }

// Closed tells whether Close was called.
func (n *Listener) Closed() bool { return n.sock.fd < 0 }

// Close stops listening.
func (n *Listener) Close() {
	n.releaseReserve()
	if n.sock.fd >= 0 {
		n.sock.loop.Disarm(&n.retry)
	}
	n.sock.Close()
}
