// Package evidence holds what the processes of a fleet observed of the egress targets: the outcomes
// of hops and probes, counted by process, target and time window. Stores are merged by joining
// cells. Each cell has one writer and its counts only grow, so that lost, repeated and reordered
// messages make no difference once the cells have arrived.
//
// Clocks of different processes are never compared. A cell carries the number of its window since
// the start of its writer. For each writer a reader keeps a time, by the reader's own clock, before
// which that writer is known not to have started (see Store.LearnStart). It is learned from answers
// only and counted from before the query was sent, so that a cell may look older than it is but
// never younger, however long its message was delayed.
//
// The package is deterministic: events are passed in with their time, and it uses no clock, I/O,
// random numbers or map order.
package evidence

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Counts are the numbers of outcomes in one window.
type Counts struct {
	OK   uint32 `cbor:"1,keyasint,omitempty"`
	Fail uint32 `cbor:"2,keyasint,omitempty"` // answered with an error, refused or broken off
	// Silent counts hops without a connection and probes without an answer.
	Silent uint32 `cbor:"3,keyasint,omitempty"`
	Slow   uint32 `cbor:"4,keyasint,omitempty"` // hops that were not answered in time
	// ProbeOK counts answered probes: the target is alive, but it may still fail requests.
	ProbeOK uint32 `cbor:"5,keyasint,omitempty"`
}

// Bad returns the number of outcomes that were not successful.
func (c Counts) Bad() uint32 { return c.Fail + c.Silent + c.Slow }

// join returns the larger of each count. A cell has one writer, whose counts only grow.
func (c Counts) join(o Counts) Counts {
	return Counts{max(c.OK, o.OK), max(c.Fail, o.Fail), max(c.Silent, o.Silent), max(c.Slow, o.Slow), max(c.ProbeOK, o.ProbeOK)}
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.OK + o.OK, c.Fail + o.Fail, c.Silent + o.Silent, c.Slow + o.Slow, c.ProbeOK + o.ProbeOK}
}

// Key identifies a cell.
type Key struct {
	Writer uint64 // session of the process that observed it
	// Target is empty for the sums: Counts are then the numbers of different targets that succeeded
	// or failed in the window.
	Target string
	Window uint32 // number of windows since the writer's start
}

// Writer identifies a process that observed something.
type Writer struct {
	Session uint64
	Name    string // processes with one name, such as before and after a restart, are one witness
	Zone    string
}

// Config has the settings that must be equal in all processes.
type Config struct {
	WindowLength time.Duration // above 0
	Retention    time.Duration // older cells are dropped
	ClockDrift   float64       // largest relative error of one clock's rate against another's
	// MaxCells and MaxWriters bound what is stored. Further cells and writers are dropped and
	// counted.
	MaxCells, MaxWriters int
}

// DefaultConfig returns the default settings. Their bounds suffice for 1,000 members, each with a
// cell for one hundred targets.
func DefaultConfig() Config {
	return Config{WindowLength: 500 * time.Millisecond, Retention: 30 * time.Second, ClockDrift: 0.02, MaxCells: 100_000, MaxWriters: 1_024}
}

// Flaws are deliberate faults that tests enable. The zero value has none.
type Flaws struct {
	MergeAdds bool // received counts are added to the stored ones
}

type cell struct {
	counts     Counts
	changedSeq uint64 // the store's sequence number at the last change
}

type writer struct {
	Writer
	// start is no later than the true start, by the clock of the reader; zero: unknown.
	start time.Time
	// learnedAt is when start was learned. While start is zero, it is when Expire first saw the
	// writer.
	learnedAt     time.Time
	reportedAt    time.Time // the report behind start had left the writer by this time
	minReportedAt time.Time // reports that left the writer before this time are ignored
	// nextStart is the latest start in the reports that left the writer since relearnBegan. It
	// replaces start after relearnInterval.
	nextStart      time.Time
	nextLearnedAt  time.Time // when nextStart was learned
	nextReportedAt time.Time // the report behind nextStart had left the writer by this time
	relearnBegan   time.Time // when collecting nextStart began; zero: not begun
	cells          map[string][]windowCell
	badCells       int // cells with failures; if there are any, the sums of the writer are sent
}

type windowCell struct {
	number uint32
	cell
}

// Store holds the evidence that one process has. The zero value is not usable; see New.
type Store struct {
	cfg      Config
	flaws    Flaws
	self     *writer
	writers  []*writer      // sorted by session
	cells    int            // number of cells of all writers
	badCells map[string]int // cells with failures, by target; these targets are disputed
	seq      uint64         // sequence number of the last change
	Dropped  uint64         // cells for which there was no room
}

