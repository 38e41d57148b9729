// The events that a relay takes, and its timers. Their types are in interface.go.

package balance

import (
	"slices"
	"time"
)

const (
	probeInterval = 3 * time.Second // t of the paper

	timerJitter           = 0.2  // part of a timer that is drawn, so that relays do not act in step
	maxAttemptWindow      = 32.0 // attempts that may be out at once, not counting connections that stand
	widespreadFailureRate = 0.5  // part of the attempts that fail when it is no single backend's fault
	ewmaWeight            = 0.25 // of one attempt or request in a mean: three failures in a row bring it over half
)

// Kinds of timer, in the low bits of a token; a request's id is above them.
const (
	timerProbe = iota
	timerRequest
	timerWatch
	timerDrain
	timerKindBits = 2
)

// Start begins the relay's work; it comes before every other event.
func (b *Balancer) Start(now time.Time) {
	b.host.After(fromMicros(b.rng.Float64()*micros(probeInterval)*timerJitter), timerProbe)
	if b.cfg.Subscribe {
		b.subscribe()
	}
}

// watch subscribes to discovery, and looks after it later: an answer may be long in coming.
func (b *Balancer) subscribe() {
	b.host.Watch()
	b.host.After(b.withJitter(max(b.cfg.Rules.MaxDiscoveryGap, probeInterval)), timerWatch)
}

// spread draws a time near d.
func (b *Balancer) withJitter(d time.Duration) time.Duration {
	return fromMicros(micros(d) * (1 + timerJitter*(b.rng.Float64()-0.5)))
}

// DiscoveryUpdate takes discovery's news.
func (b *Balancer) DiscoveryUpdate(now time.Time, kind ListKind, list []Backend) {
	if kind == ListBroken {
		// All relays lose discovery together: what they ask again must not come together too.
		b.subscribed = false
		b.discoveryFailures++
		wait := micros(min(probeInterval<<min(b.discoveryFailures-1, maxBackoffDoublings), max(b.cfg.Rules.MaxDiscoveryGap, probeInterval)))
		b.host.After(fromMicros(wait*(1+b.rng.Float64())/2), timerWatch)
		return
	}
	if kind != ListStale {
		b.subscribed, b.discoveryFailures = true, 0
	}
	b.mergeBackends(kind, list)
	if !b.drainTimerSet {
		b.leave(now)
	}
}

// Request takes a client's request: it is placed at once, or held while no backend may take it.
func (b *Balancer) Request(now time.Time, q Request) {
	r := b.addRequest(q)
	r.deadline = now.Add(max(q.Left, 0))
	b.arrivals++
	b.meanWorth += (b.class(q.Class).Worth - b.meanWorth) * ewmaWeight
	if q.Beyond { // room comes as clients leave, not soon: they are told to come late, and not together
		b.removeRequest(r)
		b.host.Refuse(r.ID, fromMicros(micros(b.cfg.MaxAdvice)*(1+b.rng.Float64())/2))
		return
	}
	if k := b.detached[q.Key]; q.MidFlow && k != nil && k.State == Ready {
		b.send(now, r, k) // any other backend would reset the connection
		return
	}
	b.startPlacement(now, r)
}

// wake sets a request's timer; the last one set counts.
func (b *Balancer) setRequestTimer(now time.Time, r *request, d time.Duration) {
	r.timerAt = now.Add(d)
	b.host.After(d, r.ID<<timerKindBits|timerRequest)
}

// Established tells that a connection stands.
func (b *Balancer) Established(now time.Time, id RequestID) {
	if r := b.requests[id]; r != nil && r.backend != nil && !r.established {
		r.established = true
		b.pendingAttempts--
		b.attemptWindow = min(b.attemptWindow+1/b.attemptWindow, maxAttemptWindow)
		r.backend.consecutiveFailures = 0
		b.failureRate -= b.failureRate * ewmaWeight
	}
}

// Finished tells how an attempt or its connection ended; settled: nothing is owed to the client any more.
func (b *Balancer) Finished(now time.Time, id RequestID, attempt int, settled bool, o Outcome, rep Report) {
	r := b.requests[id]
	if r == nil || r.backend == nil || attempt != r.attempts-1 {
		return
	}
	k, stood := r.backend, r.established
	r.established = false // else a request that is tried again would pass for a connection that stands
	b.unassign(r)
	b.report(k, rep)
	if !stood {
		b.pendingAttempts--
		if o != OK && o != Cancelled && o != NotSent {
			b.failureRate += (1 - b.failureRate) * ewmaWeight
			b.attemptWindow = max(b.attemptWindow/2, 1)
		}
	}
	b.recordOutcome(now, k, o)
	if stood && o == OK {
		b.offerColdBackends(now, k)
	}
	if !o.NeverRan() && r.ranOn == nil {
		r.ranOn, r.ranAt = k, r.sentAt
	}
	switch {
	case settled || r.answered:
		b.removeRequest(r)
		if o == Cancelled {
			b.recordDetached(now, r, k) // its packets may come back here
		}
	case b.retriesDisabled:
		b.conclude(r) // all relays together have made the further attempts that they may
	case b.failureRate >= widespreadFailureRate:
		// What fails everywhere is kept failing by the load of quick retries.
		b.retryLater(now, r)
	default:
		b.place(now, r)
	}
}

// Timer takes a timer that is due.
func (b *Balancer) Timer(now time.Time, token uint64) {
	switch token & (1<<timerKindBits - 1) {
	case timerProbe:
		b.host.After(b.withJitter(probeInterval), timerProbe)
		// What is spent on watching own connections stays a part of what requests cost in any case.
		budget := 1 + b.arrivals*sampleSize/2
		b.arrivals = 0
		for i, at := 0, b.rng.IntN(len(b.backends)+1); i < len(b.backends) && budget > 0; i++ {
			k := b.backends[(at+i)%len(b.backends)]
			if len(k.requests) > 0 && now.Sub(k.lastReport) >= probeInterval && b.probe(now, k, sampleReportMaxAge) {
				budget--
			}
		}
	case timerDrain:
		b.leave(now)
	case timerWatch:
		if b.cfg.Subscribe && !b.subscribed {
			b.subscribe()
		}
	case timerRequest:
		if r := b.requests[token>>timerKindBits]; r != nil && r.backend == nil && !r.answered && !now.Before(r.timerAt) {
			if i := slices.Index(b.awaitingReports, r); i >= 0 {
				b.awaitingReports = slices.Delete(b.awaitingReports, i, i+1)
				b.place(now, r)
			} else {
				b.startPlacement(now, r)
			}
		}
	}
}

// ClientGone tells that a client left: nothing more is owed, but an attempt that is out still ends.
func (b *Balancer) ClientGone(now time.Time, id RequestID) {
	r := b.requests[id]
	if r == nil {
		return
	}
	r.answered = true
	if r.backend == nil {
		b.removeRequest(r)
	} else if b.cfg.MayCancel && !r.established {
		b.host.Cancel(id, r.attempts-1)
	}
}
