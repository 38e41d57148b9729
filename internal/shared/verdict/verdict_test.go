package verdict

import (
	"fmt"
	"testing"
	"time"

	"ospreyspan/internal/shared/evidence"
)

var t0 = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// fleet is stores whose outcomes all reach the first one.
type fleet struct {
	t    *testing.T
	view *evidence.Store
	by   map[string]*evidence.Store
}

func newFleet(t *testing.T, viewerZone string) *fleet {
	return &fleet{t, evidence.New(t0, evidence.Writer{Session: 1, Name: "viewer", Zone: viewerZone}, evidence.DefaultConfig(), evidence.Flaws{}), make(map[string]*evidence.Store)}
}

// record has a process of a zone see something; name@zone.
func (f *fleet) record(at time.Duration, name, zone, target string, c evidence.Counts) {
	s := f.by[name]
	if s == nil {
		s = evidence.New(t0, evidence.Writer{Session: uint64(len(f.by) + 2), Name: name, Zone: zone}, evidence.DefaultConfig(), evidence.Flaws{})
		f.by[name] = s
	}
	for _, m := range f.view.Answer(t0.Add(at), &evidence.Message{IsQuery: true, Seq: 1}) {
		s.Merge(t0.Add(at), m) // a good word is only told of targets that are known to be disputed
	}
	s.Record(t0.Add(at), target, c)
	for _, m := range s.Answer(t0.Add(at), &evidence.Message{IsQuery: true, Seq: 1}) {
		f.view.Merge(t0.Add(at), m)
	}
}

func (f *fleet) judge(at time.Duration, targets int, fl Flaws) []Finding {
	var list []Target
	for i := range targets {
		list = append(list, Target{fmt.Sprint("s", i), []string{"a", "b"}[i%2]})
	}
	return Judge(t0.Add(at), f.view, f.view.Self().Zone, list, DefaultConfig(), fl)
}

func (f *fleet) expect(what string, got []Finding, want string) {
	f.t.Helper()
	text := ""
	for _, x := range got {
		text += fmt.Sprintf("%s %v;", x.Target, x.Verdict)
	}
	if text != want {
		f.t.Errorf("%s: %q, want %q", what, text, want)
	}
}

var (
	ok     = evidence.Counts{OK: 1}
	seen   = evidence.Counts{ProbeOK: 1}
	fails  = evidence.Counts{Fail: 1}
	silent = evidence.Counts{Silent: 1}
	slow   = evidence.Counts{Slow: 1}
)

const s = time.Second

// One witness condemns nobody, however often it says so and under however many lives; a second one does.
func TestOneWitnessIsNone(t *testing.T) {
	f := newFleet(t, "a")
	for range 50 {
		f.record(s, "p", "a", "s0", fails)
	}
	again := evidence.New(t0, evidence.Writer{Session: 99, Name: "p", Zone: "a"}, evidence.DefaultConfig(), evidence.Flaws{})
	again.Record(t0.Add(s), "s0", fails)
	f.view.Merge(t0.Add(s), again.Answer(t0.Add(s), &evidence.Message{IsQuery: true})[0])
	f.expect("one", f.judge(s, 6, Flaws{}), "")
	f.expect("one, where one is enough", f.judge(s, 6, Flaws{OneWitness: true}), "s0 failing;")
	f.record(s, "q", "a", "s0", fails)
	f.expect("two", f.judge(s, 6, Flaws{}), "s0 failing;")
}

// A target that answers probes and fails its requests is failing; one that answers nothing is silent; probes that are answered
// speak against silence.
func TestKinds(t *testing.T) {
	f := newFleet(t, "a")
	for _, p := range []string{"p", "q", "r"} {
		f.record(s, p, "a", "s0", fails)
		f.record(s, p, "a", "s0", seen)
		f.record(s, p, "a", "s2", silent)
		f.record(s, p, "a", "s4", slow)
		for i := 6; i < 10; i++ {
			f.record(s, p, "a", fmt.Sprint("s", i), ok) // else they would accuse themselves
		}
	}
	for i := range 6 {
		f.record(s, fmt.Sprint("d", i), "a", "s4", seen)
	}
	f.expect("kinds", f.judge(s, 12, Flaws{}), "s0 failing;s2 silent;")
}

// A few errors among much that goes well condemn nobody.
func TestAFewErrors(t *testing.T) {
	f := newFleet(t, "a")
	f.record(s, "p", "a", "s0", fails)
	f.record(s, "q", "a", "s0", fails)
	for i := range 4 {
		f.record(s, fmt.Sprint("d", i), "a", "s0", ok)
	}
	f.expect("few", f.judge(s, 6, Flaws{}), "")
}

