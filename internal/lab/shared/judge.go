package shared

import (
	"fmt"
	"time"

	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/limit"
	"ospreyspan/internal/shared/verdict"
)

// judge knows what truly happened.
type judge struct {
	g          *extension
	bad        [targets][]sighting // what anybody saw go badly
	cured      [targets]time.Duration
	falseSince map[string]time.Duration // verdicts without a cause, by process and target
	admissions []time.Duration          // to the soft limit
	peak       int                      // most admissions within a StaleAfter since the use was last within the limit
	excused    time.Duration            // until then ages are not bounded: a clock was set ahead
	err        error
}

type sighting struct {
	at time.Duration
	by string
}

// Counts are what a run saw.
type Counts struct {
	Seeds, Faults, Poisoned, Wasted        int
	Verdicts, FalseLong                    int
	Admitted, Refused                      [2]int // soft, strict
	RefusedWithRoom                        [2]int
	Used, Looks                            [2]int // connections at each look
	Yielded                                int
	MostStrict, MostStrictHeld, MostExcess int
	ExcessOfBound, AgeOfBound              float64 // largest parts of the bounds
}

// Add adds another run's.
func (c *Counts) Add(o Counts) {
	for _, p := range []struct{ to, from *int }{
		{&c.Seeds, &o.Seeds}, {&c.Faults, &o.Faults}, {&c.Poisoned, &o.Poisoned}, {&c.Wasted, &o.Wasted}, {&c.Verdicts, &o.Verdicts},
		{&c.FalseLong, &o.FalseLong}, {&c.Yielded, &o.Yielded},
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

// String is the closing line.
func (c Counts) String() string {
	return fmt.Sprintf("targets in trouble %d, processes poisoned %d; attempts on targets in trouble %d; verdicts %d, oldest evidence %.2f of its bound, "+
		"sound targets condemned for over 2 s: %d; soft limit: admitted %d, refused %d, of them with room left %d, in use %.2f of it, "+
		"most over by %d, largest part of the bound %.2f; strict limit: admitted %d, refused %d, of them with room left %d, in use %.2f of it, "+
		"most in use %d of %d, over by %d, with connections of stopped processes %d, moved when slices ended %d",
		c.Faults, c.Poisoned, c.Wasted, c.Verdicts, c.AgeOfBound, c.FalseLong, c.Admitted[0], c.Refused[0], c.RefusedWithRoom[0], c.part(0, softLimit.Max),
		c.MostExcess, c.ExcessOfBound, c.Admitted[1], c.Refused[1], c.RefusedWithRoom[1], c.part(1, strictLimit.Max), c.MostStrict, strictLimit.Max, max(c.MostStrict-strictLimit.Max, 0), c.MostStrictHeld, c.Yielded)
}

// part is how much of a limit was in use in the mean.
func (c Counts) part(k, most int) float64 {
	return float64(c.Used[k]) / float64(max(c.Looks[k], 1)) / float64(most)
}

func (j *judge) fail(format string, args ...any) {
	if j.err == nil {
		j.err = fmt.Errorf(format, args...)
		j.g.world.Fail(j.err)
	}
}

func (j *judge) saw(t int, by string) {
	j.bad[t] = append(j.bad[t], sighting{j.g.world.Elapsed(), by})
}

// ended notes that a target has been in trouble until now.
func (j *judge) ended(t int) {
	if j.g.truth[t].kind != verdict.Sound {
		j.cured[t] = j.g.world.Elapsed()
	}
}

// ageBound is how old the evidence of a verdict may truly be: verdict.Config.MaxAge since the end of its window,
// the window itself, and what clocks that are 2 % apart make of both.
const ageBound = (3*time.Second + 250*time.Millisecond) * 102 / 100

// verdicts checks what a process holds.
func (j *judge) verdicts(m *member, list []verdict.Finding) {
	now := j.g.world.Elapsed()
	condemned, byZone := 0, make(map[int]int)
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
		condemned++
		byZone[t%len(zones)]++
		j.g.count.Verdicts++
		// The needed witnesses must have seen something bad themselves, and lately: the ages of the last ones, by name.
		last := make(map[string]time.Duration)
		for _, s := range j.bad[t] {
			last[s.by] = s.at
		}
		second, first := time.Duration(-1), time.Duration(-1) // the two latest
		for _, at := range last {
			if at > first {
				first, second = at, first
			} else if at > second {
				second = at
			}
		}
		if second < 0 {
			j.fail("%s condemns %s on the word of %d witnesses, of which %d saw anything", m.name, x.Target, x.Witnesses, len(last))
			return
		}
		age := now - second
		if now < j.excused {
			continue
		}
		j.g.count.AgeOfBound = max(j.g.count.AgeOfBound, float64(age)/float64(ageBound))
		if age > ageBound {
			j.fail("%s condemns %s by evidence that is %v old; the bound is %v", m.name, x.Target, age, ageBound)
			return
		}
	}
	most := verdict.MaxUnhealthy(verdictConfig.MaxFraction, targets/len(zones))
	for z, n := range byZone {
		if n > most {
			j.fail("%s condemns %d targets of zone %s; at most %d may be", m.name, n, zones[z], most)
			return
		}
	}
	if condemned > verdict.MaxUnhealthy(verdictConfig.MaxFraction, targets) {
		j.fail("%s condemns %d of %d targets", m.name, condemned, targets)
	}
	for t := range targets {
		key := fmt.Sprint(m.name, t)
		f := j.g.truth[t]
		sound := f.kind == verdict.Sound && now-j.cured[t] > ageBound+verdictConfig.MaxAge || f.kind != verdict.Sound && f.zone != "" && f.zone != m.zone
		since, was := j.falseSince[key]
		switch {
		case !holds[t] || !sound:
			delete(j.falseSince, key)
		case !was:
			j.falseSince[key] = now
		case since >= 0 && now-since > 2*time.Second:
			j.g.count.FalseLong++
			j.falseSince[key] = -1
		}
	}
}

// use is how many connections stand under a limit, at all processes.
func (j *judge) use(name string) int {
	n := 0
	for _, i := range j.g.order {
		n += len(j.g.members[i].open[name])
	}
	return n
}

func (j *judge) admitted() { j.admissions = append(j.admissions, j.g.world.Elapsed()) }

// merged checks that nobody holds more of what another saw than that one does.
func (j *judge) merged() {
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
			// What its writer has dropped as old may still be held by one that is stopped.
			if own := o.carrier.Store().OwnCounts(x.Target, x.Window); own != (evidence.Counts{}) && own.OK < x.OK || own != (evidence.Counts{}) && own.Bad() < x.Bad() {
				j.fail("%s holds %v of what %s saw of %q in a window, who saw %v", m.name, x.Counts, o.name, x.Target, own)
			}
		})
	}
}

// look checks the limits, and what is merged.
func (j *judge) look() {
	now := j.g.world.Elapsed()
	if now/stepInterval%10 == 0 {
		j.merged()
	}
	within := softConfig.StaleAfter*102/100 + 500*time.Millisecond // a look, a window and what clocks differ
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
	if excess > 0 && now >= j.excused {
		bound := limit.MaxExcess(&softLimit, 1, j.peak)
		j.g.count.MostExcess = max(j.g.count.MostExcess, excess)
		j.g.count.ExcessOfBound = max(j.g.count.ExcessOfBound, float64(excess)/float64(max(bound, 1)))
		if excess > bound {
			j.fail("soft limit: %d over %d; the bound is %d", excess, softLimit.Max, bound)
		}
	}
	// What slices allow by their holders' own clocks never exceeds the limit; who can't look at his clock may hold more until he can.
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
		j.fail("strict limit: %d in use of %d", allowed, strictLimit.Max)
	}
}
