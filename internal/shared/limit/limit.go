// Package limit decides how much one process may use of a limit that holds for all processes of a
// fleet together: a number of open connections, or of new connections per period. It is
// deterministic: it uses no clock, I/O, random numbers or map order.
//
// Operators choose one of two kinds:
//
//   - Strict: the limit is divided into slices. Each slice is a duty that the keepers lease to
//     one process at a time (see Slices). The total use never exceeds the limit. What a lost
//     process held becomes available when its leases end.
//   - Soft: each process publishes its use and takes a share of the room that it knows of (see
//     SoftConfig). The total use exceeds the limit by at most MaxExcess.
package limit

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is how a limit is enforced.
type Kind uint8

// The kinds of limits.
const (
	SoftKind Kind = iota
	StrictKind
)

func (k Kind) String() string { return [...]string{"soft", "strict"}[min(k, StrictKind)] }

// Limit is a bound on what all processes together may use.
type Limit struct {
	Name   string
	Kind   Kind
	Max    int           // open connections, or new ones per Period
	Period time.Duration // 0: Max counts open connections; else new connections in any such period
	// SliceCount is the number of slices of a strict limit. Each has a size of Max/SliceCount, the
	// first ones one more.
	SliceCount int
	Tenant     string // tenant that it applies to; empty: all
	Class      string // class that it applies to; empty: all
}

// MaxSlices is the largest number of slices of a limit. Each slice is a duty of the keepers.
const MaxSlices = 64

// Check returns an error if a field is out of range.
func (l *Limit) Check() error {
	switch {
	case l.Max < 1:
		return fmt.Errorf("most: %d is not above 0", l.Max)
	case l.Period < 0:
		return fmt.Errorf("within: %v is below 0", l.Period)
	case l.Kind == StrictKind && (l.SliceCount < 1 || l.SliceCount > MaxSlices):
		return fmt.Errorf("slices: %d is not from 1 to %d", l.SliceCount, MaxSlices)
	case l.Kind == StrictKind && l.Max < l.SliceCount:
		return fmt.Errorf("most: %d is below the number of slices, %d", l.Max, l.SliceCount)
	}
	return nil
}

// Member is what this process knows of another process.
type Member struct {
	Session uint64
	Use     int           // upper bound of its use of the limit, as of Age ago
	Want    int           // recent demand, admitted or not
	Age     time.Duration // at least the true age of Use and Want; UnknownAge if nothing is known
	DeadFor time.Duration // time since it was declared dead; 0: alive
}

// UnknownAge is the age of a Member from which nothing was received.
const UnknownAge = time.Duration(math.MaxInt64)

// SoftConfig has the settings of soft limits. They must be equal in all processes.
type SoftConfig struct {
	// StaleAfter is the age above which a report is ignored. Its process is then assumed to use an
	// even share of the limit, or its last known use if that is larger.
	StaleAfter time.Duration
	// DeadHold is how long a process that was declared dead still counts, since it may have lost
	// only its connection to this one.
	DeadHold time.Duration
	// ExpectedMembers is the number of processes that should exist. Until DeadHold after the start,
	// missing ones are assumed to use an even share.
	ExpectedMembers int
}

// DefaultSoftConfig returns the default settings.
func DefaultSoftConfig() SoftConfig {
	return SoftConfig{StaleAfter: 4 * time.Second, DeadHold: 15 * time.Second}
}

// Flaws are deliberate faults that tests enable. The zero value has none.
type Flaws struct {
	// ForgetLost counts the use of missing processes, dead ones and those whose report is stale as
	// 0, where an even share of the limit or more should be assumed.
	ForgetLost bool
}

// Room returns how much of a limit is free as far as this process knows, and the process's share of
// that, in proportion to its demand and that of the others. The share is what it may take until the
// others have reported again. uptime is the time for which this process has run. others are all
// other members that live or that died within DeadHold.
func (s SoftConfig) Room(l *Limit, uptime time.Duration, self Member, others []Member, f Flaws) (free, share int) {
	n := 1
	for _, m := range others {
		if m.DeadFor <= s.DeadHold {
			n++
		}
	}
	missing := 0
	if uptime < s.DeadHold {
		missing = max(s.ExpectedMembers-n, 0)
	}
	n += missing
	evenShare := (l.Max + n - 1) / n // rounded up; assumed for processes that do not report
	used, totalWeight := self.Use, weight(self)
	if !f.ForgetLost {
		used += missing * evenShare
	}
	for _, m := range others {
		switch {
		case m.DeadFor > s.DeadHold:
		case m.Age <= s.StaleAfter && m.DeadFor == 0:
			used += m.Use
			totalWeight += weight(m)
		case !f.ForgetLost:
			used += max(m.Use, evenShare)
		}
	}
	free = max(l.Max-used, 0)
	exact := float64(free) * weight(self) / totalWeight
	share = int(exact)
	// The fraction left by rounding down is drawn by session and period, so that of many processes
	// with a small share each some may take one.
	period := uint64(uptime / max(s.StaleAfter, 1))
	if text := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, self.Session), period); float64(xxhash.Sum64(text)>>11)/(1<<53) < exact-float64(share) {
		share++
	}
	return free, share
}

// weight returns the weight of a member in the division of the free room: its demand and a little
// for demand to come.
func weight(m Member) float64 { return float64(m.Want) + 0.25 }

// Gate admits what a soft limit leaves to this process. Times are passed to it as the time for
// which the process has run.
type Gate struct {
	SoftConfig
	Limit             *Limit
	Flaws             Flaws
	remaining         int           // admissions left in the current period of StaleAfter
	periodStartUptime time.Duration // uptime at which the period of remaining began
	started           bool          // a first period has begun
	demand            float64       // recent requests, halved each second
	decayedAtUptime   time.Duration // uptime at which demand was last decayed
}

