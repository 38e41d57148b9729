package proxy

import (
	"math"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
)

// noReport is a report without any value.
var noReport = balance.Report{
	Load: math.NaN(), CPU: math.NaN(), Active: math.NaN(), Waiting: math.NaN(),
	Latency: math.NaN(), Rate: math.NaN(), Errors: math.NaN(),
}

type eventKind uint8

const (
	evList eventKind = iota
	evRequest
	evOpen
	evEstablished
	evEnded
	evClientLeft
	evNote
	evProbed
	evTimer
	evAvoid
	evRetryBudget
)

// event is an input to the module. The fields that are set depend on kind.
type event struct {
	kind             eventKind
	exchange         *Exchange
	request          balance.Request
	target           string
	attempt          int
	clientSettled    bool // the client needs no further answer
	outcome          balance.Outcome
	report           balance.Report
	note             balance.Metric
	level            float64
	list             balance.ListKind
	entries          []balance.Backend
	token            uint64
	until            time.Time
	retryBudgetSpent bool // by all processes together
}

type actionKind uint8

const (
	acSend actionKind = iota
	acRefuse
	acFail
	acCancel
	acMove
	acProbe
	acWatch
	acAfter
	acAdopt // not from the module: first hop of a connection from before the start
)

// action is an output of the module to be executed. The fields that are set depend on kind.
type action struct {
	kind     actionKind
	id       balance.RequestID
	target   string
	duration time.Duration
	attempt  int
	token    uint64
}

func (e *Engine) push(ev event) { e.events = append(e.events, ev) }

// Deliver passes all queued events to the module and then executes the actions that it returns.
// Events that result at once are delivered in the next turn.
func (e *Engine) Deliver() {
	e.events, e.delivering = e.delivering[:0], e.events
	now := e.loop.Now()
	e.restrictPlacement()
	for i := range e.delivering {
		e.deliverEvent(now, &e.delivering[i])
		e.delivering[i] = event{}
	}
	// executing one may append another: freeing a descriptor may read a client's request
	for i := 0; i < len(e.actions); i++ {
		a := e.actions[i]
		e.execute(&a)
	}
	e.actions = e.actions[:0]
	for _, x := range e.toRelease {
		if !x.hopActive {
			e.release(x)
		}
	}
	clear(e.toRelease)
	e.toRelease = e.toRelease[:0]
}

// deliverEvent calls the module for one event.
func (e *Engine) deliverEvent(now time.Time, ev *event) {
	switch ev.kind {
	case evList:
		e.module.DiscoveryUpdate(now, ev.list, ev.entries)
	case evRequest:
		e.module.Request(now, ev.request)
	case evOpen:
		e.module.RestoreConnection(now, ev.request, ev.target)
	case evEstablished:
		e.module.Established(now, ev.exchange.id)
	case evEnded:
		e.module.Finished(now, ev.exchange.id, ev.attempt, ev.clientSettled, ev.outcome, ev.report)
	case evClientLeft:
		e.module.ClientGone(now, ev.exchange.id)
	case evNote:
		e.module.ConnectionMeasured(now, ev.exchange.id, ev.note, ev.level)
	case evProbed:
		e.module.Probed(now, ev.target, ev.outcome, ev.report)
	case evTimer:
		e.module.Timer(now, ev.token)
	case evAvoid:
		e.module.EjectUntil(ev.target, ev.until)
	case evRetryBudget:
		e.module.DisableRetries(ev.retryBudgetSpent)
	}
}

// execute carries out one action.
func (e *Engine) execute(a *action) {
	x := e.exchanges[a.id]
	switch a.kind {
	case acSend:
		e.send(x, a)
	case acRefuse, acFail:
		if x != nil && !x.answered {
			e.answer(x, a.kind == acRefuse, a.duration)
			e.release(x)
		}
	case acCancel:
		if x != nil && x.hopActive && !x.established && a.attempt == x.hopCount-1 {
			x.client.CancelHop()
			x.Ended(balance.Cancelled, noReport)
		}
	case acMove:
		if x != nil && x.hopActive && x.established {
			if e.paceMove == nil || !e.draining(x.target.ID) || !e.paceMove(x.id) {
				e.move(x)
			}
		}
	case acProbe:
		e.counters.Probes++
		if to := e.table.Find(a.target); to != nil {
			if e.probeViaPeer == nil || !e.probeViaPeer(to.ID) {
				e.prober.Probe(to)
			} else {
				e.counters.Probes--
				e.counters.ProbesAsked++
			}
		} else {
			e.Probed(a.target, balance.NoConnect, noReport)
		}
	case acWatch:
		e.watch.Start()
	case acAdopt:
		if x != nil && !x.answered {
			e.startAdoptionHop(x)
		}
	case acAfter:
		t, token := &poll.Timer{}, a.token
		t.Fire = func() { e.push(event{kind: evTimer, token: token}) }
		e.loop.After(t, a.duration)
	}
}

// move asks the client of an established connection to reconnect.
func (e *Engine) move(x *Exchange) {
	e.counters.Moves++
	if e.draining(x.target.ID) {
		e.counters.MovesDrain++
	}
	x.client.Move()
	x.Ended(balance.Cancelled, noReport)
}

// send starts a hop. The client may have left, or the target may have stopped, since the module's
// last event.
func (e *Engine) send(x *Exchange, a *action) {
	if x == nil || x.hopActive || x.held {
		return
	}
	if x.answered { // the client left in this turn; each attempt of the module must still end
		x.hopCount++
		e.push(event{kind: evEnded, exchange: x, attempt: x.hopCount - 1, clientSettled: true, outcome: balance.NotSent, report: noReport})
		return
	}
	if e.holdSend(x, a) {
		return
	}
	to := e.table.Find(a.target)
	if to == nil || moduleStates[to.Health] != balance.Ready {
		x.hopCount++
		e.push(event{kind: evEnded, exchange: x, attempt: x.hopCount - 1, outcome: balance.NoConnect, report: noReport})
		return
	}
	if trusted := e.maySendTo(to.ID, e.loop.Now(), 0); !trusted || !x.mayHop(e.loop.Now(), to) {
		if !trusted {
			e.counters.ListsExpired++
		}
		x.hopCount++
		e.push(event{kind: evEnded, exchange: x, attempt: x.hopCount - 1, outcome: balance.NotSent, report: noReport})
		return
	}
	e.startHop(x, to, a.duration)
}

// host implements the module's callbacks by queueing actions, which Deliver executes.
type host Engine

func (h *host) add(a action) { h.actions = append(h.actions, a) }

func (h *host) Send(id balance.RequestID, backend string, timeout time.Duration) {
	h.add(action{kind: acSend, id: id, target: backend, duration: timeout})
}

func (h *host) Refuse(id balance.RequestID, advice time.Duration) {
	h.add(action{kind: acRefuse, id: id, duration: advice})
}
func (h *host) Fail(id balance.RequestID) { h.add(action{kind: acFail, id: id}) }
func (h *host) Cancel(id balance.RequestID, attempt int) {
	h.add(action{kind: acCancel, id: id, attempt: attempt})
}
func (h *host) Move(id balance.RequestID) { h.add(action{kind: acMove, id: id}) }
func (h *host) Probe(backend string)      { h.add(action{kind: acProbe, target: backend}) }
func (h *host) WatchDiscovery()           { h.add(action{kind: acWatch}) }
func (h *host) After(d time.Duration, token uint64) {
	h.add(action{kind: acAfter, duration: d, token: token})
}
