package proxy

import (
	"log"
	"net/netip"
	"time"

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
	sockets  int // descriptors that the process may hold
	sessions map[*session]struct{}
	peers    map[string]*peer
	scratch  []byte
	line     []byte
	drain    drain
}

// NewLines returns a front for the engine, and makes it the engine's prober.
func NewLines(e *Engine, sockets int) *Lines {
	f := &Lines{
		loop: e.loop, engine: e, set: e.set, count: e.count, log: e.log, sockets: sockets,
		sessions: make(map[*session]struct{}), peers: make(map[string]*peer), scratch: make([]byte, 64<<10),
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

// SetSockets changes how many descriptors the process may hold.
func (f *Lines) SetSockets(n int) { f.sockets = n }

const (
	// spareSockets stay free for hops, probes and discovery when clients take all others.
	spareSockets = 48
	// fullAdvice is when a client may come again that found no descriptor.
	fullAdvice = time.Second
	// openingWait is how long a connection may stay without its first line.
	openingWait = 30 * time.Second
	// lingerWait is how long a connection that has its last line may take to end.
	lingerWait = time.Second
	// flushWait is the same for one that is slow to read: cut off before its last line it would be lost.
	flushWait = 5 * time.Second
)

func (f *Lines) accept(sock *poll.Socket, last bool) poll.Handler {
	f.count.Connections++
	s := &session{front: f, link: link{sock: sock}}
	s.timer.Fire = s.due
	f.sessions[s] = struct{}{}
	if last || f.sockets > 0 && f.loop.Open()+spareSockets > f.sockets {
		f.turnAway(s)
		return s
	}
	f.loop.After(&s.timer, openingWait)
	return s
}

// turnAway answers a client for which there is no descriptor. Its line is read first where it is there already:
// a connection that is closed with unread bytes is reset, and the answer may be lost with that.
func (f *Lines) turnAway(s *session) {
	if f.count.Full++; f.count.Full == 1 {
		f.log.Printf("out of descriptors: %d open of %d", f.loop.Open(), f.sockets)
	}
	_, _ = s.link.fill(f.scratch)
	_ = s.link.write(busy(fullAdvice))
	s.close()
}
