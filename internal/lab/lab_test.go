package lab

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/vnet"
)

// mustParse parses a scenario.
func mustParse(t testing.TB, text string) *Scenario {
	t.Helper()
	s, err := Parse("test.ini", text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// play runs a day. A violated rule fails the test, with the last events before it.
func play(t testing.TB, s *Scenario, seed uint64) *Result {
	t.Helper()
	r, err := Play(s, seed, Options{})
	if err != nil {
		var f *vnet.Failure
		if errors.As(err, &f) {
			for _, e := range f.Last[max(len(f.Last)-10, 0):] {
				t.Log(e)
			}
		}
		t.Fatal(err)
	}
	return r
}

// playGenerated plays generated scenarios with the seeds below count, each in a subtest. change, if
// not nil, changes a scenario before it is played; check examines its result.
func playGenerated(t *testing.T, generate ScenarioGenerator, count uint64, change func(*Scenario), check func(*testing.T, *Scenario, *Result)) {
	t.Helper()
	config := FuzzConfig{Generate: generate}
	for seed := range count {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s, err := config.scenario(seed)
			if err != nil {
				t.Fatal(err)
			}
			if change != nil {
				change(s)
			}
			check(t, s, play(t, s, seed))
		})
	}
}

// The bundled scenarios are read without an error, and no rule is violated on them.
func TestBundledScenarios(t *testing.T) {
	files, err := filepath.Glob("../../lab/*.ini")
	if err != nil || len(files) < 9 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			s, err := Read(f)
			if err != nil {
				t.Fatal(err)
			}
			if s.Proxies.Count > 10 {
				return // only read, since its day takes minutes
			}
			s.Run.Length, s.Run.WarmUp = min(s.Run.Length, 40*time.Second), min(s.Run.WarmUp, 15*time.Second)
			if r := play(t, s, 3); r.Requests < 100 || r.Service < 0.5 {
				t.Errorf("%d requests, service %.2f: too little traffic or service", r.Requests, r.Service)
			}
		})
	}
}

// The same scenario and seed give the same run, to the last event and the last byte of the files
// written; another seed gives another run.
func TestRunIsReproducible(t *testing.T) {
	traces := make([]string, 50)
	t.Run("seeds", func(t *testing.T) {
		for i := range traces {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				s := RandomScenario(uint64(i))
				s.Run.Length, s.Run.WarmUp, s.Traffic.Rate = 6*time.Second, 3*time.Second, min(s.Traffic.Rate, 5)
				one, two := play(t, s, uint64(i)), play(t, s, uint64(i))
				var a, b bytes.Buffer
				for _, w := range []struct {
					r *Result
					b *bytes.Buffer
				}{{one, &a}, {two, &b}} {
					if err := errors.Join(w.r.JSON(w.b), w.r.CSV(w.b), w.r.Markdown(w.b)); err != nil {
						t.Fatal(err)
					}
					if i < 3 {
						for _, name := range []string{"service.svg", "load.svg", "connections.svg", "moves.svg"} {
							if err := w.r.Charts()[name](w.b); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
				if one.Trace != two.Trace || !bytes.Equal(a.Bytes(), b.Bytes()) {
					t.Errorf("traces %s and %s; the files are the same: %v", one.Trace, two.Trace, bytes.Equal(a.Bytes(), b.Bytes()))
				}
				traces[i] = one.Trace
			})
		}
	})
	seen := map[string]bool{}
	for _, trace := range traces {
		seen[trace] = true
	}
	if len(seen) != len(traces) {
		t.Errorf("%d traces of %d seeds", len(seen), len(traces))
	}
}

// An added fault does not shift the random values of what it does not touch: the same clients come.
func TestFaultsDoNotShiftDraws(t *testing.T) {
	calm := mustParse(t, "[run]\nlength = 10s\nwarm_up = 2s\n")
	faulty := mustParse(t, "[run]\nlength = 10s\nwarm_up = 2s\n[trouble a]\nkind = silence\nat = 1s\nfor = 4s\npart = 30%\n[trouble b]\nkind = rude\nat = 0s\nfor = 5s\nsize = 20\n")
	a, b := play(t, calm, 7), play(t, faulty, 7)
	if a.Clients.Clients != b.Clients.Clients || a.Trace == b.Trace {
		t.Errorf("%d and %d clients, traces %s and %s", a.Clients.Clients, b.Clients.Clients, a.Trace, b.Trace)
	}
}

// A scenario survives being written and read, so that a finding of Fuzz can be repeated from its
// file.
func TestTextRoundTrip(t *testing.T) {
	for name, generate := range ScenarioGenerators() {
		for seed := range uint64(30) {
			s := generate(seed)
			reparsed := mustParse(t, s.Text())
			if reparsed.Text() != s.Text() {
				t.Fatalf("%s, seed %d:\n%s\nbecame\n%s", name, seed, s.Text(), reparsed.Text())
			}
		}
	}
}

// Errors are reported with line and key, all at once.
func TestScenarioErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[run]\nlength = 55\n":                          "test.ini:2: [run] length: 55: a time needs a unit, as in 55s or 55ms",
		"[run]\nlenght = 55s\n":                         "test.ini:2: [run] lenght: unknown key; perhaps length",
		"[traffic]\nrate = -1\n":                        "test.ini:2: [traffic] rate: -1: less than 0",
		"[run]\nsites = a, b, a\n":                      `test.ini:2: [run] sites: "a" stands there twice`,
		"[trouble x]\nkind = slow\nat = 1s\nfor = 1s\n": "test.ini:1: [trouble x] size: missing, and slow needs it",
		"[trouble x]\nat = 1s\n":                        "test.ini:1: [trouble x] kind: missing",
		"[wave x]\nsites = nowhere\n":                   `test.ini:2: [wave x] sites: no site "nowhere"`,
		"[network]\nsame_site = 3ms..1ms\n":             "test.ini:2: [network] same_site: 3ms..1ms: its end is below its beginning",
		"[kind a]\nshare = 0.5\n":                       "test.ini:2: [kind a] share: the kinds' shares add up to 0.500, not 1",
		"[class a]\nshare = 1\nset_up = 2s\ngive_up = 1s\n[trouble y]\nkind = costly\nfor = 1s\nsize = 2\npart = 1%\nclass = b\n": "test.ini:3: [class a] set_up: later than give_up\n" +
			`test.ini:10: [trouble y] class: no class "b"`,
	} {
		if _, err := Parse("test.ini", text); err == nil || err.Error() != want {
			t.Errorf("%q:\n%v\nwant\n%s", text, err, want)
		}
	}
}

