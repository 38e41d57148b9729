package balance

import (
	"math"
	"time"
)

// How much a cold backend may be sent. It falls when all relays together send it more than
// Rules.FallMultiple times what it can do within Rules.FallWithin. Clients that return come one to each of
// many relays within the age of one report, so that no relay sees the sum: from its first request that
// wants a cold backend on, each holds for Rules.FallWithin as many permits as it drew then, and the sum is
// bounded however many come.

const (
	permitFactor       = 1.5  // of the settings' budget, computed from the slowest warm-up that they allow
	maxReturnSize      = 2.0  // largest mass return to a backend, in connections that one holds in the mean
	maxPermitDoublings = 3    // of the permits, while returning clients are denied at a backend that stays idle
	coldCreditFraction = 0.8  // part of the fall multiple that all relays mean to send a cold backend
	groupColdFraction  = 0.6  // likewise by the ranks of groups, of which a large one brings several even parts
	retriedFraction    = 0.7  // of that for requests that were held: they come in waves
	minWarmLoad        = 0.25 // load that the warm backends are taken to bear at the least
	fillFraction       = 0.5  // part of the fall multiple at which new clients fill a cold backend; see filled
)

// permits are what one relay may send to one cold backend until they lapse.
type permits struct {
	expires     time.Time
	returnLimit int  // for clients that return
	totalLimit  int  // for all requests together
	used        int  // requests that were sent, of any kind
	denied      bool // a returning client found none left
	doublings   int  // of the mean number, since returning clients were denied in the terms before
}

// renewPermits draws permits anew when the last ones have lapsed.
func (b *Balancer) renewPermits(now time.Time, k *backend) {
	last := k.permits
	if now.Before(last.expires) {
		return
	}
	next := permits{expires: now.Add(b.cfg.Rules.OverloadWindow)}
	if last.denied && now.Sub(last.expires) < b.cfg.Rules.OverloadWindow {
		// By now reports show what all sent in the last term: the mean falls with the idle part.
		next.doublings = min(last.doublings+1, maxPermitDoublings)
	}
	mean := b.meanPermits(now, k) * float64(int64(1)<<next.doublings)
	next.returnLimit = int(mean + b.rng.Float64())
	next.totalLimit = max(next.returnLimit, 1)
	if b.countWarm(now) == 0 {
		next.totalLimit = math.MaxInt // the cold ones are all there is
	}
	k.permits = next
}

// meanPermits is the mean number of permits that this relay draws for a cold backend, its part of what the
// rules allow: one takes connections no faster than fills it over its warm-up, and is full with as many as
// a warm one holds, over the load that this one reports. Where many relays share few connections, only some
// of them see a client of the largest return: these may use the permits of the others.
func (b *Balancer) meanPermits(now time.Time, k *backend) float64 {
	rules := b.cfg.Rules
	if rules.WarmUpTime <= 0 || len(b.ready) == 0 {
		return 0
	}
	held, size := 0.0, 0.0
	for _, other := range b.ready {
		held += float64(len(other.requests))
		size += other.Size
	}
	backends := float64(len(b.ready))
	full := max(held/backends, 1/maxReturnSize) / b.meanWarmLoad(now)
	if size > 0 { // a small one is full with less; the size of a large one may only mean that it is idle
		full *= min(k.Size*backends/size, 1)
	}
	budget := b.warmUpFraction(now, k) * rules.OverloadFactor * float64(rules.OverloadWindow) / float64(rules.WarmUpTime)
	return permitFactor * full * budget * k.weight / fullWeight
}

// filledEarly tells whether a cold backend has as much load as a steady use of its budget would have given it.
// In a burst of new clients each of many relays sees one or none, while the reported load has their sum.
func (b *Balancer) filledEarly(now time.Time, k *backend) bool {
	w, rules := b.warmUpFraction(now, k), b.cfg.Rules
	if w >= 1 {
		return false
	}
	steady := (rules.InitialCapacity + w) / 2 * micros(now.Sub(k.StartTime)) / w // its age, at the mean of its warmth
	most := fillFraction * rules.OverloadFactor * (steady + micros(rules.OverloadWindow)) / micros(rules.WarmUpTime)
	return 1-k.weight/fullWeight > most
}

// mayTakeReconnect tells whether a returning client's request may go to a cold backend.
func (b *Balancer) mayTakeReconnect(now time.Time, k *backend) bool {
	b.renewPermits(now, k)
	if k.permits.used < k.permits.returnLimit {
		return true
	}
	k.permits.denied = true
	return false
}

// withinPermits tells whether this relay may send a backend one more request, whatever its path: to a cold one
// at most one, or as many as it drew permits.
func (b *Balancer) withinPermits(now time.Time, k *backend) bool {
	if b.warmUpFraction(now, k) >= 1 {
		return true
	}
	b.renewPermits(now, k)
	return k.permits.used < k.permits.totalLimit
}

// warmUpFraction is the part of its capacity that a backend must have by now.
func (b *Balancer) warmUpFraction(now time.Time, k *backend) float64 {
	r := b.cfg.Rules
	age := now.Sub(k.StartTime)
	if k.StartTime.IsZero() || age >= r.WarmUpTime {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(max(age, 0))/float64(r.WarmUpTime)
}

// countWarm is the number of warm backends that take new connections.
func (b *Balancer) countWarm(now time.Time) int {
	warm := 0
	for _, k := range b.ready {
		if b.warmUpFraction(now, k) >= 1 {
			warm++
		}
	}
	return warm
}

// meanWarmLoad is the mean load of the warm backends of which a report is known, 1 where there is none.
func (b *Balancer) meanWarmLoad(now time.Time) float64 {
	seen, load := 0.0, 0.0
	for _, k := range b.ready {
		if !k.lastReport.IsZero() && b.warmUpFraction(now, k) >= 1 {
			seen++
			load += 1 - k.weight/fullWeight
		}
	}
	if seen == 0 {
		return 1
	}
	return max(load/seen, minWarmLoad)
}

// mayTakeByRank draws whether a request may go to a backend by its group's rank; a warm one always may. The even
// part of the new connections fills a warm one to the load that is reported; a cold one gets as many times
// that as its warmth allows for, at a part of the fall multiple, at all relays together. Clients that
// return need permits.
func (b *Balancer) mayTakeByRank(now time.Time, r *request, k *backend, load float64) bool {
	w := b.warmUpFraction(now, k)
	if w >= 1 {
		return true
	}
	if r.Reconnect {
		return b.mayTakeReconnect(now, k)
	}
	if b.filledEarly(now, k) {
		return false
	}
	p := w / load * b.cfg.Rules.OverloadFactor * groupColdFraction * k.weight / fullWeight // what it has already counts
	if r.holdCount > 0 {
		p *= retriedFraction
	}
	return b.rng.Float64() < p
}

// grantColdCredits follows an own connection that ended well at a warm backend. Outside groups a cold one gets new
// connections in no other way: it looks emptiest to every relay at once. What ends well was borne by the
// warm ones, and the part that one of them bears, times a cold one's warmth, is within what that may be
// sent, at each relay alone.
func (b *Balancer) grantColdCredits(now time.Time, ended *backend) {
	if b.warmUpFraction(now, ended) < 1 {
		return
	}
	warm := float64(b.countWarm(now))
	for _, k := range b.ready {
		w := b.warmUpFraction(now, k)
		if w < 1 && b.rng.Float64() < w/max(warm, 1)*b.cfg.Rules.OverloadFactor*coldCreditFraction {
			b.coldCredits = append(b.coldCredits, coldCredit{k, now})
		}
	}
}
