package poll

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Listener accepts TCP connections. It keeps one descriptor in reserve: a process at its descriptor
// limit could otherwise neither answer new connections nor close them, and its loop would spin
// because the listener stays ready.
type Listener struct {
	sock          *Socket
	reserve       int // descriptor; -1: none
	accept        func(s *Socket, last bool) Handler
	retry         Timer     // resumes accepting after pause
	shortageSince time.Time // start of the machine's shortage of files or memory; zero: none
}

// receiveBuffer limits, in bytes, the data that the kernel buffers for a connection that is not
// read. Some clients send megabytes, and without the limit the kernel would buffer that much for
// each of hundreds of connections.
const receiveBuffer = 32 << 10

// Listen accepts connections at an address. It calls accept for each one and uses the handler that
// accept returns. If last is true, the process has no descriptor left: accept must answer and close
// the connection before it returns.
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

// takeReserve opens the reserve descriptor unless it is open.
func (n *Listener) takeReserve() {
	if n.reserve >= 0 || n.sock.fd < 0 {
		return
	}
	fd, err := n.sock.loop.kernel.OpenReserve()
	if err != nil {
		fd = -1 // the next accepted connection tries again
	}
	n.reserve = fd
}

// releaseReserve closes the reserve descriptor.
func (n *Listener) releaseReserve() {
	if n.reserve >= 0 {
		n.sock.loop.kernel.CloseFD(n.reserve)
		n.reserve = -1
	}
}

const (
	// acceptBatchSize limits the connections accepted in one turn of the loop, so that a burst of
	// connections does not starve other sockets.
	acceptBatchSize = 64
	// maxAcceptBatches limits the batches of AcceptAll, in case connections arrive as fast as they
	// are accepted. All batches together hold more connections than the listen queue of the kernel.
	maxAcceptBatches = 256
	// shortagePause is how long the listener accepts nothing when no descriptor is left at all, or
	// the machine is out of files or memory. The listener stays ready meanwhile: a loop that tried
	// again at once would do nothing else.
	shortagePause = 5 * time.Millisecond
	// maxShortage is how long the listener waits for a shortage on the machine to end. After that
	// it accepts connections with the reserve descriptor and refuses them: a client that waits
	// unread for longer may have no time left for its answer.
	maxShortage = 200 * time.Millisecond
)

// Ready implements Handler. It accepts the pending connections.
func (n *Listener) Ready(Ready) { n.acceptBatch() }

// AcceptAll accepts all pending connections. It is for use before Close, which resets those that
// are still pending. It returns false if some may still be pending, for lack of descriptors or
// memory; the caller should then call it again soon.
func (n *Listener) AcceptAll() bool {
	for range maxAcceptBatches {
		if err := n.acceptBatch(); err != nil {
			return errors.Is(err, ErrAgain)
		}
	}
	return false
}

// acceptBatch accepts up to acceptBatchSize connections. It returns the reason why it stopped:
// ErrAgain if none is pending, nil if more may be pending.
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

// acceptOne accepts the next connection. If there is no other descriptor for it, it uses the
// reserve descriptor.
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

// shortageLasted returns whether err is a shortage on the machine that has lasted for maxShortage.
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

// handOver registers an accepted connection and passes it to the accept function.
func (n *Listener) handOver(fd int, last bool) {
	s := n.sock.loop.add(fd, nil, WantRead)
	s.handler = n.accept(s, last)
}

// pause stops accepting for shortagePause.
func (n *Listener) pause() {
	n.sock.Want(false, false)
	n.sock.loop.After(&n.retry, shortagePause)
}

// Addr returns the address of the listener.
func (n *Listener) Addr() netip.AddrPort { return n.sock.LocalAddr() }

// Closed returns whether Close was called.
func (n *Listener) Closed() bool { return n.sock.fd < 0 }

// Close stops listening and closes the descriptors of the listener.
func (n *Listener) Close() {
	n.releaseReserve()
	if n.sock.fd >= 0 {
		n.sock.loop.Disarm(&n.retry)
	}
	n.sock.Close()
}