// What went well before the trouble does not speak against it.
func TestWhatWentWellBefore(t *testing.T) {
	f := newFleet(t, "a")
	for i := range 9 {
		f.record(s, fmt.Sprint("d", i), "a", "s0", ok)
	}
	f.record(4*s, "p", "a", "s0", silent)
	f.record(4*s, "q", "a", "s0", silent)
	f.expect("before", f.judge(4*s, 6, Flaws{}), "s0 silent;")
}

// Who has trouble with most targets has trouble himself, and two of those condemn nobody.
func TestPoisoned(t *testing.T) {
	f := newFleet(t, "a")
	for _, p := range []string{"p", "q"} {
		for i := range 5 {
			f.record(s, p, "a", fmt.Sprint("s", i), fails)
		}
		f.record(s, p, "a", "s5", ok)
	}
	f.expect("poisoned", f.judge(s, 6, Flaws{}), "")
}

// A target that one zone can't reach is sound in the other.
func TestCutOffZone(t *testing.T) {
	for zone, want := range map[string]string{"a": "", "b": "s0 silent;"} {
		f := newFleet(t, zone)
		f.record(s, "p", "b", "s0", silent)
		f.record(s, "q", "b", "s0", silent)
		f.record(s, "r", "a", "s0", ok)
		f.expect(zone, f.judge(s, 6, Flaws{}), want)
	}
	// Where nobody of the zone knows, one other zone's word does not do, two others' does.
	f := newFleet(t, "c")
	f.record(s, "p", "b", "s0", silent)
	f.record(s, "q", "b", "s0", silent)
	f.expect("one other zone", f.judge(s, 6, Flaws{}), "")
	f.record(s, "r", "a", "s0", silent)
	f.expect("two other zones", f.judge(s, 6, Flaws{}), "s0 silent;")
}

// At most a part is condemned, of a zone and of all, the worst first.
func TestCap(t *testing.T) {
	f := newFleet(t, "a")
	for i := range 12 {
		for w := range 2 + i%3 {
			// Each sees well of others, so that it does not accuse itself.
			name := fmt.Sprintf("p%d-%d", i, w)
			f.record(s, name, "a", fmt.Sprint("s", i), silent)
		}
	}
	got := f.judge(s, 12, Flaws{})
	if len(got) != MaxUnhealthy(0.34, 12) {
		t.Fatalf("%d of 12 condemned: %v", len(got), got)
	}
	for _, x := range got {
		if x.Witnesses != 4 && x.Witnesses != 3 {
			t.Errorf("%s with %d witnesses came before worse ones", x.Target, x.Witnesses)
		}
	}
	if MaxUnhealthy(0.34, 1) != 0 || MaxUnhealthy(0.34, 2) != 1 {
		t.Error("of one target none may go, of two one")
	}
}

// Evidence that is too old condemns nobody. The target returns, until one does well there, or until all is forgotten.
func TestAgeAndReturn(t *testing.T) {
	f := newFleet(t, "a")
	f.record(s, "p", "a", "s0", silent)
	f.record(s, "q", "a", "s0", silent)
	f.expect("fresh", f.judge(3*s, 6, Flaws{}), "s0 silent;")
	f.expect("old", f.judge(8*s, 6, Flaws{}), "s0 returning;")
	f.expect("old, where age does not count", f.judge(8*s, 6, Flaws{NoAge: true}), "s0 silent;")
	f.expect("forgotten", f.judge(23*s, 6, Flaws{}), "")
	f.record(8*s, "r", "a", "s0", silent)
	if got := f.judge(8*s, 6, Flaws{}); len(got) != 1 || !got[0].RecentlyTried {
		t.Errorf("after a trial that failed: %+v", got)
	}
	f.record(9*s, "r", "a", "s0", seen)
	f.expect("a sign of life", f.judge(9*s, 6, Flaws{}), "")
}

// About one process in eight has the turn at a time, and each has it before long.
func TestTurns(t *testing.T) {
	most, never := 0, 0
	for span := range int64(50) {
		n := 0
		for id := range uint64(300) {
			if HasTurn(id+1, "s7", span, TrialDivisor) {
				n++
			}
		}
		most = max(most, n)
	}
	for id := range uint64(300) {
		had := false
		for span := range int64(60) {
			had = had || HasTurn(id+1, "s7", span, TrialDivisor)
		}
		if !had {
			never++
		}
	}
	if most > 70 || never > 1 {
		t.Errorf("%d of 300 at a time; %d never", most, never)
	}
}
