// Probes, load reports, and the weights of the backends that follow from them.

package balance

import (
	"math"
	"slices"
	"time"
)

const (
	weightStep  = 5   // smaller changes of a weight are noise
	fullWeight  = 100 // weight of an idle backend, and of one that has not reported yet
	floorWeight = 1   // keeps weights positive, so that a full backend is still the last resort
)

// probe asks a backend for a report unless its last one is younger than maxAge. The result is
// whether a report is outstanding.
func (b *Balancer) probe(now time.Time, k *backend, maxAge time.Duration) bool {
	if !b.cfg.MayProbe || !k.lastReport.IsZero() && now.Sub(k.lastReport) < maxAge {
		return false
	}
	if !k.probePending {
		k.probePending = true
		b.host.Probe(k.ID)
	}
	return true
}

// applyReport sets the weight of a backend to its idle capacity, 100 less the load in percent,
// unless the weight would change by less than weightStep.
func (b *Balancer) applyReport(k *backend, rep Report) {
	load := rep.Load
	if !(load >= 0) {
		load = rep.CPU
	}
	if !(load >= 0) {
		return // no load is reported: the weight stays
	}
	k.unreported = 0
	k.loadPerConnection = rep.Load / rep.Active
	w := max(fullWeight*(1-min(load, 1)), floorWeight)
	if math.Abs(w-k.weight) >= weightStep {
		k.weight = w
	}
}

// Probed handles the result of a probe. If no answer came, the weight of the backend stays.
func (b *Balancer) Probed(now time.Time, id string, o Outcome, rep Report) {
	k := b.byID[id]
	if k == nil {
		return
	}
	// A probe that was not sent, for want of resources at the host, tells nothing about the
	// backend.
	if k.probePending = false; o != NotSent {
		k.probeFailed = o != OK
	}
	if o == OK {
		// This holds also for a report without a load: placements must not exclude a backend whose
		// load is unknown.
		k.lastReport, k.unreported = now, 0
		b.applyReport(k, rep)
		b.moveOffOverloaded(now, k, rep.Load)
	} else if o == NoConnect {
		b.recordOutcome(now, k, o) // the process is down; discovery learns of that much later
	}
	waiting := b.awaitingReports
	b.awaitingReports = b.awaitingReports[:0]
	for _, r := range waiting {
		if slices.Contains(r.sample, k) {
			r.pendingReports--
		}
		switch {
		case r.answered: // the client left meanwhile
		case r.pendingReports <= 0:
			b.place(now, r)
		default:
			b.awaitingReports = append(b.awaitingReports, r)
		}
	}
}

// ConnectionMeasured handles a measurement on an open connection. Late messages on a connection
// cause a probe of its backend at once.
func (b *Balancer) ConnectionMeasured(now time.Time, id RequestID, metric Metric, level float64) {
	r := b.requests[id]
	if r == nil || !r.established || metric != MetricDelay || now.Sub(r.backend.lastReport) < reportLifetime {
		return
	}
	if c := b.class(r.Class); level*1000 >= micros(c.MessageTarget) {
		b.probe(now, r.backend, sampleReportMaxAge)
	}
}
