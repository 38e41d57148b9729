// Package verdict judges egress targets by what all processes observed of them. A verdict is a
// function of the merged evidence and of the viewer's zone and targets, so that equal evidence
// leads to equal verdicts everywhere. The package is deterministic: it uses no clock, I/O, random
// numbers or map order.
//
// The rules are listed below. For each there is a deliberate fault in the tests that breaks it (see
// internal/lab/shared).
//
//   - A single witness is never enough to judge a target unhealthy. Witnesses are counted by
//     name, so that a process before and after a restart is one witness, and each counts once,
//     however often it reports.
//   - A witness that has failures with more targets than it has successes with is itself suspect:
//     its reports against targets do not count.
//   - Witnesses in the zone of the viewer take precedence: a target that only another zone cannot
//     reach is sound here.
//   - At most a fraction of the targets of a zone, and of all targets, are judged unhealthy at
//     once: the worst first.
//   - Evidence older than Config.MaxEvidenceAge judges no target unhealthy. It makes a target that
//     was unhealthy Returning, until Config.ForgetAfter.
package verdict

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreyspan/internal/shared/evidence"
)

// Verdict is the shared judgement of a target.
type Verdict uint8

// The verdicts.
const (
	Sound   Verdict = iota // no problem is known
	Slow                   // it answers, but too late
	Failing                // it answers with errors or breaks connections
	Silent                 // it does not answer
	// Returning is the verdict on a target that was Slow, Failing or Silent and with which nobody
	// has had a success since.
	Returning
)

func (v Verdict) String() string {
	return [...]string{"sound", "slow", "failing", "silent", "returning"}[min(v, Returning)]
}

// Unhealthy reports whether new work should go to other targets.
func (v Verdict) Unhealthy() bool { return v == Slow || v == Failing || v == Silent }

// Config has the settings that must be equal in all processes.
type Config struct {
	MaxEvidenceAge time.Duration // largest age of evidence that judges a target unhealthy; above 0
	// ForgetAfter is the age of evidence up to which a target that was unhealthy is Returning;
	// above MaxEvidenceAge.
	ForgetAfter  time.Duration
	MinWitnesses int // number of different witnesses that must accuse a target; at least 2
	// MaxFraction is the fraction of a zone's targets, and of all, that may be unhealthy at once;
	// above 0, at most 1.
	MaxFraction float64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{MaxEvidenceAge: 6 * time.Second, ForgetAfter: 20 * time.Second, MinWitnesses: 2, MaxFraction: 0.34}
}

// Flaws are deliberate faults that tests enable. The zero value has none.
type Flaws struct {
	OneWitness bool // one witness is enough
	NoAge      bool // evidence of any age judges targets unhealthy
}

// Target is a target in the viewer's route table.
type Target struct{ ID, Zone string }

// Finding is a verdict other than Sound, with its grounds.
type Finding struct {
	Target string
	Verdict
	// Age is the age of the last accusation that is needed to reach the required number. A finding
	// rests on nothing known to be older.
	Age       time.Duration
	Witnesses int // deciding witnesses that accuse the target
	Opposing  int // deciding witnesses with successes that oppose the accusations
	// RecentlyTried is set for a Returning target if a process tried it recently and failed. Other
	// processes need not try it now.
	RecentlyTried bool
}

// opinion is what one witness holds of a target. The counts are of the evidence that is at most
// MaxEvidenceAge old.
type opinion struct {
	name, zone            string
	goodCounts, badCounts evidence.Counts
	goodAge               time.Duration // of the latest successful hop, however old
	seenAge               time.Duration // of the latest answered probe, however old
	badAge                time.Duration // of the latest failure of any kind, however old
	failAge               time.Duration // of the latest hop answered with a failure, however old
	// targetSilent and targetFailed are set if the witness accuses the target: of not answering or
	// of answering too late, and of answering with errors.
	targetSilent, targetFailed bool
}

// evaluate determines whether the witness accuses the target: it does if at least half of its
// outcomes are failures. Answered probes count against silence only, since a target may answer them
// and fail every request.
func (o *opinion) evaluate() {
	o.targetFailed = o.badCounts.Fail > 0 && o.badCounts.Fail >= o.goodCounts.OK
	o.targetSilent = o.badCounts.Silent+o.badCounts.Slow > 0 && o.badCounts.Bad() >= o.goodCounts.OK+o.goodCounts.ProbeOK
}

func (o *opinion) accuses() bool { return o.targetFailed || o.targetSilent }

// Judge returns the findings on targets, in the order of targets. viewerZone is the name of the
// zone of the process that asks.
func Judge(now time.Time, s *evidence.Store, viewerZone string, targets []Target, c Config, f Flaws) []Finding {
	views := collectOpinions(now, s, c, f)
	unreliable := unreliableWitnesses(now, s, c)
	var all []Finding
	for _, t := range targets {
		if ops := views[t.ID]; len(ops) > 0 {
			if x, ok := judgeTarget(ops, unreliable, viewerZone, c, f); ok {
				x.Target = t.ID
				all = append(all, x)
			}
		}
	}
	return capUnhealthy(all, targets, c)
}

// collectOpinions collects the opinions on each target from the evidence that is at most
// ForgetAfter old.
func collectOpinions(now time.Time, s *evidence.Store, c Config, f Flaws) map[string][]*opinion {
	maxAge := c.ForgetAfter
	if f.NoAge {
		maxAge = time.Hour
	}
	views := make(map[string][]*opinion)
	s.Each(now, maxAge, func(x evidence.Observation) {
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
		if x.Age <= c.MaxEvidenceAge || f.NoAge {
			o.goodCounts.OK += x.OK
			o.goodCounts.ProbeOK += x.ProbeOK
			o.badCounts.Fail += x.Fail
			o.badCounts.Silent += x.Silent
			o.badCounts.Slow += x.Slow
		}
	})
	for _, list := range views { // in any order
		for _, o := range list {
			o.evaluate()
		}
	}
	return views
}