// A comparison finds the difference between two sides with the right sign, and none between a side
// and itself.
func TestCompare(t *testing.T) {
	calm := mustParse(t, "[run]\nlength = 12s\nwarm_up = 8s\n")
	slow := mustParse(t, "[run]\nlength = 12s\nwarm_up = 8s\n[trouble s]\nkind = slow\nat = 0s\nfor = 12s\npart = 80%\nsize = 9\n")
	c, err := RunPairs(Side{Name: "calm", Scenario: calm}, Side{Name: "slow", Scenario: slow}, []uint64{1, 2, 3, 4, 5, 6}, nil)
	if err != nil {
		t.Fatal(err)
	}
	find := func(name string) *FigureComparison {
		for i := range c.Figures {
			if c.Figures[i].Name == name {
				return &c.Figures[i]
			}
		}
		t.Fatalf("no figure %q", name)
		return nil
	}
	if f := find("service: all"); !f.Significant() || f.MeanDifference >= 0 {
		t.Errorf("slow relays make a difference of %+.4f ± %.4f", f.MeanDifference, f.HalfInterval)
	}
	var b bytes.Buffer
	if err := c.Markdown(&b); err != nil || !strings.Contains(b.String(), "| service: all") {
		t.Errorf("%v\n%s", err, b.String())
	}
	if err := c.forest(&b); err != nil {
		t.Error(err)
	}
	same, err := RunPairs(Side{Name: "calm", Scenario: calm}, Side{Name: "calm", Scenario: calm}, []uint64{1, 2}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range same.Figures {
		if f.MeanDifference != 0 || f.Significant() {
			t.Errorf("%s differs from itself by %v", f.Name, f.MeanDifference)
		}
	}
}

// The interval is Student's, calculated by hand for three pairs whose differences are 1, 2 and 3.
func TestConfidenceInterval(t *testing.T) {
	c := FigureComparison{A: []float64{1, 1, 1}, B: []float64{2, 3, 4}}
	// The expected half interval is 4.3027 / sqrt(3).
	if c.computeStatistics(); c.MeanDifference != 2 || c.HalfInterval < 2.484 || c.HalfInterval > 2.485 {
		t.Errorf("%v ± %v", c.MeanDifference, c.HalfInterval)
	}
}

// A fleet that loses 85% of its relays serves less; the judge holds a proxy only to what it could
// know.
func TestServiceFallsWithLostRelays(t *testing.T) {
	calm := mustParse(t, "[run]\nlength = 20s\nwarm_up = 10s\n")
	lost := mustParse(t, "[run]\nlength = 20s\nwarm_up = 10s\n[trouble x]\nkind = lose\nat = 2s\npart = 85%\n")
	a, b := play(t, calm, 4), play(t, lost, 4)
	if a.Service < 0.95 || b.Service > a.Service-0.05 {
		t.Errorf("service %.3f on a calm day, %.3f with a sixth of the relays", a.Service, b.Service)
	}
}
