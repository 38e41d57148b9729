package evidence

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

func store(id uint64, f Flaws) *Store {
	return New(t0, Writer{id, fmt.Sprint("p", id), "z"}, DefaultConfig(), f)
}

// contents formats the cells that stores exchange: those of disputed targets and the sums of
// writers with failures. Ages are left out.
func (s *Store) contents() string {
	out := ""
	for _, w := range s.writers {
		for _, t := range []string{"", "a", "b", "c"} {
			for _, c := range w.cells[t] {
				if t != "" && s.badCells[t] > 0 || t == "" && w.badCells > 0 {
					out += fmt.Sprintln(w.Session, t, c.number, c.counts)
				}
			}
		}
	}
	return out
}

// Messages are lost, repeated and reordered. Once the links work again, all stores hold the same
// cells of the disputed targets.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { converge(t, Flaws{}, true) })
}

// The check of TestStoresConverge detects a store that adds received counts, so that a repeated
// message counts twice.
func TestConvergenceCheckDetectsAddition(t *testing.T) {
	found := false
	for seed := range 50 {
		if !rapid.Custom(func(t *rapid.T) bool { return converge(t, Flaws{MergeAdds: true}, false) }).Example(seed) {
			found = true
		}
	}
	if !found {
		t.Error("no seed of 50 detected a store that adds the counts of repeated messages")
	}
}

// converge lets stores exchange messages over unreliable links and reports whether they hold the
// same cells once the links work again. If fail is set, it fails the test if they do not.
func converge(t *rapid.T, f Flaws, fail bool) bool {
	n := rapid.IntRange(2, 5).Draw(t, "stores")
	var stores []*Store
	var gossips []*Gossip
	for i := range n {
		stores = append(stores, store(uint64(i+1), f))
		gossips = append(gossips, NewGossip(stores[i], time.Second))
	}
	type sent struct {
		to int
		m  *Message
	}
	var inTransit []sent
	now := t0
	answer := func(of, to int, q *Message) {
		for _, m := range stores[of].Answer(now, q) {
			text, err := m.Encode()
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(text)
			if err != nil {
				t.Fatal(err)
			}
			inTransit = append(inTransit, sent{to, got})
		}
	}
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
		i := rapid.IntRange(0, n-1).Draw(t, "who")
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0:
			target := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
			stores[i].Record(now, target, rapid.SampledFrom([]Counts{{OK: 1}, {Fail: 1}, {Silent: 1}, {ProbeOK: 1}}).Draw(t, "counts"))
		case 1:
			if j := (i + 1) % n; rapid.Bool().Draw(t, "query arrives") {
				answer(j, i, gossips[i].Query(now, uint64(j+1)))
			}
		case 2: // a message in transit arrives, and may arrive again
			if len(inTransit) > 0 {
				k := rapid.IntRange(0, len(inTransit)-1).Draw(t, "message")
				gossips[inTransit[k].to].Receive(inTransit[k].m)
				if rapid.Bool().Draw(t, "once") {
					inTransit = slices.Delete(inTransit, k, k+1)
				}
			}
		case 3:
			if update := gossips[i].UrgentUpdate(now); update != nil {
				inTransit = append(inTransit, sent{(i + 1) % n, update})
			}
		}
	}
	inTransit = nil // the remaining messages are lost; then the links work again
	for range 4 * n {
		for i := range n {
			j := (i + 1) % n
			answer(j, i, gossips[i].Query(now, uint64(j+1)))
			for _, x := range inTransit {
				gossips[x.to].Receive(x.m)
			}
			inTransit = nil
		}
	}
	for i := range stores {
		if stores[i].contents() != stores[0].contents() {
			if fail {
				t.Fatalf("store %d holds\n%sstore 0 holds\n%s", i, stores[i].contents(), stores[0].contents())
			}
			return false
		}
	}
	// No store holds other counts of a process's own observations than that process itself.
	for _, s := range stores {
		for _, w := range stores {
			i, ok := s.find(w.Self().Session)
			if !ok {
				continue
			}
			for target, list := range s.writers[i].cells {
				for _, c := range list {
					if own := w.get(w.self, target, c.number); own != c.counts {
						if fail {
							t.Fatalf("%s: a store holds %v of session %d, which itself has %v", target, c.counts, w.Self().Session, own)
						}
						return false
					}
				}
			}
		}
	}
	return true
}

