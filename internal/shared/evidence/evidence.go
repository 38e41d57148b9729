// Package evidence holds what the processes of a fleet saw of the egress targets: outcomes of hops and probes, counted by
// process, target and window of time. What is merged is a join of cells that each have one writer and only grow, so that loss,
// repetition and order of messages change nothing once the cells have arrived.
//
// No clock is compared with another. A cell carries the number of its window since its writer's start; of each writer a reader
// keeps a time, by its own clock, before which that writer did not start as far as it is known (Store.Learn). It is learnt from
// answers only, counted from before the question was sent, so that a cell looks older than it is, never younger, whatever held
// its message up.
//
// It is pure: events come with their time; there is no clock, I/O, draw or map order.
package evidence

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Counts are outcomes of one window.
type Counts struct {
	OK      uint32 `cbor:"1,keyasint,omitempty"`
	Fail    uint32 `cbor:"2,keyasint,omitempty"` // answered with an error, refused or broken
	Silent  uint32 `cbor:"3,keyasint,omitempty"` // no connection came up, or a probe had no answer
	Slow    uint32 `cbor:"4,keyasint,omitempty"` // a hop without its answer in time
	ProbeOK uint32 `cbor:"5,keyasint,omitempty"` // a probe that was answered: there is somebody, whatever he does with requests
}

// Bad is how many were not OK.
func (c Counts) Bad() uint32 { return c.Fail + c.Silent + c.Slow }

// join takes the larger of each count: a cell has one writer, whose counts only grow.
func (c Counts) join(o Counts) Counts {
	return Counts{max(c.OK, o.OK), max(c.Fail, o.Fail), max(c.Silent, o.Silent), max(c.Slow, o.Slow), max(c.ProbeOK, o.ProbeOK)}
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.OK + o.OK, c.Fail + o.Fail, c.Silent + o.Silent, c.Slow + o.Slow, c.ProbeOK + o.ProbeOK}
}

// Key names a cell.
type Key struct {
	Writer uint64 // session of the process that saw it
	Target string // empty: Counts hold how many different targets did well or badly in the window
	Window uint32 // windows since the writer's start
}

// Writer is a process that saw something.
type Writer struct {
	Session uint64
	Name    string // two lives of one name are one witness
	Zone    string
}

// Config has the figures on which all processes must agree.
type Config struct {
	WindowLength time.Duration // of a window. Above 0
	Retention    time.Duration // older cells are dropped
	ClockDrift   float64       // largest error of a clock's rate against another's
	// Most cells and writers that are held; further ones are dropped and counted.
	MaxCells, MaxWriters int
}

// DefaultConfig has the figures that serve: 1,000 members, each with a cell for a hundred targets.
func DefaultConfig() Config {
	return Config{WindowLength: 500 * time.Millisecond, Retention: 30 * time.Second, ClockDrift: 0.02, MaxCells: 100_000, MaxWriters: 1_024}
}

// Flaws are mistakes to be planted in tests. The zero value has none.
type Flaws struct {
	MergeAdds bool // counts that arrive are added to what is there
}

type cell struct {
	counts     Counts
	changedSeq uint64 // the store's number of its last change
}

type writer struct {
	Writer
	start          time.Time // by the reader's clock, no later than the true one; zero: not learnt
	learnedAt      time.Time // it was learnt then
	reportedAt     time.Time // the word had left the writer itself by then
	minReportedAt  time.Time // a word that had left it before counts no more
	nextStart      time.Time // the latest start by what left the writer since span began; it takes start's place when the span is over
	nextLearnedAt  time.Time // next was learnt then...
	nextReportedAt time.Time // ...and had left the writer by then
	relearnBegan   time.Time
	cells          map[string][]windowCell
	badCells       int // cells with trouble: this process accuses, and its sums are told
}

type windowCell struct {
	number uint32
	cell
}

// Store is one process's evidence. The zero value is not usable.
type Store struct {
	cfg      Config
	flaws    Flaws
	self     *writer
	writers  []*writer // by session
	cells    int
	badCells map[string]int // cells with trouble, by target: those targets are disputed
	seq      uint64
	Dropped  uint64 // cells for which there was no room
}

