// Package poll is the event loop: epoll, non-blocking sockets and a heap of timers. It is the only package with
// system calls. A Loop and all that belongs to it are for one goroutine; only Wake may be called from another.
package poll

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Ready tells what a socket is ready for.
type Ready struct {
	Read, Write bool
	Hangup      bool // both directions are over, or the connection broke
}

// Handler is told when its socket is ready.
type Handler interface{ Ready(Ready) }

// slot is an entry of the table of sockets. Events carry its index and its generation: one that was gathered
// before the socket closed must not reach the socket that took over the descriptor.
type slot struct {
	gen  int32
	sock *Socket
}

// Loop waits for sockets and timers.
type Loop struct {
	epfd, wakefd int
	now          time.Time
	slots        []slot
	free         []int32
	timers       timers
	events       [256]unix.EpollEvent
	wake         func()
	open         int
}

const wakeSlot = -1 // stands for the wake descriptor in an event

// New returns a Loop. wake is called on the loop after Wake.
func New(wake func()) (*Loop, error) {
	epfd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakefd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err == nil {
		ev := unix.EpollEvent{Events: unix.EPOLLIN, Fd: wakeSlot}
		if err = unix.EpollCtl(epfd, unix.EPOLL_CTL_ADD, wakefd, &ev); err != nil {
			unix.Close(wakefd)
		}
	}
	if err != nil {
		unix.Close(epfd)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return &Loop{epfd: epfd, wakefd: wakefd, wake: wake, now: time.Now()}, nil
}

// Close gives back the loop's own descriptors; its sockets belong to their users.
func (l *Loop) Close() {
	unix.Close(l.wakefd)
	unix.Close(l.epfd)
}

// Now is the time at which the turn began.
func (l *Loop) Now() time.Time { return l.now }

// Open tells how many sockets are open.
func (l *Loop) Open() int { return l.open }

// Wake makes the loop call its wake function. It may be called from any goroutine.
func (l *Loop) Wake() {
	one := [8]byte{1}
	_, _ = unix.Write(l.wakefd, one[:]) // a full counter wakes the loop as well
}

// Turn waits until something is ready or a timer is due, at once if wait is false, and tells the handlers.
func (l *Loop) Turn(wait bool) error {
	ms := 0
	if wait {
		ms = l.timers.next(time.Now())
	}
	n, err := unix.EpollWait(l.epfd, l.events[:], ms)
	if err != nil && !errors.Is(err, unix.EINTR) { // a signal is no reason to stop
		return fmt.Errorf("epoll: %w", err)
	}
	l.now = time.Now()
	for i := 0; i < n; i++ {
		e := &l.events[i]
		if e.Fd == wakeSlot {
			var count [8]byte
			_, _ = unix.Read(l.wakefd, count[:])
			l.wake()
			continue
		}
		if s := l.slots[e.Fd]; s.sock != nil && s.gen == e.Pad {
			s.sock.handler.Ready(Ready{
				Read:   e.Events&(unix.EPOLLIN|unix.EPOLLHUP|unix.EPOLLERR) != 0,
				Write:  e.Events&(unix.EPOLLOUT|unix.EPOLLHUP|unix.EPOLLERR) != 0,
				Hangup: e.Events&(unix.EPOLLHUP|unix.EPOLLERR) != 0,
			})
		}
	}
	l.timers.fire(l.now)
	return nil
}

// add puts a new descriptor in the table and under epoll; the Socket owns it from then on.
func (l *Loop) add(fd int, h Handler, events uint32) (*Socket, error) {
	var i int32
	if n := len(l.free); n > 0 {
		i, l.free = l.free[n-1], l.free[:n-1]
	} else {
		i = int32(len(l.slots))
		l.slots = append(l.slots, slot{})
	}
	s := &Socket{loop: l, fd: fd, slot: i, handler: h, events: events}
	ev := unix.EpollEvent{Events: events, Fd: i, Pad: l.slots[i].gen}
	if err := unix.EpollCtl(l.epfd, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		l.free = append(l.free, i)
		unix.Close(fd)
		return nil, fmt.Errorf("epoll add: %w", err)
	}
	l.slots[i].sock = s
	l.open++
	return s, nil
}

// remove takes a socket out of the table and closes it: the one place where a descriptor is given back.
func (l *Loop) remove(s *Socket) {
	l.slots[s.slot].sock = nil
	l.slots[s.slot].gen++
	l.free = append(l.free, s.slot)
	l.open--
	unix.Close(s.fd)
	s.fd = -1
}
