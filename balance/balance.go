// Event handlers and timers of the Balancer. interface.go declares the types of the events.

package balance

import (
	"slices"
	"time"
)

const (
	probeInterval = 3 * time.Second // mean time between rounds of probes

	timerJitter           = 0.2  // random fraction of a delay, so that relays do not act in step
	maxAttemptWindow      = 32.0 // most pending attempts; established connections do not count
	widespreadFailureRate = 0.5  // failed fraction of attempts that no single backend causes
	ewmaWeight            = 0.25 // of a new sample: three failures in a row bring a mean over 0.5
)

// Kinds of timers. A token has the kind in its low timerKindBits bits, a request ID in the others.
const (
	timerProbe = iota
	timerRequest
	timerWatch
	timerDrain
	timerKindBits = 2
)

// Start sets the first timers. It must be called before any other event.
func (b *Balancer) Start(now time.Time) {
	b.host.After(fromMicros(b.rng.Float64()*micros(probeInterval)*timerJitter), timerProbe)
	if b.cfg.Subscribe {
		b.subscribe()
	}
}

// subscribe subscribes to discovery, and sets a timer to do so again if no list has come by then.
func (b *Balancer) subscribe() {
	b.host.WatchDiscovery()
	b.host.After(b.withJitter(max(b.cfg.Rules.MaxDiscoveryGap, probeInterval)), timerWatch)
}

// withJitter returns d with a random deviation of up to half of timerJitter either way.
func (b *Balancer) withJitter(d time.Duration) time.Duration {
	return fromMicros(micros(d) * (1 + timerJitter*(b.rng.Float64()-0.5)))
}

// DiscoveryUpdate handles a list of backends from discovery, or a failure of discovery.
func (b *Balancer) DiscoveryUpdate(now time.Time, kind ListKind, list []Backend) {
	if kind == ListBroken {
		// All relays lose discovery at the same time: random delays keep their retries apart.
		b.subscribed = false
		b.discoveryFailures++
		wait := micros(min(
			probeInterval<<min(b.discoveryFailures-1, maxBackoffDoublings),
			max(b.cfg.Rules.MaxDiscoveryGap, probeInterval),
		))
		b.host.After(fromMicros(wait*(1+b.rng.Float64())/2), timerWatch)
		return
	}
	if kind != ListStale {
		b.subscribed, b.discoveryFailures = true, 0
	}
	b.mergeBackends(kind, list)
	if !b.drainTimerSet {
		b.moveOffDraining(now)
	}
}

// Request handles a new request. It is placed at once, or held while no backend may take it.
func (b *Balancer) Request(now time.Time, q Request) {
	r := b.addRequest(q)
	r.deadline = now.Add(max(q.Timeout, 0))
	b.arrivals++
	b.meanWorth += (b.class(q.Class).Worth - b.meanWorth) * ewmaWeight
	if q.OverLimit {
		// Capacity is freed only as clients leave: the advised delay is long, and random to spread
		// the retries.
		b.removeRequest(r)
		b.host.Refuse(r.ID, fromMicros(micros(b.cfg.MaxRetryAfter)*(1+b.rng.Float64())/2))
		return
	}
	if k := b.detached[q.Key]; q.MidFlow && k != nil && k.State == Ready {
		b.send(now, r, k) // any other backend would reset the connection
		return
	}
	b.startPlacement(now, r)
}

// setRequestTimer sets the timer of a request. It replaces any timer that was set before.
func (b *Balancer) setRequestTimer(now time.Time, r *request, d time.Duration) {
	r.timerAt = now.Add(d)
	b.host.After(d, r.ID<<timerKindBits|timerRequest)
}

// Established records that the connection of a request is established.
func (b *Balancer) Established(now time.Time, id RequestID) {
	if r := b.requests[id]; r != nil && r.backend != nil && !r.established {
		r.established = true
		b.pendingAttempts--
		b.attemptWindow = min(b.attemptWindow+1/b.attemptWindow, maxAttemptWindow)
		r.backend.consecutiveFailures = 0
		b.failureRate -= b.failureRate * ewmaWeight
	}
}

// Finished handles the end of an attempt or of its connection. If settled is true, the client needs
// no further answer.
func (b *Balancer) Finished(now time.Time, id RequestID, attempt int, settled bool, o Outcome, rep Report) {
	r := b.requests[id]
	if r == nil || r.backend == nil || attempt != r.attempts-1 {
		return
	}
	k, wasEstablished := r.backend, r.established
	r.established = false // a retried request must not pass for an established connection
	b.unassign(r)
	b.applyReport(k, rep)
	if !wasEstablished {
		b.pendingAttempts--
		if o != OK && o != Cancelled && o != NotSent {
			b.failureRate += (1 - b.failureRate) * ewmaWeight
			b.attemptWindow = max(b.attemptWindow/2, 1)
		}
	}
	b.recordOutcome(now, k, o)
	if wasEstablished && o == OK {
		b.grantColdCredits(now, k)
	}
	if !o.NeverRan() && r.ranOn == nil {
		r.ranOn, r.ranAt = k, r.sentAt
	}
	switch {
	case settled || r.answered:
		b.removeRequest(r)
		if o == Cancelled {
			b.recordDetached(now, r, k) // its packets may come back to this relay
		}
	case b.retriesDisabled:
		b.conclude(r) // the retry budget of all relays together is used up
	case b.failureRate >= widespreadFailureRate:
		// Quick retries would keep up the overload that makes all backends fail.
		b.retryLater(now, r)
	default:
		b.place(now, r)
	}
}

// Timer handles an expired timer.
func (b *Balancer) Timer(now time.Time, token uint64) {
	switch token & (1<<timerKindBits - 1) {
	case timerProbe:
		b.host.After(b.withJitter(probeInterval), timerProbe)
		// Probes that watch the backends of own connections are limited to a fraction of the probes
		// that requests cause anyway.
		budget := 1 + b.arrivals*sampleSize/2
		b.arrivals = 0
		for i, start := 0, b.rng.IntN(len(b.backends)+1); i < len(b.backends) && budget > 0; i++ {
			k := b.backends[(start+i)%len(b.backends)]
			if len(k.requests) > 0 && now.Sub(k.lastReport) >= probeInterval &&
				b.probe(now, k, sampleReportMaxAge) {
				budget--
			}
		}
	case timerDrain:
		b.moveOffDraining(now)
	case timerWatch:
		if b.cfg.Subscribe && !b.subscribed {
			b.subscribe()
		}
	case timerRequest:
		if r := b.requests[token>>timerKindBits]; r != nil && r.backend == nil && !r.answered &&
			!now.Before(r.timerAt) {
			if i := slices.Index(b.awaitingReports, r); i >= 0 {
				b.awaitingReports = slices.Delete(b.awaitingReports, i, i+1)
				b.place(now, r)
			} else {
				b.startPlacement(now, r)
			}
		}
	}
}

// ClientGone handles a client that left. It needs no answer, but a pending attempt still finishes.
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
