// Package limit decides what one process may take of a limit that holds for all processes of a fleet together: connections that
// stand, or new ones a second. It is pure: there is no clock, I/O, draw or map order.
//
// Two kinds, chosen by the operators:
//
//   - Strict: the limit is cut in slices, each a duty that the keepers lease to one process at a time (see Slices). What all may
//     use never exceeds the limit; room that the lost held is free again when their leases end.
//   - Soft: each tells the others what it uses, and takes part of the room that it knows of (see Soft). Over by no more than Bound.
package limit

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells how a limit is kept.
type Kind uint8

// The kinds.
const (
	SoftKind Kind = iota
	StrictKind
)

func (k Kind) String() string { return [...]string{"soft", "strict"}[min(k, StrictKind)] }

// Limit is what all processes together may take.
type Limit struct {
	Name   string
	Kind   Kind
	Max    int           // connections that stand, or in Within
	Period time.Duration // 0: those that stand; else new ones in any such time
	Slices int           // of a strict one; Most/Slices each, the first ones one more
	Tenant string        // whose; empty: everybody's
	Class  string        // of which class; empty: of all
}

// MaxSlices is how many slices a limit may have: each is a duty of the keepers.
const MaxSlices = 64

// Check tells what is out of its range.
func (l *Limit) Check() error {
	switch {
	case l.Max < 1:
		return fmt.Errorf("most: %d is not above 0", l.Max)
	case l.Period < 0:
		return fmt.Errorf("within: %v is below 0", l.Period)
	case l.Kind == StrictKind && (l.Slices < 1 || l.Slices > MaxSlices):
		return fmt.Errorf("slices: %d is not from 1 to %d", l.Slices, MaxSlices)
	case l.Kind == StrictKind && l.Max < l.Slices:
		return fmt.Errorf("most: %d is below the number of slices, %d", l.Max, l.Slices)
	}
	return nil
}

// Member is another process, as this one knows it.
type Member struct {
	Session uint64
	Use     int           // of the limit, at the most, as of Age ago
	Want    int           // that came of late, let in or not
	Age     time.Duration // at the least the true one; Unheard where nothing is known
	DeadFor time.Duration // since it was held to be dead; 0: it lives
}

// UnknownAge is the age of what was never heard.
const UnknownAge = time.Duration(math.MaxInt64)

// SoftConfig has the figures of soft limits on which all processes must agree.
type SoftConfig struct {
	StaleAfter      time.Duration // what is older says nothing: that process is reckoned with its part, or with what it had if that is more
	DeadHold        time.Duration // for so long a process that was held to be dead is reckoned with, as it may only be cut off
	ExpectedMembers int           // processes that there should be; until Hold after the start missing ones are reckoned with
}

// DefaultSoftConfig has the figures that serve.
func DefaultSoftConfig() SoftConfig {
	return SoftConfig{StaleAfter: 4 * time.Second, DeadHold: 15 * time.Second}
}

// Flaws are mistakes to be planted in tests. The zero value has none.
type Flaws struct {
	ForgetLost bool // those that are not heard are reckoned as nothing
}

// Room is how much of a limit this process knows to be free, and its part of that by what it and the others want: what it may take
// before it has heard anew from them. run is for how long it has run; others are all other members that live, or died within Hold.
func (s SoftConfig) Room(l *Limit, run time.Duration, me Member, others []Member, f Flaws) (free, part int) {
	n := 1
	for _, m := range others {
		if m.DeadFor <= s.DeadHold {
			n++
		}
	}
	missing := 0
	if run < s.DeadHold {
		missing = max(s.ExpectedMembers-n, 0)
	}
	n += missing
	even := (l.Max + n - 1) / n // rounded up: what is reckoned for those that say nothing
	used, want := me.Use, weight(me)
	if !f.ForgetLost {
		used += missing * even
	}
	for _, m := range others {
		switch {
		case m.DeadFor > s.DeadHold:
		case m.Age <= s.StaleAfter && m.DeadFor == 0:
			used += m.Use
			want += weight(m)
		case !f.ForgetLost:
			used += max(m.Use, even)
		}
	}
	free = max(l.Max-used, 0)
	exact := float64(free) * weight(me) / want
	part = int(exact)
	// What is left of a whole is drawn, by whom and when: of many with a small part each, some have one.
	span := uint64(run / max(s.StaleAfter, 1))
	if text := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, me.Session), span); float64(xxhash.Sum64(text)>>11)/(1<<53) < exact-float64(part) {
		part++
	}
	return free, part
}

// weight of a member in the parts of what is free: what it wants, and a little for what may come.
func weight(m Member) float64 { return float64(m.Want) + 0.25 }

// Gate lets in what a soft limit leaves to this process.
type Gate struct {
	SoftConfig
	Limit       *Limit
	Flaws       Flaws
	remaining   int
	periodBegan time.Duration // of the span for which left is counted
	started     bool
	demand      float64 // that came of late, halved each second
	demandAt    time.Duration
}

