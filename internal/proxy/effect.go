package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/routes"
)

// What a request may have done at an egress target decides what is still allowed: another hop, a
// refusal, which invites the client to repeat the request, or only a failure. The module applies
// the same rules, but in advance: its hop is written later, when the connection is established, and
// the engine answers in its place after the deadline. This file checks the rules again at the last
// moment for both.

// permitted reports whether the rules still allow another hop and a refusal for a request of class
// c. ran means that one of its hops may have run, or is active and still may. since is the time
// from the first byte of the first such hop to the act in question. sameScope means that the
// candidate target drops repeats of that hop, by the class's scope.
func permitted(c balance.Class, ran bool, since time.Duration, sameScope bool) (hop, refuse bool) {
	switch {
	case !ran || c.Idempotency == balance.Idempotent:
		return true, true
	case c.Idempotency == balance.IdempotentByKey && since < c.DedupWindow:
		// a refused client may repeat at any target
		return sameScope, c.DedupScope == balance.DedupScopeAll
	}
	return false, false
}

// sharesDedupScope reports whether target to drops repeats of a request that ran at another target.
func sharesDedupScope(s balance.DedupScope, ran, to *routes.Target) bool {
	return s == balance.DedupScopeAll || s == balance.DedupScopeZone && ran.Site == to.Site || s == balance.DedupScopeCell && ran.Block == to.Block
}

// class returns the class of the exchange.
func (x *Exchange) class() balance.Class { return x.engine.settings.Config.Classes[x.request.Class] }

// mayHop reports whether another hop to a target may be written at a time.
func (x *Exchange) mayHop(now time.Time, to *routes.Target) bool {
	if x.maybeRanOn == nil {
		return true
	}
	c := x.class()
	hop, _ := permitted(c, true, now.Sub(x.maybeRanSentAt), sharesDedupScope(c.DedupScope, x.maybeRanOn, to))
	return hop
}

// mayRefuse reports whether the client may be refused now and told to repeat its request after a
// delay. An active hop counts as one that may have run once any byte of it has been written;
// Client.CancelUnsent handles a hop that has not been written.
func (x *Exchange) mayRefuse(after time.Duration) bool {
	since := x.maybeRanSentAt
	if x.maybeRanOn == nil {
		if !x.hopActive || x.sentAt.IsZero() {
			return true
		}
		since = x.sentAt
	}
	_, refuse := permitted(x.class(), true, x.engine.loop.Now().Add(after).Sub(since), false)
	return refuse
}

// BeginSend is called just before the first byte of a hop is written and reports whether it may be:
// since the hop began, the client may have left, the window of the class may have ended or the
// target may have stopped. If it returns false, the hop must end with balance.NotSent.
func (x *Exchange) BeginSend() bool {
	now := x.engine.loop.RefreshNow()
	if x.answered {
		return false
	}
	if !x.mayHop(now, x.target) {
		return false
	}
	if x.adoption == nil { // an adopted connection is no new work for its target
		to := x.engine.table.Find(x.target.ID)
		grace := max(x.engine.settings.DrainGrace-sendGraceMargin, 0)
		if to == nil || moduleStates[to.Health] != balance.Ready || !x.engine.maySendTo(to.ID, now, grace) {
			return false
		}
	}
	x.sentAt = now
	return true
}

// answer gives the final answer to an exchange without a hop. A refusal that the rules do not allow
// becomes a failure. This is the only place where that is decided, for answers of the module and of
// the engine.
func (e *Engine) answer(x *Exchange, refuse bool, after time.Duration) {
	x.answered = true
	e.endAdoption(x)
	if refuse && x.mayRefuse(after) {
		e.counters.Shed++
		x.client.Refuse(after)
	} else {
		e.counters.Failed++
		x.client.Fail()
	}
}

// forceAnswer answers an exchange in the module's place, whether or not a hop is active. A hop
// whose target cannot have the whole request never ran; any other hop may have run.
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
	if x.adoption == nil {
		e.push(event{kind: evClientLeft, exchange: x})
	}
	e.dropHeldSend(x)
	if hop {
		x.Ended(o, noReport)
	} else {
		e.toRelease = append(e.toRelease, x)
	}
}
