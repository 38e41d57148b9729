// The events that a relay takes, and its timers. Their types are in interface.go.

package balance

import (
	"slices"
	"time"
)

const (
	probeEvery = 3 * time.Second // t of the paper

	jitter     = 0.2  // part of a timer that is drawn, so that relays do not act in step
	maxWindow  = 32.0 // attempts that may be out at once, not counting connections that stand
	commonFail = 0.5  // part of the attempts that fail when it is no single backend's fault
	lastWeight = 0.25 // of one attempt or request in a mean: three failures in a row bring it over half
)

// Kinds of timer, in the low bits of a token; a request's id is above them.
const (
	timerProbe = iota
	timerRequest
	timerWatch
	timerLeave
	timerBits = 2
)

// Start begins the relay's work; it comes before every other event.
func (b *Balancer) Start(now time.Time) {
	b.host.After(span(b.rng.Float64()*micros(probeEvery)*jitter), timerProbe)
	if b.cfg.Subscribe {
		b.watch()
	}
}

// watch subscribes to discovery, and looks after it later: an answer may be long in coming.
func (b *Balancer) watch() {
	b.host.Watch()
	b.host.After(b.spread(max(b.cfg.Rules.AskWithin, probeEvery)), timerWatch)
}

// spread draws a time near d.
func (b *Balancer) spread(d time.Duration) time.Duration {
	return span(micros(d) * (1 + jitter*(b.rng.Float64()-0.5)))
}

// DiscoveryUpdate takes discovery's news.
func (b *Balancer) DiscoveryUpdate(now time.Time, kind ListKind, list []Backend) {
	if kind == ListBroken {
		// All relays lose discovery together: what they ask again must not come together too.
		b.watching = false
		b.broken++
		wait := micros(min(probeEvery<<min(b.broken-1, maxBackoffDoublings), max(b.cfg.Rules.AskWithin, probeEvery)))
		b.host.After(span(wait*(1+b.rng.Float64())/2), timerWatch)
		return
	}
	if kind != ListStale {
		b.watching, b.broken = true, 0
	}
	b.merge(kind, list)
	if !b.leaving {
		b.leave(now)
	}
}

// Request takes a client's request: it is placed at once, or held while no backend may take it.
func (b *Balancer) Request(now time.Time, q Request) {
	r := b.add(q)
	r.deadline = now.Add(max(q.Left, 0))
	b.arrivals++
	b.worth += (b.class(q.Class).Worth - b.worth) * lastWeight
	if q.Beyond { // room comes as clients leave, not soon: they are told to come late, and not together
		b.forget(r)
		b.host.Refuse(r.ID, span(micros(b.cfg.MaxAdvice)*(1+b.rng.Float64())/2))
		return
	}
	if k := b.left[q.Key]; q.MidFlow && k != nil && k.State == Ready {
		b.send(now, r, k) // any other backend would reset the connection
		return
	}
	b.startPlacement(now, r)
}

// wake sets a request's timer; the last one set counts.
func (b *Balancer) wake(now time.Time, r *request, d time.Duration) {
	r.due = now.Add(d)
	b.host.After(d, r.ID<<timerBits|timerRequest)
}

// Established tells that a connection stands.
func (b *Balancer) Established(now time.Time, id RequestID) {
	if r := b.requests[id]; r != nil && r.at != nil && !r.open {
		r.open = true
		b.out--
		b.window = min(b.window+1/b.window, maxWindow)
		r.at.strikes = 0
		b.failing -= b.failing * lastWeight
	}
}

// Finished tells how an attempt or its connection ended; settled: nothing is owed to the client any more.
func (b *Balancer) Finished(now time.Time, id RequestID, attempt int, settled bool, o Outcome, rep Report) {
	r := b.requests[id]
	if r == nil || r.at == nil || attempt != r.attempts-1 {
		return
	}
	k, stood := r.at, r.open
	r.open = false // else a request that is tried again would pass for a connection that stands
	b.drop(r)
	b.report(k, rep)
	if !stood {
		b.out--
		if o != OK && o != Cancelled && o != NotSent {
			b.failing += (1 - b.failing) * lastWeight
			b.window = max(b.window/2, 1)
		}
	}
	b.recordOutcome(now, k, o)
	if stood && o == OK {
		b.offer(now, k)
	}
	if !o.NeverRan() && r.ran == nil {
		r.ran, r.ranSince = k, r.sent
	}
	switch {
	case settled || r.over:
		b.forget(r)
		if o == Cancelled {
			b.parted(now, r, k) // its packets may come back here
		}
	case b.thrifty:
		b.conclude(r) // all relays together have made the further attempts that they may
	case b.failing >= commonFail:
		// What fails everywhere is kept failing by the load of quick retries.
		b.retryLater(now, r)
	default:
		b.place(now, r)
	}
}

// Timer takes a timer that is due.
func (b *Balancer) Timer(now time.Time, token uint64) {
	switch token & (1<<timerBits - 1) {
	case timerProbe:
		b.host.After(b.spread(probeEvery), timerProbe)
		// What is spent on watching own connections stays a part of what requests cost in any case.
		budget := 1 + b.arrivals*sampleSize/2
		b.arrivals = 0
		for i, at := 0, b.rng.IntN(len(b.all)+1); i < len(b.all) && budget > 0; i++ {
			k := b.all[(at+i)%len(b.all)]
			if len(k.held) > 0 && now.Sub(k.seen) >= probeEvery && b.probe(now, k, sampleReportMaxAge) {
				budget--
			}
		}
	case timerLeave:
		b.leave(now)
	case timerWatch:
		if b.cfg.Subscribe && !b.watching {
			b.watch()
		}
	case timerRequest:
		if r := b.requests[token>>timerBits]; r != nil && r.at == nil && !r.over && !now.Before(r.due) {
			if i := slices.Index(b.scanning, r); i >= 0 {
				b.scanning = slices.Delete(b.scanning, i, i+1)
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
	r.over = true
	if r.at == nil {
		b.forget(r)
	} else if b.cfg.MayCancel && !r.open {
		b.host.Cancel(id, r.attempts-1)
	}
}
