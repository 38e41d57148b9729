package poll

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

var (
	// ErrAgain means that the socket has nothing to read now.
	ErrAgain = errors.New("poll: not ready")
	// ErrNoSocket means that this machine has no descriptor, port or memory left: the other side is not at fault.
	ErrNoSocket = errors.New("poll: no socket")
)

// Socket is one TCP connection. Whoever opened or accepted it owns it and closes it once.
type Socket struct {
	loop    *Loop
	fd      int
	slot    int32
	events  uint32
	handler Handler
}

func family(a netip.Addr) int {
	if a.Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

const socketKind = unix.SOCK_STREAM | unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC

// ownFault marks the errors of connect that this machine is the cause of, out of ports or of memory, with
// ErrNoSocket.
func ownFault(err error) error {
	switch err {
	case unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM:
		return fmt.Errorf("%w: %w", ErrNoSocket, err)
	}
	return err
}

// Dial starts a connection. It is up, or has failed, once it is ready for writing: Established tells which.
func (l *Loop) Dial(to netip.AddrPort, h Handler) (*Socket, error) {
	fd, err := unix.Socket(family(to.Addr()), socketKind, 0)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoSocket, err)
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // only speed is lost without it
	for err = unix.Connect(fd, sockaddr(to)); errors.Is(err, unix.EINTR); {
		err = unix.EINPROGRESS // it goes on all the same
	}
	if err != nil && !errors.Is(err, unix.EINPROGRESS) {
		unix.Close(fd)
		return nil, fmt.Errorf("connect to %s: %w", to, ownFault(err))
	}
	return l.add(fd, h, unix.EPOLLOUT)
}

// Established tells how a Dial ended.
func (s *Socket) Established() error {
	code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// SetHandler hands the socket's events to another handler.
func (s *Socket) SetHandler(h Handler) { s.handler = h }

// Want tells the loop what to wait for.
func (s *Socket) Want(read, write bool) {
	var events uint32
	if read {
		events |= unix.EPOLLIN
	}
	if write {
		events |= unix.EPOLLOUT
	}
	if s.fd < 0 || events == s.events {
		return
	}
	s.events = events
	ev := unix.EpollEvent{Events: events, Fd: s.slot, Pad: s.loop.slots[s.slot].gen}
	// It can fail only for a descriptor that is not in the set, which add and remove rule out.
	_ = unix.EpollCtl(s.loop.epfd, unix.EPOLL_CTL_MOD, s.fd, &ev)
}

// Read reads what is there: ErrAgain if nothing is, io.EOF once the other side has ended its sending.
func (s *Socket) Read(p []byte) (int, error) {
	for {
		n, err := unix.Read(s.fd, p)
		switch {
		case err == nil && n == 0:
			return 0, io.EOF
		case err == nil:
			return n, nil
		case errors.Is(err, unix.EAGAIN):
			return 0, ErrAgain
		case !errors.Is(err, unix.EINTR):
			return 0, fmt.Errorf("read: %w", err)
		}
	}
}

// Write writes as much as the socket takes now, which may be nothing. A broken connection is an error and
// raises no SIGPIPE.
func (s *Socket) Write(p []byte) (int, error) {
	for {
		n, err := unix.SendmsgN(s.fd, p, nil, nil, unix.MSG_NOSIGNAL)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, unix.EAGAIN):
			return 0, nil
		case !errors.Is(err, unix.EINTR):
			return 0, fmt.Errorf("write: %w", err)
		}
	}
}

// CloseWrite ends the sending on the connection; what was written still arrives.
func (s *Socket) CloseWrite() {
	_ = unix.Shutdown(s.fd, unix.SHUT_WR) // fails only if the connection is broken already
}

// Idle tells how long ago the last bytes arrived, by the kernel's word: they may have waited for the loop.
func (s *Socket) Idle() time.Duration {
	info, err := unix.GetsockoptTCPInfo(s.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// Close ends the connection and gives its descriptor back. Further calls do nothing.
func (s *Socket) Close() {
	if s.fd >= 0 {
		s.loop.remove(s)
	}
}

// Reset ends the connection with a reset.
func (s *Socket) Reset() {
	if s.fd >= 0 {
		_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		s.loop.remove(s)
	}
}
