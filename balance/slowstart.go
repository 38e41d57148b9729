package balance

import (
	"math"
	"slices"
	"time"
)

// Slow start: how many requests a cold backend gets. It is overloaded if all relays together send
// it more than Rules.OverloadFactor times what it can do within Rules.OverloadWindow. The clients of
// a group, new ones as well as reconnecting ones, may arrive one at each of many relays before the
// next report, and the rank of their group names one backend for all of them. No relay sees their
// sum. Therefore each relay draws a random number of permits at its first request for a cold
// backend. The permits are valid for Rules.OverloadWindow and bound the sum however many clients
// come.

const (
	// permitFactor multiplies the budget that follows from the settings, which is computed from the
	// slowest warm-up that they allow.
	permitFactor = 1.25
	// spillFactor is the same for requests that spill to a cold backend whatever the rank of their
	// group. Any relay may send these at any time.
	spillFactor = 0.8
	// maxGroupSize is the largest number of clients that come to one backend at a time by the rank
	// of their group, as a multiple of the mean number of connections on a backend.
	maxGroupSize = 2.0
	// allowanceFraction is the part of what a cold backend bears up to which each relay may send one
	// request. The rest is for requests of more than the mean work.
	allowanceFraction = 0.75
	// coldCreditFraction is the part of Rules.OverloadFactor that all relays together aim to send
	// to a cold backend of a service without groups.
	coldCreditFraction = 0.8
	// minWarmLoad is the least mean load that is assumed of the warm backends.
	minWarmLoad = 0.25
)

// permits limit what one relay may send to one cold backend until they expire.
type permits struct {
	expires    time.Time
	rankLimit  int // requests of groups that rank the backend high
	spillLimit int // requests whatever the rank of their group
}

// limit returns the number of requests of any kind that the permits allow.
func (p *permits) limit() int { return max(p.rankLimit, p.spillLimit) }

// recentColdSends returns how many requests this relay has sent to a cold backend within OverloadWindow.
// They count against the permits of two periods, so that the limit holds for every window.
func (b *Balancer) recentColdSends(now time.Time, k *backend) int {
	oldest := now.Add(-b.cfg.Rules.OverloadWindow)
	k.coldSends = slices.DeleteFunc(k.coldSends, func(at time.Time) bool { return at.Before(oldest) })
	return len(k.coldSends)
}

// renewPermits draws new permits for a cold backend if the last ones have expired. Denials do not
// raise the number: the next clients may come all at once.
func (b *Balancer) renewPermits(now time.Time, k *backend, s fleetSummary) {
	if now.Before(k.permits.expires) {
		return
	}
	byRank, spilled := b.meanPermits(now, k, s)
	draw := b.rng.Float64()
	next := permits{
		expires:    now.Add(b.cfg.Rules.OverloadWindow),
		rankLimit:  int(byRank + draw),
		spillLimit: int(spilled + draw),
	}
	if !b.cfg.GroupAffinity {
		next.rankLimit = max(next.rankLimit, 1) // credits bound the sum, see grantColdCredits
	}
	if b.mayEachSendOne(now, k, s) {
		next.rankLimit, next.spillLimit = max(next.rankLimit, 1), max(next.spillLimit, 1)
	}
	k.permits = next
}

// meanPermits returns the mean number of permits that this relay draws for a cold backend, its part
// of what the rules allow. A backend is taken to be full with the mean number of connections on a
// warm one over the mean load of these, and to accept connections no faster than fills it over its
// warm-up. Where many relays share few connections, only some of the relays see a client
// of the largest group that comes at a time: for requests by rank, these may use the permits of the
// others. Any relay may see a request that spills.
func (b *Balancer) meanPermits(now time.Time, k *backend, s fleetSummary) (byRank, spilled float64) {
	budget := b.budgetPerConnection(now, k, s)
	byRank = permitFactor * max(s.meanConnections, 1/maxGroupSize) * budget * k.weight / fullWeight
	spilled = spillFactor * s.meanConnections * budget
	return byRank, spilled
}

// mayEachSendOne reports whether a cold backend bears one request of each relay within
// OverloadWindow, so that no chance is needed to share out what it bears.
func (b *Balancer) mayEachSendOne(now time.Time, k *backend, s fleetSummary) bool {
	relays := float64(max(b.cfg.Relays, 1))
	mean := relays * s.meanConnections * b.budgetPerConnection(now, k, s)
	// The platform lets a backend fall over beyond this, which allows for chance.
	allowance := mean + 3*math.Sqrt(mean) + 3
	if mean >= 30 {
		allowance = mean + 2*math.Sqrt(mean) + 2
	}
	return allowanceFraction*allowance >= relays
}

