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

// what a store holds of others and itself, but for ages.
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

// Whatever is lost, repeated and reordered, once the links heal all hold the same of the targets that anybody had trouble with.
func TestAnyOrderLeadsToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { converge(t, Flaws{}, true) })
}

// The check above is worth something: counts that are added when they arrive again break it.
func TestAddingIsFound(t *testing.T) {
	found := false
	for seed := range 50 {
		if !rapid.Custom(func(t *rapid.T) bool { return converge(t, Flaws{MergeAdds: true}, false) }).Example(seed) {
			found = true
		}
	}
	if !found {
		t.Error("a store that adds what it is told again was not found out")
	}
}

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
	var air []sent
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
			air = append(air, sent{to, got})
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
			if j := (i + 1) % n; rapid.Bool().Draw(t, "question arrives") {
				answer(j, i, gossips[i].Query(now, uint64(j+1)))
			}
		case 2: // one of those under way arrives, and may again
			if len(air) > 0 {
				k := rapid.IntRange(0, len(air)-1).Draw(t, "message")
				gossips[air[k].to].Receive(air[k].m)
				if rapid.Bool().Draw(t, "once") {
					air = slices.Delete(air, k, k+1)
				}
			}
		case 3:
			if hot := gossips[i].UrgentUpdate(now); hot != nil {
				air = append(air, sent{(i + 1) % n, hot})
			}
		}
	}
	air = nil // the rest is lost; then the links heal
	for range 4 * n {
		for i := range n {
			j := (i + 1) % n
			answer(j, i, gossips[i].Query(now, uint64(j+1)))
			for _, x := range air {
				gossips[x.to].Receive(x.m)
			}
			air = nil
		}
	}
	for i := range stores {
		if stores[i].contents() != stores[0].contents() {
			if fail {
				t.Fatalf("store %d holds\n%sstore 0\n%s", i, stores[i].contents(), stores[0].contents())
			}
			return false
		}
	}
	// And it is what happened: of its own outcomes nobody holds more than the one who saw them.
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
							t.Fatalf("%s: %v is held of %d's %v", target, c.counts, w.Self().Session, own)
						}
						return false
					}
				}
			}
		}
	}
	return true
}

// However long a link holds a message up, a cell never looks younger than it is.
func TestAgesNeverLookYounger(t *testing.T) {
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
			// The window ends at most a width after what was seen in it.
			if true_ := arrived.Sub(begin) - a.cfg.WindowLength; x.Age < true_ {
				t.Fatalf("it looks %v old and is %v", x.Age, true_)
			}
		})
		if !found {
			t.Fatal("the cell is not there")
		}
	})
}

// What came unasked counts only once an answer has told how long its writer has run, and a late answer can't make it younger.
func TestUnaskedNewsNeedsAnAge(t *testing.T) {
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
		t.Error("a cell of unknown age counts")
	}
	g := NewGossip(b, time.Second)
	q := g.Query(t0.Add(2*time.Second), 1)
	g.Receive(a.Answer(t0.Add(2*time.Second), q)[0])
	if count(t0.Add(2*time.Second)) != 1 {
		t.Error("the cell does not count although its age is known")
	}
	// An answer that took 20 s to come says that the writer may have started 20 s earlier: that changes nothing.
	q = g.Query(t0.Add(3*time.Second), 1)
	m := a.Answer(t0.Add(23*time.Second), q)[0]
	g.Receive(m)
	if run, _, _ := b.Uptime(t0.Add(3*time.Second), 1); run > 4*time.Second {
		t.Errorf("the writer has run for %v", run)
	}
}

// Who asks again is told what changed since, not everything; and everything after an answer was lost.
func TestAskedAgainTellsWhatChanged(t *testing.T) {
	a, b := store(1, Flaws{}), store(2, Flaws{})
	g := NewGossip(b, time.Second)
	now, cells := t0, 0
	step := func(lose bool) (told int) {
		now = now.Add(time.Second)
		a.Record(now, "x", Counts{Fail: 1})
		cells = 2 * int(now.Sub(t0)/time.Second) // the target's and the sum
		for _, m := range a.Answer(now, g.Query(now, 1)) {
			for _, r := range m.Rows {
				told += len(r.Cells)
			}
			if !lose {
				g.Receive(m)
			}
		}
		return told
	}
	for range 10 {
		if told := step(false); told > 2 && cells > 2 {
			t.Fatalf("%d cells told, 2 are new", told)
		}
	}
	step(true)
	for range 4 {
		step(true)
	}
	if told := step(false); told != cells {
		t.Errorf("%d cells told after answers were lost, of %d", told, cells)
	}
}

