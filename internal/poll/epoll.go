package poll

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// epoll is the Kernel for real sockets: non-blocking Linux sockets and epoll.
type epoll struct {
	calls        SystemCalls
	epfd, wakefd int
	ready        [maxEvents]unix.EpollEvent // events of the last call of EpollWait
}

// NewEpoll returns a Kernel that uses Linux sockets and epoll through the given system calls. It
// opens two descriptors for its own use: an epoll instance and an eventfd.
func NewEpoll(calls SystemCalls) (Kernel, error) {
	epfd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll_create1: %w", err)
	}
	wakefd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err == nil {
		ev := unix.EpollEvent{Events: unix.EPOLLIN, Fd: WakeSlot}
		if err = unix.EpollCtl(epfd, unix.EPOLL_CTL_ADD, wakefd, &ev); err != nil {
			unix.Close(wakefd)
		}
	}
	if err != nil {
		unix.Close(epfd)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return &epoll{calls: calls, epfd: epfd, wakefd: wakefd}, nil
}

// Now returns a time with a reading of the monotonic clock. Differences between two such times use
// only that reading, so steps of the wall clock do not affect them.
func (k *epoll) Now() time.Time { return time.Now() }

func (k *epoll) WallTime() time.Time { return k.calls.WallTime() }

func (k *epoll) Close() {
	unix.Close(k.wakefd)
	unix.Close(k.epfd)
}

func (k *epoll) Wake() {
	one := [8]byte{1}
	// EAGAIN means that the counter is full, which also wakes the loop.
	_, _ = unix.Write(k.wakefd, one[:])
}

// timeoutMillis converts a maximum wait to the whole milliseconds of epoll_wait; -1 means no limit.
// It rounds up: a wait that ended before the next timer is due would cost one more turn of the loop
// with nothing to do.
func timeoutMillis(maxWait time.Duration) int {
	if maxWait < 0 {
		return -1
	}
	return int((maxWait + time.Millisecond - 1) / time.Millisecond)
}

func (k *epoll) Wait(events []Event, maxWait time.Duration) (int, error) {
	n, err := k.calls.EpollWait(k.epfd, k.ready[:min(len(events), len(k.ready))], timeoutMillis(maxWait))
	if err != nil {
		if errors.Is(err, unix.EINTR) { // interrupted by a signal: not an error
			return 0, nil
		}
		return 0, fmt.Errorf("epoll_wait: %w", err)
	}
	for i := range n {
		e := &k.ready[i]
		if e.Fd == WakeSlot {
			var count [8]byte
			_, _ = unix.Read(k.wakefd, count[:])
		}
		events[i] = Event{Slot: e.Fd, Gen: e.Pad, Ready: Ready{
			Read:   e.Events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0,
			Write:  e.Events&(unix.EPOLLOUT|unix.EPOLLHUP|unix.EPOLLERR) != 0,
			Hangup: e.Events&(unix.EPOLLHUP|unix.EPOLLERR) != 0,
		}}
	}
	return n, nil
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

func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// socketFlags are the flags of every socket that this package opens or accepts.
const socketFlags = unix.SOCK_NONBLOCK | unix.SOCK_CLOEXEC

// classifyConnectError marks the errors of connect that are not the fault of the remote side:
// ErrNoSocket if this machine has run out of ports or memory, ErrNoPath if its routes or filters
// currently let nothing out to the address.
func classifyConnectError(err error) error {
	switch err {
	case unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM:
		return fmt.Errorf("%w: %w", ErrNoSocket, err)
	case unix.ENETUNREACH, unix.ENETDOWN, unix.EHOSTUNREACH, unix.EHOSTDOWN, unix.EACCES, unix.EPERM:
		return fmt.Errorf("%w: %w", ErrNoPath, err)
	}
	return err
}

func (k *epoll) Connect(to netip.AddrPort) (int, error) {
	fd, err := k.calls.Socket(family(to.Addr()), unix.SOCK_STREAM|socketFlags, 0)
	if err != nil {
		return -1, fmt.Errorf("%w: %w", ErrNoSocket, err)
	}
	// A failure costs only latency.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	err = k.calls.Connect(fd, sockaddr(to))
	// EINTR: the connection attempt continues.
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) {
		k.CloseFD(fd)
		return -1, classifyConnectError(err)
	}
	return fd, nil
}

