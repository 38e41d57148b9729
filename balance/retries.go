// What becomes of a request whose attempt failed, or that finds no room: held, tried again, or answered.

package balance

import (
	"time"
)

const (
	backoffFraction      = 0.4  // part of the aim before a second try while most attempts fail; then doubles
	adviceFraction       = 0.25 // part of the longest advice that a refused client gets: room is found soon
	firstEjectionPeriods = 1.0  // first ejection of a failing backend, in probe periods; doubles each time
	maxBackoffDoublings  = 4    // doublings of an ejection
)

// retryLater holds a request for a while before its next try, or concludes it if its time is too short for that.
func (b *Balancer) retryLater(now time.Time, r *request) {
	wait := micros(b.class(r.Class).SetupTarget) * backoffFraction * float64(int64(1)<<min(r.holdCount, maxBackoffDoublings))
	wait = max(wait*(0.5+b.rng.Float64()), 1)
	r.holdCount++
	if !now.Add(fromMicros(wait)).Before(r.deadline) {
		b.conclude(r)
		return
	}
	b.setRequestTimer(now, r, fromMicros(wait))
}

// repeatable tells whether sending to a backend can have no effect twice.
func (b *Balancer) repeatable(now time.Time, r *request, k *backend) bool {
	c := b.class(r.Class)
	if r.ranOn == nil || c.Idempotency == Idempotent {
		return true
	}
	if c.Idempotency == NotIdempotent || now.Sub(r.ranAt) >= c.DedupWindow {
		return false
	}
	return c.DedupScope == ScopeAll || c.DedupScope == ScopeZone && k.Zone == r.ranOn.Zone ||
		c.DedupScope == ScopeCell && k.Cell == r.ranOn.Cell
}

// conclude gives a request that cannot be placed its final answer.
func (b *Balancer) conclude(r *request) {
	c := b.class(r.Class)
	b.removeRequest(r)
	if r.ranOn == nil || c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == ScopeAll {
		b.host.Refuse(r.ID, time.Duration(float64(b.cfg.MaxRetryAfter)*adviceFraction))
	} else {
		b.host.Fail(r.ID)
	}
}

// recordOutcome counts failures in a row and ejects a backend that fails.
func (b *Balancer) recordOutcome(now time.Time, k *backend, o Outcome) {
	switch o {
	case OK:
		k.consecutiveFailures = 0
		return
	case Cancelled, NotSent:
		return
	}
	if now.Before(k.ejectedUntil) {
		return // a process that dies breaks all its connections at once: that is one failure
	}
	times := float64(int64(1) << min(k.consecutiveFailures, maxBackoffDoublings))
	k.ejectedUntil = now.Add(b.withJitter(fromMicros(firstEjectionPeriods * micros(probeInterval) * times)))
	k.consecutiveFailures++
}
