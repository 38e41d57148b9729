package balance

import (
	"math"
	"time"
)

// Slow start: how many requests a cold backend gets. It is overloaded if all relays together send
// it more than Rules.OverloadFactor times what it can do within Rules.OverloadWindow. Reconnecting
// clients arrive one at each of many relays before the next report, so that no relay sees their
// sum. Therefore each relay draws a random number of permits at its first request for a cold
// backend. The permits are valid for Rules.OverloadWindow and bound the sum however many clients
// come.

const (
	// permitFactor multiplies the budget that follows from the settings, which is computed from the
	// slowest warm-up that they allow.
	permitFactor = 1.5
	// maxReconnectSize is the largest number of clients that reconnect to one backend at a time, as
	// a multiple of the mean number of connections on a backend.
	maxReconnectSize = 2.0
	// maxPermitDoublings is the most doublings of the permits while reconnecting clients are denied
	// at a backend that stays idle.
	maxPermitDoublings = 3
	// coldCreditFraction is the part of Rules.OverloadFactor that all relays together aim to send
	// to a cold backend.
	coldCreditFraction = 0.8
	// groupColdFraction is the part of Rules.OverloadFactor for placement by the ranks of groups. A
	// large group brings several times the even share of a backend.
	groupColdFraction = 0.6
	// retriedFraction multiplies the probability of placement on a cold backend by the rank of a
	// group, for requests that were held: they come in waves.
	retriedFraction = 0.7
	// minWarmLoad is the least mean load that is assumed of the warm backends.
	minWarmLoad = 0.25
	// fillFraction is the part of Rules.OverloadFactor up to which new clients fill a cold backend;
	// see filledEarly.
	fillFraction = 0.5
)

// permits limit what one relay may send to one cold backend until they expire.
type permits struct {
	expires        time.Time
	reconnectLimit int  // requests of reconnecting clients
	totalLimit     int  // requests of any kind
	used           int  // requests of any kind that were sent
	denied         bool // a reconnecting client found none left
	doublings      int  // of the mean number, because of denials in the periods before
}

// renewPermits draws new permits for a cold backend if the last ones have expired.
func (b *Balancer) renewPermits(now time.Time, k *backend) {
	last := k.permits
	if now.Before(last.expires) {
		return
	}
	next := permits{expires: now.Add(b.cfg.Rules.OverloadWindow)}
	if last.denied && now.Sub(last.expires) < b.cfg.Rules.OverloadWindow {
		// By now the reports include what all relays sent in the last period, and the mean number
		// of permits falls with the weight.
		next.doublings = min(last.doublings+1, maxPermitDoublings)
	}
	mean := b.meanPermits(now, k) * float64(int64(1)<<next.doublings)
	next.reconnectLimit = int(mean + b.rng.Float64())
	next.totalLimit = max(next.reconnectLimit, 1)
	if b.countWarm(now) == 0 {
		next.totalLimit = math.MaxInt // there are only cold backends
	}
	k.permits = next
}

// meanPermits returns the mean number of permits that this relay draws for a cold backend, its part
// of what the rules allow. A backend is taken to be full with the mean number of connections on a
// backend over the mean load of the warm ones, and to accept connections no faster than fills it
// over its warm-up. Where many relays share few connections, only some of the relays see a client
// of the largest mass reconnect: these may use the permits of the others.
func (b *Balancer) meanPermits(now time.Time, k *backend) float64 {
	rules := b.cfg.Rules
	if rules.WarmUpTime <= 0 || len(b.ready) == 0 {
		return 0
	}
	connections, size := 0.0, 0.0
	for _, other := range b.ready {
		connections += float64(len(other.requests))
		size += other.Size
	}
	backends := float64(len(b.ready))
	fullConnections := max(connections/backends, 1/maxReconnectSize) / b.meanWarmLoad(now)
	// A small backend is full with fewer connections. A large size may only mean that a backend is
	// idle.
	if size > 0 {
		fullConnections *= min(k.Size*backends/size, 1)
	}
	budget := b.warmUpFraction(now, k) * rules.OverloadFactor *
		float64(rules.OverloadWindow) / float64(rules.WarmUpTime)
	return permitFactor * fullConnections * budget * k.weight / fullWeight
}

