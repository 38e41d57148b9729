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

// Lines is the front that speaks the platform's line protocol.
type Lines struct {
	loop     *poll.Loop
	engine   *Engine
	set      *settings.Settings
	count    *stats.Counters
	log      *log.Logger
	listener *poll.Listener
	sockets  int        // descriptors that the process may hold
	sessions []*session // in no order that means anything, but the same in the same run
	idling   list.List  // connections that make room when descriptors are short, see idleConnection; oldest first
	resting  list.List  // those of them that wait for the next probe, see peer; likewise
	peers    map[string]*peer
	scratch  []byte
	line     []byte
	drain    drain
	pending  pendingAttempts
	shared   int // sockets on the loop that belong to others than the front and the engine
}

// NewLines returns a front for the engine, and makes it the engine's prober.
func NewLines(e *Engine, sockets int) *Lines {
	f := &Lines{
		loop: e.loop, engine: e, set: e.set, count: e.count, log: e.log, sockets: sockets,
		peers: make(map[string]*peer), scratch: make([]byte, 64<<10),
	}
	e.prober = f
	return f
}

// Listen accepts clients at an address.
func (f *Lines) Listen(at netip.AddrPort) error {
	var err error
	f.listener, err = f.loop.Listen(at, f.accept)
	return err
}

// SetShared tells how many sockets on the loop belong to others, for Audit.
func (f *Lines) SetShared(n int) { f.shared = n }

// SetSockets changes how many descriptors the process may hold.
func (f *Lines) SetSockets(n int) { f.sockets = n }

const (
	// openingWait is how long a connection may stay without its request. A usual client sends it at once; all
	// others are owed an answer within 3 s of connecting, part of which they may wait to be accepted.
	openingWait = 2 * time.Second
	// openingLines is how many lines, such as PING, it may send before that.
	openingLines = 8
	// openingRead is what is read of it in a turn: more than a longest line.
	openingRead = 2 * line.Max
	// spillMost is what is read and dropped of a client that has its last line.
	spillMost = 64 << 10
	// lingerWait is how long a connection that has its last line may take to end.
	lingerWait = time.Second
	// flushWait is the same for one that is slow to read: cut off before its last line it would be lost.
	flushWait = 5 * time.Second
)

func (f *Lines) accept(sock *poll.Socket, last bool) poll.Handler {
	f.count.Connections++
	s := &session{front: f, link: link{sock: sock}}
	s.timer.Fire = s.due
	s.pos = len(f.sessions)
	f.sessions = append(f.sessions, s)
	if last || !f.makeRoom(keptFromClients+f.attemptsToCome()) {
		f.turnAway(s)
		return s
	}
	f.loop.After(&s.timer, openingWait)
	f.mayMakeRoom(s)
	return s
}

// forget takes a session out of the table.
func (f *Lines) forget(s *session) {
	last := len(f.sessions) - 1
	f.sessions[s.pos] = f.sessions[last]
	f.sessions[s.pos].pos = s.pos
	f.sessions[last] = nil
	f.sessions = f.sessions[:last]
}
