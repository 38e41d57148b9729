package proxy

import (
	"slices"
	"time"

	"ospreyspan/internal/routes"
)

const (
	// maxProcessStall is how long a process may be held up between reading its clock and writing.
	maxProcessStall = 150 * time.Millisecond
	// maxListLead is by how much the list may know of a drain before the server itself turns new work away. By the pages lists are
	// seconds late, so that the server knows first.
	maxListLead = time.Second
	// sendGraceMargin is the part of the time for sends to a server that stops which is left for the write itself: limits of time are
	// 50 ms longer on sockets, which bears a part of the holdUp.
	sendGraceMargin = 120 * time.Millisecond
)

// proofs tells which servers are proven to take new work though the list may be out of date: those that have just taken a request of
// this process. Nothing else proves it. A server that drains may answer probes as before, whatever others that drain were seen to
// answer: a process that relied on a PONG sent requests to one 0.6 to 3.2 s after its drain counted as told.
type proofs struct {
	validity   time.Duration        // of a proof
	acceptedAt map[string]time.Time // by server: when the last request was written that it took
	restrictTo []string             // the servers to which the module was last told to keep; nil: it may use all
}

// proofValidity is how long a server that took a request is known to be within its grace if it began to drain right after that: until the
// drain counts as told and the grace for it is over, less the lead of the list and the time of the next write. Where lists are pushed
// a change counts as told at once, and no request proves anything for the next one.
func proofValidity(grace time.Duration, pushed bool) time.Duration {
	toldAfter := routes.ListLease
	if pushed {
		toldAfter = 0
	}
	return max(toldAfter+grace-maxListLead-maxProcessStall, 0)
}

// recordAccepted takes that a server has taken a request which was written at a time. It may have begun to drain since.
func (p *proofs) recordAccepted(server string, written time.Time) {
	if p.acceptedAt == nil {
		p.acceptedAt = make(map[string]time.Time)
	}
	p.acceptedAt[server] = written
}

// forget drops what a server that stopped has proven.
func (p *proofs) forget(server string) { delete(p.acceptedAt, server) }

// valid tells whether a server is proven.
func (p *proofs) valid(server string, now time.Time) bool {
	written, ok := p.acceptedAt[server]
	return ok && now.Sub(written) < p.validity
}

// proven returns the servers that are, in order, and forgets the others.
func (p *proofs) proven(now time.Time) []string {
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

// listLeaseEnd returns the time from which on a change that is not in the table may count as told. ok is false where this process does
// not ask discovery.
func (e *Engine) listLeaseEnd() (at time.Time, ok bool) {
	at, ok = e.watch.ListEnds()
	if e.peerConfirmedAt == nil {
		return at, ok
	}
	if vouched := e.peerConfirmedAt().Add(routes.ListLease); vouched.After(at) {
		at = vouched
	}
	return at, ok
}

// listLeaseExpired tells whether the lease of the list has run out.
func (e *Engine) listLeaseExpired(now time.Time) bool {
	ends, ok := e.listLeaseEnd()
	return ok && !now.Before(ends)
}

// maySendTo tells whether new work may go to a server so long after the lease of the list has run out.
func (e *Engine) maySendTo(server string, now time.Time, after time.Duration) bool {
	ends, ok := e.listLeaseEnd()
	return !ok || now.Before(ends.Add(after)) || e.proofs.valid(server, now)
}

// restrictPlacement has the module place new requests among the proven servers while the lease of the list has run out: attempts at
// others would not be sent. Where none is proven and attempts may still wait for a list, it places among all.
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
