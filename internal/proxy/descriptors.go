package proxy

import "time"

// A process may hold so many descriptors and no more. They are kept for those who need them most: the call to discovery first, then
// probes, then the attempts of clients that were taken, and what is left goes to new clients. Connections that are idle make room
// by age.

const (
	// OwnDescriptors are those that a process may hold beside its loop's sockets: standard streams, the poller's own, the listener's
	// reserve, the runtime's, a file that is read. TestOwnDescriptors counts them.
	OwnDescriptors = 12
	// discoveryDescriptors, probeDescriptors and attemptDescriptors are what each of these may need beyond what is idle and can be
	// closed: the watch's connection and that of a new address; probes that are out at once; attempts that follow a failed one
	// while the sockets of the former are still closing.
	discoveryDescriptors = 2
	probeDescriptors     = 10
	attemptDescriptors   = 24

	// What stays free when probes, attempts and clients open a connection.
	reservedFromProbes   = OwnDescriptors + discoveryDescriptors
	reservedFromAttempts = reservedFromProbes + probeDescriptors
	reservedFromClients  = reservedFromAttempts + attemptDescriptors

	// noDescriptorRetryAfter is when a client may come again that found no descriptor.
	noDescriptorRetryAfter = time.Second
)

// idleConnection is a connection that may be closed when descriptors are short: a client's before its request or after its last
// line, or one that waits for the next probe.
type idleConnection interface {
	// closeIfIdle closes the connection if it still is idle.
	closeIfIdle()
}

// freeDescriptors tells how many descriptors are left; limited is false where there is no limit.
func (f *LineFrontend) freeDescriptors() (n int, limited bool) {
	return f.maxDescriptors - f.loop.Open(), f.maxDescriptors > 0
}

// ensureFree closes idle connections, the oldest first, until more than so many descriptors are free, and tells whether they are.
// Hundreds of clients that say nothing must not keep out the one that has a request.
func (f *LineFrontend) ensureFree(kept int) bool {
	for {
		free, limited := f.freeDescriptors()
		if !limited || free >= kept {
			return true
		}
		oldest := f.idleConns.Front()
		if oldest == nil {
			return false
		}
		oldest.Value.(idleConnection).closeIfIdle()
	}
}

// pendingAttempts is the number of clients that wait without an attempt: each will need a descriptor for one. It is counted once in a
// turn of the loop, and only where descriptors are short, as that takes a look at all sessions.
type pendingAttempts struct {
	count     int
	countedAt time.Time // the turn in which they were counted
}

func (p *pendingAttempts) add(n int) { p.count = max(p.count+n, 0) }

// expectedAttempts tells how many descriptors the clients that wait will need.
func (f *LineFrontend) expectedAttempts() int {
	if free, limited := f.freeDescriptors(); !limited || free >= reservedFromClients+len(f.sessions) {
		return 0
	}
	if now := f.loop.Now(); !now.Equal(f.pendingAttempts.countedAt) {
		f.pendingAttempts = pendingAttempts{countedAt: now}
		for _, s := range f.sessions {
			if s.state == waiting && (s.hop == nil || s.hop.link.sock == nil) {
				f.pendingAttempts.count++
			}
		}
	}
	return f.pendingAttempts.count
}

// hasRoomForAttempt tells whether a request that comes now would find a descriptor for its attempt, once all that is idle is closed.
func (f *LineFrontend) hasRoomForAttempt() bool {
	free, limited := f.freeDescriptors()
	return !limited || free+f.idleConns.Len() >= reservedFromAttempts+f.expectedAttempts()+1
}

// markIdle puts a session at the young end of the idle connections; keep takes it out.
func (f *LineFrontend) markIdle(s *session) {
	if s.idleElement == nil {
		s.idleElement = f.idleConns.PushBack(s)
	} else {
		f.idleConns.MoveToBack(s.idleElement)
	}
}

func (f *LineFrontend) markActive(s *session) {
	if s.idleElement != nil {
		f.idleConns.Remove(s.idleElement)
		s.idleElement = nil
	}
}

// makeRoom closes the session, unless a request of its client lies there unread: that one is no idle client.
func (s *session) makeRoom() {
	if s.state == opening {
		s.read()
	}
	if s.idleElement != nil {
		s.frontend.refuseAndClose(s)
	}
}

// makeRoom closes a connection that waits for the next probe.
func (p *targetState) makeRoom() { p.closeConn() }

// refuseAndClose ends a connection to which nothing but a refusal is owed, for want of a descriptor. What has arrived is read first: a
// connection that is closed with unread bytes is reset, and the answer may be lost with that.
func (f *LineFrontend) refuseAndClose(s *session) {
	s.link.discard(f.scratch, maxDiscard) // of one that has its last line, that may still be on its way
	if s.state == opening {
		f.countDescriptorRefusal()
		_ = s.link.write(busy(f.engine.RetryAfter(noDescriptorRetryAfter)))
	}
	s.close()
}

// countDescriptorRefusal counts a client that is refused for want of a descriptor, and logs the first one.
func (f *LineFrontend) countDescriptorRefusal() {
	if f.counters.Full++; f.counters.Full == 1 {
		f.log.Printf("out of descriptors: %d open of %d", f.loop.Open(), f.maxDescriptors)
	}
}