// New returns the store of a process that starts now.
func New(now time.Time, self Writer, c Config, f Flaws) *Store {
	s := &Store{cfg: c, flaws: f, badCells: make(map[string]int)}
	s.self = s.findOrAdd(self)
	s.self.start, s.self.learnedAt = now, now
	return s
}

// Self returns the process to which the store belongs.
func (s *Store) Self() Writer { return s.self.Writer }

// Seq returns the sequence number of the last change.
func (s *Store) Seq() uint64 { return s.seq }

// Disputed reports whether any process had a failure with any target.
func (s *Store) Disputed() bool { return len(s.badCells) > 0 }

// Cells returns the number of stored cells.
func (s *Store) Cells() int { return s.cells }

func (s *Store) find(session uint64) (int, bool) {
	return slices.BinarySearchFunc(s.writers, session, func(w *writer, id uint64) int { return cmp.Compare(w.Session, id) })
}

// findOrAdd returns the writer with the session of w and adds it if it is unknown. It returns nil
// if there is no room for another writer.
func (s *Store) findOrAdd(w Writer) *writer {
	i, ok := s.find(w.Session)
	if ok {
		return s.writers[i]
	}
	if len(s.writers) >= s.cfg.MaxWriters {
		return nil
	}
	n := &writer{Writer: w, cells: make(map[string][]windowCell)}
	s.writers = slices.Insert(s.writers, i, n)
	return n
}

// windowAt returns the number of this process's window at a time.
func (s *Store) windowAt(now time.Time) uint32 {
	return uint32(max(now.Sub(s.self.start), 0) / s.cfg.WindowLength)
}

// Record adds an outcome that this process observed. The counts in c are 0 or 1. A success with a
// disputed target for which there are at least sufficientWitnesses witnesses with successes is
// counted in the sums only.
func (s *Store) Record(now time.Time, target string, c Counts) {
	n := s.windowAt(now)
	previous := s.get(s.self, target, n)
	if c.Bad() == 0 && s.badCells[target] > 0 && s.positiveWitnesses(now, target) >= sufficientWitnesses {
		s.updateSums(n, Counts{OK: 1}, previous)
		return
	}
	s.put(s.self, target, n, previous.add(c))
	s.updateSums(n, c, previous)
}

// updateSums counts a target in the sums of a window: at most once as successful and at most once
// as failed.
func (s *Store) updateSums(n uint32, c, previous Counts) {
	first := Counts{}
	if previous.OK+previous.ProbeOK == 0 && c.OK+c.ProbeOK > 0 {
		first.OK = 1
	}
	if previous.Bad() == 0 && c.Bad() > 0 {
		first.Fail = 1
	}
	if first != (Counts{}) {
		s.put(s.self, "", n, s.get(s.self, "", n).add(first))
	}
}

// sufficientWitnesses is the number of witnesses with successes for a disputed target from which on
// this process no longer sends its own successes with it.
const sufficientWitnesses = 8

// positiveWitnesses counts the processes that had a success with a target within the last two
// windows.
func (s *Store) positiveWitnesses(now time.Time, target string) int {
	n := 0
	for _, w := range s.writers {
		for _, c := range w.cells[target] {
			if c.counts.OK+c.counts.ProbeOK > 0 && !w.start.IsZero() && s.age(now, w, c.number) < s.cfg.WindowLength {
				n++
				break
			}
		}
	}
	return n
}

func (s *Store) get(w *writer, target string, n uint32) Counts {
	for _, c := range w.cells[target] {
		if c.number == n {
			return c.counts
		}
	}
	return Counts{}
}

// OwnCounts returns what this process itself observed of a target in one of its own windows, which
// are numbered from its start.
func (s *Store) OwnCounts(target string, windowNumber uint32) Counts {
	return s.get(s.self, target, windowNumber)
}

