package proxy

import "time"

// The number of descriptors that a process may hold is limited. They are reserved by priority:
// first for the call to discovery, then for probes, then for the attempts of accepted clients; new
// clients get the rest. Idle connections are closed, the oldest first, when descriptors are short.

const (
	// OwnDescriptors is the number of descriptors that a process may hold besides its loop's
	// sockets: standard streams, the poller's own, the listener's reserve, the runtime's and a file
	// that is read. TestOwnDescriptors counts them.
	OwnDescriptors = 12
	// discoveryDescriptors, probeDescriptors and attemptDescriptors are what each of these may need
	// in addition to idle connections that can be closed: the watch's connection and that of a new
	// address; concurrent probes; attempts that follow a failed one while the sockets of the failed
	// one are still closing.
	discoveryDescriptors = 2
	probeDescriptors     = 10
	attemptDescriptors   = 24

	// Descriptors that stay free when probes, attempts and clients open a connection.
	reservedFromProbes   = OwnDescriptors + discoveryDescriptors
	reservedFromAttempts = reservedFromProbes + probeDescriptors
	reservedFromClients  = reservedFromAttempts + attemptDescriptors

	// noDescriptorRetryAfter is the retry delay for a client that is refused for lack of a
	// descriptor.
	noDescriptorRetryAfter = time.Second
)

// idleConnection is a connection that may be closed when descriptors are short: a client's before
// its request or after its last line, or one that is kept for the next probe.
type idleConnection interface {
	// closeIfIdle closes the connection if it is still idle.
	closeIfIdle()
}

// freeDescriptors returns how many descriptors are left. limited is false if there is no limit.
func (f *LineFrontend) freeDescriptors() (n int, limited bool) {
	return f.maxDescriptors - f.loop.Open(), f.maxDescriptors > 0
}

// ensureFree closes idle connections, the oldest first, until at least wanted descriptors are free,
// and reports whether they are. Hundreds of silent clients must not keep out one that has a
// request. After the idle connections it refuses clients whose targets discovery does not list.
func (f *LineFrontend) ensureFree(wanted int) bool {
	for {
		free, limited := f.freeDescriptors()
		if !limited || free >= wanted {
			return true
		}
		oldest := f.idleConns.Front()
		switch {
		case oldest != nil:
			oldest.Value.(idleConnection).closeIfIdle()
		case !f.engine.refuseUnlistedAdoption(noDescriptorRetryAfter):
			return false
		}
	}
}

// pendingAttempts is the number of clients that wait and have no socket to a target yet; each will
// need a descriptor for one; those whose targets are not listed do not count. It is counted once per turn of the loop, and only where descriptors
// are short, since it iterates over all sessions.
type pendingAttempts struct {
	count     int       // waiting clients without a socket to a target
	countedAt time.Time // time of the turn of the loop in which count was determined
}

func (p *pendingAttempts) add(n int) { p.count = max(p.count+n, 0) }

// expectedAttempts returns how many descriptors the waiting clients will need. It is 0 where
// descriptors are not short.
func (f *LineFrontend) expectedAttempts() int {
	if free, limited := f.freeDescriptors(); !limited || free >= reservedFromClients+len(f.sessions) {
		return 0
	}
	if now := f.loop.Now(); !now.Equal(f.pendingAttempts.countedAt) {
		f.pendingAttempts = pendingAttempts{countedAt: now}
		for _, s := range f.sessions {
			if s.state == waiting && (s.hop == nil || s.hop.link.sock == nil) && !s.exchange.awaitsListing() {
				f.pendingAttempts.count++
			}
		}
	}
	return f.pendingAttempts.count
}

// hasRoomForAttempt reports whether a new request would find a descriptor for its attempt, if all
// connections that ensureFree may end were closed.
func (f *LineFrontend) hasRoomForAttempt() bool {
	free, limited := f.freeDescriptors()
	return !limited || free+f.idleConns.Len()+len(f.engine.unlisted) >= reservedFromAttempts+f.expectedAttempts()+1
}

// markIdle makes a session the newest of the idle connections. markActive removes it from them.
func (f *LineFrontend) markIdle(s *session) {
	if s.idleElement == nil {
		s.idleElement = f.idleConns.PushBack(s)
	} else {
		f.idleConns.MoveToBack(s.idleElement)
	}
}

// markActive removes a session from the idle connections.
func (f *LineFrontend) markActive(s *session) {
	if s.idleElement != nil {
		f.idleConns.Remove(s.idleElement)
		s.idleElement = nil
	}
}

// closeIfIdle closes the session, unless an unread request of its client is in the socket: that
// client is not idle.
func (s *session) closeIfIdle() {
	if s.state == opening {
		s.read()
	}
	if s.idleElement != nil {
		s.frontend.refuseAndClose(s)
	}
}

// closeIfIdle closes a connection that is kept for the next probe.
func (p *targetState) closeIfIdle() { p.closeConn() }

// refuseAndClose ends a connection for lack of a descriptor, with a refusal if its request has not
// been read. What has arrived is read first: closing a connection with unread bytes resets it, and
// the answer may be lost.
func (f *LineFrontend) refuseAndClose(s *session) {
	// a last line that was written before may still be in flight
	s.link.discard(f.scratch, maxDiscard)
	if s.state == opening {
		f.countDescriptorRefusal()
		_ = s.link.write(busy(f.engine.RetryAfter(noDescriptorRetryAfter)))
	}
	s.close()
}

// countDescriptorRefusal counts a client that is refused for lack of a descriptor, and logs the
// first one.
func (f *LineFrontend) countDescriptorRefusal() {
	if f.counters.Full++; f.counters.Full == 1 {
		f.log.Printf("out of descriptors: %d open sockets, limit %d descriptors", f.loop.Open(), f.maxDescriptors)
	}
}
