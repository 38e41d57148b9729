// Package verdict judges egress targets by what all processes saw of them. A verdict is a function of the merged evidence and
// of who asks, so that equal evidence is an equal verdict everywhere. It is pure: there is no clock, I/O, draw or map order.
//
// The rules, each of which a planted mistake breaks (see internal/lab/shared):
//
//   - No single witness condemns. Witnesses are counted by name, so that two lives of a process are one, and what one says
//     counts once, however often it says it.
//   - A witness that accuses more targets than it speaks well of accuses itself: its word against a target does not count.
//   - Those in the viewer's zone go first: a target that only another zone can't reach is sound here.
//   - At most a part of a zone's targets, and of all, are condemned at once: the worst first.
//   - Evidence older than Config.Fresh condemns nobody; it makes a target that was condemned Returning, until Config.Forget.
package verdict

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreyspan/internal/shared/evidence"
)

// Verdict is what the fleet holds of a target.
type Verdict uint8

// The verdicts.
const (
	Sound     Verdict = iota
	Slow              // it answers, but too late
	Failing           // it answers with errors, or breaks connections
	Silent            // it gives no sign
	Returning         // it was one of these, and nobody has tried since
)

func (v Verdict) String() string {
	return [...]string{"sound", "slow", "failing", "silent", "returning"}[min(v, Returning)]
}

// Unhealthy tells whether new work should go elsewhere.
func (v Verdict) Unhealthy() bool { return v == Slow || v == Failing || v == Silent }

// Config has the figures on which all processes must agree.
type Config struct {
	MaxAge       time.Duration // evidence of at most this age condemns. Above 0
	ForgetAfter  time.Duration // until then a target that was condemned is Returning. Above Fresh
	MinWitnesses int           // different ones that must accuse. At least 2
	MaxFraction  float64       // of a zone's targets, and of all, that may be condemned at once; above 0, at most 1
}

// DefaultConfig has the figures that serve.
func DefaultConfig() Config {
	return Config{MaxAge: 6 * time.Second, ForgetAfter: 20 * time.Second, MinWitnesses: 2, MaxFraction: 0.34}
}

// Flaws are mistakes to be planted in tests. The zero value has none.
type Flaws struct {
	OneWitness bool // one is enough
	NoAge      bool // evidence of any age condemns
}

// Target is one that the viewer's route table names.
type Target struct{ ID, Zone string }

// Finding is a verdict that is not Sound, with what it rests on.
type Finding struct {
	Target string
	Verdict
	Age       time.Duration // of the last of the accusations that are needed; what is known to be older makes no verdict
	Witnesses int           // that accuse, of those that decide
	Opposing  int           // that speak well of it, likewise
	// RecentlyTried tells, of one that returns, that somebody tried it of late and had trouble: nobody else need do so now.
	RecentlyTried bool
}

// opinion is what one witness holds of a target, by the evidence that is fresh.
type opinion struct {
	name, zone     string
	good, bad      evidence.Counts
	goodAge        time.Duration // of the youngest hop that went well; whichever age it has
	seenAge        time.Duration // likewise of a probe that was answered
	badAge         time.Duration
	failAge        time.Duration // of the youngest hop that failed and was answered
	silent, failed bool
}

// evaluate makes up the witness's mind: it accuses if what went badly is half or more of what it saw. Probes that are answered speak
// against silence only: a target may answer them and fail every request.
func (o *opinion) evaluate() {
	o.failed = o.bad.Fail > 0 && o.bad.Fail >= o.good.OK
	o.silent = o.bad.Silent+o.bad.Slow > 0 && o.bad.Bad() >= o.good.OK+o.good.ProbeOK
}

func (o *opinion) accuses() bool { return o.failed || o.silent }

