package proxy

import (
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
)

const (
	// maxAdoptWait is how long adopting a connection may take by the protocol.
	maxAdoptWait = 40 * time.Second
	// adoptRetryMin is the pause after the first hop that did not succeed. It doubles with each
	// further one, up to adoptRetryMax.
	adoptRetryMin = 100 * time.Millisecond
	adoptRetryMax = time.Second
)

// adoption is the part of an exchange that belongs to a connection which an egress target has held
// since before this process started. No other target can take it over, so that its exchange waits
// for that target for as long as its client does: discovery may name the target, or the target may
// be reached, at any time until then. The engine owns it; endAdoption releases it.
type adoption struct {
	targetID   string
	unlisted   bool       // the route table does not contain the target; in Engine.unlisted
	failedHops int        // hops that have ended without an established connection
	retry      poll.Timer // starts the next hop
}

// awaitsListing reports whether the exchange belongs to an adopted connection whose target the
// route table does not contain.
func (x *Exchange) awaitsListing() bool { return x.adoption != nil && x.adoption.unlisted }

// Adopt creates the exchange for a connection that the egress target with the given ID has held
// since before this process started. The module learns of it once it is established.
func (e *Engine) Adopt(c Client, o ClientRequest, id string) (*Exchange, error) {
	o.Wait = min(o.Wait, maxAdoptWait)
	x, err := e.addExchange(c, o)
	if err != nil {
		return nil, err
	}
	x.adoption = &adoption{targetID: id}
	x.adoption.retry.Fire = func() { e.startAdoptionHop(x) }
	x.timer.Fire = func() { e.expireAdoption(x) }
	if e.table.Find(id) == nil {
		e.awaitListing(x)
		return x, nil
	}
	// Deliver starts the hop, since a hop that fails at once needs the caller to hold its exchange.
	e.actions = append(e.actions, action{kind: acAdopt, id: x.id})
	return x, nil
}

// awaitListing has an adopted connection wait until the route table contains its target. It counts
// under no limit meanwhile, since the name may never come.
func (e *Engine) awaitListing(x *Exchange) {
	e.releaseLimits(x)
	x.adoption.unlisted = true
	e.unlisted = append(e.unlisted, x)
	if e.counters.AdoptionsWaited++; e.counters.AdoptionsWaited == 1 {
		e.log.Printf("adopted connection: egress target %q is not listed; waiting for it; later ones are only counted", x.adoption.targetID)
	}
}

// startListedAdoptions queues the hops of the adopted connections whose targets the route table
// contains now.
func (e *Engine) startListedAdoptions() {
	e.unlisted = slices.DeleteFunc(e.unlisted, func(x *Exchange) bool {
		if e.table.Find(x.adoption.targetID) == nil {
			return false
		}
		x.adoption.unlisted = false
		e.actions = append(e.actions, action{kind: acAdopt, id: x.id})
		return true
	})
}

// startAdoptionHop starts a hop of an adopted connection if the route table contains its target.
func (e *Engine) startAdoptionHop(x *Exchange) {
	to := e.table.Find(x.adoption.targetID)
	if to == nil {
		e.awaitListing(x)
		return
	}
	if e.limits != nil && x.limitBits == 0 { // the connection exists already: it is never refused
		x.limitBits, _ = e.limits.Acquire(x.request.Class, x.request.Tenant, false)
	}
	e.startHop(x, to, x.deadline.Sub(e.loop.Now()))
}

// retryAdoption schedules the next hop after one that has ended with outcome o. The target may be
// busy with all connections that are opened at the start, or out of reach for a while. Its own word
// that the request failed is final.
func (e *Engine) retryAdoption(x *Exchange, o balance.Outcome) {
	now := e.loop.Now()
	pause := adoptRetryPause(x.adoption.failedHops)
	x.adoption.failedHops++
	retryable := o.NeverRan() || o == balance.Broken
	switch {
	case x.answered:
		e.release(x)
	case !retryable || !x.mayHop(now, x.target):
		e.answer(x, false, 0)
		e.release(x)
	case x.deadline.Sub(now) > pause+e.tuning.AnswerMargin:
		e.loop.After(&x.adoption.retry, pause)
	default: // expireAdoption answers
	}
}

// adoptRetryPause returns the pause after a hop that did not succeed. failedHops is the number of
// such hops before it.
func adoptRetryPause(failedHops int) time.Duration {
	pause := adoptRetryMin
	for range failedHops {
		if pause *= 2; pause >= adoptRetryMax {
			return adoptRetryMax
		}
	}
	return pause
}

// expireAdoption answers the client of an adopted connection that could not be established in time.
func (e *Engine) expireAdoption(x *Exchange) {
	if !x.answered {
		e.counters.AdoptionsExpired++
		e.forceAnswer(x, 0)
	}
}

// refuseUnlistedAdoption refuses the client of the adopted connection that was the last to begin to
// wait for its target to be listed, to free a descriptor. The client may come again after the given
// time. It returns false if none waits. Those that came first are kept: connections from before the
// start are opened before any others.
func (e *Engine) refuseUnlistedAdoption(after time.Duration) bool {
	if len(e.unlisted) == 0 {
		return false
	}
	x := e.unlisted[len(e.unlisted)-1]
	e.counters.AdoptionsRefused++
	e.forceAnswer(x, e.RetryAfter(after))
	return true
}

// endAdoption ends the wait of an adopted connection for its target; other exchanges have none.
func (e *Engine) endAdoption(x *Exchange) {
	a := x.adoption
	if a == nil {
		return
	}
	e.loop.Disarm(&a.retry)
	if a.unlisted {
		a.unlisted = false
		e.unlisted = slices.DeleteFunc(e.unlisted, func(o *Exchange) bool { return o == x })
	}
}
