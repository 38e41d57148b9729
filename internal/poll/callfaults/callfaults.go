// Package callfaults makes system calls fail, by a plan drawn from a seed, in the ways that their manual pages document. It stands
// between the epoll kernel and Linux, so that a whole process can be tried with it.
package callfaults

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"ospreyspan/internal/poll"
)

// Call names a system call, or a use of one.
type Call string

// The calls that can be made to fail. ShortRead and ShortSend move fewer bytes than there are.
const (
	Socket    Call = "socket"
	Bind      Call = "bind"
	Listen    Call = "listen"
	Connect   Call = "connect"
	Accept    Call = "accept"
	WatchAdd  Call = "epoll_add"
	WatchMod  Call = "epoll_mod"
	Wait      Call = "epoll_wait"
	Read      Call = "read"
	Send      Call = "send"
	OpenFile  Call = "open"
	ShortRead Call = "short-read"
	ShortSend Call = "short-send"
)

// Side tells on which connections reads and sends fail.
type Side string

// The sides. AnySide stands for both.
const (
	AnySide   Side = ""
	Accepted  Side = "accepted"
	Connected Side = "connected"
)

// Fault is one kind of failure.
type Fault struct {
	Call        Call          `json:"call"`
	Errno       unix.Errno    `json:"errno"`
	Probability float64       `json:"part"` // of the calls that fail, 0 to 1
	Side        Side          `json:"side"` // for reads and sends
	Skip        int           `json:"skip"` // calls that are let through first
	Duration    time.Duration `json:"for"`  // since the first failure; 0: without end
}

// Plan is what goes wrong in a process.
type Plan struct {
	Seed   uint64     `json:"seed"`
	Faults []Fault    `json:"faults"`
	Steps  []WallStep `json:"steps"`
}

// WallStep is a step of the wall clock, forward or back, so long after the plan came into force.
type WallStep struct {
	After time.Duration `json:"after"`
	By    time.Duration `json:"by"`
}

// injector is a plan in use. Like the loop that makes the calls it belongs to one goroutine.
type injector struct {
	rng    *rand.Rand
	faults []*faultState
	sides  map[int]Side // of the descriptors that are connections
	broken map[int]bool // connections that failed: nothing comes of them any more
}

// faultState is a fault with what it has done so far.
type faultState struct {
	Fault
	calls        int
	firstFailure time.Time
}

// Wrap returns system calls that fail by a plan.
func Wrap(under poll.SystemCalls, p Plan) poll.SystemCalls {
	s := &injector{rng: rand.New(rand.NewPCG(p.Seed, p.Seed)), sides: make(map[int]Side), broken: make(map[int]bool)}
	for _, f := range p.Faults {
		s.faults = append(s.faults, &faultState{Fault: f})
	}
	calls := under
	calls.Socket = func(domain, kind, protocol int) (int, error) {
		if errno := s.drawError(Socket, AnySide); errno != 0 {
			return -1, errno
		}
		return under.Socket(domain, kind, protocol)
	}
	calls.Bind = func(fd int, at unix.Sockaddr) error {
		if errno := s.drawError(Bind, AnySide); errno != 0 {
			return errno
		}
		return under.Bind(fd, at)
	}
	calls.Listen = func(fd, backlog int) error {
		if errno := s.drawError(Listen, AnySide); errno != 0 {
			return errno
		}
		return under.Listen(fd, backlog)
	}
	calls.Connect = func(fd int, to unix.Sockaddr) error {
		if errno := s.drawError(Connect, AnySide); errno != 0 {
			return errno
		}
		s.sides[fd] = Connected
		return under.Connect(fd, to)
	}
	calls.Accept = func(fd, flags int) (int, unix.Sockaddr, error) {
		if errno := s.drawError(Accept, AnySide); errno != 0 {
			return -1, nil, errno
		}
		conn, from, err := under.Accept(fd, flags)
		if err == nil {
			s.sides[conn] = Accepted
		}
		return conn, from, err
	}
	calls.EpollControl = func(epfd, op, fd int, event *unix.EpollEvent) error {
		call := WatchAdd
		if op == unix.EPOLL_CTL_MOD {
			call = WatchMod
		}
		if errno := s.drawError(call, AnySide); errno != 0 {
			return errno
		}
		return under.EpollControl(epfd, op, fd, event)
	}
	calls.EpollWait = func(epfd int, events []unix.EpollEvent, milliseconds int) (int, error) {
		if errno := s.drawError(Wait, AnySide); errno != 0 {
			return -1, errno
		}
		return under.EpollWait(epfd, events, milliseconds)
	}
	begun := time.Now()
	calls.WallTime = func() time.Time {
		now := under.WallTime()
		for _, step := range p.Steps {
			if time.Since(begun) >= step.After {
				now = now.Add(step.By)
			}
		}
		return now
	}
	calls.Read = func(fd int, p []byte) (int, error) { return s.read(under, fd, p) }
	calls.Send = func(fd int, p []byte) (int, error) { return s.send(under, fd, p) }
	calls.OpenFile = func(path string, flags int, mode uint32) (int, error) {
		if errno := s.drawError(OpenFile, AnySide); errno != 0 {
			return -1, errno
		}
		return under.OpenFile(path, flags, mode)
	}
	calls.Close = func(fd int) error {
		delete(s.sides, fd)
		delete(s.broken, fd)
		return under.Close(fd)
	}
	return calls
}

// drawError draws whether a call drawError, and how; 0: it does not.
func (s *injector) drawError(call Call, side Side) unix.Errno {
	for _, f := range s.faults {
		if f.Call != call || f.Side != AnySide && f.Side != side {
			continue
		}
		if f.calls++; f.calls <= f.Skip || s.rng.Float64() >= f.Probability {
			continue
		}
		if f.firstFailure.IsZero() {
			f.firstFailure = time.Now()
		}
		if f.Duration == 0 || time.Since(f.firstFailure) < f.Duration {
			return f.Errno
		}
	}
	return 0
}

// breaksConnection tells whether a connection is over after an error of a read or a send.
func breaksConnection(errno unix.Errno) bool {
	switch errno {
	case unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM:
		return false
	}
	return true
}

func (s *injector) read(under poll.SystemCalls, fd int, p []byte) (int, error) {
	if s.broken[fd] {
		return 0, nil
	}
	if errno := s.drawError(Read, s.sides[fd]); errno != 0 {
		s.broken[fd] = breaksConnection(errno)
		return -1, errno
	}
	if len(p) > 1 && s.drawError(ShortRead, s.sides[fd]) != 0 {
		p = p[:1+s.rng.IntN(min(len(p)-1, 8))]
	}
	return under.Read(fd, p)
}

func (s *injector) send(under poll.SystemCalls, fd int, p []byte) (int, error) {
	if s.broken[fd] {
		return -1, unix.EPIPE
	}
	if errno := s.drawError(Send, s.sides[fd]); errno != 0 {
		s.broken[fd] = breaksConnection(errno)
		return -1, errno
	}
	if len(p) > 1 && s.drawError(ShortSend, s.sides[fd]) != 0 {
		p = p[:1+s.rng.IntN(min(len(p)-1, 8))]
	}
	return under.Send(fd, p)
}
