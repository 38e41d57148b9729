package poll

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Listener accepts connections. It keeps one descriptor in reserve: without it a process that is out of
// descriptors could neither answer new connections nor get rid of them, and would turn without end.
type Listener struct {
	sock    *Socket
	reserve int
	accept  func(s *Socket, last bool) Handler
}

// receiveBuffer bounds what the kernel keeps of a connection that is not read: some clients send megabytes, and
// the kernel would let each of hundreds have as much.
const receiveBuffer = 32 << 10

// Listen accepts connections at an address. accept gets each and returns its handler; last tells that the
// descriptors are used up: the connection must be answered and closed before accept returns.
func (l *Loop) Listen(at netip.AddrPort, accept func(s *Socket, last bool) Handler) (*Listener, error) {
	fd, err := unix.Socket(family(at.Addr()), socketKind, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil { // inherited by what is accepted
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	}
	if err == nil {
		err = unix.Bind(fd, sockaddr(at))
	}
	if err == nil {
		err = unix.Listen(fd, unix.SOMAXCONN)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen at %s: %w", at, err)
	}
	n := &Listener{accept: accept, reserve: -1}
	if n.sock, err = l.add(fd, n, unix.EPOLLIN); err != nil {
		return nil, err
	}
	n.hoard()
	return n, nil
}

func (n *Listener) hoard() {
	fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		fd = -1 // tried again at the next shortage
	}
	n.reserve = fd
}

// acceptBatch bounds the connections taken in one turn, so that a surge does not starve the others.
const acceptBatch = 64

// Ready accepts what is waiting.
func (n *Listener) Ready(Ready) {
	for range acceptBatch {
		if n.sock.fd < 0 {
			return
		}
		fd, _, err := unix.Accept4(n.sock.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		last := false
		if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
			last = true
			if n.reserve >= 0 {
				unix.Close(n.reserve)
				n.reserve = -1
			}
			fd, _, err = unix.Accept4(n.sock.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		}
		if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			continue
		}
		if err == nil {
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
			if s, addErr := n.sock.loop.add(fd, nil, unix.EPOLLIN); addErr == nil {
				s.handler = n.accept(s, last)
			}
		}
		if last {
			n.hoard()
		}
		if err != nil {
			return
		}
	}
}

// Addr is the address at which it listens.
func (n *Listener) Addr() netip.AddrPort {
	switch a, _ := unix.Getsockname(n.sock.fd); a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// Close stops listening.
func (n *Listener) Close() {
	if n.reserve >= 0 {
		unix.Close(n.reserve)
		n.reserve = -1
	}
	n.sock.Close()
}