// RecentDemand returns the recent number of requests. Their weight halves with each second that
// passes.
func (g *Gate) RecentDemand(uptime time.Duration) int {
	g.demand *= math.Exp2(-max(uptime-g.decayedAtUptime, 0).Seconds())
	g.decayedAtUptime = uptime
	return int(math.Ceil(g.demand - 0.1))
}

// Update takes the current knowledge of the members and returns how much of the limit is free as
// far as that is known. It must be called regularly, more often than StaleAfter.
func (g *Gate) Update(uptime time.Duration, self Member, others []Member) (free int) {
	free, share := g.Room(g.Limit, uptime, self, others, g.Flaws)
	if !g.started || uptime-g.periodStartUptime >= g.StaleAfter {
		g.started, g.periodStartUptime, g.remaining = true, uptime, share
	}
	g.remaining = min(g.remaining, free)
	return free
}

// HasRoom reports whether Admit would admit one more.
func (g *Gate) HasRoom() bool { return g.remaining > 0 }

// RecordRefused counts a request that was refused without a call of Admit.
func (g *Gate) RecordRefused(uptime time.Duration) {
	g.RecentDemand(uptime)
	g.demand++
}

// Admit reports whether one more is admitted, and counts the request.
func (g *Gate) Admit(uptime time.Duration) bool {
	g.RecentDemand(uptime)
	g.demand++
	if g.remaining <= 0 {
		return false
	}
	g.remaining--
	return true
}

// MaxExcess returns by how much the total use may exceed a soft limit:
//
//	(partitions - 1) * Max + admitted
//
// partitions is the number of partitions into which the fleet was split for longer than DeadHold, 1
// if it was not split. admitted counts the requests that Gate.Admit let in, of all processes
// together, within a span of StaleAfter and one update interval. It is the largest such count since
// the total use was last at most Max.
//
// The bound holds because at the last admission the use that the admitting process knew of,
// including its own, was at most Max. What it did not know of were admissions of others since their
// last reports, which are no older than StaleAfter. Processes that it did not hear were counted
// with an even share or more, which is all that they may take themselves while they do not hear
// this one.
func MaxExcess(l *Limit, partitions, admitted int) int {
	return (max(partitions, 1)-1)*l.Max + admitted
}

// Slices decides which slices of a strict limit a process claims. The functions passed to Claims
// tell it what the keepers last reported of the slices.
type Slices struct {
	limit      *Limit
	self       uint64
	claims     []int     // claimed slices, oldest claim first
	spareSince time.Time // since when more slices are held than needed; zero: not so
	lastSwitch time.Time // when claims to slices of others were last given up
	nextSlice  int       // slice to claim next
}

// NewSlices returns the slices of a process, which claims none yet.
func NewSlices(l *Limit, self uint64) *Slices {
	return &Slices{limit: l, self: self, nextSlice: int(self % uint64(l.SliceCount))}
}

// MinSize returns the size of the smallest slice.
func (s *Slices) MinSize() int { return s.limit.Max / s.limit.SliceCount }

// Size returns the size of a slice. The first slices are larger by one if the limit does not divide
// evenly.
func (s *Slices) Size(i int) int {
	if i < s.limit.Max%s.limit.SliceCount {
		return s.MinSize() + 1
	}
	return s.MinSize()
}

// DutyName returns the name of the duty of a slice.
func (s *Slices) DutyName(i int) string { return fmt.Sprintf("limit/%s/%d", s.limit.Name, i) }

// spareTimeout is how long a slice stays unused before it is given back.
const spareTimeout = 3 * time.Second

// Claims returns the slices to claim and renew, for the current use and the number of requests that
// wait for room. held reports whether this process holds a slice now, taken whether another process
// is known to hold it. A claimed slice that another process holds is given up for another one after
// retryAfter.
func (s *Slices) Claims(now time.Time, use, waiting int, retryAfter time.Duration, held, taken func(i int) bool) []int {
	heldCount := 0
	for _, i := range s.claims {
		if held(i) {
			heldCount++
		}
	}
	need := min((use+waiting+s.MinSize()-1)/s.MinSize(), s.limit.SliceCount)
	switch {
	case heldCount > need && s.spareSince.IsZero():
		s.spareSince = now
	case heldCount <= need:
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
	// Slices that other processes hold are given up for the next ones in turn.
	if now.Sub(s.lastSwitch) >= retryAfter {
		s.claims = slices.DeleteFunc(s.claims, func(i int) bool { return !held(i) && taken(i) })
		s.lastSwitch = now
	}
	for tries := 0; len(s.claims) < need && tries < s.limit.SliceCount; tries++ {
		if i := s.nextSlice; !slices.Contains(s.claims, i) {
			s.claims = append(s.claims, i)
		}
		s.nextSlice = (s.nextSlice + 1) % s.limit.SliceCount
	}
	if len(s.claims) > need {
		s.claims = slices.DeleteFunc(s.claims, func(i int) bool { return !held(i) })
	}
	return slices.Clone(s.claims)
}

// RetryBudget bounds the retries of all processes together to a fraction of their recent first
// attempts.
type RetryBudget struct {
	Fraction float64       // of the first attempts within Period; above 0
	Period   time.Duration // above 0
	// Min is the number of retries that are always allowed, so that a fleet with little traffic can
	// retry.
	Min int
}

// Max returns the budget for a number of first attempts of all processes within Period.
func (r RetryBudget) Max(first int) int { return r.Min + int(r.Fraction*float64(first)) }
