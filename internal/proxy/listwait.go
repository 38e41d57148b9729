package proxy

import (
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
)

const (
	// listWaitPart is the part of a client's remaining time for which a request may wait, once, for a list that is up to date.
	listWaitPart = 8
	// proofFresh is how long a server proves by taking a request that it takes new work: half of the time after which a change that
	// came behind that counts as told, since its list may know of a drain before the server itself does.
	proofFresh = routes.ListLease / 2
	// graceMargin is the part of the time for sends to a server that stops which is left for the write itself: a process may be held
	// up for 150 ms between reading its clock and writing, and limits of time are 50 ms longer on sockets.
	graceMargin = 120 * time.Millisecond
)

// heldSend is an attempt that the module has decided on and that waits for a list that is up to date.
type heldSend struct {
	request *Exchange
	action  action
	since   time.Time
	until   time.Time
}

// listWait holds attempts back while the lease of the list has run out, see routes.Lease. Each waits a small part of its client's
// time for a call to discovery that is made for it, as long as no such call has failed. Where discovery does not answer by then, an
// attempt begins only at a server that has just shown this process that it takes new work: one that left or drains has not, and to
// refuse all would serve nobody while discovery is down. The engine owns it; what is held is given back in take, by the list or by time.
type listWait struct {
	held  []heldSend
	timer poll.Timer
	vain  bool // a call has failed since the lease ran out: the next one is not waited for where servers can be asked
	// By server: when it last took a request, and when it last answered a probe.
	took, answered map[string]time.Time
	drains         drainProbes
}

// drainProbes is what servers that drain, by the list, were seen to answer to probes. The protocol has PONG for a proxy that takes
// clients and does not say it of servers: an answer passes for a proof that a server does not drain until one that does has given it.
type drainProbes struct{ refused, answered bool }

// saw takes the end of a probe of a server that drains.
func (d *drainProbes) saw(o balance.Outcome) {
	d.refused = d.refused || o == balance.Error
	d.answered = d.answered || o == balance.OK
}

// learnDrains has a server probed that drains, where nothing is known of what such servers answer.
func (e *Engine) learnDrains(t *routes.Target) {
	if d := &e.listWait.drains; e.set.Config.MayProbe && t.Health == routes.Draining && !d.refused && !d.answered {
		e.count.Probes++
		e.prober.Probe(t)
	}
}

// listEnds returns the time from which on a change that is not in the table may count as told. ok is false where this process does
// not ask discovery.
func (e *Engine) listEnds() (at time.Time, ok bool) {
	at, ok = e.watch.ListEnds()
	if e.vouched == nil {
		return at, ok
	}
	if vouched := e.vouched().Add(routes.ListLease); vouched.After(at) {
		at = vouched
	}
	return at, ok
}

// holdSend holds an attempt back where the lease of the list has run out and its request has not waited for that yet.
func (e *Engine) holdSend(x *Exchange, a *action) bool {
	now := e.loop.Now()
	ends, ok := e.listEnds()
	if !ok || now.Before(ends) || x.waitedForList || e.listWait.vain && e.set.Config.MayProbe {
		return false
	}
	x.waitedForList, x.held = true, true
	e.count.ListWaits++
	until := now.Add(x.deadline.Sub(now) / listWaitPart)
	e.listWait.held = append(e.listWait.held, heldSend{x, *a, now, until})
	e.watch.Urge()
	e.armListWait()
	return true
}

// callFailed notes that a call to discovery has brought no list.
func (e *Engine) callFailed() {
	if ends, ok := e.listEnds(); ok && !e.loop.Now().Before(ends) {
		e.listWait.vain = true
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
		e.listWait.vain = false
	}
	e.listWait.held = slices.DeleteFunc(e.listWait.held, func(h heldSend) bool {
		if !listed && now.Before(h.until) {
			return false
		}
		h.request.held = false
		h.action.span = max(h.action.span-now.Sub(h.since), time.Millisecond)
		e.actions = append(e.actions, h.action)
		return true
	})
	e.armListWait()
}

// dropHeld gives up an attempt that is held, since its client has left or has its answer. Each of the module's attempts has an end.
func (e *Engine) dropHeld(x *Exchange) {
	if !x.held {
		return
	}
	x.held = false
	e.listWait.held = slices.DeleteFunc(e.listWait.held, func(h heldSend) bool { return h.request == x })
	e.armListWait()
	x.hops++
	e.push(event{kind: evEnded, x: x, attempt: x.hops - 1, settled: true, outcome: balance.NotSent, report: noReport})
}

// noteTook notes that a server has just taken a request of this process.
func (e *Engine) noteTook(id string) { note(&e.listWait.took, id, e.loop.Now(), &e.table) }

// noteProbe notes how a probe of a server ended.
func (e *Engine) noteProbe(id string, o balance.Outcome) {
	t := e.table.Find(id)
	switch {
	case t == nil:
	case t.Health == routes.Draining:
		e.listWait.drains.saw(o)
	case o == balance.OK:
		note(&e.listWait.answered, id, e.loop.Now(), &e.table)
	}
}

func note(times *map[string]time.Time, id string, now time.Time, known *routes.Table) {
	if *times == nil {
		*times = make(map[string]time.Time)
	}
	if known.Find(id) != nil {
		(*times)[id] = now
	}
}

// trusts tells whether new work may go to a server so long after the lease of the list has run out: it has just shown that it takes
// new work, or this process has no way to ask it.
func (e *Engine) trusts(id string, now time.Time, after time.Duration) bool {
	ends, ok := e.listEnds()
	if !ok || now.Before(ends.Add(after)) || !e.set.Config.MayProbe {
		return true
	}
	fresh := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < proofFresh }
	return fresh(e.listWait.took[id]) || !e.listWait.drains.answered && fresh(e.listWait.answered[id])
}
