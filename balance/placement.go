// Placement of requests: drawing a sample of the backends and choosing one of them.

package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleReportMaxAge is the age up to which a report serves further requests without a new
	// probe.
	sampleReportMaxAge = 200 * time.Millisecond
	// reportLifetime is the time for which decisions rest on one report of a backend.
	reportLifetime = time.Second

	// sampleSize is the number of backends in the sample of a request.
	sampleSize = 3
	// drawsPerBackend is the number of random draws for each backend of a sample. Several are
	// needed to find the eligible backends where these are few.
	drawsPerBackend = 6
	// maxExtraBackends is the most by which a sample grows for a request that was held.
	maxExtraBackends = 2
	// maxReportAgeDoublings is the most doublings of sampleReportMaxAge for a request that was
	// held. Held requests look at backends far more often than others.
	maxReportAgeDoublings = 2

	// groupCandidates is the number of backends to which a group may spill, the same at all relays.
	groupCandidates = 6
	// groupRankFactor multiplies the connection count of a backend that would have to set up the
	// group, for each place after the first in the sample.
	groupRankFactor = 2.0
	// groupSpillMargin is the additional weight that a backend needs if it would have to set up the
	// group, for each place after the first in the sample, with up to fullSpillRelays relays.
	groupSpillMargin = 25.0
	// fullSpillRelays is the number of relays up to which each relay knows which backends hold a
	// group.
	fullSpillRelays = 4.0
	// minSpillFraction is the least part of groupSpillMargin that applies with more than
	// fullSpillRelays relays, since a relay cannot tell then which backends hold a group.
	minSpillFraction = 0.5
	// minPlacementWeight is the weight below which a backend gets no new connection.
	minPlacementWeight = 25.0
	// placementCost is the weight that a placement is assumed to use until the next report.
	placementCost = 2.0
	// maxWorthFactor is the most by which a worth below the mean multiplies the required weight.
	maxWorthFactor = 2.0
	// quotaSlack is the factor by which a tenant may exceed its quota at no disadvantage.
	quotaSlack = 1.5
	// maxQuotaFactor is the most by which an exceeded quota multiplies the required weight.
	maxQuotaFactor = 3.0
	// probeWaitFraction is the part of the set-up target for which a request waits for reports.
	probeWaitFraction = 0.1
	// crossZoneFactor, times the price of crossing zones, is the probability that a draw passes
	// over a backend of another zone.
	crossZoneFactor = 10.0
	// firstAttemptFraction is the part of the set-up target that a first attempt may take. The rest
	// leaves time for another attempt.
	firstAttemptFraction = 0.4
)

// startPlacement draws a sample of the backends for a request and places the request once their
// reports are fresh. Sampling needs few probes, and relays with different samples do not herd to
// the same backend.
func (b *Balancer) startPlacement(now time.Time, r *request) {
	// As in congestion control, the limit of concurrent attempts falls while attempts fail, down to
	// one.
	if float64(b.pendingAttempts) >= b.attemptWindow {
		b.retryLater(now, r)
		return
	}
	r.pendingReports = 0
	if r.sample = r.sample[:0]; r.Group != "" && b.cfg.GroupAffinity {
		b.drawGroupSample(now, r)
	}
	b.drawSample(now, r)
	for _, k := range r.sample {
		if b.probe(now, k, sampleReportMaxAge<<min(r.holdCount, maxReportAgeDoublings)) {
			r.pendingReports++
		}
	}
	if r.pendingReports == 0 {
		b.place(now, r)
		return
	}
	b.awaitingReports = append(b.awaitingReports, r)
	wait := micros(min(b.class(r.Class).SetupTarget, r.deadline.Sub(now))) * probeWaitFraction
	b.setRequestTimer(now, r, fromMicros(wait))
}

// drawSample adds a random sample of the warm backends, and a cold backend for which there is a
// credit.
func (b *Balancer) drawSample(now time.Time, r *request) {
	for added := false; len(b.coldCredits) > 0 && !added; b.coldCredits = b.coldCredits[1:] {
		if credit := b.coldCredits[0]; now.Sub(credit.grantedAt) < b.cfg.Rules.OverloadWindow &&
			credit.backend.State == Ready {
			r.sample = append(r.sample, credit.backend)
			added = true
		}
	}
	// A request that was held found no capacity in a smaller sample.
	want := min(sampleSize+min(r.holdCount, maxExtraBackends), len(b.ready))
	for tries := 0; tries < drawsPerBackend*sampleSize && len(r.sample) < want; tries++ {
		k := b.ready[b.rng.IntN(len(b.ready))]
		skipZone := k.Zone != b.cfg.Zone && b.rng.Float64() < crossZoneFactor*b.cfg.Prices.CrossZone
		if !skipZone && b.warmUpFraction(now, k) >= 1 && !slices.Contains(r.sample, k) {
			r.sample = append(r.sample, k)
		}
	}
	if len(r.sample) == 0 && len(b.ready) > 0 {
		// All backends may be cold. A request may then try one, with the warm-up fraction as
		// probability.
		if k := b.ready[b.rng.IntN(len(b.ready))]; b.rng.Float64() < b.warmUpFraction(now, k) {
			r.sample = append(r.sample, k)
		}
	}
}