// New returns the store of a process that starts now.
func New(now time.Time, me Writer, c Config, f Flaws) *Store {
	s := &Store{cfg: c, flaws: f, badCells: make(map[string]int)}
	s.self = s.findOrAdd(me)
	s.self.start, s.self.learnedAt = now, now
	return s
}

// Self is the process whose store it is.
func (s *Store) Self() Writer { return s.self.Writer }

// Seq is the number of the last change.
func (s *Store) Seq() uint64 { return s.seq }

// Disputed tells whether anybody had trouble with any target.
func (s *Store) Disputed() bool { return len(s.badCells) > 0 }

// Cells is how many there are.
func (s *Store) Cells() int { return s.cells }

func (s *Store) find(session uint64) (int, bool) {
	return slices.BinarySearchFunc(s.writers, session, func(w *writer, id uint64) int { return cmp.Compare(w.Session, id) })
}

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

// windowAt is the number of the own window now.
func (s *Store) windowAt(now time.Time) uint32 {
	return uint32(max(now.Sub(s.self.start), 0) / s.cfg.WindowLength)
}

// Record takes an outcome of this process's own, with counts of one.
func (s *Store) Record(now time.Time, target string, c Counts) {
	n := s.windowAt(now)
	seen := s.get(s.self, target, n)
	if c.Bad() == 0 && s.badCells[target] > 0 && s.positiveWitnesses(now, target) >= sufficientWitnesses {
		s.updateSums(n, Counts{OK: 1}, seen)
		return
	}
	s.put(s.self, target, n, seen.add(c))
	s.updateSums(n, c, seen)
}

// updateSums counts a target in the window's sums: once as one that did well, once as one that did badly.
func (s *Store) updateSums(n uint32, c, seen Counts) {
	first := Counts{}
	if seen.OK+seen.ProbeOK == 0 && c.OK+c.ProbeOK > 0 {
		first.OK = 1
	}
	if seen.Bad() == 0 && c.Bad() > 0 {
		first.Fail = 1
	}
	if first != (Counts{}) {
		s.put(s.self, "", n, s.get(s.self, "", n).add(first))
	}
}

// sufficientWitnesses is how many witnesses speak for a disputed target before this process spares the others its own good word on it.
const sufficientWitnesses = 8

// positiveWitnesses counts processes that did well with a target within the last two windows.
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

// OwnCounts is what this process itself saw of a target in a window.
func (s *Store) OwnCounts(target string, n uint32) Counts { return s.get(s.self, target, n) }

// put sets a cell and tells whether that is a change.
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
	was := Counts{}
	if ok {
		was = list[i].counts
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
	if target != "" && was.Bad() == 0 && c.Bad() > 0 {
		s.addDispute(target)
		s.addBadCell(w)
	}
	return true
}

// addBadCell counts a cell with trouble of a writer. With its first one its sums become news: they tell whether it has trouble with
// everybody.
func (s *Store) addBadCell(w *writer) {
	if w.badCells++; w.badCells > 1 {
		return
	}
	for i := range w.cells[""] {
		s.seq++
		w.cells[""][i].changedSeq = s.seq
	}
}

// addDispute counts a cell with trouble. With a target's first one, what is known in its favour becomes news that is told.
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

// LimitPrefix begins the names of cells that tell a limit's use in place of a target's outcomes: OK is the use, at the most in that
// window, Seen what was wanted in it. They are told always, and only the latest are kept.
const LimitPrefix = "limit/"

// keptUseWindows is how many windows of a limit's use are kept.
const keptUseWindows = 2

// LimitKey is the name of the cells of a limit.
func LimitKey(limit string) string { return LimitPrefix + limit }

// RecordUse takes this process's use of a limit now, by its LimitKey, and what was wanted of late.
func (s *Store) RecordUse(now time.Time, key string, use, want int) {
	n := s.windowAt(now)
	c := s.get(s.self, key, n)
	s.put(s.self, key, n, Counts{OK: max(c.OK, uint32(use)), ProbeOK: max(c.ProbeOK, uint32(want))})
}

// EachUse calls f for the latest use of a limit by each process of which an age is known, this one included, by session.
func (s *Store) EachUse(now time.Time, key string, f func(w Writer, use, want int, age time.Duration)) {
	for _, w := range s.writers {
		if list := w.cells[key]; len(list) > 0 && !w.start.IsZero() {
			last := list[len(list)-1]
			// The use is as of some time in that window.
			f(w.Writer, int(last.counts.OK), int(last.counts.ProbeOK), s.age(now, w, last.number)+s.cfg.WindowLength)
		}
	}
}

