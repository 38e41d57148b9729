package proxy

import (
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
)

// listWaitDivisor is the part of a client's remaining time for which a request may wait, once, for a list that is up to date.
const listWaitDivisor = 8

// heldSend is an attempt that the module has decided on and that waits for a list that is up to date.
type heldSend struct {
	exchange *Exchange
	action   action
	since    time.Time
	until    time.Time
}

// listWait holds attempts back while the lease of the list has run out, see routes.Lease. Each waits a small part of its client's
// time for a call to discovery that is made for it, as long as no such call has failed. Where discovery does not answer by then, an
// attempt begins only at a server that is proven to take new work, see proofs. The engine owns it; what is held is given back in take,
// by the list or by time.
type listWait struct {
	held   []heldSend
	timer  poll.Timer
	failed bool // a call has failed since the lease ran out, or did not answer in time: the next one is not waited for
}

// holdSend holds an attempt back where the lease of the list has run out and its request has not waited for that yet.
func (e *Engine) holdSend(x *Exchange, a *action) bool {
	now := e.loop.Now()
	if !e.listLeaseExpired(now) || x.waitedForList || e.listWait.failed || e.proofs.valid(a.target, now) {
		return false
	}
	x.waitedForList, x.held = true, true
	e.counters.ListWaits++
	until := now.Add(x.deadline.Sub(now) / listWaitDivisor)
	e.listWait.held = append(e.listWait.held, heldSend{x, *a, now, until})
	e.watch.Urge()
	e.armListWait()
	return true
}

// recordFailedCall notes that a call to discovery has brought no list.
func (e *Engine) recordFailedCall() {
	if e.listLeaseExpired(e.loop.Now()) {
		e.listWait.failed = true
	}
}

// armListWait sets the timer for the attempt whose wait ends first.
func (e *Engine) armListWait() {
	w := &e.listWait
	if len(w.held) == 0 {
		e.loop.Disarm(&w.timer)
		return
	}
	first := slices.MinFunc(w.held, func(a, b heldSend) int { return a.until.Compare(b.until) })
	w.timer.Fire = func() { e.resumeSends(false) }
	e.loop.Arm(&w.timer, first.until)
}

// resumeSends has attempts that were held carried out with the next batch: all of them where a list has come, else those whose
// wait is over.
func (e *Engine) resumeSends(listed bool) {
	now := e.loop.Now()
	if listed {
		e.listWait.failed = false
	}
	e.listWait.held = slices.DeleteFunc(e.listWait.held, func(h heldSend) bool {
		if !listed && now.Before(h.until) {
			return false
		}
		e.listWait.failed = !listed
		h.exchange.held = false
		h.action.duration = max(h.action.duration-now.Sub(h.since), time.Millisecond)
		e.actions = append(e.actions, h.action)
		return true
	})
	e.armListWait()
}

// dropHeldSend gives up an attempt that is held, since its client has left or has its answer. Each of the module's attempts has an end.
func (e *Engine) dropHeldSend(x *Exchange) {
	if !x.held {
		return
	}
	x.held = false
	e.listWait.held = slices.DeleteFunc(e.listWait.held, func(h heldSend) bool { return h.exchange == x })
	e.armListWait()
	x.hopCount++
	e.push(event{kind: evEnded, exchange: x, attempt: x.hopCount - 1, settled: true, outcome: balance.NotSent, report: noReport})
}