// drawGroupSample takes the backends that rank first and second for the request's group. The ranks
// are hashes (rendezvous hashing) and the same at all relays, so that few backends have to set up a
// group. For a request that was held, the second is a random one of the first groupCandidates
// without the first, and a cold backend that takes requests which spill follows.
func (b *Balancer) drawGroupSample(now time.Time, r *request) {
	groupHash, summary := hash(r.Group), b.summarize(now)
	var ranks [groupCandidates]uint64
	for _, k := range b.ready {
		rank := mix(groupHash ^ k.idHash)
		n := len(r.sample)
		if n == groupCandidates && rank <= ranks[n-1] || k.unhealthy(now) ||
			!b.mayTakeByRank(now, r, k, summary) {
			continue
		}
		if n < groupCandidates {
			r.sample = append(r.sample, k)
			n++
		}
		i := n - 1
		for ; i > 0 && ranks[i-1] < rank; i-- {
			ranks[i], r.sample[i] = ranks[i-1], r.sample[i-1]
		}
		ranks[i], r.sample[i] = rank, k
	}
	if n := len(r.sample); n > 1 {
		if r.holdCount > 0 {
			r.sample[1] = r.sample[1+b.rng.IntN(n-1)]
		}
		r.sample = r.sample[:2]
	}
	if k := b.spillBackend(now, r, groupHash, summary); k != nil {
		r.sample = append(r.sample, k)
	}
}

// spillBackend returns the cold backend that ranks first for a group among those that take requests
// which spill and are not in the request's sample yet. It returns nil if there is none.
func (b *Balancer) spillBackend(now time.Time, r *request, groupHash uint64, s fleetSummary) *backend {
	var first *backend
	var firstRank uint64
	for _, k := range b.ready {
		rank := mix(groupHash ^ k.idHash)
		if first != nil && rank <= firstRank || k.unhealthy(now) || slices.Contains(r.sample, k) ||
			!b.mayTakeSpilled(now, r, k, s) {
			continue
		}
		first, firstRank = k, rank
	}
	return first
}

// place sends a request to the backend that pick chooses. It holds the request if there is none,
// and concludes it if no further attempt is allowed.
func (b *Balancer) place(now time.Time, r *request) {
	expired := r.attempts > 0 && !now.Before(r.deadline)
	exhausted := b.cfg.MaxAttempts > 0 && r.attempts >= b.cfg.MaxAttempts || expired
	if exhausted || r.ranOn != nil && b.class(r.Class).Idempotency == NotIdempotent {
		b.conclude(r)
	} else if k := b.pick(now, r); k != nil {
		b.send(now, r, k)
	} else {
		// Discovery may list another backend soon, or a backend may recover.
		r.tried = r.tried[:0]
		b.retryLater(now, r)
	}
}

// send starts the next attempt of a request on a backend.
func (b *Balancer) send(now time.Time, r *request, k *backend) {
	timeout, c := r.deadline.Sub(now), b.class(r.Class)
	if r.attempts == 0 && b.cfg.MaxAttempts != 1 && c.Idempotency != NotIdempotent &&
		b.failureRate < widespreadFailureRate {
		// If the backend accepts the connection and does not answer, there must be time for another
		// attempt within the set-up target.
		timeout = min(timeout, fromMicros(micros(c.SetupTarget)*firstAttemptFraction))
	}
	r.attempts++
	r.sentAt = now
	if b.warmUpFraction(now, k) < 1 {
		k.coldSends = append(k.coldSends, now)
	}
	b.pendingAttempts++
	r.tried = append(r.tried, k)
	b.assign(r, k)
	if now.Sub(k.lastReport) >= probeInterval {
		// Without reports, the cost of earlier placements would exclude the backend for ever.
		k.unreported = 0
	}
	k.unreported++
	b.host.Send(r.ID, k.ID, max(timeout, time.Microsecond))
}

