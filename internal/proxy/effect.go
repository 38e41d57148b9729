package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// What a request may have done at an egress target decides what is still allowed: another hop, a refusal, which invites
// the client to repeat it, or nothing but a failure. The module decides by the same rules, but in advance: its hop is written
// when the connection is up, and the engine answers in its place where time is over. Both ask here at the last moment.

// permitted tells what the rules leave for a request of a class. ran: a hop of it may have run, or is out and may yet; since:
// the time from the first such hop's first byte to the act in question; near: the target in question drops the repeats of that
// hop's, by the class's scope.
func permitted(c balance.Class, ran bool, since time.Duration, near bool) (hop, shed bool) {
	switch {
	case !ran || c.Repeat == balance.RepeatFree:
		return true, true
	case c.Repeat == balance.RepeatKeyed && since < c.Window:
		return near, c.Scope == balance.ScopeAll // a client that is sent away comes to any target
	}
	return false, false
}

// sharesDedupScope tells whether a target drops the repeats of what ran at another one.
func sharesDedupScope(s balance.Scope, ran, to *routes.Target) bool {
	return s == balance.ScopeAll || s == balance.ScopeZone && ran.Site == to.Site || s == balance.ScopeCell && ran.Block == to.Block
}

// class is what is known of the exchange's class.
func (x *Exchange) class() balance.Class { return x.engine.settings.Config.Classes[x.request.Class] }

// mayHop tells whether a further hop to a target may be written at a time.
func (x *Exchange) mayHop(now time.Time, to *routes.Target) bool {
	if x.maybeRanOn == nil {
		return true
	}
	c := x.class()
	hop, _ := permitted(c, true, now.Sub(x.maybeRanSentAt), sharesDedupScope(c.Scope, x.maybeRanOn, to))
	return hop
}

// mayRefuse tells whether the client may be refused now and come again after a while. A hop that is out counts as one that may
// have run once any of it was written; see Client.Recall for one that was not.
func (x *Exchange) mayRefuse(after time.Duration) bool {
	since := x.maybeRanSentAt
	if x.maybeRanOn == nil {
		if !x.hopActive || x.sentAt.IsZero() {
			return true
		}
		since = x.sentAt
	}
	_, shed := permitted(x.class(), true, x.engine.loop.Now().Add(after).Sub(since), false)
	return shed
}

// BeginSend is called just before the first byte of a hop is written, and tells whether it may be: the client may have left, the
// window of the class be over or the target have stopped since the hop began. If not, the hop is to end as balance.NotSent.
func (x *Exchange) BeginSend() bool {
	now := x.engine.loop.Refresh()
	if x.answered {
		return false
	}
	if x.adoptTarget == "" {
		to := x.engine.table.Find(x.target.ID)
		grace := max(x.engine.settings.DrainGrace-sendGraceMargin, 0)
		if to == nil || moduleStates[to.Health] != balance.Ready || !x.mayHop(now, x.target) || !x.engine.maySendTo(to.ID, now, grace) {
			return false
		}
	}
	x.sentAt = now
	return true
}

// answer gives an exchange without a hop its final answer. A refusal that the rules don't leave is a failure: this is the one
// place where that is decided for the module's answers and the engine's own.
func (e *Engine) answer(x *Exchange, refuse bool, after time.Duration) {
	x.answered = true
	if refuse && x.mayRefuse(after) {
		e.counters.Shed++
		x.client.Refuse(after)
	} else {
		e.counters.Failed++
		x.client.Fail()
	}
}

// forceAnswer answers an exchange in the module's place, whatever is out for it. A hop of which the target can't have the whole
// request never ran; any other may have.
func (e *Engine) forceAnswer(x *Exchange, after time.Duration) {
	if x.answered {
		return
	}
	var o balance.Outcome
	hop := x.hopActive
	if hop {
		if o = balance.NotSent; x.client.CancelUnsent() {
			x.sentAt = time.Time{}
		} else {
			o = balance.Cancelled
			x.client.CancelHop()
		}
	}
	e.answer(x, true, after)
	if x.adoptTarget == "" {
		e.push(event{kind: evClientLeft, exchange: x})
	}
	e.dropHeldSend(x)
	if hop {
		x.Ended(o, noReport)
	} else {
		e.toRelease = append(e.toRelease, x)
	}
}
