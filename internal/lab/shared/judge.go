package shared

import (
	"fmt"
	"time"

	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/limit"
	"ospreyspan/internal/shared/verdict"
)

// judge knows the true state of targets and connections and checks the processes against it.
type judge struct {
	g            *extension
	bad          [targets][]sighting    // bad outcomes that any process observed, by target
	lastFaultEnd [targets]time.Duration // end of the latest fault of each target
	// falseSince holds the start of each verdict on a target without a fault.
	falseSince map[string]time.Duration // since when, by process and target; -1: counted
	admissions []time.Duration          // recent ones under the soft limit
	// peak is the largest number of admissions within a StaleAfter since the use was last within
	// the limit.
	peak               int
	agesUnboundedUntil time.Duration // set when a clock was set ahead
	err                error
}

// sighting is a bad outcome that a process observed: when, and the name of the process.
type sighting struct {
	at time.Duration
	by string
}

// Counts holds what the runs observed.
type Counts struct {
	Seeds, Faults, FalseReporters, WastedAttempts int
	Verdicts, LongFalseVerdicts                   int
	Admitted, Refused                             [2]int // soft, strict
	RefusedWithRoom                               [2]int // while below the limit
	Used, Looks                                   [2]int // sum of connections, number of checks
	Yielded                                       int
	MostStrict, MostStrictHeld, MostExcess        int
	ExcessOfBound, AgeOfBound                     float64 // largest, as parts of the bounds
}

// Add adds the counts of another run.
func (c *Counts) Add(o Counts) {
	for _, p := range []struct{ to, from *int }{
		{&c.Seeds, &o.Seeds}, {&c.Faults, &o.Faults}, {&c.FalseReporters, &o.FalseReporters}, {&c.WastedAttempts, &o.WastedAttempts}, {&c.Verdicts, &o.Verdicts},
		{&c.LongFalseVerdicts, &o.LongFalseVerdicts}, {&c.Yielded, &o.Yielded},
	} {
		*p.to += *p.from
	}
	for k := range 2 {
		c.Admitted[k] += o.Admitted[k]
		c.Refused[k] += o.Refused[k]
		c.RefusedWithRoom[k] += o.RefusedWithRoom[k]
		c.Used[k] += o.Used[k]
		c.Looks[k] += o.Looks[k]
	}
	c.MostStrict, c.MostStrictHeld, c.MostExcess = max(c.MostStrict, o.MostStrict), max(c.MostStrictHeld, o.MostStrictHeld), max(c.MostExcess, o.MostExcess)
	c.ExcessOfBound, c.AgeOfBound = max(c.ExcessOfBound, o.ExcessOfBound), max(c.AgeOfBound, o.AgeOfBound)
}

// String returns the closing line of the runs that are counted.
func (c Counts) String() string {
	return fmt.Sprintf("targets in trouble %d, processes poisoned %d; attempts on targets in trouble %d; verdicts %d, oldest evidence %.2f of its bound, "+
		"sound targets condemned for over 2 s: %d; soft limit: admitted %d, refused %d, of them with room left %d, in use %.2f of it, "+
		"most over by %d, largest part of the bound %.2f; strict limit: admitted %d, refused %d, of them with room left %d, in use %.2f of it, "+
		"most in use %d of %d, over by %d, with connections of stopped processes %d, moved when slices ended %d",
		c.Faults, c.FalseReporters, c.WastedAttempts, c.Verdicts, c.AgeOfBound, c.LongFalseVerdicts, c.Admitted[0], c.Refused[0], c.RefusedWithRoom[0], c.meanUse(0, softLimit.Max),
		c.MostExcess, c.ExcessOfBound, c.Admitted[1], c.Refused[1], c.RefusedWithRoom[1], c.meanUse(1, strictLimit.Max), c.MostStrict, strictLimit.Max, max(c.MostStrict-strictLimit.Max, 0), c.MostStrictHeld, c.Yielded)
}

// meanUse returns the mean fraction of a limit that was in use; k is 0 for the soft limit and 1 for
// the strict one.
func (c Counts) meanUse(k, most int) float64 {
	return float64(c.Used[k]) / float64(max(c.Looks[k], 1)) / float64(most)
}

// fail fails the run with its first violation.
func (j *judge) fail(format string, args ...any) {
	if j.err == nil {
		j.err = fmt.Errorf(format, args...)
		j.g.world.Fail(j.err)
	}
}

// badOutcome records that a process observed a bad outcome of target t.
func (j *judge) badOutcome(t int, by string) {
	j.bad[t] = append(j.bad[t], sighting{j.g.world.Elapsed(), by})
}

// faultEnded records that the fault of target t, if there is one, ends now.
func (j *judge) faultEnded(t int) {
	if j.g.truth[t].kind != verdict.Sound {
		j.lastFaultEnd[t] = j.g.world.Elapsed()
	}
}

// ageBound is the maximum true age of the evidence of a verdict: verdict.Config.MaxEvidenceAge
// since the end of its window, plus the length of the window, plus 2 % for the difference of
// clocks.
const ageBound = (3*time.Second + 250*time.Millisecond) * 102 / 100

