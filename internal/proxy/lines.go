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

// LineFrontend is the frontend that speaks the platform's line protocol.
type LineFrontend struct {
	loop            *poll.Loop
	engine          *Engine
	settings        *settings.Settings
	counters        *stats.Counters
	log             *log.Logger
	listener        *poll.Listener
	maxDescriptors  int        // descriptors that the process may hold; 0: no limit
	sessions        []*session // the order has no meaning, but is reproducible
	idleConns       list.List  // of idleConnection: closed when descriptors are short; oldest first
	idleProbes      list.List  // of *targetState: those of idleConns kept for probes; oldest first
	targetStates    map[string]*targetState
	scratch         []byte // for input; shared by all links
	lineBuffer      []byte // for building the first line of a hop
	drain           drain
	pendingAttempts pendingAttempts
	backlog         *backlogBudget
	sharedSockets   int // sockets on the loop that neither the frontend nor the engine owns
}

// NewLineFrontend returns a frontend for the engine, and makes it the engine's prober. The process
// may hold maxDescriptors descriptors; 0 means no limit.
func NewLineFrontend(e *Engine, maxDescriptors int) *LineFrontend {
	f := &LineFrontend{
		loop: e.loop, engine: e, settings: e.settings, counters: e.counters, log: e.log, maxDescriptors: maxDescriptors,
		targetStates: make(map[string]*targetState), scratch: make([]byte, 64<<10), backlog: newBacklogBudget(),
	}
	e.prober = f
	return f
}

// Listen starts accepting clients at an address.
func (f *LineFrontend) Listen(at netip.AddrPort) error {
	var err error
	f.listener, err = f.loop.Listen(at, f.accept)
	return err
}

// SetSharedSockets sets how many sockets on the loop belong to neither the frontend nor the engine,
// for Audit.
func (f *LineFrontend) SetSharedSockets(n int) { f.sharedSockets = n }

// SetMaxDescriptors changes how many descriptors the process may hold; 0 means no limit.
func (f *LineFrontend) SetMaxDescriptors(n int) { f.maxDescriptors = n }

// SetMemoryLimit sets how many bytes of memory the process may use, of which a part may be output
// that clients and targets do not read; 0 means no limit.
func (f *LineFrontend) SetMemoryLimit(bytes int64) { f.backlog.setMemoryLimit(bytes) }

const (
	// openingTimeout is how long a connection may stay open without a request. Clients usually send
	// it at once; all others must get an answer within 3 s of connecting, part of which may pass
	// before they are accepted.
	openingTimeout = 2 * time.Second
	// maxOpeningLines is how many lines, such as PING, a client may send before its request.
	maxOpeningLines = 8
	// openingReadSize is how many bytes of a client without an established connection are read in a
	// turn of the loop: more than the longest line.
	openingReadSize = 2 * line.MaxLength
	// maxDiscard is how many bytes are read and discarded of a client that was sent its last line.
	maxDiscard = 64 << 10
	// lingerTimeout is how long the client may take to close a connection after its last line.
	lingerTimeout = time.Second
	// noRecordRetryAfter is the retry delay for a client whose request could not be remembered.
	noRecordRetryAfter = time.Second
	// flushTimeout replaces lingerTimeout for a client that is slow to read: if its connection were
	// closed earlier, the last line would be lost.
	flushTimeout = 5 * time.Second
)

func (f *LineFrontend) accept(sock *poll.Socket, last bool) poll.Handler {
	f.counters.Connections++
	s := &session{frontend: f, link: link{sock: sock, budget: f.backlog}}
	s.timer.Fire = s.handleTimeout
	s.index = len(f.sessions)
	f.sessions = append(f.sessions, s)
	if last || !f.ensureFree(reservedFromClients+f.expectedAttempts()) {
		f.refuseAndClose(s)
		return s
	}
	f.loop.After(&s.timer, openingTimeout)
	f.markIdle(s)
	return s
}

// removeSession removes a session from sessions.
func (f *LineFrontend) removeSession(s *session) {
	last := len(f.sessions) - 1
	f.sessions[s.index] = f.sessions[last]
	f.sessions[s.index].index = s.index
	f.sessions[last] = nil
	f.sessions = f.sessions[:last]
}