// RecentDemand is how many asked of late: those of the last second and half of those before, and so on.
func (g *Gate) RecentDemand(run time.Duration) int {
	g.demand *= math.Exp2(-max(run-g.demandAt, 0).Seconds())
	g.demandAt = run
	return int(math.Ceil(g.demand - 0.1))
}

// Update takes what is known now, and returns how much of the limit is free as far as that goes. It is to be called every now and then,
// more often than Stale.
func (g *Gate) Update(run time.Duration, me Member, others []Member) (free int) {
	free, part := g.Room(g.Limit, run, me, others, g.Flaws)
	if !g.started || run-g.periodBegan >= g.StaleAfter {
		g.started, g.periodBegan, g.remaining = true, run, part
	}
	g.remaining = min(g.remaining, free)
	return free
}

// HasRoom tells whether Admit would let one more in.
func (g *Gate) HasRoom() bool { return g.remaining > 0 }

// RecordRefused counts one that asked and was not let in.
func (g *Gate) RecordRefused(run time.Duration) {
	g.RecentDemand(run)
	g.demand++
}

// Admit tells whether one more may come in, and counts it.
func (g *Gate) Admit(run time.Duration) bool {
	g.RecentDemand(run)
	g.demand++
	if g.remaining <= 0 {
		return false
	}
	g.remaining--
	return true
}

// MaxExcess is by how much the use of all may exceed a soft limit:
//
//	(parts - 1) * Most + admitted
//
// parts is into how many parts the fleet was split for longer than Hold (1: it was not), and admitted how many were let in by all
// processes within the last Stale and a look. For at the last admission, by whichever process, what it knew to be used and itself
// were at most Most; what it did not know of were admissions of others since they were last heard, no longer ago than Stale, and
// those that it did not hear were reckoned with their part or more, which is all that they may take themselves while they don't
// hear this one.
func MaxExcess(l *Limit, parts, admitted int) int { return (max(parts, 1)-1)*l.Max + admitted }

// Slices decides which slices of a strict limit a process wants. What it is told of slices is what the keepers last said.
type Slices struct {
	limit      *Limit
	me         uint64
	claims     []int     // slices that it wants, in the order in which it took them up
	spareSince time.Time // since when it has had one more than it needs; zero: it has not
	lastSwitch time.Time // when it last looked elsewhere
	nextSlice  int
}

// NewSlices returns the slices of a process, which wants none.
func NewSlices(l *Limit, me uint64) *Slices {
	return &Slices{limit: l, me: me, nextSlice: int(me % uint64(l.Slices))}
}

// MinSize is how much a slice holds at the least.
func (s *Slices) MinSize() int { return s.limit.Max / s.limit.Slices }

// Size is how much a slice holds: what does not divide evenly is in the first ones.
func (s *Slices) Size(i int) int {
	if i < s.limit.Max%s.limit.Slices {
		return s.MinSize() + 1
	}
	return s.MinSize()
}

// DutyName names a slice among the duties.
func (s *Slices) DutyName(i int) string { return fmt.Sprintf("limit/%s/%d", s.limit.Name, i) }

// spareTimeout is how long a slice stays unused before it is given back.
const spareTimeout = 3 * time.Second

// Claims returns the slices to claim and renew, for a use and those that wait for room. held tells whether a slice is held now, taken
// whether somebody else is known to hold it; again is the time after which one that is not got is given up for another.
func (s *Slices) Claims(now time.Time, use, waiting int, again time.Duration, held, taken func(i int) bool) []int {
	got := 0
	for _, i := range s.claims {
		if held(i) {
			got++
		}
	}
	need := min((use+waiting+s.MinSize()-1)/s.MinSize(), s.limit.Slices)
	switch {
	case got > need && s.spareSince.IsZero():
		s.spareSince = now
	case got <= need:
		s.spareSince = time.Time{}
	case now.Sub(s.spareSince) >= spareTimeout:
		for k := len(s.claims) - 1; k >= 0; k-- {
			if held(s.claims[k]) {
				s.claims = slices.Delete(s.claims, k, k+1)
				break
			}
		}
		s.spareSince = now
	}
	// Those that others hold are given up in turn, for the next one.
	if now.Sub(s.lastSwitch) >= again {
		s.claims = slices.DeleteFunc(s.claims, func(i int) bool { return !held(i) && taken(i) })
		s.lastSwitch = now
	}
	for tries := 0; len(s.claims) < need && tries < s.limit.Slices; tries++ {
		if i := s.nextSlice; !slices.Contains(s.claims, i) {
			s.claims = append(s.claims, i)
		}
		s.nextSlice = (s.nextSlice + 1) % s.limit.Slices
	}
	if len(s.claims) > need {
		s.claims = slices.DeleteFunc(s.claims, func(i int) bool { return !held(i) })
	}
	return slices.Clone(s.claims)
}

// RetryBudget is a budget for further attempts of all processes together: a part of the first ones of late.
type RetryBudget struct {
	Fraction float64       // of the first attempts within Within; above 0
	Period   time.Duration // above 0
	Min      int           // that may be made in any case, so that a quiet fleet can try again
}

// Max is the budget, for so many first attempts of all within Within.
func (r RetryBudget) Max(first int) int { return r.Min + int(r.Fraction*float64(first)) }
