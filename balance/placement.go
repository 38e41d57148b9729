// Which backend a request goes to: its sample of the backends, and the choice among them.

package balance

import (
	"math"
	"slices"
	"time"
)

const (
	sampleReportMaxAge = 200 * time.Millisecond // a scan younger than this serves further requests
	reportLifetime     = time.Second            // how long one report is all that is known of a backend

	sampleSize            = 3    // backends of a sampled scan
	drawsPerBackend       = 6    // draws for each backend of a sample, so that few ready ones are found
	maxExtraBackends      = 2    // backends that are looked at besides for requests that were held
	maxReportAgeDoublings = 2    // doublings of that age for requests that were held: their looks are most by far
	groupCandidates       = 6    // backends on which a group may spill at all relays alike
	groupRankFactor       = 2.0  // a backend that would pay for a group anew needs this many times the weight
	groupSpillMargin      = 25.0 // and this many more idle points, for each place after the first...
	fullSpillRelays       = 4.0  // ...where so few relays share the backends that each knows who holds the group...
	minSpillFraction      = 0.5  // ...and this part of them where it can't tell
	minPlacementWeight    = 25.0 // idle points below which a backend takes no new connection
	placementCost         = 2.0  // idle points that a placement takes until a report tells
	maxWorthFactor        = 2.0  // most that the bar rises by a worth below the mean
	quotaSlack            = 1.5  // a tenant's share is passed over until it is exceeded by this factor
	maxQuotaFactor        = 3.0  // most idle points asked of a tenant beyond its share, in shedWeights
	probeWaitFraction     = 0.1  // part of the aim for which a request waits for a scan
	crossZoneFactor       = 10.0 // passes over a backend of another zone in a draw, for each unit of its price
	firstAttemptFraction  = 0.4  // part of the aim that a first attempt may take: there must be time for another
)