// A cell never looks younger than it is, however long a link delays a message.
func TestAgesAreNeverTooSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		a := store(1, Flaws{})
		skew := time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew")) * time.Millisecond
		b := New(t0.Add(skew), Writer{2, "b", "z"}, DefaultConfig(), Flaws{})
		g := NewGossip(b, time.Second)
		begin := t0.Add(ms("begin", 5000))
		a.Record(begin, "x", Counts{Fail: 1})
		asked := begin.Add(ms("asked", 5000))
		q := g.Query(asked.Add(skew), 1)
		answered := asked.Add(ms("way", 8000))
		text, _ := a.Answer(answered, q)[0].Encode()
		m, _ := Decode(text)
		arrived := answered.Add(ms("back", 30000))
		g.Receive(m)
		found := false
		b.Each(arrived.Add(skew), time.Hour, func(x Observation) {
			if x.Target != "x" {
				return
			}
			found = true
			// The window ends at most one window length after the observation.
			if trueAge := arrived.Sub(begin) - a.cfg.WindowLength; x.Age < trueAge {
				t.Fatalf("cell has age %v, true age is %v", x.Age, trueAge)
			}
		})
		if !found {
			t.Fatal("the cell was not merged")
		}
	})
}

// The cells of an unsolicited update have no age until an answer has reported the uptime of their
// writer. A late answer does not change a known start.
func TestUnsolicitedUpdateNeedsAge(t *testing.T) {
	a, b := store(1, Flaws{}), store(2, Flaws{})
	a.Record(t0.Add(time.Second), "x", Counts{Fail: 1})
	b.Merge(time.Time{}, a.UrgentUpdate(t0.Add(time.Second), 0))
	n := 0
	count := func(at time.Time) int {
		n = 0
		b.Each(at, 10*time.Second, func(x Observation) {
			if x.Target == "x" {
				n++
			}
		})
		return n
	}
	if count(t0.Add(time.Second)) != 0 {
		t.Error("a cell of unknown age is reported")
	}
	g := NewGossip(b, time.Second)
	q := g.Query(t0.Add(2*time.Second), 1)
	g.Receive(a.Answer(t0.Add(2*time.Second), q)[0])
	if count(t0.Add(2*time.Second)) != 1 {
		t.Error("the cell is not reported although its age is known")
	}
	// An answer that took 20 s to arrive only shows that the writer may have started up to 20 s
	// earlier, which must change nothing.
	q = g.Query(t0.Add(3*time.Second), 1)
	m := a.Answer(t0.Add(23*time.Second), q)[0]
	g.Receive(m)
	if uptime, _, _ := b.Uptime(t0.Add(3*time.Second), 1); uptime > 4*time.Second {
		t.Errorf("uptime of the writer is %v, want at most 4s", uptime)
	}
}

// A repeated query is answered with the changes since the last one, and with everything after an
// answer was lost.
func TestRepeatedQueryReturnsChanges(t *testing.T) {
	a, b := store(1, Flaws{}), store(2, Flaws{})
	g := NewGossip(b, time.Second)
	now, cells := t0, 0
	step := func(lose bool) (inAnswer int) {
		now = now.Add(time.Second)
		a.Record(now, "x", Counts{Fail: 1})
		cells = 2 * int(now.Sub(t0)/time.Second) // one of the target and one of the sums per window
		for _, m := range a.Answer(now, g.Query(now, 1)) {
			for _, r := range m.Rows {
				inAnswer += len(r.Cells)
			}
			if !lose {
				g.Receive(m)
			}
		}
		return inAnswer
	}
	for range 10 {
		if inAnswer := step(false); inAnswer > 2 && cells > 2 {
			t.Fatalf("answer has %d cells, want the 2 new ones", inAnswer)
		}
	}
	step(true)
	for range 4 {
		step(true)
	}
	if inAnswer := step(false); inAnswer != cells {
		t.Errorf("answer after lost ones has %d cells, want all %d", inAnswer, cells)
	}
}

// An answer to a query from before the querying process restarted must not pass for an answer to a
// query of the restarted process: its writer would look as young as it was at the earlier query.
func TestAnswerToQueryBeforeRestart(t *testing.T) {
	a := store(1, Flaws{})
	a.Record(t0.Add(time.Second), "x", Counts{Fail: 1})
	beforeRestart := NewGossip(store(2, Flaws{}), time.Second)
	late := a.Answer(t0.Add(time.Second), beforeRestart.Query(t0.Add(time.Second), 1))[0]
	b := store(3, Flaws{})
	g := NewGossip(b, time.Second)
	g.Query(t0.Add(20*time.Second), 1)
	g.Receive(late)
	if uptime, _, ok := b.Uptime(t0.Add(20*time.Second), 1); ok && uptime < 20*time.Second {
		t.Errorf("uptime of the writer is %v, want 20s or more", uptime)
	}
}

