package vnet

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"ospreyspan/internal/poll"
)

// kernel implements poll.Kernel for one incarnation of a Host's process. Calls of a process that
// has ended have no effect.
type kernel struct {
	host           *Host
	incarnation    int
	eventsReturned int           // events returned in the current turn
	clockLag       time.Duration // delay with which the clock is read
	latestRead     time.Duration // latest clock reading, so that time never runs backwards
	noPorts        bool
	clockRate      float64 // clock rate since rateSince; clockOffset is the lead until then
	rateSince      time.Duration
	clockOffset    time.Duration
}

// clock returns the present reading of the process's clock, as virtual time since epoch.
func (k *kernel) clock() time.Duration {
	now := k.host.world.now
	return now - k.clockLag + k.clockOffset + time.Duration(float64(now-k.rateSince)*(k.clockRate-1))
}

var _ poll.Kernel = (*kernel)(nil)

func (k *kernel) ended() bool { return k.incarnation != k.host.incarnation }

func (k *kernel) WallTime() time.Time { return k.Now().Add(k.host.wallClockOffset) }

func (k *kernel) Now() time.Time {
	k.latestRead = max(k.latestRead, k.clock())
	return epoch.Add(k.latestRead)
}

// Wait never blocks. If no event is ready, the host is scheduled to run again later.
func (k *kernel) Wait(events []poll.Event, timeout time.Duration) (int, error) {
	h := k.host
	if k.ended() {
		return 0, ErrExit
	}
	n := 0
	if h.wakePending && n < len(events) {
		h.wakePending = false
		events[n] = poll.Event{Slot: poll.WakeSlot}
		n++
	}
	// Readiness is level-triggered: a reported descriptor stays in the list, behind those not yet
	// reported.
	examined := min(len(h.ready), len(events)-n)
	for _, f := range h.ready[:examined] {
		a := f.watch()
		a.queued = false
		if !a.registered {
			continue
		}
		r := f.state()
		if !wanted(r, a.interest) {
			continue
		}
		events[n] = poll.Event{Slot: a.slot, Gen: a.gen, Ready: poll.Ready{
			Read:   r.Read && a.interest&poll.WantRead != 0 || r.Hangup,
			Write:  r.Write && a.interest&poll.WantWrite != 0 || r.Hangup,
			Hangup: r.Hangup,
		}}
		n++
		a.queued = true
		h.ready = append(h.ready, f)
	}
	h.ready = append(h.ready[:0], h.ready[examined:]...)
	k.eventsReturned = n
	if n > 0 || timeout == 0 {
		return n, nil
	}
	h.blocked = true
	if timeout > 0 { // epoll counts in whole milliseconds, rounded up
		h.schedule(h.world.now + (timeout+time.Millisecond-1)/time.Millisecond*time.Millisecond)
	}
	return 0, nil
}

func (k *kernel) Wake() {
	if !k.ended() {
		k.host.wakePending = true
		k.host.schedule(k.host.world.now)
	}
}

func (k *kernel) Close() {}

func (k *kernel) Connect(to netip.AddrPort) (int, error) {
	h := k.host
	if k.ended() {
		return -1, unix.ENETDOWN
	}
	if k.noPorts {
		return -1, fmt.Errorf("%w: %w", poll.ErrNoSocket, unix.EADDRNOTAVAIL)
	}
	w := h.world
	remote := w.byAddr[to.Addr()]
	if remote == nil {
		return -1, unix.ENETUNREACH
	}
	w.connCount++
	e := &end{
		conn: &Conn{ID: w.connCount, Dialler: h, Listener: remote, Port: to.Port()}, path: w.path(h, remote),
		local: netip.AddrPortFrom(h.addr, h.nextPort()), remote: to,
	}
	e.watchState.host = h
	fd, err := h.allocate(e)
	if err != nil {
		return -1, fmt.Errorf("%w: %w", poll.ErrNoSocket, err)
	}
	e.send(segSyn, nil)
	return fd, nil
}

func (k *kernel) Listen(at netip.AddrPort, receive int) (int, error) {
	h := k.host
	if k.ended() {
		return -1, unix.ENETDOWN
	}
	if at.Addr() != h.addr && !at.Addr().IsUnspecified() {
		return -1, unix.EADDRNOTAVAIL
	}
	port := at.Port()
	if port == 0 {
		port = h.nextPort()
	}
	if h.listeners[port] != nil {
		return -1, unix.EADDRINUSE
	}
	l := &listener{port: port, receiveBuffer: receive}
	l.watchState.host = h
	fd, err := h.allocate(l)
	if err != nil {
		return -1, err
	}
	h.listeners[port] = l
	return fd, nil
}

