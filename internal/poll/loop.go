// Package poll implements an event loop for non-blocking sockets and timers. It runs on a Kernel,
// which is epoll in production. A Loop and everything that belongs to it must be used by one
// goroutine; only Wake and Post may be called from others.
package poll

import (
	"slices"
	"sync"
	"time"
)

// Ready states what a socket is ready for.
type Ready struct {
	Read, Write bool
	Hangup      bool // both directions have ended, or the connection broke
}

// Handler handles the readiness events of a socket.
type Handler interface{ Ready(Ready) }

// slot is an entry of the socket table. Events carry the index and the generation of a slot. The
// generation changes when the socket closes, so that an event collected before that does not reach
// the next socket with the same slot or descriptor.
type slot struct {
	gen  int32
	sock *Socket
}

// maxEvents is the maximum number of events handled in one turn.
const maxEvents = 256

// Loop waits for sockets and timers and calls their handlers.
type Loop struct {
	kernel       Kernel
	start        time.Time // timer times are relative to it
	now          time.Time // time at which the turn began, or of the last RefreshNow
	slots        []slot
	free         []int32 // indices of unused slots
	timers       timerHeap
	events       [maxEvents]Event
	wake         func()    // called on the loop after Wake or Post
	openCount    int       // open sockets
	urgent       []*Socket // their handlers are called first in a turn
	staleWatches []*Socket // their want is to be registered again with the kernel, see updateWatch

	mu     sync.Mutex
	posted []func() // functions from other goroutines, to be called on the loop
}

// New returns a Loop that uses epoll. It calls wake on the loop after each call of Wake or Post.
func New(wake func()) (*Loop, error) { return NewWithCalls(LinuxCalls(), wake) }

// NewWithCalls returns a Loop that uses epoll through the given system calls. It calls wake on the
// loop after each call of Wake or Post.
func NewWithCalls(calls SystemCalls, wake func()) (*Loop, error) {
	k, err := NewEpoll(calls)
	if err != nil {
		return nil, err
	}
	return NewOn(k, wake), nil
}

// NewOn returns a Loop that uses the given kernel and takes ownership of it.
func NewOn(k Kernel, wake func()) *Loop {
	now := k.Now()
	return &Loop{kernel: k, wake: wake, start: now, now: now}
}

// Close closes the kernel of the loop. Sockets belong to their users.
func (l *Loop) Close() { l.kernel.Close() }

// Now returns the time at which the current turn began, or that of the last call of RefreshNow.
func (l *Loop) Now() time.Time { return l.now }

// WallTime returns the wall clock time, see Kernel.WallTime.
func (l *Loop) WallTime() time.Time { return l.kernel.WallTime() }

// RefreshNow reads the clock again and returns the time. The process may have been stopped since
// the turn began, and data that it reads now may have been sent meanwhile. Code that vouches for
// the age of something must read the clock after the request arrived.
func (l *Loop) RefreshNow() time.Time {
	if now := l.kernel.Now(); now.After(l.now) {
		l.now = now
	}
	return l.now
}

// Open returns the number of open sockets.
func (l *Loop) Open() int { return l.openCount }

// Timers returns the number of armed timers.
func (l *Loop) Timers() int { return len(l.timers) }

// Wake makes the loop call its wake function. It may be called from any goroutine.
func (l *Loop) Wake() { l.kernel.Wake() }

// Post makes the loop call f soon. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	l.kernel.Wake()
}

// runPosted calls the functions that were posted.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// Turn runs one iteration of the loop. It waits until a socket is ready or a timer is due (it does
// not wait if wait is false), then calls the handlers and the timers that are due.
func (l *Loop) Turn(wait bool) error {
	maxWait := time.Duration(0)
	if wait {
		maxWait = l.timers.next(l.kernel.Now().Sub(l.start))
	}
	if l.retryWatches(); len(l.staleWatches) > 0 && (maxWait < 0 || maxWait > watchRetryInterval) {
		maxWait = watchRetryInterval
	}
	n, err := l.kernel.Wait(l.events[:], maxWait)
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

// dispatchUrgent calls the handlers of urgent sockets, before those of all others. If more sockets
// are ready than fit into one turn, the event of an urgent socket may be missing: the handler of
// one that waits to read is then called without an event.
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
			return // the handler may have changed the list
		}
	}
}

// add adds a descriptor to the socket table and registers it with the kernel. The returned Socket
// owns the descriptor.
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

// watchRetryInterval is how often the loop retries to register a socket for which the kernel had no
// memory.
const watchRetryInterval = 5 * time.Millisecond

// updateWatch registers what a socket waits for with the kernel. The kernel may have no memory for
// that. The socket then goes into staleWatches, which are retried each turn: a client whose socket
// nobody watches would wait without end.
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

// retryWatches registers the sockets of staleWatches again.
func (l *Loop) retryWatches() {
	if len(l.staleWatches) == 0 {
		return
	}
	stale := l.staleWatches
	l.staleWatches = nil
	for _, s := range stale {
		s.watchStale = false
		l.updateWatch(s)
	}
}

// remove removes a socket from the table and closes it. This is the only place that closes the
// descriptor of a socket.
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
