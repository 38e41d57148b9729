package proxy

import (
	"container/list"
	"log"
	"net/netip"
	"time"

	"ospreyspan/internal/line"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/stats"
)

// LineFrontend is the front that speaks the platform's line protocol.
type LineFrontend struct {
	loop            *poll.Loop
	engine          *Engine
	settings        *settings.Settings
	count           *stats.Counters
	log             *log.Logger
	listener        *poll.Listener
	maxDescriptors  int        // descriptors that the process may hold
	sessions        []*session // in no order that means anything, but the same in the same run
	idleConns       list.List  // connections that make room when descriptors are short, see idleConnection; oldest first
	idleProbes      list.List  // those of them that wait for the next probe, see peer; likewise
	targetStates    map[string]*targetState
	scratch         []byte
	lineBuffer      []byte
	drain           drain
	pendingAttempts pendingAttempts
	sharedSockets   int // sockets on the loop that belong to others than the front and the engine
}

// NewLineFrontend returns a front for the engine, and makes it the engine's prober.
func NewLineFrontend(e *Engine, sockets int) *LineFrontend {
	f := &LineFrontend{
		loop: e.loop, engine: e, settings: e.set, count: e.count, log: e.log, maxDescriptors: sockets,
		targetStates: make(map[string]*targetState), scratch: make([]byte, 64<<10),
	}
	e.prober = f
	return f
}

// Listen accepts clients at an address.
func (f *LineFrontend) Listen(at netip.AddrPort) error {
	var err error
	f.listener, err = f.loop.Listen(at, f.accept)
	return err
}

// SetSharedSockets tells how many sockets on the loop belong to others, for Audit.
func (f *LineFrontend) SetSharedSockets(n int) { f.sharedSockets = n }

// SetMaxDescriptors changes how many descriptors the process may hold.
func (f *LineFrontend) SetMaxDescriptors(n int) { f.maxDescriptors = n }

const (
	// openingWait is how long a connection may stay without its request. A usual client sends it at once; all
	// others are owed an answer within 3 s of connecting, part of which they may wait to be accepted.
	openingTimeout = 2 * time.Second
	// openingLines is how many lines, such as PING, it may send before that.
	maxOpeningLines = 8
	// openingRead is what is read of it in a turn: more than a longest line.
	openingReadSize = 2 * line.Max
	// spillMost is what is read and dropped of a client that has its last line.
	maxDiscard = 64 << 10
	// lingerWait is how long a connection that has its last line may take to end.
	lingerTimeout = time.Second
	// flushWait is the same for one that is slow to read: cut off before its last line it would be lost.
	flushTimeout = 5 * time.Second
)

func (f *LineFrontend) accept(sock *poll.Socket, last bool) poll.Handler {
	f.count.Connections++
	s := &session{frontend: f, link: link{sock: sock}}
	s.timer.Fire = s.handleTimeout
	s.index = len(f.sessions)
	f.sessions = append(f.sessions, s)
	if last || !f.makeRoom(keptFromClients+f.attemptsToCome()) {
		f.turnAway(s)
		return s
	}
	f.loop.After(&s.timer, openingTimeout)
	f.mayMakeRoom(s)
	return s
}

// forget takes a session out of the table.
func (f *LineFrontend) removeSession(s *session) {
	last := len(f.sessions) - 1
	f.sessions[s.index] = f.sessions[last]
	f.sessions[s.index].index = s.index
	f.sessions[last] = nil
	f.sessions = f.sessions[:last]
}
