// Package poll is the event loop: non-blocking sockets and a heap of timers, over a Kernel, which is epoll where
// the program serves. A Loop and all that belongs to it are for one goroutine; only Wake and Post may be called from another.
package poll

import (
	"slices"
	"sync"
	"time"
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

// maxEvents is how many events a turn takes at the most.
const maxEvents = 256

// Loop waits for sockets and timers.
type Loop struct {
	kernel       Kernel
	start        time.Time
	now          time.Time
	slots        []slot
	free         []int32
	timers       timerHeap
	events       [maxEvents]Event
	wake         func()
	openCount    int
	urgent       []*Socket // told first in a turn
	staleWatches []*Socket // whose interest the kernel does not have yet, see watch

	mu     sync.Mutex
	posted []func() // by other goroutines, to be called on the loop
}

// New returns a Loop on epoll. wake is called on the loop after Wake.
func New(wake func()) (*Loop, error) { return NewWithCalls(LinuxCalls(), wake) }

// NewWithCalls is New with other system calls than Linux's own.
func NewWithCalls(calls SystemCalls, wake func()) (*Loop, error) {
	k, err := NewEpoll(calls)
	if err != nil {
		return nil, err
	}
	return NewOn(k, wake), nil
}

// NewOn returns a Loop on a kernel, which it owns from then on.
func NewOn(k Kernel, wake func()) *Loop {
	now := k.Now()
	return &Loop{kernel: k, wake: wake, start: now, now: now}
}

// Close gives back what the loop's kernel holds; its sockets belong to their users.
func (l *Loop) Close() { l.kernel.Close() }

// Now is the time at which the turn began.
func (l *Loop) Now() time.Time { return l.now }

// WallTime is the machine's wall clock now; see Kernel.
func (l *Loop) WallTime() time.Time { return l.kernel.WallTime() }

// RefreshNow reads the clock anew and returns it: the process may have been stopped since the turn began, and what it reads now may have
// been sent meanwhile. Whoever answers for the age of something reads the clock after the question.
func (l *Loop) RefreshNow() time.Time {
	if now := l.kernel.Now(); now.After(l.now) {
		l.now = now
	}
	return l.now
}

// Open tells how many sockets are open.
func (l *Loop) Open() int { return l.openCount }

// Timers tells how many timers are armed.
func (l *Loop) Timers() int { return len(l.timers) }

// Wake makes the loop call its wake function. It may be called from any goroutine.
func (l *Loop) Wake() { l.kernel.Wake() }

// Post has the loop call f, soon. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	l.kernel.Wake()
}

// runPosted calls what was posted.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// Turn waits until something is ready or a timer is due, at once if wait is false, and tells the handlers.
func (l *Loop) Turn(wait bool) error {
	most := time.Duration(0)
	if wait {
		most = l.timers.next(l.kernel.Now().Sub(l.start))
	}
	if l.retryWatches(); len(l.staleWatches) > 0 && (most < 0 || most > watchRetryInterval) {
		most = watchRetryInterval
	}
	n, err := l.kernel.Wait(l.events[:], most)
	if err != nil {
		return err
	}
	l.now = l.kernel.Now()
	if len(l.urgent) > 0 {
		l.dispatchUrgent(l.events[:n])
	}
	for i := range n {
		e := &l.events[i]
		if e.Slot == WakeSlot {
			l.runPosted()
			l.wake()
			continue
		}
		if s := l.slots[e.Slot]; s.sock != nil && s.gen == e.Gen && !s.sock.urgent {
			s.sock.dispatch(e.Ready)
		}
	}
	l.timers.fire(l.now.Sub(l.start))
	return nil
}

// dispatchUrgent tells the urgent sockets before all others. In a turn with more events than fit there may be one that was
// not gathered: a socket that waits to read is then asked without it.
func (l *Loop) dispatchUrgent(events []Event) {
	for i := range events {
		if e := &events[i]; e.Slot != WakeSlot {
			if s := l.slots[e.Slot]; s.sock != nil && s.gen == e.Gen && s.sock.urgent {
				s.sock.dispatch(e.Ready)
			}
		}
	}
	if len(events) < maxEvents {
		return
	}
	for _, s := range l.urgent {
		if s.want == WantRead {
			s.handler.Ready(Ready{Read: true})
			return // it may have changed the list
		}
	}
}

// add puts a new descriptor in the table and has the kernel watch it; the Socket owns it from then on.
func (l *Loop) add(fd int, h Handler, want Interest) *Socket {
	var i int32
	if n := len(l.free); n > 0 {
		i, l.free = l.free[n-1], l.free[:n-1]
	} else {
		i = int32(len(l.slots))
		l.slots = append(l.slots, slot{})
	}
	s := &Socket{loop: l, fd: fd, slot: i, handler: h, want: want}
	l.slots[i].sock = s
	l.openCount++
	l.updateWatch(s)
	return s
}

// watchRetryInterval is how often the kernel is asked again to watch a socket for which it had no memory.
const watchRetryInterval = 5 * time.Millisecond

// updateWatch has the kernel updateWatch a socket for what it wants. The kernel may be out of memory for that: the socket is then among those
// that are behind, for which it is asked again each turn, since a client whose socket nobody watches would wait without end.
func (l *Loop) updateWatch(s *Socket) {
	gen := l.slots[s.slot].gen
	var err error
	if s.watched {
		err = l.kernel.UpdateWatch(s.fd, s.want, s.slot, gen)
	} else {
		err = l.kernel.Watch(s.fd, s.want, s.slot, gen)
	}
	s.watched = s.watched || err == nil
	if err != nil && !s.watchStale {
		s.watchStale = true
		l.staleWatches = append(l.staleWatches, s)
	}
}

// retryWatches asks the kernel again for the sockets that are behind.
func (l *Loop) retryWatches() {
	if len(l.staleWatches) == 0 {
		return
	}
	again := l.staleWatches
	l.staleWatches = nil
	for _, s := range again {
		s.watchStale = false
		l.updateWatch(s)
	}
}

// remove takes a socket out of the table and closes it: the one place where a descriptor is given back.
func (l *Loop) remove(s *Socket) {
	if s.urgent {
		l.urgent = slices.DeleteFunc(l.urgent, func(o *Socket) bool { return o == s })
	}
	if s.watchStale {
		l.staleWatches = slices.DeleteFunc(l.staleWatches, func(o *Socket) bool { return o == s })
	}
	l.slots[s.slot].sock = nil
	l.slots[s.slot].gen++
	l.free = append(l.free, s.slot)
	l.openCount--
	l.kernel.CloseFD(s.fd)
	s.fd = -1
}