func (k *epoll) Listen(at netip.AddrPort, receiveBuffer int) (int, error) {
	fd, err := k.calls.Socket(family(at.Addr()), unix.SOCK_STREAM|socketFlags, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil { // accepted sockets inherit the buffer size
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	}
	if err == nil {
		err = k.calls.Bind(fd, sockaddr(at))
	}
	if err == nil {
		err = k.calls.Listen(fd, unix.SOMAXCONN)
	}
	if err != nil {
		k.CloseFD(fd)
		return -1, err
	}
	return fd, nil
}

func (k *epoll) Accept(fd int) (int, error) {
	conn, _, err := k.calls.Accept(fd, socketFlags)
	switch {
	case err == nil:
		_ = unix.SetsockoptInt(conn, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		return conn, nil
	}
	return -1, classifyAcceptError(err)
}

// classifyAcceptError classifies an error of accept by how the caller must react. Linux also
// returns pending network errors of the connection that was to be accepted, which can be any error;
// the caller must then go on accepting the others.
func classifyAcceptError(err error) error {
	switch err {
	case unix.EAGAIN:
		return ErrAgain
	case unix.EMFILE:
		return ErrDescriptors
	case unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		return fmt.Errorf("%w: %w", ErrShortage, err)
	case unix.EBADF, unix.EFAULT, unix.EINVAL, unix.ENOTSOCK, unix.EOPNOTSUPP:
		return err
	}
	return ErrAborted
}

func (k *epoll) OpenUDP(at netip.AddrPort) (int, error) {
	fd, err := k.calls.Socket(family(at.Addr()), unix.SOCK_DGRAM|socketFlags, 0)
	if err != nil {
		return -1, fmt.Errorf("%w: %w", ErrNoSocket, err)
	}
	if err := k.calls.Bind(fd, sockaddr(at)); err != nil {
		k.CloseFD(fd)
		return -1, err
	}
	return fd, nil
}

func (k *epoll) OpenReserve() (int, error) {
	return k.calls.OpenFile("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
}

// CloseFD ignores an error: Linux frees the descriptor even if close returns one.
func (k *epoll) CloseFD(fd int) { _ = k.calls.Close(fd) }

func eventMask(want Interest) uint32 {
	var events uint32
	if want&WantRead != 0 {
		events |= unix.EPOLLIN
	}
	if want&WantWrite != 0 {
		events |= unix.EPOLLOUT
	}
	return events
}

func (k *epoll) Watch(fd int, want Interest, slot, gen int32) error {
	ev := unix.EpollEvent{Events: eventMask(want), Fd: slot, Pad: gen}
	return k.calls.EpollControl(k.epfd, unix.EPOLL_CTL_ADD, fd, &ev)
}

func (k *epoll) UpdateWatch(fd int, want Interest, slot, gen int32) error {
	ev := unix.EpollEvent{Events: eventMask(want), Fd: slot, Pad: gen}
	return k.calls.EpollControl(k.epfd, unix.EPOLL_CTL_MOD, fd, &ev)
}

func (k *epoll) Read(fd int, p []byte) (int, error) {
	for {
		n, err := k.calls.Read(fd, p)
		if err == nil {
			return n, nil
		}
		if err != unix.EINTR {
			return 0, transferError(err)
		}
	}
}

// Send does not raise SIGPIPE on a broken connection.
func (k *epoll) Send(fd int, p []byte) (int, error) {
	for {
		n, err := k.calls.Send(fd, p)
		if err == nil {
			return n, nil
		}
		if err != unix.EINTR {
			return 0, transferError(err)
		}
	}
}

// transferError returns the error of a read or write that was not interrupted. A shortage of memory
// is temporary, and the socket stays ready.
func transferError(err error) error {
	switch err {
	case unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM:
		return ErrAgain
	}
	return err
}

func (k *epoll) Receive(fd int, p []byte) (int, netip.AddrPort, error) {
	for {
		n, from, err := unix.Recvfrom(fd, p, 0)
		switch {
		case err == nil:
			return n, addrPort(from), nil
		case errors.Is(err, unix.EAGAIN):
			return 0, netip.AddrPort{}, ErrAgain
		case !errors.Is(err, unix.EINTR):
			return 0, netip.AddrPort{}, err
		}
	}
}

func (k *epoll) SendTo(fd int, p []byte, to netip.AddrPort) error {
	for {
		err := unix.Sendto(fd, p, unix.MSG_NOSIGNAL, sockaddr(to))
		switch {
		case errors.Is(err, unix.EAGAIN):
			return ErrAgain
		case !errors.Is(err, unix.EINTR):
			return err
		}
	}
}

func (k *epoll) CloseWrite(fd int) {
	_ = unix.Shutdown(fd, unix.SHUT_WR) // fails only if the connection is already broken
}

func (k *epoll) ResetOnClose(fd int) {
	_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
}

func (k *epoll) SocketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

func (k *epoll) Idle(fd int) time.Duration {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

func (k *epoll) LocalAddr(fd int) netip.AddrPort {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(sa)
}

func (k *epoll) RemoteAddr(fd int) netip.AddrPort {
	sa, err := unix.Getpeername(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(sa)
}
