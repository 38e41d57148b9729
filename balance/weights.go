// What is known of the backends' load: probes, reports and the weights that follow them.

package balance

import (
	"math"
	"slices"
	"time"
)

const (
	weightStep  = 5   // A of the paper: a smaller change of a weight is noise
	fullWeight  = 100 // W of a backend that joins
	floorWeight = 1   // keeps W positive, so that a full backend is still the last resort
)

// probe asks for a report unless there is one younger than age. It tells whether one is to come.
func (b *Balancer) probe(now time.Time, k *backend, age time.Duration) bool {
	if !b.cfg.MayProbe || !k.lastReport.IsZero() && now.Sub(k.lastReport) < age {
		return false
	}
	if !k.probePending {
		k.probePending = true
		b.host.Probe(k.ID)
	}
	return true
}

// applyReport sets a backend's weight: W = 100 - L, unless it moves by less than the step.
func (b *Balancer) applyReport(k *backend, rep Report) {
	load := rep.Load
	if !(load >= 0) {
		load = rep.CPU
	}
	if !(load >= 0) {
		return // no word on its load: W stays
	}
	k.unreported = 0
	k.loadPerConnection = rep.Load / rep.Active
	w := max(fullWeight*(1-min(load, 1)), floorWeight)
	if math.Abs(w-k.weight) >= weightStep {
		k.weight = w
	}
}

// Probed takes the answer to a probe; where none came, W stays.
func (b *Balancer) Probed(now time.Time, id string, o Outcome, rep Report) {
	k := b.byID[id]
	if k == nil {
		return
	}
	if k.probePending = false; o != NotSent { // a shortage at the host tells nothing of the backend
		k.probeFailed = o != OK
	}
	if o == OK {
		k.lastReport, k.unreported = now, 0 // also if it tells no load: the bar must not shut out what it cannot judge
		b.applyReport(k, rep)
		b.moveOffOverloaded(now, k, rep.Load)
	} else if o == NoConnect {
		b.recordOutcome(now, k, o) // the process is down, which discovery learns much later
	}
	held := b.awaitingReports
	b.awaitingReports = b.awaitingReports[:0]
	for _, r := range held {
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

// ConnectionMeasured takes word on an open connection. Late messages there are a reason to look at its backend at once.
func (b *Balancer) ConnectionMeasured(now time.Time, id RequestID, n Metric, level float64) {
	r := b.requests[id]
	if r == nil || !r.established || n != MetricDelay || now.Sub(r.backend.lastReport) < reportLifetime {
		return
	}
	if c := b.class(r.Class); level*1000 >= micros(c.MessageTarget) {
		b.probe(now, r.backend, sampleReportMaxAge)
	}
}
