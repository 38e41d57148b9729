package proxy

import (
	"errors"
	"net/netip"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// discoveryLogInterval is the minimum time between two log lines about failing discovery calls.
const discoveryLogInterval = time.Minute

// SetDiscovery points the watch at another discovery address. The route table is kept until the new
// address answers.
func (e *Engine) SetDiscovery(at netip.AddrPort) {
	e.counters.Reloads++
	if at != e.discoveryAddr {
		// list versions of another discovery are unrelated to these
		e.discoveryAddr, e.newestPeerSeq = at, 0
	}
	e.watch.SetAddr(at)
}

// handleDiscoveryAnswer takes a list from discovery, or the error of the call.
func (e *Engine) handleDiscoveryAnswer(l *routes.List, err error) {
	if err != nil {
		e.recordFailedCall()
		e.counters.WatchesFailed++
		if errors.Is(err, routes.ErrBusy) {
			e.counters.WatchesBusy++
		}
		// With many processes on one discovery, every other call may fail; the counters have
		// them all.
		if now := e.loop.Now(); !e.discoveryFailed && (e.discoveryLoggedAt.IsZero() || now.Sub(e.discoveryLoggedAt) >= discoveryLogInterval) {
			e.log.Printf("discovery: %v", err)
			e.discoveryFailed, e.discoveryLoggedAt = true, now
		}
		e.push(event{kind: evList, list: balance.ListBroken})
		return
	}
	if e.discoveryFailed {
		e.log.Printf("discovery: answering again")
	}
	before := e.discoveryAnsweredAt
	e.discoveryFailed, e.discoveryAnsweredAt = false, e.loop.Now()
	e.resumeSends(true)
	if l.Seq < e.newestPeerSeq {
		return // another process has passed on a later list meanwhile
	}
	e.bootTimes.SetStarts(l, e.discoveryAnsweredAt, before)
	e.applyList(l)
	if e.onDiscoveryAnswer != nil {
		e.onDiscoveryAnswer()
	}
}

// applyList merges a list into the route table and tells the module.
func (e *Engine) applyList(l *routes.List) {
	kind := balance.ListPatch
	if l.Whole {
		kind = balance.ListWhole
	}
	stopped := e.table.Merge(l)
	e.push(event{kind: evList, list: kind, entries: backends(l.Hosts)})
	e.startListedAdoptions()
	for _, id := range stopped {
		e.cancelUnsentHops(id)
		e.proofs.forget(id)
		if e.table.Find(id) == nil {
			e.prober.Forget(id)
		}
	}
}

// cancelUnsentHops cancels the hops whose request has not reached a target that takes no new work:
// a hop that is still connecting could be sent after the time that the rules allow.
func (e *Engine) cancelUnsentHops(id string) {
	for _, x := range e.sortedExchanges() {
		if x.hopActive && !x.established && x.adoption == nil && x.target.ID == id && x.client.CancelUnsent() {
			x.Ended(balance.NoConnect, noReport)
		}
	}
}