// checkVerdicts checks the verdicts of a process.
func (j *judge) checkVerdicts(m *member, list []verdict.Finding) {
	now := j.g.world.Elapsed()
	unhealthy, byZone := 0, make(map[int]int)
	if j.falseSince == nil {
		j.falseSince = make(map[string]time.Duration)
	}
	holds := make(map[int]bool)
	for _, x := range list {
		var t int
		if _, err := fmt.Sscanf(x.Target, "t%d", &t); err != nil || !x.Unhealthy() {
			continue
		}
		holds[t] = true
		unhealthy++
		byZone[t%len(zones)]++
		j.g.count.Verdicts++
		// The required witnesses must have observed bad outcomes themselves, and recently: last
		// holds the time of the latest one of each witness.
		last := make(map[string]time.Duration)
		for _, s := range j.bad[t] {
			last[s.by] = s.at
		}
		second, first := time.Duration(-1), time.Duration(-1) // times of the two latest witnesses
		for _, at := range last {
			if at > first {
				first, second = at, first
			} else if at > second {
				second = at
			}
		}
		if second < 0 {
			j.fail("%s judges %s unhealthy with %d witnesses, of which %d observed a bad outcome", m.name, x.Target, x.Witnesses, len(last))
			return
		}
		age := now - second
		if now < j.agesUnboundedUntil {
			continue
		}
		j.g.count.AgeOfBound = max(j.g.count.AgeOfBound, float64(age)/float64(ageBound))
		if age > ageBound {
			j.fail("%s judges %s unhealthy by evidence that is %v old; the bound is %v", m.name, x.Target, age, ageBound)
			return
		}
	}
	most := verdict.MaxUnhealthy(verdictConfig.MaxFraction, targets/len(zones))
	for z, n := range byZone {
		if n > most {
			j.fail("%s judges %d targets of zone %s unhealthy; the maximum is %d", m.name, n, zones[z], most)
			return
		}
	}
	if unhealthy > verdict.MaxUnhealthy(verdictConfig.MaxFraction, targets) {
		j.fail("%s judges too many targets unhealthy: %d of %d", m.name, unhealthy, targets)
	}
	for t := range targets {
		key := fmt.Sprint(m.name, t)
		f := j.g.truth[t]
		sound := f.kind == verdict.Sound && now-j.lastFaultEnd[t] > ageBound+verdictConfig.MaxEvidenceAge || f.kind != verdict.Sound && f.zone != "" && f.zone != m.zone
		since, was := j.falseSince[key]
		switch {
		case !holds[t] || !sound:
			delete(j.falseSince, key)
		case !was:
			j.falseSince[key] = now
		case since >= 0 && now-since > 2*time.Second:
			j.g.count.LongFalseVerdicts++
			j.falseSince[key] = -1
		}
	}
}

// use returns the number of connections of all processes that count against a limit.
func (j *judge) use(name string) int {
	n := 0
	for _, i := range j.g.order {
		n += len(j.g.members[i].open[name])
	}
	return n
}

// recordAdmission records an admission under the soft limit.
func (j *judge) recordAdmission() { j.admissions = append(j.admissions, j.g.world.Elapsed()) }

// checkMerged checks that no process holds higher counts of what another process observed than the
// other process itself.
func (j *judge) checkMerged() {
	for _, i := range j.g.order {
		m := j.g.members[i]
		if m.node == nil {
			continue
		}
		by := make(map[uint64]*member)
		for _, k := range j.g.order {
			if o := j.g.members[k]; o.node != nil && o != m {
				by[o.carrier.Store().Self().Session] = o
			}
		}
		m.carrier.Store().Each(m.loop.Now(), 2*time.Second, func(x evidence.Observation) {
			o := by[x.Session]
			if o == nil {
				return
			}
			// A stalled process may still hold cells that their writer has dropped as too old.
			if own := o.carrier.Store().OwnCounts(x.Target, x.Window); own != (evidence.Counts{}) && own.OK < x.OK || own != (evidence.Counts{}) && own.Bad() < x.Bad() {
				j.fail("%s holds higher counts, %v, than their writer %s of target %q in a window, which counted %v", m.name, x.Counts, o.name, x.Target, own)
			}
		})
	}
}

// check checks the limits and the merged evidence.
func (j *judge) check() {
	now := j.g.world.Elapsed()
	if now/stepInterval%10 == 0 {
		j.checkMerged()
	}
	// 2 % for the difference of clocks, 500 ms for an update interval and a window.
	within := softConfig.StaleAfter*102/100 + 500*time.Millisecond
	for len(j.admissions) > 0 && now-j.admissions[0] > within {
		j.admissions = j.admissions[1:]
	}
	for k, name := range []string{softLimit.Name, strictLimit.Name} {
		j.g.count.Used[k] += j.use(name)
		j.g.count.Looks[k]++
	}
	excess := j.use(softLimit.Name) - softLimit.Max
	if excess <= 0 {
		j.peak = 0
	}
	j.peak = max(j.peak, len(j.admissions))
	if excess > 0 && now >= j.agesUnboundedUntil {
		bound := limit.MaxExcess(&softLimit, 1, j.peak)
		j.g.count.MostExcess = max(j.g.count.MostExcess, excess)
		j.g.count.ExcessOfBound = max(j.g.count.ExcessOfBound, float64(excess)/float64(max(bound, 1)))
		if excess > bound {
			j.fail("soft limit: %d connections over the maximum of %d; the bound is %d", excess, softLimit.Max, bound)
		}
	}
	// The number of connections that slices allow by the clocks of their holders never exceeds the
	// limit. A process that is stalled may hold more until it reads its clock again.
	allowed, held := 0, 0
	for _, i := range j.g.order {
		m := j.g.members[i]
		if m.node == nil || !m.host.Running() {
			continue
		}
		use, room := len(m.open[strictLimit.Name]), m.capacity(m.host.ClockNow())
		allowed += min(use, room)
		held += use
	}
	j.g.count.MostStrict = max(j.g.count.MostStrict, allowed)
	j.g.count.MostStrictHeld = max(j.g.count.MostStrictHeld, held)
	if allowed > strictLimit.Max {
		j.fail("strict limit: %d connections in use, maximum %d", allowed, strictLimit.Max)
	}
}