// startPlacement draws a request's sample of the backends and places it once their reports are fresh. Few probes are
// paid for, and relays that look at different samples do not herd to the same backend.
func (b *Balancer) startPlacement(now time.Time, r *request) {
	// As in congestion control, fewer are out at a time while attempts fail, down to one.
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

// drawSample takes a random sample of the warm backends, and a cold one that was offered a connection.
func (b *Balancer) drawSample(now time.Time, r *request) {
	for added := false; len(b.coldCredits) > 0 && !added; b.coldCredits = b.coldCredits[1:] {
		if o := b.coldCredits[0]; now.Sub(o.grantedAt) < b.cfg.Rules.OverloadWindow && o.backend.State == Ready {
			r.sample = append(r.sample, o.backend)
			added = true
		}
	}
	want := min(sampleSize+min(r.holdCount, maxExtraBackends), len(b.ready)) // one that was held found no room in a few
	for tries := 0; tries < drawsPerBackend*sampleSize && len(r.sample) < want; tries++ {
		k := b.ready[b.rng.IntN(len(b.ready))]
		far := k.Zone != b.cfg.Zone && b.rng.Float64() < crossZoneFactor*b.cfg.Prices.CrossZone
		if !far && b.warmUpFraction(now, k) >= 1 && !slices.Contains(r.sample, k) {
			r.sample = append(r.sample, k)
		}
	}
	if len(r.sample) == 0 && len(b.ready) > 0 {
		// Perhaps all are cold: each request may then try one, as often as that one is warm.
		if k := b.ready[b.rng.IntN(len(b.ready))]; b.rng.Float64() < b.warmUpFraction(now, k) {
			r.sample = append(r.sample, k)
		}
	}
}

// drawGroupSample takes the backends that rank first and second for the request's group by a hash, alike at all
// relays, so that few pay for the group; for a request that was held, another of the first groupRanks.
func (b *Balancer) drawGroupSample(now time.Time, r *request) {
	h, load := hash(r.Group), b.meanWarmLoad(now)
	var ranks [groupCandidates]uint64
	for _, k := range b.ready {
		rank := mix(h ^ k.idHash)
		n := len(r.sample)
		if n == groupCandidates && rank <= ranks[n-1] || k.unhealthy(now) || !b.mayTakeByRank(now, r, k, load) {
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
}

// place sends a request to the backend with the fewest own connections for its weight.
func (b *Balancer) place(now time.Time, r *request) {
	late := r.attempts > 0 && !now.Before(r.deadline)
	spent := b.cfg.MaxAttempts > 0 && r.attempts >= b.cfg.MaxAttempts || late
	if spent || r.ranOn != nil && b.class(r.Class).Idempotency == NotIdempotent {
		b.conclude(r)
	} else if k := b.pick(now, r); k != nil {
		b.send(now, r, k)
	} else {
		// Discovery may name a backend soon, or one may recover.
		r.tried = r.tried[:0]
		b.retryLater(now, r)
	}
}

func (b *Balancer) send(now time.Time, r *request, k *backend) {
	timeout, c := r.deadline.Sub(now), b.class(r.Class)
	if r.attempts == 0 && b.cfg.MaxAttempts != 1 && c.Idempotency != NotIdempotent && b.failureRate < widespreadFailureRate {
		// A backend that accepts and stays silent must leave time for another try inside the aim.
		timeout = min(timeout, fromMicros(micros(c.SetupTarget)*firstAttemptFraction))
	}
	r.attempts++
	r.sentAt = now
	k.permits.used++
	b.pendingAttempts++
	r.tried = append(r.tried, k)
	b.assign(r, k)
	if now.Sub(k.lastReport) >= probeInterval {
		k.unreported = 0 // without reports the bar would shut out for ever what this relay has used
	}
	k.unreported++
	b.host.Send(r.ID, k.ID, max(timeout, time.Microsecond))
}

// pick is the rule of the design: least own connections for each unit of weight, ties at random, among the
// request's sample. Near saturation one more spoils those that a backend has: none is placed that would
// find less than shedWeight idle points.
func (b *Balancer) pick(now time.Time, r *request) *backend {
	var best *backend
	var least float64
	var wanted []*backend
	ties := 0
	// Those that fail or leave probes unanswered are passed over wherever there is another.
	other := slices.ContainsFunc(r.sample, func(k *backend) bool {
		return b.usable(now, r, k) && !k.unhealthy(now)
	})
	spill := groupSpillMargin * min(max(fullSpillRelays/float64(b.cfg.Relays), minSpillFraction), 1)
	bar := minPlacementWeight * min(max(b.quotaUsage(r)/quotaSlack, 1), maxQuotaFactor)
	if w := b.class(r.Class).Worth; w > 0 { // what is worth less than most leaves the last room to them
		bar *= min(max(math.Sqrt(b.meanWorth/w), 1), maxWorthFactor)
	}
	for i, k := range r.sample {
		if !b.usable(now, r, k) || other && k.unhealthy(now) {
			continue
		}
		// What it held when it was last seen is in its weight: only what went there since counts in full. The
		// one added, as in the shortest expected delay, lets weights tell idle backends apart.
		old := float64(len(k.requests)-k.unreported) / float64(b.cfg.Relays)
		added := 1 + float64(k.unreported)
		count := (added + old) / k.weight
		if k.Zone != b.cfg.Zone {
			count /= max(1-crossZoneFactor*b.cfg.Prices.CrossZone, 1/crossZoneFactor) // local work is worth its price
		}
		need := bar
		if r.Group != "" && b.cfg.GroupAffinity && !k.hasGroup(r.Group) {
			// It would pay for the group anew: later in the sample, only with ever more room.
			need += spill * float64(i)
			count *= math.Pow(groupRankFactor, float64(i))
		}
		if need <= max(bar, k.weight) { // else it would not come for a while: that room is another's
			wanted = append(wanted, k)
		}
		if need+placementCost*float64(k.unreported) > k.weight || b.rng.Float64() > b.admissionProbability(now, k) {
			continue
		}
		switch {
		case best == nil || count < least:
			best, least, ties = k, count, 1
		case count == least:
			if ties++; b.rng.IntN(ties) == 0 {
				best = k
			}
		}
	}
	if best != nil {
		wanted = append(wanted[:0], best)
	}
	for _, k := range wanted { // one that is held would have taken whichever had room
		k.demand, k.demandAt = k.decayedDemand(now)+1, now
	}
	return best
}

// admissionProbability is the part of the requests that want a backend which may go there before its next report: own
// wants times the relays tell how many to expect, its head admissionProbability how many it bears.
func (b *Balancer) admissionProbability(now time.Time, k *backend) float64 {
	wants := k.decayedDemand(now) * float64(b.cfg.Relays) * micros(reportLifetime) / micros(probeInterval)
	if !(k.loadPerConnection > 0) || wants <= 0 {
		return 1
	}
	return (k.weight - minPlacementWeight) / (fullWeight * k.loadPerConnection * wants)
}

// quotaUsage is a tenant's own connections here over this relay's part of its share.
func (b *Balancer) quotaUsage(r *request) float64 {
	if r.Tenant < 0 || r.Tenant >= len(b.cfg.Tenants) || b.cfg.Tenants[r.Tenant].ConnectionQuota <= 0 {
		return 0
	}
	return float64(b.tenantConnections[r.Tenant]) * float64(b.cfg.Relays) / b.cfg.Tenants[r.Tenant].ConnectionQuota
}

// usable tells whether a request may go to a backend. A cold one must have told its load just now.
func (b *Balancer) usable(now time.Time, r *request, k *backend) bool {
	told := !b.cfg.MayProbe || now.Sub(k.lastReport) < reportLifetime || b.warmUpFraction(now, k) >= 1
	takes := told && b.acceptsNew(k) && b.withinPermits(now, k) && (r.Reconnect || !b.filledEarly(now, k))
	return takes && !slices.Contains(r.tried, k) && b.repeatable(now, r, k)
}