// MergeCell merges a cell that another process passed on, and tells whether it was news. What is held of this process by others
// changes nothing: it knows best.
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

// LearnStart takes word that a writer had run for at most age when a question was answered that this process sent at asked. Of
// several words the one that makes it start latest holds; it fades by what clocks may drift meanwhile, and gives way to
// later words after a while: a clock that was set ahead makes a writer seem to have started earlier, for good. old is how long ago
// the word had left the writer itself, at the most: two that vouch to each other for what it said before its clock was set must
// not keep that alive, so that only words count then that left it since.
func (s *Store) LearnStart(asked time.Time, by Writer, age, old time.Duration) {
	w := s.findOrAdd(by)
	said := asked.Add(-max(old, 0))
	if w == nil || w == s.self || age < 0 || said.Before(w.minReportedAt) {
		return
	}
	start := asked.Add(-age)
	if w.start.IsZero() || start.After(s.startBound(asked, w)) {
		w.start, w.learnedAt, w.reportedAt = start, asked, said
	}
	if w.relearnBegan.IsZero() {
		w.relearnBegan = asked
	}
	if said.Before(w.relearnBegan) {
		return
	}
	if w.nextStart.IsZero() || start.After(w.nextStart) {
		w.nextStart, w.nextLearnedAt, w.nextReportedAt = start, asked, said
	}
	if asked.Sub(w.relearnBegan) >= relearnInterval {
		w.start, w.learnedAt, w.reportedAt = w.nextStart, w.nextLearnedAt, w.nextReportedAt
		w.minReportedAt, w.relearnBegan, w.nextStart = w.relearnBegan, asked, time.Time{}
	}
}

// relearnInterval is after which time what was learnt of a writer's start gives way to what was learnt since.
const relearnInterval = 5 * time.Second

// startBound is when a writer startBound, as far as it is certain now.
func (s *Store) startBound(now time.Time, w *writer) time.Time {
	return w.start.Add(-time.Duration(float64(max(now.Sub(w.learnedAt), 0)) * s.cfg.ClockDrift))
}

// Uptime is for how long a writer has run at the most, and how long ago it had said so itself, at the most: that is what others may
// Learn; ok is false if it is not known.
func (s *Store) Uptime(now time.Time, session uint64) (age, old time.Duration, ok bool) {
	i, ok := s.find(session)
	if !ok || s.writers[i].start.IsZero() {
		return 0, 0, false
	}
	w := s.writers[i]
	if w != s.self {
		old = time.Duration(float64(max(now.Sub(w.reportedAt), 0)) * (1 + s.cfg.ClockDrift))
	}
	return now.Sub(s.startBound(now, w)), old, true
}

// age of a cell is the time since its window's end, at the least 0; it is never under the true one.
func (s *Store) age(now time.Time, w *writer, n uint32) time.Duration {
	return max(now.Sub(s.startBound(now, w).Add(time.Duration(n+1)*s.cfg.WindowLength)), 0)
}

// Observation is a cell with what is known of its writer and its age.
type Observation struct {
	Writer
	Target string
	Window uint32
	Counts
	Age time.Duration // at the least the true time since the window's end
}

// Each calls f for each cell of which an age is known and which is no older than within, in the order of writers' sessions; of
// one writer in the order of targets, then windows.
func (s *Store) Each(now time.Time, within time.Duration, f func(Observation)) {
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
				if age := s.age(now, w, c.number); age <= within {
					f(Observation{w.Writer, t, c.number, c.counts, age})
				}
			}
		}
	}
}

// Expire drops what is too old to count, or of which no age has become known for as long.
func (s *Store) Expire(now time.Time) {
	kept := s.writers[:0]
	for _, w := range s.writers {
		if w.start.IsZero() && w.learnedAt.IsZero() {
			w.learnedAt = now // an age may still come
		}
		unknown := w.start.IsZero() && now.Sub(w.learnedAt) > s.cfg.Retention
		for t, list := range w.cells { // in no order: each is dropped for itself
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