func (k *kernel) Accept(fd int) (int, error) {
	l, ok := k.file(fd).(*listener)
	if !ok {
		return -1, unix.EINVAL
	}
	if len(l.queue) == 0 {
		return -1, poll.ErrAgain
	}
	e := l.queue[0]
	e.watchState.host = k.host
	conn, err := k.host.allocate(e)
	if err != nil {
		return -1, err
	}
	l.queue[0] = nil
	if l.queue = l.queue[1:]; len(l.queue) == 0 {
		l.queue = nil
	}
	return conn, nil
}

func (k *kernel) OpenUDP(at netip.AddrPort) (int, error) {
	h := k.host
	if k.ended() {
		return -1, unix.ENETDOWN
	}
	port := at.Port()
	if port == 0 {
		port = h.nextPort()
	}
	if h.datagrams[port] != nil {
		return -1, unix.EADDRINUSE
	}
	s := &datagramSocket{local: netip.AddrPortFrom(h.addr, port)}
	s.watchState.host = h
	fd, err := h.allocate(s)
	if err != nil {
		return -1, fmt.Errorf("%w: %w", poll.ErrNoSocket, err)
	}
	h.datagrams[port] = s
	return fd, nil
}

func (k *kernel) OpenReserve() (int, error) {
	if k.ended() {
		return -1, unix.ENETDOWN
	}
	return k.host.allocate(&reserveFile{})
}

// file returns the object behind a descriptor, or nil if the descriptor is free or the process has
// ended.
func (k *kernel) file(fd int) file {
	if k.ended() || fd < 0 || fd >= len(k.host.files) {
		return nil
	}
	return k.host.files[fd]
}

// end returns the connection behind a descriptor, or nil if there is none. Callers treat a missing
// connection as one that was reset.
func (k *kernel) end(fd int) *end {
	e, _ := k.file(fd).(*end)
	return e
}

func (k *kernel) CloseFD(fd int) {
	f := k.file(fd)
	if f == nil {
		return
	}
	f.watch().registered = false
	k.host.files[fd] = nil
	k.host.freeFDs = append(k.host.freeFDs, fd)
	k.host.openFDs--
	f.close()
}

func (k *kernel) Watch(fd int, want poll.Interest, slot, gen int32) error {
	f := k.file(fd)
	if f == nil {
		return unix.EBADF
	}
	a := f.watch()
	a.registered, a.interest, a.slot, a.gen = true, want, slot, gen
	a.notify(f)
	return nil
}

func (k *kernel) UpdateWatch(fd int, want poll.Interest, _, _ int32) error {
	f := k.file(fd)
	if f == nil {
		return unix.EBADF
	}
	f.watch().interest = want
	f.watch().notify(f)
	return nil
}

func (k *kernel) Read(fd int, p []byte) (int, error) {
	if e := k.end(fd); e != nil {
		return e.read(p)
	}
	return 0, unix.ECONNRESET
}

func (k *kernel) Send(fd int, p []byte) (int, error) {
	if e := k.end(fd); e != nil {
		return e.write(p)
	}
	return 0, unix.ECONNRESET
}

func (k *kernel) Receive(fd int, p []byte) (int, netip.AddrPort, error) {
	s, ok := k.file(fd).(*datagramSocket)
	if !ok {
		return 0, netip.AddrPort{}, unix.EBADF
	}
	if len(s.queue) == 0 {
		return 0, netip.AddrPort{}, poll.ErrAgain
	}
	d := s.queue[0]
	s.queue = s.queue[1:]
	return copy(p, d.data), d.from, nil
}

func (k *kernel) SendTo(fd int, p []byte, to netip.AddrPort) error {
	s, ok := k.file(fd).(*datagramSocket)
	if !ok {
		return unix.EBADF
	}
	s.send(p, to)
	return nil
}

func (k *kernel) CloseWrite(fd int) {
	if e := k.end(fd); e != nil {
		e.closeWrite()
	}
}

func (k *kernel) ResetOnClose(fd int) {
	if e := k.end(fd); e != nil {
		e.resetOnClose = true
	}
}

func (k *kernel) SocketError(fd int) error {
	e := k.end(fd)
	if e == nil {
		return unix.ECONNRESET
	}
	err := e.err
	e.err = nil
	return err
}

func (k *kernel) Idle(fd int) time.Duration {
	if e := k.end(fd); e != nil {
		return (k.host.world.now - e.lastReceived).Truncate(time.Millisecond)
	}
	return 0
}

func (k *kernel) LocalAddr(fd int) netip.AddrPort {
	switch f := k.file(fd).(type) {
	case *end:
		return f.local
	case *listener:
		return netip.AddrPortFrom(k.host.addr, f.port)
	case *datagramSocket:
		return f.local
	}
	return netip.AddrPort{}
}

func (k *kernel) RemoteAddr(fd int) netip.AddrPort {
	if e := k.end(fd); e != nil {
		return e.remote
	}
	return netip.AddrPort{}
}
