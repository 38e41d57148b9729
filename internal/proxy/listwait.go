package proxy

import (
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
)

// listWaitDivisor is the divisor of a client's remaining wait: a request may wait for that
// fraction, once, for an up-to-date list.
const listWaitDivisor = 8

// heldSend is an attempt that the module has decided on and that waits for an up-to-date list.
type heldSend struct {
	exchange *Exchange
	action   action
	since    time.Time
	until    time.Time
}

// listWait holds attempts while the lease of the list is expired, see routes.Lease. Each attempt
// waits a small fraction of its client's remaining wait for a discovery call that is made for it,
// as long as no such call has failed. If discovery does not answer by then, an attempt begins only
// at a server that is proven to take new work, see acceptanceProofs. The engine owns the listWait;
// resumeSends releases held attempts when a list arrives or their wait ends.
type listWait struct {
	held  []heldSend
	timer poll.Timer
	// failed: a call has failed or was not answered in time since the lease expired, so that the
	// next one is not waited for.
	failed bool
}

// holdSend holds an attempt if the lease of the list is expired and its request has not waited for
// a list yet. It reports whether it does.
func (e *Engine) holdSend(x *Exchange, a *action) bool {
	now := e.loop.Now()
	if !e.listLeaseExpired(now) || x.waitedForList || e.listWait.failed || e.proofs.valid(a.target, now) {
		return false
	}
	x.waitedForList, x.held = true, true
	e.counters.ListWaits++
	until := now.Add(x.deadline.Sub(now) / listWaitDivisor)
	e.listWait.held = append(e.listWait.held, heldSend{x, *a, now, until})
	e.watch.Expedite()
	e.armListWait()
	return true
}

// recordFailedCall notes that a discovery call returned no list.
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

// resumeSends queues held attempts for the next batch: all of them if a list has arrived, otherwise
// those whose wait is over.
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

// dropHeldSend drops a held attempt whose client has left or has been answered. Each attempt of the
// module must end.
func (e *Engine) dropHeldSend(x *Exchange) {
	if !x.held {
		return
	}
	x.held = false
	e.listWait.held = slices.DeleteFunc(e.listWait.held, func(h heldSend) bool { return h.exchange == x })
	e.armListWait()
	x.hopCount++
	e.push(event{kind: evEnded, exchange: x, attempt: x.hopCount - 1, clientSettled: true, outcome: balance.NotSent, report: noReport})
}