// put sets a cell and reports whether that changed it.
func (s *Store) put(w *writer, target string, n uint32, c Counts) bool {
	list := w.cells[target]
	i, ok := slices.BinarySearchFunc(list, n, func(x windowCell, n uint32) int { return cmp.Compare(x.number, n) })
	if ok && list[i].counts == c {
		return false
	}
	if !ok && s.cells >= s.cfg.MaxCells {
		s.Dropped++
		return false
	}
	old := Counts{}
	if ok {
		old = list[i].counts
	}
	s.seq++
	if ok {
		list[i].cell = cell{c, s.seq}
	} else {
		s.cells++
		w.cells[target] = slices.Insert(list, i, windowCell{n, cell{c, s.seq}})
	}
	if strings.HasPrefix(target, LimitPrefix) {
		for len(w.cells[target]) > keptUseWindows {
			w.cells[target] = slices.Delete(w.cells[target], 0, 1)
			s.cells--
		}
		return true
	}
	if target != "" && old.Bad() == 0 && c.Bad() > 0 {
		s.addDispute(target)
		s.addBadCell(w)
	}
	return true
}

// addBadCell counts a cell with failures of a writer. The first one marks the sums of the writer as
// changed, so that they are sent: they tell whether the writer has failures with every target.
func (s *Store) addBadCell(w *writer) {
	if w.badCells++; w.badCells > 1 {
		return
	}
	for i := range w.cells[""] {
		s.seq++
		w.cells[""][i].changedSeq = s.seq
	}
}

// addDispute counts a cell with failures of a target. The first one marks all cells of the target
// as changed, so that the successes with it are sent.
func (s *Store) addDispute(target string) {
	if s.badCells[target]++; s.badCells[target] > 1 {
		return
	}
	for _, w := range s.writers {
		for i := range w.cells[target] {
			s.seq++
			w.cells[target][i].changedSeq = s.seq
		}
	}
}

// LimitPrefix is the prefix of the names of cells that hold the use of a limit in place of the
// outcomes of a target. In these cells OK is the highest use and ProbeOK the highest demand in the
// window. They are always sent, and only the latest ones are kept.
const LimitPrefix = "limit/"

// keptUseWindows is the number of windows for which the use of a limit is kept.
const keptUseWindows = 2

// LimitKey returns the name of the cells of a limit.
func LimitKey(limit string) string { return LimitPrefix + limit }

// RecordUse records this process's current use of a limit and its recent demand. Within a window it
// does not add to earlier calls: the highest use and the highest demand are kept. The limit is
// given by its LimitKey.
func (s *Store) RecordUse(now time.Time, key string, use, demand int) {
	n := s.windowAt(now)
	c := s.get(s.self, key, n)
	s.put(s.self, key, n, Counts{OK: max(c.OK, uint32(use)), ProbeOK: max(c.ProbeOK, uint32(demand))})
}

// EachUse calls f with the latest use of a limit by each process whose age is known, including this
// one, in the order of sessions.
func (s *Store) EachUse(now time.Time, key string, f func(w Writer, use, demand int, age time.Duration)) {
	for _, w := range s.writers {
		if list := w.cells[key]; len(list) > 0 && !w.start.IsZero() {
			last := list[len(list)-1]
			// The use may have been recorded at any time within the window.
			f(w.Writer, int(last.counts.OK), int(last.counts.ProbeOK), s.age(now, w, last.number)+s.cfg.WindowLength)
		}
	}
}

// MergeCell merges a cell that another process sent and reports whether it changed anything. Cells
// of this process itself are ignored, since its own counts are complete.
func (s *Store) MergeCell(by Writer, target string, n uint32, c Counts) bool {
	if by.Session == s.self.Session {
		return false
	}
	w := s.findOrAdd(by)
	if w == nil {
		s.Dropped++
		return false
	}
	old := s.get(w, target, n)
	if s.flaws.MergeAdds {
		return s.put(w, target, n, old.add(c))
	}
	return s.put(w, target, n, old.join(c))
}

// LearnStart takes a report that a writer had run for at most uptime when it answered a query that
// this process sent at askedAt. reportAge is an upper bound of the time since the report had left
// the writer itself, which differs from zero if another process forwarded it.
//
// Of several reports the one with the latest start is used. Its start moves back with time by what
// the clocks may have drifted since, and after relearnInterval it is replaced by what was learned
// in the meantime, since a writer whose clock was set ahead would otherwise seem to have started
// earlier for ever. Only reports that left the writer since then count for the replacement:
// otherwise two processes that forward to each other what the writer reported before its clock was
// set would keep it alive.
func (s *Store) LearnStart(askedAt time.Time, by Writer, uptime, reportAge time.Duration) {
	w := s.findOrAdd(by)
	reportedAt := askedAt.Add(-max(reportAge, 0))
	if w == nil || w == s.self || uptime < 0 || reportedAt.Before(w.minReportedAt) {
		return
	}
	start := askedAt.Add(-uptime)
	if w.start.IsZero() || start.After(s.startBound(askedAt, w)) {
		w.start, w.learnedAt, w.reportedAt = start, askedAt, reportedAt
	}
	if w.relearnBegan.IsZero() {
		w.relearnBegan = askedAt
	}
	if reportedAt.Before(w.relearnBegan) {
		return
	}
	if w.nextStart.IsZero() || start.After(w.nextStart) {
		w.nextStart, w.nextLearnedAt, w.nextReportedAt = start, askedAt, reportedAt
	}
	if askedAt.Sub(w.relearnBegan) >= relearnInterval {
		w.start, w.learnedAt, w.reportedAt = w.nextStart, w.nextLearnedAt, w.nextReportedAt
		w.minReportedAt, w.relearnBegan, w.nextStart = w.relearnBegan, askedAt, time.Time{}
	}
}

