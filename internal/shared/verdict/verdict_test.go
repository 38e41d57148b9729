package verdict

import (
	"fmt"
	"testing"
	"time"

	"ospreyspan/internal/shared/evidence"
)

var t0 = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// fleet has the stores of processes whose outcomes all reach the store view.
type fleet struct {
	t    *testing.T
	view *evidence.Store
	by   map[string]*evidence.Store
}

func newFleet(t *testing.T, viewerZone string) *fleet {
	return &fleet{t, evidence.New(t0, evidence.Writer{Session: 1, Name: "viewer", Zone: viewerZone}, evidence.DefaultConfig(), evidence.Flaws{}), make(map[string]*evidence.Store)}
}

// record lets the process with the given name and zone observe an outcome, and merges it into the
// store view.
func (f *fleet) record(at time.Duration, name, zone, target string, c evidence.Counts) {
	s := f.by[name]
	if s == nil {
		s = evidence.New(t0, evidence.Writer{Session: uint64(len(f.by) + 2), Name: name, Zone: zone}, evidence.DefaultConfig(), evidence.Flaws{})
		f.by[name] = s
	}
	for _, m := range f.view.Answer(t0.Add(at), &evidence.Message{IsQuery: true, Seq: 1}) {
		s.Merge(t0.Add(at), m) // successes are sent only for targets that are known to be disputed
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
	ok      = evidence.Counts{OK: 1}
	probeOK = evidence.Counts{ProbeOK: 1}
	fails   = evidence.Counts{Fail: 1}
	silent  = evidence.Counts{Silent: 1}
	slow    = evidence.Counts{Slow: 1}
)

const s = time.Second

// A single witness makes no target unhealthy, however often it reports and however often it
// restarts. A second witness does.
func TestOneWitnessIsNotEnough(t *testing.T) {
	f := newFleet(t, "a")
	for range 50 {
		f.record(s, "p", "a", "s0", fails)
	}
	restarted := evidence.New(t0, evidence.Writer{Session: 99, Name: "p", Zone: "a"}, evidence.DefaultConfig(), evidence.Flaws{})
	restarted.Record(t0.Add(s), "s0", fails)
	f.view.Merge(t0.Add(s), restarted.Answer(t0.Add(s), &evidence.Message{IsQuery: true})[0])
	f.expect("one witness", f.judge(s, 6, Flaws{}), "")
	f.expect("one witness with Flaws.OneWitness", f.judge(s, 6, Flaws{OneWitness: true}), "s0 failing;")
	f.record(s, "q", "a", "s0", fails)
	f.expect("two witnesses", f.judge(s, 6, Flaws{}), "s0 failing;")
}

// A target that answers probes and fails requests is failing. A target that answers nothing is
// silent. Answered probes oppose silence.
func TestKinds(t *testing.T) {
	f := newFleet(t, "a")
	for _, p := range []string{"p", "q", "r"} {
		f.record(s, p, "a", "s0", fails)
		f.record(s, p, "a", "s0", probeOK)
		f.record(s, p, "a", "s2", silent)
		f.record(s, p, "a", "s4", slow)
		for i := 6; i < 10; i++ {
			f.record(s, p, "a", fmt.Sprint("s", i), ok) // otherwise the witnesses would not count
		}
	}
	for i := range 6 {
		f.record(s, fmt.Sprint("d", i), "a", "s4", probeOK)
	}
	f.expect("kinds of verdicts", f.judge(s, 12, Flaws{}), "s0 failing;s2 silent;")
}

// A few errors among many successes make no target unhealthy.
func TestAFewErrors(t *testing.T) {
	f := newFleet(t, "a")
	f.record(s, "p", "a", "s0", fails)
	f.record(s, "q", "a", "s0", fails)
	for i := range 4 {
		f.record(s, fmt.Sprint("d", i), "a", "s0", ok)
	}
	f.expect("few errors", f.judge(s, 6, Flaws{}), "")
}

// Successes from before the failures do not oppose them.
func TestEarlierSuccessesDoNotOppose(t *testing.T) {
	f := newFleet(t, "a")
	for i := range 9 {
		f.record(s, fmt.Sprint("d", i), "a", "s0", ok)
	}
	f.record(4*s, "p", "a", "s0", silent)
	f.record(4*s, "q", "a", "s0", silent)
	f.expect("earlier successes", f.judge(4*s, 6, Flaws{}), "s0 silent;")
}

// A witness that fails with most targets is itself suspect: two such witnesses make no target
// unhealthy.
func TestUnreliableWitnesses(t *testing.T) {
	f := newFleet(t, "a")
	for _, p := range []string{"p", "q"} {
		for i := range 5 {
			f.record(s, p, "a", fmt.Sprint("s", i), fails)
		}
		f.record(s, p, "a", "s5", ok)
	}
	f.expect("unreliable witnesses", f.judge(s, 6, Flaws{}), "")
}

// A target that only one zone cannot reach is sound in the other.
func TestCutOffZone(t *testing.T) {
	for zone, want := range map[string]string{"a": "", "b": "s0 silent;"} {
		f := newFleet(t, zone)
		f.record(s, "p", "b", "s0", silent)
		f.record(s, "q", "b", "s0", silent)
		f.record(s, "r", "a", "s0", ok)
		f.expect(zone, f.judge(s, 6, Flaws{}), want)
	}
	// If the viewer's zone has no witness, accusations from one other zone are not enough, those
	// from two are.
	f := newFleet(t, "c")
	f.record(s, "p", "b", "s0", silent)
	f.record(s, "q", "b", "s0", silent)
	f.expect("one other zone", f.judge(s, 6, Flaws{}), "")
	f.record(s, "r", "a", "s0", silent)
	f.expect("two other zones", f.judge(s, 6, Flaws{}), "s0 silent;")
}

// At most a fraction of the targets is unhealthy, in each zone and in total, the worst first.
func TestUnhealthyFraction(t *testing.T) {
	f := newFleet(t, "a")
	for i := range 12 {
		for w := range 2 + i%3 {
			// Each witness has failures with one target only, so that it counts.
			name := fmt.Sprintf("p%d-%d", i, w)
			f.record(s, name, "a", fmt.Sprint("s", i), silent)
		}
	}
	got := f.judge(s, 12, Flaws{})
	if len(got) != MaxUnhealthy(0.34, 12) {
		t.Fatalf("%d of 12 targets are unhealthy: %v", len(got), got)
	}
	for _, x := range got {
		if x.Witnesses != 4 && x.Witnesses != 3 {
			t.Errorf("%s with %d witnesses was kept before targets with more", x.Target, x.Witnesses)
		}
	}
	if MaxUnhealthy(0.34, 1) != 0 || MaxUnhealthy(0.34, 2) != 1 {
		t.Error("MaxUnhealthy: want 0 of one target and 1 of two")
	}
}

// Evidence that is too old makes no target unhealthy. The target is returning until there is a
// success with it or all evidence is forgotten.
func TestAgeAndReturn(t *testing.T) {
	f := newFleet(t, "a")
	f.record(s, "p", "a", "s0", silent)
	f.record(s, "q", "a", "s0", silent)
	f.expect("fresh", f.judge(3*s, 6, Flaws{}), "s0 silent;")
	f.expect("old", f.judge(8*s, 6, Flaws{}), "s0 returning;")
	f.expect("old, with Flaws.NoAge", f.judge(8*s, 6, Flaws{NoAge: true}), "s0 silent;")
	f.expect("forgotten", f.judge(23*s, 6, Flaws{}), "")
	f.record(8*s, "r", "a", "s0", silent)
	if got := f.judge(8*s, 6, Flaws{}); len(got) != 1 || !got[0].RecentlyTried {
		t.Errorf("after a failed trial: %+v, want one finding with RecentlyTried", got)
	}
	f.record(9*s, "r", "a", "s0", probeOK)
	f.expect("an answered probe", f.judge(9*s, 6, Flaws{}), "")
}

// About one process in eight has the turn in a period, and each has it within a small number of
// periods.
func TestTurns(t *testing.T) {
	most, never := 0, 0
	for period := range int64(50) {
		n := 0
		for id := range uint64(300) {
			if HasTurn(id+1, "s7", period, TrialDivisor) {
				n++
			}
		}
		most = max(most, n)
	}
	for id := range uint64(300) {
		had := false
		for period := range int64(60) {
			had = had || HasTurn(id+1, "s7", period, TrialDivisor)
		}
		if !had {
			never++
		}
	}
	if most > 70 || never > 1 {
		t.Errorf("up to %d of 300 processes in one period, want at most 70; %d without a turn in 60 periods, want at most 1", most, never)
	}
}
