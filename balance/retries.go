// Retries of requests that failed or found no backend, their final answers, and ejection of
// backends.

package balance

import (
	"time"
)

const (
	// backoffFraction is the part of the set-up target for which a request is first held. The delay
	// doubles each time.
	backoffFraction = 0.4
	// retryAfterFraction is the part of Config.MaxRetryAfter that a refused client is advised to
	// wait. Capacity is usually found well before the longest delay.
	retryAfterFraction = 0.25
	// firstEjectionPeriods is the length of the first ejection of a failing backend, in multiples
	// of probeInterval. It doubles each time.
	firstEjectionPeriods = 1.0
	// maxBackoffDoublings is the most doublings of an ejection or of a retry delay.
	maxBackoffDoublings = 4
)

// retryLater holds a request for a random time before its next try. It concludes the request if its
// deadline is too near for that.
func (b *Balancer) retryLater(now time.Time, r *request) {
	wait := micros(b.class(r.Class).SetupTarget) * backoffFraction *
		float64(int64(1)<<min(r.holdCount, maxBackoffDoublings))
	wait = max(wait*(0.5+b.rng.Float64()), 1)
	r.holdCount++
	if !now.Add(fromMicros(wait)).Before(r.deadline) {
		b.conclude(r)
		return
	}
	b.setRequestTimer(now, r, fromMicros(wait))
}

// repeatable reports whether an attempt of a request on a backend cannot repeat the effect of an
// earlier one.
func (b *Balancer) repeatable(now time.Time, r *request, k *backend) bool {
	c := b.class(r.Class)
	if r.ranOn == nil || c.Idempotency == Idempotent {
		return true
	}
	if c.Idempotency == NotIdempotent || now.Sub(r.ranAt) >= c.DedupWindow {
		return false
	}
	return c.DedupScope == DedupScopeAll || c.DedupScope == DedupScopeZone && k.Zone == r.ranOn.Zone ||
		c.DedupScope == DedupScopeCell && k.Cell == r.ranOn.Cell
}

// conclude gives a request that cannot be placed its final answer: a refusal if the client may
// safely try again, else a failure.
func (b *Balancer) conclude(r *request) {
	c := b.class(r.Class)
	b.removeRequest(r)
	if r.ranOn == nil || c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentByKey && c.DedupScope == DedupScopeAll {
		b.host.Refuse(r.ID, time.Duration(float64(b.cfg.MaxRetryAfter)*retryAfterFraction))
	} else {
		b.host.Fail(r.ID)
	}
}

// recordOutcome counts consecutive failures of a backend and ejects it after each.
func (b *Balancer) recordOutcome(now time.Time, k *backend, o Outcome) {
	switch o {
	case OK:
		k.consecutiveFailures = 0
		return
	case Cancelled, NotSent:
		return
	}
	if now.Before(k.ejectedUntil) {
		// A process that dies breaks all its connections at once. That counts as one failure.
		return
	}
	factor := float64(int64(1) << min(k.consecutiveFailures, maxBackoffDoublings))
	k.ejectedUntil = now.Add(b.withJitter(fromMicros(firstEjectionPeriods * micros(probeInterval) * factor)))
	k.consecutiveFailures++
}