// relearnInterval is the time after which the start of a writer is replaced by what was learned of
// it in the meantime.
const relearnInterval = 5 * time.Second

// startBound returns a time at or before the start of a writer, by the clock of this process, with
// the drift of the clocks up to now taken into account.
func (s *Store) startBound(now time.Time, w *writer) time.Time {
	return w.start.Add(-time.Duration(float64(max(now.Sub(w.learnedAt), 0)) * s.cfg.ClockDrift))
}

// Uptime returns an upper bound of the time for which a writer has run and an upper bound of the
// time since the writer itself reported it. Other processes pass them to LearnStart. ok is false if
// the start of the writer is unknown.
func (s *Store) Uptime(now time.Time, session uint64) (uptime, reportAge time.Duration, ok bool) {
	i, ok := s.find(session)
	if !ok || s.writers[i].start.IsZero() {
		return 0, 0, false
	}
	w := s.writers[i]
	if w != s.self {
		reportAge = time.Duration(float64(max(now.Sub(w.reportedAt), 0)) * (1 + s.cfg.ClockDrift))
	}
	return now.Sub(s.startBound(now, w)), reportAge, true
}

// age returns the age of a cell: the time since the end of its window, at least 0. It is never
// below the true age.
func (s *Store) age(now time.Time, w *writer, n uint32) time.Duration {
	return max(now.Sub(s.startBound(now, w).Add(time.Duration(n+1)*s.cfg.WindowLength)), 0)
}

// Observation is what one process observed of one target in one window: a cell with its writer and
// age. An empty Target and the number Window mean the same as in Key.
type Observation struct {
	Writer
	Target string
	Window uint32
	Counts
	Age time.Duration // at least the true time since the end of the window
}

// Each calls f for each cell whose age is known and at most maxAge, except the cells of limits. It
// calls f in the order of the writers' sessions, then of targets, then of windows.
func (s *Store) Each(now time.Time, maxAge time.Duration, f func(Observation)) {
	var targets []string
	for _, w := range s.writers {
		if w.start.IsZero() {
			continue
		}
		targets = targets[:0]
		for t := range w.cells {
			if !strings.HasPrefix(t, LimitPrefix) {
				targets = append(targets, t)
			}
		}
		slices.Sort(targets)
		for _, t := range targets {
			for _, c := range w.cells[t] {
				if age := s.age(now, w, c.number); age <= maxAge {
					f(Observation{w.Writer, t, c.number, c.counts, age})
				}
			}
		}
	}
}

// Expire drops cells that are older than Config.Retention and cells whose age has stayed unknown
// for as long.
func (s *Store) Expire(now time.Time) {
	kept := s.writers[:0]
	for _, w := range s.writers {
		if w.start.IsZero() && w.learnedAt.IsZero() {
			w.learnedAt = now // the start may still be learned
		}
		unknown := w.start.IsZero() && now.Sub(w.learnedAt) > s.cfg.Retention
		for t, list := range w.cells { // in any order: cells are dropped independently
			left := list[:0]
			for _, c := range list {
				if !unknown && (w.start.IsZero() || s.age(now, w, c.number) <= s.cfg.Retention) {
					left = append(left, c)
				} else if t != "" && c.counts.Bad() > 0 {
					w.badCells--
					if s.badCells[t]--; s.badCells[t] == 0 {
						delete(s.badCells, t)
					}
				}
			}
			s.cells -= len(list) - len(left)
			if w.cells[t] = left; len(left) == 0 {
				delete(w.cells, t)
			}
		}
		if w == s.self || len(w.cells) > 0 {
			kept = append(kept, w)
		}
	}
	clear(s.writers[len(kept):])
	s.writers = kept
}
