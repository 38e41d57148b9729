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
	spare    list.List  // sessions to which nothing is owed: before their request or after their last line; oldest first
	peers    map[string]*peer
	scratch  []byte
	line     []byte
	drain    drain
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
	// spareSockets stay free for hops, probes and discovery when clients take all others; hopSockets of these
	// for probes and discovery when hops take the rest.
	spareSockets = 48
	hopSockets   = 24
	// fullAdvice is when a client may come again that found no descriptor.
	fullAdvice = time.Second
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
	if last || !f.room(spareSockets) {
		f.turnAway(s)
		return s
	}
	f.loop.After(&s.timer, openingWait)
	f.expendable(s)
	return s
}

// room tells whether so many descriptors are free. Where they are not, connections to which nothing is owed are
// ended, the oldest first: hundreds that say nothing must not keep out the client that has a request.
func (f *Lines) room(want int) bool {
	for f.sockets > 0 && f.loop.Open()+want > f.sockets {
		oldest := f.spare.Front()
		if oldest == nil {
			return false
		}
		f.turnAway(oldest.Value.(*session))
	}
	return true
}

// expendable puts a session at the end of the list of those that may be cut off; keep takes it out.
func (f *Lines) expendable(s *session) {
	if s.spare == nil {
		s.spare = f.spare.PushBack(s)
	} else {
		f.spare.MoveToBack(s.spare)
	}
}

func (f *Lines) keep(s *session) {
	if s.spare != nil {
		f.spare.Remove(s.spare)
		s.spare = nil
	}
}

// forget takes a session out of the table.
func (f *Lines) forget(s *session) {
	last := len(f.sessions) - 1
	f.sessions[s.pos] = f.sessions[last]
	f.sessions[s.pos].pos = s.pos
	f.sessions[last] = nil
	f.sessions = f.sessions[:last]
}

// turnAway ends a connection to which nothing but a refusal is owed, for want of a descriptor. What has arrived is read first: a
// connection that is closed with unread bytes is reset, and the answer may be lost with that.
func (f *Lines) turnAway(s *session) {
	if s.state == opening {
		if f.count.Full++; f.count.Full == 1 {
			f.log.Printf("out of descriptors: %d open of %d", f.loop.Open(), f.sockets)
		}
		s.link.skim(f.scratch, spillMost)
		_ = s.link.write(busy(f.engine.Advice(fullAdvice)))
	} else {
		s.link.skim(f.scratch, spillMost) // its last line may still be on its way
	}
	s.close()
}