// Judge returns findings on targets, in their order. viewer is the zone of who asks.
func Judge(now time.Time, s *evidence.Store, viewer string, targets []Target, c Config, f Flaws) []Finding {
	views := collectOpinions(now, s, c, f)
	selfAccused := unreliableWitnesses(now, s, c)
	var all []Finding
	for _, t := range targets {
		if ops := views[t.ID]; len(ops) > 0 {
			if x, ok := judgeTarget(ops, selfAccused, viewer, c, f); ok {
				x.Target = t.ID
				all = append(all, x)
			}
		}
	}
	return capUnhealthy(all, targets, c)
}

// collectOpinions sums, by target and witness, what is no older than Forget.
func collectOpinions(now time.Time, s *evidence.Store, c Config, f Flaws) map[string][]*opinion {
	within := c.ForgetAfter
	if f.NoAge {
		within = time.Hour
	}
	views := make(map[string][]*opinion)
	s.Each(now, within, func(x evidence.Observation) {
		if x.Target == "" {
			return
		}
		list := views[x.Target]
		i := slices.IndexFunc(list, func(o *opinion) bool { return o.name == x.Name })
		if i < 0 {
			i = len(list)
			list = append(list, &opinion{name: x.Name, zone: x.Zone, goodAge: time.Hour, seenAge: time.Hour, badAge: time.Hour, failAge: time.Hour})
			views[x.Target] = list
		}
		o := list[i]
		if x.OK > 0 {
			o.goodAge = min(o.goodAge, x.Age)
		}
		if x.ProbeOK > 0 {
			o.seenAge = min(o.seenAge, x.Age)
		}
		if x.Bad() > 0 {
			o.badAge = min(o.badAge, x.Age)
		}
		if x.Fail > 0 {
			o.failAge = min(o.failAge, x.Age)
		}
		if x.Age <= c.MaxAge || f.NoAge {
			o.good.OK += x.OK
			o.good.ProbeOK += x.ProbeOK
			o.bad.Fail += x.Fail
			o.bad.Silent += x.Silent
			o.bad.Slow += x.Slow
		}
	})
	for _, list := range views { // each for itself
		for _, o := range list {
			o.evaluate()
		}
	}
	return views
}

// unreliableWitnesses names the witnesses that accuse themselves: over the time that counts they had trouble with more targets than they
// did well with, and with three or more.
func unreliableWitnesses(now time.Time, s *evidence.Store, c Config) map[string]bool {
	good, bad := make(map[string]uint32), make(map[string]uint32)
	s.Each(now, c.ForgetAfter, func(x evidence.Observation) {
		if x.Target == "" {
			good[x.Name] += x.OK
			bad[x.Name] += x.Fail
		}
	})
	out := make(map[string]bool)
	for name, n := range bad { // a set
		out[name] = n >= 3 && n > good[name]
	}
	return out
}

// judgeTarget judges one target.
func judgeTarget(ops []*opinion, selfAccused map[string]bool, viewer string, c Config, f Flaws) (Finding, bool) {
	need := c.MinWitnesses
	if f.OneWitness {
		need = 1
	}
	var own, all []*opinion
	zones, others := make(map[string]bool), false
	for _, o := range ops {
		if selfAccused[o.name] {
			continue
		}
		all = append(all, o)
		if o.zone == viewer {
			own = append(own, o)
		} else {
			others = true
		}
		if o.accuses() {
			zones[o.zone] = true
		}
	}
	decide := own
	// Where nobody here has seen anything that counts, the word of others does if it comes from two zones: from one alone it may
	// be that zone that is cut off.
	if len(own) == 0 && (len(zones) >= 2 || !others) {
		decide = all
	}
	if x, ok := findUnhealthy(decide, need); ok && (x.Age <= c.MaxAge || f.NoAge) {
		return x, true
	}
	return findReturning(decide, need, c)
}