// The clock of a writer is set ahead by 3 s. The windows that it numbers from then on look that
// much younger until its start is learned anew. Two other processes that keep querying each other
// must not keep alive what the writer reported before.
func TestStartBeforeClockJumpIsReplaced(t *testing.T) {
	const jump = 3 * time.Second
	w, x, y := store(1, Flaws{}), store(2, Flaws{}), store(3, Flaws{})
	gx, gy := NewGossip(x, time.Second), NewGossip(y, time.Second)
	latestAge := func(s *Store, now time.Time) (age time.Duration) {
		age = time.Hour
		s.Each(now, time.Hour, func(c Observation) {
			if c.Session == 1 && c.Target == "x" {
				age = min(age, c.Age)
			}
		})
		return age
	}
	for i := range 60 {
		now := t0.Add(time.Duration(i) * 500 * time.Millisecond)
		own := now
		if i >= 10 {
			own = now.Add(jump)
		}
		w.Record(own, "x", Counts{Fail: 1})
		query := func(g *Gossip, of *Store, at time.Time) {
			for _, m := range of.Answer(at, g.Query(now, of.Self().Session)) {
				g.Receive(m)
			}
		}
		query(gx, w, own)
		if i%2 == 0 {
			query(gy, w, own)
		}
		query(gx, y, now)
		query(gy, x, now)
		for name, s := range map[string]*Store{"x": x, "y": y} {
			// The observations of the last two windows are at most one second old.
			if uptime, _, ok := s.Uptime(now, 1); i >= 10+2*20 && ok && uptime < now.Sub(t0)+jump-time.Second {
				t.Fatalf("after %v: store %s has uptime %v for the writer, which is %v by its own clock; age of its latest cell %v", now.Sub(t0), name, uptime, own.Sub(t0), latestAge(s, now))
			}
		}
	}
}

// A store is bounded, whatever its peers send, and drops old cells.
func TestStoreIsBounded(t *testing.T) {
	c := DefaultConfig()
	c.MaxCells, c.MaxWriters = 50, 3
	s := New(t0, Writer{1, "p1", "z"}, c, Flaws{})
	for w := range uint64(10) {
		for n := range uint32(40) {
			s.MergeCell(Writer{w + 2, "x", "z"}, "a", n, Counts{Fail: 1})
		}
	}
	if s.Cells() > 50 || len(s.writers) > 3 || s.Dropped == 0 {
		t.Errorf("%d cells of %d writers, %d dropped; want at most 50 of 3, and some dropped", s.Cells(), len(s.writers), s.Dropped)
	}
	s.Expire(t0)
	s.Expire(t0.Add(c.Retention + time.Second))
	if s.Cells() != 0 || s.Disputed() {
		t.Errorf("%d cells remain after the retention period, or a target is still disputed", s.Cells())
	}
}

// Decode refuses bytes that are not a message, and nothing in them determines the size of an
// allocation.
func FuzzDecode(f *testing.F) {
	m := &Message{Seq: 3, Rows: []Row{{Session: 1, Name: "p", UptimeMS: 5, Cells: []Cell{{"a", 2, Counts{Fail: 1}}}}}}
	text, _ := m.Encode()
	f.Add(text)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := Decode(b); err == nil {
			store(9, Flaws{}).Merge(time.Time{}, m)
		}
	})
}

// Recording an outcome in an existing cell allocates nothing and takes well under one microsecond.
func BenchmarkRecord(b *testing.B) {
	s := store(1, Flaws{})
	s.Record(t0, "a", Counts{OK: 1})
	b.ReportAllocs()
	for b.Loop() {
		s.Record(t0, "a", Counts{OK: 1})
	}
}

func TestRecordAllocatesNothing(t *testing.T) {
	s := store(1, Flaws{})
	s.Record(t0, "a", Counts{OK: 1})
	if n := testing.AllocsPerRun(100, func() { s.Record(t0, "a", Counts{OK: 1}) }); n > 0 {
		t.Errorf("%v allocations per outcome, want 0", n)
	}
}

// BenchmarkConnection measures the cost of one connection: the use of its limit is recorded and its
// outcome counted.
func BenchmarkConnection(b *testing.B) {
	key := LimitKey("l")
	s := store(1, Flaws{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.RecordUse(t0, key, i&255, 3)
		s.Record(t0, "a", Counts{OK: 1})
	}
}

// With the default settings a store holds the cells of 1,024 processes.
func TestManyWriters(t *testing.T) {
	const n = 1024
	s := New(t0, Writer{1, "p1", "z"}, DefaultConfig(), Flaws{})
	for w := uint64(2); w <= n; w++ {
		s.MergeCell(Writer{w, "x", "z"}, "a", 0, Counts{Fail: 1})
	}
	if len(s.writers) != n || s.Dropped != 0 {
		t.Errorf("%d writers, want %d; %d cells dropped, want 0", len(s.writers), n, s.Dropped)
	}
}