// filledEarly reports whether a cold backend has more load than a steady use of its budget would
// have given it by now. In a burst of new clients each of many relays sees one or none, but the
// reported load includes them all.
func (b *Balancer) filledEarly(now time.Time, k *backend) bool {
	w, rules := b.warmUpFraction(now, k), b.cfg.Rules
	if w >= 1 {
		return false
	}
	// The age of the backend, scaled by its mean capacity over that age relative to its present
	// capacity.
	steadyAge := (rules.InitialCapacity + w) / 2 * micros(now.Sub(k.StartTime)) / w
	maxLoad := fillFraction * rules.OverloadFactor * (steadyAge + micros(rules.OverloadWindow)) /
		micros(rules.WarmUpTime)
	return 1-k.weight/fullWeight > maxLoad
}

// mayTakeReconnect reports whether a request of a reconnecting client may go to a cold backend.
func (b *Balancer) mayTakeReconnect(now time.Time, k *backend) bool {
	b.renewPermits(now, k)
	if k.permits.used < k.permits.reconnectLimit {
		return true
	}
	k.permits.denied = true
	return false
}

// withinPermits reports whether this relay may send a backend one more request of any kind. A cold
// backend gets one per period, or as many as the relay drew permits.
func (b *Balancer) withinPermits(now time.Time, k *backend) bool {
	if b.warmUpFraction(now, k) >= 1 {
		return true
	}
	b.renewPermits(now, k)
	return k.permits.used < k.permits.totalLimit
}

// warmUpFraction returns the least part of its full capacity that a backend has by now.
func (b *Balancer) warmUpFraction(now time.Time, k *backend) float64 {
	r := b.cfg.Rules
	age := now.Sub(k.StartTime)
	if k.StartTime.IsZero() || age >= r.WarmUpTime {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(max(age, 0))/float64(r.WarmUpTime)
}

// countWarm returns the number of warm backends that accept new connections.
func (b *Balancer) countWarm(now time.Time) int {
	warm := 0
	for _, k := range b.ready {
		if b.warmUpFraction(now, k) >= 1 {
			warm++
		}
	}
	return warm
}

// meanWarmLoad returns the mean load of the warm backends that have reported, at least minWarmLoad.
// It returns 1 if none has.
func (b *Balancer) meanWarmLoad(now time.Time) float64 {
	reported, load := 0.0, 0.0
	for _, k := range b.ready {
		if !k.lastReport.IsZero() && b.warmUpFraction(now, k) >= 1 {
			reported++
			load += 1 - k.weight/fullWeight
		}
	}
	if reported == 0 {
		return 1
	}
	return max(load/reported, minWarmLoad)
}

// mayTakeByRank decides at random whether a request may go to a backend by the rank of its group. A
// warm backend always takes it: an even share of the new connections fills a warm backend to the
// reported load. A cold one gets a multiple of that share from all relays together, which follows
// from its warm-up fraction and from groupColdFraction of Rules.OverloadFactor. Reconnecting
// clients need permits.
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
	// The weight accounts for the load that the backend has already.
	p := w / load * b.cfg.Rules.OverloadFactor * groupColdFraction * k.weight / fullWeight
	if r.holdCount > 0 {
		p *= retriedFraction
	}
	return b.rng.Float64() < p
}

// grantColdCredits grants credits for cold backends at random after a connection of this relay
// ended well on a warm backend. Without groups a cold backend gets new connections in no other way,
// since it would look the most idle to all relays at the same time. The connections that end well
// are what the warm backends can bear. The part that one of them bears, times the warm-up fraction
// of a cold backend, is within what that backend may be sent, and each relay can keep to that on
// its own.
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