// findUnhealthy counts the opinions that decide. Of those that speak well of the target the ones count whose word is no older than the
// accusations that are needed, by a window or two: what went well before says nothing of what happens now.
func findUnhealthy(ops []*opinion, need int) (Finding, bool) {
	for _, kind := range []Verdict{Failing, Silent} {
		var ages []time.Duration
		for _, o := range ops {
			switch {
			case kind == Failing && o.failed:
				ages = append(ages, o.failAge)
			case kind == Silent && o.accuses():
				ages = append(ages, o.badAge)
			}
		}
		if len(ages) < need {
			continue
		}
		slices.Sort(ages)
		limit, against := ages[need-1]+opposingSlack, 0
		var sum evidence.Counts
		for _, o := range ops {
			accuses := o.failed || kind == Silent && o.silent
			if !accuses && (o.goodAge <= limit || kind == Silent && o.seenAge <= limit) {
				against++
			}
			if accuses {
				sum.Slow += min(o.bad.Slow, 1)
				sum.Silent += min(o.bad.Silent, 1)
			}
		}
		if 2*len(ages) <= against {
			continue // a few errors among much that goes well
		}
		if kind == Silent && sum.Slow > sum.Silent {
			kind = Slow
		}
		return Finding{Verdict: kind, Age: ages[need-1], Witnesses: len(ages), Opposing: against}, true
	}
	return Finding{}, false
}

// opposingSlack is by how much a good word may be older than an accusation and still speak against it.
const opposingSlack = time.Second

// findReturning tells whether a target was condemned by evidence that is too old for that now, and nobody has done well there since.
func findReturning(ops []*opinion, need int, c Config) (Finding, bool) {
	var bad []time.Duration
	good := time.Hour
	failed := slices.ContainsFunc(ops, func(o *opinion) bool { return o.failAge <= c.ForgetAfter })
	for _, o := range ops {
		if o.badAge <= c.ForgetAfter {
			bad = append(bad, o.badAge)
		}
		good = min(good, o.goodAge)
		if !failed { // it had been silent: an answered probe is a sign of life
			good = min(good, o.seenAge)
		}
	}
	if len(bad) < need {
		return Finding{}, false
	}
	slices.Sort(bad)
	if good <= bad[0] || bad[need-1] <= c.MaxAge {
		return Finding{}, false
	}
	return Finding{Verdict: Returning, Age: bad[need-1], Witnesses: len(bad), RecentlyTried: bad[0] <= c.MaxAge}, true
}

// capUnhealthy lets through as many condemnations as Part allows, in each zone and of all; the worst are those with the most
// witnesses, then those whose names come first.
func capUnhealthy(all []Finding, targets []Target, c Config) []Finding {
	zone, size := make(map[string]string, len(targets)), make(map[string]int)
	for _, t := range targets {
		zone[t.ID] = t.Zone
		size[t.Zone]++
	}
	order := make([]int, 0, len(all))
	for i := range all {
		if all[i].Unhealthy() {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[b].Witnesses, all[a].Witnesses), cmp.Compare(all[a].Target, all[b].Target))
	})
	total, by, drop := 0, make(map[string]int), make(map[int]bool)
	for _, i := range order {
		z := zone[all[i].Target]
		if by[z] >= MaxUnhealthy(c.MaxFraction, size[z]) || total >= MaxUnhealthy(c.MaxFraction, len(targets)) {
			drop[i] = true
			continue
		}
		by[z]++
		total++
	}
	kept := all[:0]
	for i := range all {
		if !drop[i] {
			kept = append(kept, all[i])
		}
	}
	return kept
}

// MaxUnhealthy is how many of n targets may be condemned at once: at least one of two or more.
func MaxUnhealthy(part float64, n int) int {
	if n < 2 {
		return 0
	}
	return max(int(part*float64(n)), 1)
}

// TrialDivisor is how many processes share a turn to send clients to a target that returns: one in so many may.
const TrialDivisor = 8

// HasTurn tells whether it is a process's turn to try a target in a span of time, by number, where one in so many is to try: turns are
// drawn alike for all, so that about that part tries at a time, whoever is there, and each has its turn before long.
func HasTurn(session uint64, target string, span int64, of int) bool {
	text := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, session), uint64(span))
	return xxhash.Sum64(append(text, target...))%uint64(max(of, 1)) == 0
}
