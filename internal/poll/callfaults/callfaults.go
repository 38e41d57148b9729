// Package callfaults injects faults into system calls: they fail in ways that their manual pages
// document, by a plan drawn from a seed. It sits between the epoll kernel and Linux, so that a
// whole process can be tested with such faults.
package callfaults

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"ospreyspan/internal/poll"
)

// Call names a system call, or one use of a system call.
type Call string

// The calls that can fail. ShortRead and ShortSend transfer fewer bytes than possible.
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

// Side selects the connections on which reads and sends fail.
type Side string

// The values of Side. AnySide selects both accepted and outgoing connections.
const (
	AnySide   Side = ""
	Accepted  Side = "accepted"
	Connected Side = "connected"
)

// Fault is one kind of failure.
type Fault struct {
	Call        Call          `json:"call"`
	Errno       unix.Errno    `json:"errno"`
	Probability float64       `json:"part"` // that a call fails, 0 to 1
	Side        Side          `json:"side"` // for reads and sends
	Skip        int           `json:"skip"` // number of first calls that succeed
	Duration    time.Duration `json:"for"`  // for which calls fail, from the first failure; 0: without end
}

// Plan lists the faults of a process.
type Plan struct {
	Seed   uint64     `json:"seed"`
	Faults []Fault    `json:"faults"`
	Steps  []WallStep `json:"steps"`
}

// WallStep is a step of the wall clock, forward or back.
type WallStep struct {
	After time.Duration `json:"after"` // since the plan was applied
	By    time.Duration `json:"by"`    // negative: back
}

// injector applies a plan. Like the loop that makes the calls, it belongs to one goroutine.
type injector struct {
	rng    *rand.Rand
	faults []*faultState
	sides  map[int]Side // side of each descriptor that is a connection
	broken map[int]bool // connections that failed: they deliver no more data
}

// faultState is a fault with its state.
type faultState struct {
	Fault
	calls        int       // matching calls so far
	firstFailure time.Time // zero: none yet
}

// Wrap returns system calls that fail according to a plan, and otherwise call under.
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
	start := time.Now()
	calls.WallTime = func() time.Time {
		now := under.WallTime()
		for _, step := range p.Steps {
			if time.Since(start) >= step.After {
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

// drawError draws whether a call fails, and with which error; 0 means that it does not fail.
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

// breaksConnection returns whether an error of a read or a send ends the connection.
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