// pick chooses the backend of the request's sample that has the fewest connections of this relay
// per unit of weight. Ties are broken at random. Near saturation another connection degrades those
// that a backend has already: a backend needs a weight of at least minPlacementWeight. If no
// backend qualifies, pick returns nil.
func (b *Balancer) pick(now time.Time, r *request) *backend {
	var best *backend
	var lowest float64
	var candidates []*backend
	ties := 0
	// Unhealthy backends are passed over if the sample has a usable healthy one.
	hasHealthy := slices.ContainsFunc(r.sample, func(k *backend) bool {
		return b.usable(now, r, k) && !k.unhealthy(now)
	})
	spillMargin := groupSpillMargin * min(max(fullSpillRelays/float64(b.cfg.Relays), minSpillFraction), 1)
	required := minPlacementWeight * min(max(b.quotaUsage(r)/quotaSlack, 1), maxQuotaFactor)
	// Requests of less than the mean worth leave the last capacity to the others.
	if w := b.class(r.Class).Worth; w > 0 {
		required *= min(max(math.Sqrt(b.meanWorth/w), 1), maxWorthFactor)
	}
	for i, k := range r.sample {
		if !b.usable(now, r, k) || hasHealthy && k.unhealthy(now) {
			continue
		}
		// The weight includes the connections that were open at the last report, so only later
		// placements count in full. The 1 is the request itself, as in shortest expected delay: it
		// lets weights tell idle backends apart.
		reported := float64(len(k.requests)-k.unreported) / float64(b.cfg.Relays)
		added := 1 + float64(k.unreported)
		count := (added + reported) / k.weight
		if k.Zone != b.cfg.Zone {
			// A backend of this zone is preferred by the price of crossing zones.
			count /= max(1-crossZoneFactor*b.cfg.Prices.CrossZone, 1/crossZoneFactor)
		}
		need := required
		if r.Group != "" && b.cfg.GroupAffinity && !k.hasGroup(r.Group) {
			// The backend would have to set up the group: the later it is in the sample, the more
			// weight it needs.
			need += spillMargin * float64(i)
			count *= math.Pow(groupRankFactor, float64(i))
		}
		// A request that could not be placed here for a while is no demand: it leaves the capacity
		// to others.
		if need <= max(required, k.weight) {
			candidates = append(candidates, k)
		}
		if need+placementCost*float64(k.unreported) > k.weight ||
			b.rng.Float64() > b.admissionProbability(now, k) {
			continue
		}
		switch {
		case best == nil || count < lowest:
			best, lowest, ties = k, count, 1
		case count == lowest:
			if ties++; b.rng.IntN(ties) == 0 {
				best = k
			}
		}
	}
	if best != nil {
		candidates = append(candidates[:0], best)
	}
	// A request that is held would have taken any of these backends with free capacity.
	for _, k := range candidates {
		k.demand, k.demandAt = k.decayedDemand(now)+1, now
	}
	return best
}

// admissionProbability returns the probability with which a request may go to a backend before its
// next report: the number of connections that still fit there over the number to be expected, which
// is the demand of this relay times the number of relays. A value above 1 admits every request.
func (b *Balancer) admissionProbability(now time.Time, k *backend) float64 {
	expected := k.decayedDemand(now) * float64(b.cfg.Relays) * micros(reportLifetime) / micros(probeInterval)
	if !(k.loadPerConnection > 0) || expected <= 0 {
		return 1
	}
	return (k.weight - minPlacementWeight) / (fullWeight * k.loadPerConnection * expected)
}

// quotaUsage returns the connections that a tenant has through this relay over the relay's part of
// the tenant's quota, 0 if there is no quota.
func (b *Balancer) quotaUsage(r *request) float64 {
	if r.Tenant < 0 || r.Tenant >= len(b.cfg.Tenants) || b.cfg.Tenants[r.Tenant].ConnectionQuota <= 0 {
		return 0
	}
	return float64(b.tenantConnections[r.Tenant]) * float64(b.cfg.Relays) /
		b.cfg.Tenants[r.Tenant].ConnectionQuota
}

// usable reports whether a request may go to a backend. A cold backend must have reported its load
// within reportLifetime, if probes are allowed.
func (b *Balancer) usable(now time.Time, r *request, k *backend) bool {
	loadKnown := !b.cfg.MayProbe || now.Sub(k.lastReport) < reportLifetime || b.warmUpFraction(now, k) >= 1
	admits := loadKnown && b.acceptsNew(k) && b.withinPermits(now, k) &&
		(r.Reconnect || !b.filledEarly(now, k))
	return admits && !slices.Contains(r.tried, k) && b.repeatable(now, r, k)
}