// budgetPerConnection returns the number of requests that the rules allow a cold backend within
// OverloadWindow for each connection that a warm backend has.
func (b *Balancer) budgetPerConnection(now time.Time, k *backend, s fleetSummary) float64 {
	rules := b.cfg.Rules
	if rules.WarmUpTime <= 0 {
		return 0
	}
	budget := b.warmUpFraction(now, k) * rules.OverloadFactor *
		float64(rules.OverloadWindow) / float64(rules.WarmUpTime) / s.warmLoad
	// A small backend is full with fewer connections. A large size may only mean that a backend is
	// idle.
	if s.meanSize > 0 {
		budget *= min(k.Size/s.meanSize, 1)
	}
	return budget
}

// fleetSummary is what this relay knows of its ready backends as a whole: of the warm ones or, where
// none is warm, of all, unless it remembers a time at which most were warm.
type fleetSummary struct {
	warm int // number of warm backends
	// warmLoad is the mean load of the warm backends that have reported, at least minWarmLoad. It is
	// 1 if none has.
	warmLoad        float64
	meanConnections float64 // of this relay on a backend
	meanSize        float64
}

// summarize returns the summary of the ready backends.
func (b *Balancer) summarize(now time.Time) fleetSummary {
	s := fleetSummary{warmLoad: 1}
	for _, k := range b.ready {
		if b.warmUpFraction(now, k) >= 1 {
			s.warm++
		}
	}
	counted, reported, load := 0.0, 0.0, 0.0
	for _, k := range b.ready {
		warm := b.warmUpFraction(now, k) >= 1
		if s.warm > 0 && !warm {
			continue
		}
		counted++
		s.meanConnections += float64(len(k.requests))
		s.meanSize += k.Size
		if warm && !k.lastReport.IsZero() {
			reported++
			load += 1 - k.weight/fullWeight
		}
	}
	if counted > 0 {
		s.meanConnections /= counted
		s.meanSize /= counted
	}
	if reported > 0 {
		s.warmLoad = max(load/reported, minWarmLoad)
	}
	if 2*s.warm >= len(b.ready) && reported > 0 {
		b.lastWarmSummary = s
	} else if s.warm == 0 && b.lastWarmSummary.warm > 0 {
		s = b.lastWarmSummary // the connections are gone with the backends that bore them
		s.warm = 0
	}
	return s
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
	maxLoad := rules.OverloadFactor * (steadyAge + micros(rules.OverloadWindow)) /
		micros(rules.WarmUpTime)
	return 1-k.weight/fullWeight > maxLoad
}

// withinPermits reports whether this relay may send a backend one more request of any kind.
func (b *Balancer) withinPermits(now time.Time, k *backend) bool {
	if b.warmUpFraction(now, k) >= 1 {
		return true
	}
	if !now.Before(k.permits.expires) {
		b.renewPermits(now, k, b.summarize(now))
	}
	return b.recentColdSends(now, k) < k.permits.limit()
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

// mayTakeByRank decides whether a request may go to a backend by the rank of its group. A warm
// backend always takes it: an even share of the new connections fills a warm backend to the
// reported load. A cold one takes it while this relay has a permit left, for a new client only if it
// is not filled early.
func (b *Balancer) mayTakeByRank(now time.Time, r *request, k *backend, s fleetSummary) bool {
	if b.warmUpFraction(now, k) >= 1 {
		return true
	}
	if !r.Reconnect && b.filledEarly(now, k) {
		return false
	}
	b.renewPermits(now, k, s)
	return b.recentColdSends(now, k) < k.permits.rankLimit
}

// mayTakeSpilled reports whether a request may go to a cold backend whatever the rank of its group.
func (b *Balancer) mayTakeSpilled(now time.Time, r *request, k *backend, s fleetSummary) bool {
	if b.warmUpFraction(now, k) >= 1 || !r.Reconnect && b.filledEarly(now, k) {
		return false
	}
	b.renewPermits(now, k, s)
	return b.recentColdSends(now, k) < k.permits.spillLimit
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
	warm := float64(b.summarize(now).warm)
	for _, k := range b.ready {
		w := b.warmUpFraction(now, k)
		if w < 1 && b.rng.Float64() < w/max(warm, 1)*b.cfg.Rules.OverloadFactor*coldCreditFraction {
			b.coldCredits = append(b.coldCredits, coldCredit{k, now})
		}
	}
}