// An answer that was on its way when the asker started anew is no answer to a question of its new life: it would make what it
// vouches for look as young as it was then.
func TestAnswerToAFormerLife(t *testing.T) {
	a := store(1, Flaws{})
	a.Record(t0.Add(time.Second), "x", Counts{Fail: 1})
	former := NewGossip(store(2, Flaws{}), time.Second)
	late := a.Answer(t0.Add(time.Second), former.Query(t0.Add(time.Second), 1))[0]
	b := store(3, Flaws{})
	g := NewGossip(b, time.Second)
	g.Query(t0.Add(20*time.Second), 1)
	g.Receive(late)
	if run, _, ok := b.Uptime(t0.Add(20*time.Second), 1); ok && run < 20*time.Second {
		t.Errorf("the writer seems to have run for %v, and has for 20 s", run)
	}
}

// The writer's clock is set ahead by 3 s: what it numbers from then on seems as much later, until its start is learnt anew. Two
// others that ask each other all the time must not keep alive what it had said before.
func TestFormerStartIsNotKeptAlive(t *testing.T) {
	const jump = 3 * time.Second
	w, x, y := store(1, Flaws{}), store(2, Flaws{}), store(3, Flaws{})
	gx, gy := NewGossip(x, time.Second), NewGossip(y, time.Second)
	age := func(s *Store, now time.Time) (age time.Duration) {
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
		ask := func(g *Gossip, of *Store, at time.Time) {
			for _, m := range of.Answer(at, g.Query(now, of.Self().Session)) {
				g.Receive(m)
			}
		}
		ask(gx, w, own)
		if i%2 == 0 {
			ask(gy, w, own)
		}
		ask(gx, y, now)
		ask(gy, x, now)
		for name, s := range map[string]*Store{"x": x, "y": y} {
			// All of the last two windows was seen a second ago at the most.
			if run, _, ok := s.Uptime(now, 1); i >= 10+2*20 && ok && run < now.Sub(t0)+jump-time.Second {
				t.Fatalf("%v: %s holds that the writer has run for %v, by whose clock it is %v; age %v", now.Sub(t0), name, run, own.Sub(t0), age(s, now))
			}
		}
	}
}

// A store is bounded, whatever its peers claim, and what is old goes.
func TestBounded(t *testing.T) {
	c := DefaultConfig()
	c.MaxCells, c.MaxWriters = 50, 3
	s := New(t0, Writer{1, "p1", "z"}, c, Flaws{})
	for w := range uint64(10) {
		for n := range uint32(40) {
			s.MergeCell(Writer{w + 2, "x", "z"}, "a", n, Counts{Fail: 1})
		}
	}
	if s.Cells() > 50 || len(s.writers) > 3 || s.Dropped == 0 {
		t.Errorf("%d cells of %d writers, %d dropped", s.Cells(), len(s.writers), s.Dropped)
	}
	s.Expire(t0)
	s.Expire(t0.Add(c.Retention + time.Second))
	if s.Cells() != 0 || s.Disputed() {
		t.Errorf("%d cells stay", s.Cells())
	}
}

// Bytes that are no message are refused, and nothing in them sizes what is made of them.
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

// An outcome allocates nothing once its cell is there, and costs well under a microsecond.
func BenchmarkSaw(b *testing.B) {
	s := store(1, Flaws{})
	s.Record(t0, "a", Counts{OK: 1})
	b.ReportAllocs()
	for b.Loop() {
		s.Record(t0, "a", Counts{OK: 1})
	}
}

func TestSawAllocatesNothing(t *testing.T) {
	s := store(1, Flaws{})
	s.Record(t0, "a", Counts{OK: 1})
	if n := testing.AllocsPerRun(100, func() { s.Record(t0, "a", Counts{OK: 1}) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// What a connection costs in all: its limit's use told, its outcome counted.
func BenchmarkConnection(b *testing.B) {
	key := LimitKey("l")
	s := store(1, Flaws{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.RecordUse(t0, key, i&255, 3)
		s.Record(t0, "a", Counts{OK: 1})
	}
}

// A store keeps the cells of 1,024 processes.
func TestManyWriters(t *testing.T) {
	const n = 1024
	s := New(t0, Writer{1, "p1", "z"}, DefaultConfig(), Flaws{})
	for w := uint64(2); w <= n; w++ {
		s.MergeCell(Writer{w, "x", "z"}, "a", 0, Counts{Fail: 1})
	}
	if len(s.writers) != n || s.Dropped != 0 {
		t.Errorf("%d writers of %d, %d cells dropped", len(s.writers), n, s.Dropped)
	}
}
