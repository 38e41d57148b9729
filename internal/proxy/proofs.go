package proxy

import (
	"slices"
	"time"

	"ospreyspan/internal/routes"
)

const (
	// maxProcessStall is the longest time that a process may be stalled between reading its clock
	// and writing.
	maxProcessStall = 150 * time.Millisecond
	// maxListLead is the longest time by which the list may announce a drain before the server
	// itself rejects new work. Lists are seconds late by specification, so the server knows first.
	maxListLead = time.Second
	// sendGraceMargin is the part of the grace period of a stopping server that is reserved for the
	// write itself. Time limits are 50 ms longer on sockets, which covers a part of
	// maxProcessStall.
	sendGraceMargin = 120 * time.Millisecond
)

// acceptanceProofs records which servers are known to take new work although the list may be out of
// date: those that have just accepted a request of this process. Nothing else proves it. A draining
// server may answer probes as before, whatever other draining servers were seen to answer: a
// process that relied on a PONG sent requests to such a server 0.6 to 3.2 s after its drain counted
// as known.
type acceptanceProofs struct {
	validity   time.Duration        // how long a proof holds
	acceptedAt map[string]time.Time // by server: write time of the last request that it accepted
	restrictTo []string             // servers to which the module is restricted; nil: unrestricted
}

// proofValidity returns how long a server that accepted a request is known to be within its drain
// grace period, even if it began to drain right after that: until the drain counts as known and the
// grace period is over, less maxListLead and the time of the next write. Where lists are pushed, a
// change counts as known at once, and an accepted request proves nothing for the next one.
func proofValidity(grace time.Duration, pushed bool) time.Duration {
	knownAfter := routes.ListLease
	if pushed {
		knownAfter = 0
	}
	return max(knownAfter+grace-maxListLead-maxProcessStall, 0)
}

// recordAccepted notes that a server accepted a request that was written at a time. The server may
// have begun to drain since.
func (p *acceptanceProofs) recordAccepted(server string, written time.Time) {
	if p.acceptedAt == nil {
		p.acceptedAt = make(map[string]time.Time)
	}
	p.acceptedAt[server] = written
}

// forget removes the proof of a server that stopped.
func (p *acceptanceProofs) forget(server string) { delete(p.acceptedAt, server) }

// valid reports whether a server has a proof that still holds.
func (p *acceptanceProofs) valid(server string, now time.Time) bool {
	written, ok := p.acceptedAt[server]
	return ok && now.Sub(written) < p.validity
}

// proven returns the servers with a valid proof, in order, and removes all other proofs.
func (p *acceptanceProofs) proven(now time.Time) []string {
	list := make([]string, 0, len(p.acceptedAt))
	for server := range p.acceptedAt {
		if p.valid(server, now) {
			list = append(list, server)
		} else {
			delete(p.acceptedAt, server)
		}
	}
	slices.Sort(list)
	return list
}

// listLeaseEnd returns the time from which on a change that is not in the table may count as known.
// ok is false if this process does not call discovery.
func (e *Engine) listLeaseEnd() (at time.Time, ok bool) {
	at, ok = e.watch.LeaseExpiry()
	if e.peerConfirmedAt == nil {
		return at, ok
	}
	if vouched := e.peerConfirmedAt().Add(routes.ListLease); vouched.After(at) {
		at = vouched
	}
	return at, ok
}

// listLeaseExpired reports whether the lease of the list has expired.
func (e *Engine) listLeaseExpired(now time.Time) bool {
	ends, ok := e.listLeaseEnd()
	return ok && !now.Before(ends)
}

// maySendTo reports whether new work may go to a server: until grace after the lease of the list
// has expired, and as long as the server has a valid proof.
func (e *Engine) maySendTo(server string, now time.Time, grace time.Duration) bool {
	ends, ok := e.listLeaseEnd()
	return !ok || now.Before(ends.Add(grace)) || e.proofs.valid(server, now)
}

// restrictPlacement restricts the module to proven servers for new requests while the lease of the
// list is expired, since attempts at other servers would not be sent. If none is proven and
// attempts may still wait for a list, the module uses all servers.
func (e *Engine) restrictPlacement() {
	var to []string
	if now := e.loop.Now(); e.listLeaseExpired(now) {
		if to = e.proofs.proven(now); len(to) == 0 && !e.listWait.failed {
			to = nil
		}
	}
	if (to == nil) == (e.proofs.restrictTo == nil) && slices.Equal(to, e.proofs.restrictTo) {
		return
	}
	e.proofs.restrictTo = to
	e.module.Restrict(to)
}