// unreliableWitnesses returns the names of the witnesses that are not counted: within ForgetAfter
// they had failures with more targets than they had successes with, and with at least three.
func unreliableWitnesses(now time.Time, s *evidence.Store, c Config) map[string]bool {
	good, bad := make(map[string]uint32), make(map[string]uint32)
	s.Each(now, c.ForgetAfter, func(x evidence.Observation) {
		if x.Target == "" {
			good[x.Name] += x.OK
			bad[x.Name] += x.Fail
		}
	})
	unreliable := make(map[string]bool)
	for name, n := range bad { // in any order
		unreliable[name] = n >= 3 && n > good[name]
	}
	return unreliable
}

// judgeTarget judges one target by the opinions on it.
func judgeTarget(ops []*opinion, unreliable map[string]bool, viewerZone string, c Config, f Flaws) (Finding, bool) {
	need := c.MinWitnesses
	if f.OneWitness {
		need = 1
	}
	var own, all []*opinion
	accusingZones, others := make(map[string]bool), false
	for _, o := range ops {
		if unreliable[o.name] {
			continue
		}
		all = append(all, o)
		if o.zone == viewerZone {
			own = append(own, o)
		} else {
			others = true
		}
		if o.accuses() {
			accusingZones[o.zone] = true
		}
	}
	deciding := own
	// If no witness of the viewer's zone counts, those of other zones decide if accusations come
	// from at least two zones. A single zone may itself be cut off.
	if len(own) == 0 && (len(accusingZones) >= 2 || !others) {
		deciding = all
	}
	if x, ok := findUnhealthy(deciding, need); ok && (x.Age <= c.MaxEvidenceAge || f.NoAge) {
		return x, true
	}
	return findReturning(deciding, need, c)
}

// findUnhealthy judges a target by the opinions that decide. A witness that does not accuse the
// target opposes the accusations only if its last success is at most opposingSlack older than the
// accusations that are needed: earlier successes say nothing about the present state.
func findUnhealthy(ops []*opinion, need int) (Finding, bool) {
	for _, kind := range []Verdict{Failing, Silent} {
		var ages []time.Duration
		for _, o := range ops {
			switch {
			case kind == Failing && o.targetFailed:
				ages = append(ages, o.failAge)
			case kind == Silent && o.accuses():
				ages = append(ages, o.badAge)
			}
		}
		if len(ages) < need {
			continue
		}
		slices.Sort(ages)
		maxGoodAge, opposing := ages[need-1]+opposingSlack, 0
		var sum evidence.Counts
		for _, o := range ops {
			accuses := o.targetFailed || kind == Silent && o.targetSilent
			if !accuses && (o.goodAge <= maxGoodAge || kind == Silent && o.seenAge <= maxGoodAge) {
				opposing++
			}
			if accuses {
				sum.Slow += min(o.badCounts.Slow, 1)
				sum.Silent += min(o.badCounts.Silent, 1)
			}
		}
		if 2*len(ages) <= opposing {
			continue // a few errors among many successes
		}
		if kind == Silent && sum.Slow > sum.Silent {
			kind = Slow
		}
		return Finding{Verdict: kind, Age: ages[need-1], Witnesses: len(ages), Opposing: opposing}, true
	}
	return Finding{}, false
}

// opposingSlack is by how much a success may be older than an accusation and still count against
// it: two windows of evidence of the default length.
const opposingSlack = time.Second

// findReturning reports whether a target was unhealthy by evidence that is now too old for that
// verdict, and whether no witness has had a success with it since.
func findReturning(ops []*opinion, need int, c Config) (Finding, bool) {
	var bad []time.Duration
	good := time.Hour
	failed := slices.ContainsFunc(ops, func(o *opinion) bool { return o.failAge <= c.ForgetAfter })
	for _, o := range ops {
		if o.badAge <= c.ForgetAfter {
			bad = append(bad, o.badAge)
		}
		good = min(good, o.goodAge)
		if !failed { // the target was silent: an answered probe shows that it is alive
			good = min(good, o.seenAge)
		}
	}
	if len(bad) < need {
		return Finding{}, false
	}
	slices.Sort(bad)
	if good <= bad[0] || bad[need-1] <= c.MaxEvidenceAge {
		return Finding{}, false
	}
	return Finding{Verdict: Returning, Age: bad[need-1], Witnesses: len(bad), RecentlyTried: bad[0] <= c.MaxEvidenceAge}, true
}

// capUnhealthy keeps as many unhealthy findings as MaxFraction allows, in each zone and in total.
// Those with the most witnesses come first, then those whose targets come first by name.
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

// MaxUnhealthy returns how many of n targets may be unhealthy at once: at least one if n is two or
// more, otherwise none.
func MaxUnhealthy(fraction float64, n int) int {
	if n < 2 {
		return 0
	}
	return max(int(fraction*float64(n)), 1)
}

// TrialDivisor divides the number of processes: about one process in TrialDivisor may send clients
// to a Returning target at a time (see HasTurn).
const TrialDivisor = 8

// HasTurn reports whether a process may try a target in the period with the given number, where
// about one process in divisor may. The decision depends on nothing but the arguments, so that
// about the same fraction of the processes has the turn in each period, whichever processes exist,
// and each gets it before long.
func HasTurn(session uint64, target string, period int64, divisor int) bool {
	text := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, session), uint64(period))
	return xxhash.Sum64(append(text, target...))%uint64(max(divisor, 1)) == 0
}
