package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/inifile"
	"ospreyspan/internal/vnet"
)

// Text returns the scenario in the file format that Read reads, without the values that equal the
// defaults.
func (s *Scenario) Text() string {
	var b strings.Builder
	d := defaults()
	inifile.Encode(&b, "run", s.Run, d.Run)
	inifile.Encode(&b, "proxies", s.Proxies, d.Proxies)
	inifile.Encode(&b, "relays", s.Relays, d.Relays)
	inifile.Encode(&b, "network", s.Network, d.Network)
	inifile.Encode(&b, "traffic", s.Traffic, d.Traffic)
	inifile.Encode(&b, "discovery", s.Discovery, d.Discovery)
	inifile.Encode(&b, "front", s.Front, d.Front)
	inifile.Encode(&b, "rules", s.Rules, d.Rules)
	inifile.Encode(&b, "allow", s.Permissions, d.Permissions)
	inifile.Encode(&b, "standing", s.Standing, d.Standing)
	kinds, classes := s.Kinds, s.Classes
	if reflect.DeepEqual(kinds, defaultKinds()) {
		kinds = nil
	}
	if reflect.DeepEqual(classes, defaultClasses()) {
		classes = nil
	}
	for _, k := range kinds {
		inifile.Encode(&b, "kind "+k.Name, kindSection{k.Share, k.Cores, k.Speed, k.ColdFrom, k.WarmUp, k.ErrorFraction}, nil)
	}
	for _, c := range classes {
		inifile.Encode(&b, "class "+c.Name, c, nil)
	}
	for _, w := range s.Waves {
		inifile.Encode(&b, "wave "+w.Name, w, nil)
	}
	for _, t := range s.Faults {
		inifile.Encode(&b, "trouble "+t.Name, t, Fault{})
	}
	return b.String()
}

// Parse reads a scenario from the text of a file with the given name. The values of set replace
// those of the file, as with Read.
func Parse(name string, text string, set ...string) (*Scenario, error) {
	f, err := inifile.Parse(name, []byte(text))
	if err != nil {
		return nil, err
	}
	for _, s := range set {
		if err := f.Set(s); err != nil {
			return nil, err
		}
	}
	return decode(strings.TrimSuffix(name, ".ini"), f)
}

// scenarioDraws draws random values for a generated scenario. Both ends of each drawn range are
// equal, so that the scenario has one fixed value.
type scenarioDraws struct{ r *rand.Rand }

func newDraws(r *rand.Rand) *scenarioDraws { return &scenarioDraws{r} }

// span draws a duration in whole milliseconds, at least 1 ms, because the file format leaves out
// zero values.
func (d *scenarioDraws) span(from, to time.Duration) fleet.DurationRange {
	t := max(fleet.DurationRange{From: from, To: to}.Draw(d.r).Round(time.Millisecond), time.Millisecond)
	return fleet.DurationRange{From: t, To: t}
}

// value draws a number and rounds it to five decimal places.
func (d *scenarioDraws) value(from, to float64) fleet.Range {
	x := round(fleet.Range{From: from, To: to}.Draw(d.r))
	return fleet.Range{From: x, To: x}
}

// ScenarioGenerator generates a scenario from a seed.
type ScenarioGenerator func(seed uint64) *Scenario

// FuzzConfig says which scenarios Fuzz plays.
type FuzzConfig struct {
	Generate  ScenarioGenerator
	Overrides []string // section.key=value pairs that replace generated values
}

// scenario generates the scenario of a seed. It is parsed from its own text, so that a saved file
// reproduces it exactly.
func (d *FuzzConfig) scenario(seed uint64) (*Scenario, error) {
	return Parse(fmt.Sprintf("fuzz-%d.ini", seed), d.Generate(seed).Text(), d.Overrides...)
}

// ScenarioGenerators returns the generators by the names that the flag --days accepts.
func ScenarioGenerators() map[string]ScenarioGenerator {
	return map[string]ScenarioGenerator{"any": RandomScenario, "throng": RandomThrong, "cut-output": RandomCutOutput, "standing": RandomStanding}
}

// RandomScenario generates a small fleet with a few faults of any kind, which may overlap in any
// way.
func RandomScenario(seed uint64) *Scenario {
	d := newDraws(randomStream(seed, "fuzz"))
	r, span, value := d.r, d.span, d.value
	s := defaults()
	s.Kinds, s.Classes = defaultKinds(), defaultClasses()
	s.Name = fmt.Sprintf("fuzz-%d", seed)
	s.Run.About = "made up"
	s.Run.Length, s.Run.WarmUp = span(12*time.Second, 30*time.Second).From, span(3*time.Second, 8*time.Second).From
	s.Sites = s.Run.Sites[:1+r.IntN(3)]
	s.Run.Sites = s.Sites
	s.Proxies.Count = 1 + r.IntN(4)
	s.Relays.Count = 2 + r.IntN(7)
	s.Traffic.Rate = value(2, 14).From
	if r.IntN(3) == 0 {
		s.Proxies.EventCost = span(10*time.Microsecond, 200*time.Microsecond).From
	}
	if r.IntN(3) == 0 {
		s.Network.Loss = value(0, 0.02).From
	}
	if r.IntN(3) == 0 {
		s.Proxies.MaxDescriptors = 100 + r.IntN(400)
	}
	if r.IntN(4) == 0 {
		s.Waves = append(s.Waves, Wave{Name: "surge", At: span(4*time.Second, 15*time.Second), For: span(time.Second, 6*time.Second), Times: value(3, 10)})
	}
	kinds := []string{
		"silence", "slow", "neighbour", "costly", "drain", "lose", "grow", "proxy-restart", "proxy-kill", "partition", "isolate",
		"stall", "late-clock", "descriptors", "ports", "rude", "discovery-down", "discovery-hang", "discovery-late",
		"late-connects", "leaving",
	}
	for i := range 1 + r.IntN(6) {
		t := Fault{Name: fmt.Sprintf("t%d", i), Kind: kinds[r.IntN(len(kinds))]}
		t.At = span(0, s.Run.Length)
		t.For = span(200*time.Millisecond, 8*time.Second)
		s.setFaultParameters(&t, r, value, span)
		s.Faults = append(s.Faults, t)
	}
	s.randomizeSettings(r, span)
	return &s
}

// randomizeSettings draws settings in which customers differ: effects of requests that must not
// occur twice, and what the proxies are permitted to do.
func (s *Scenario) randomizeSettings(r *rand.Rand, span func(from, to time.Duration) fleet.DurationRange) {
	for i := range s.Classes {
		c := &s.Classes[i]
		switch r.IntN(4) {
		case 0:
			c.Effect = "single_shot"
		case 1:
			c.Effect, c.Scope, c.Window = "guarded", []string{"all", "zone", "cell"}[r.IntN(3)], span(100*time.Millisecond, 1500*time.Millisecond).From
		}
		if r.IntN(4) == 0 {
			c.GiveUp = span(c.SetUp, c.GiveUp).From
		}
	}
	s.Permissions.Cancel, s.Permissions.Probes, s.Permissions.ListsPushed = r.IntN(3) > 0, r.IntN(6) > 0, r.IntN(4) == 0
	if r.IntN(3) == 0 { // connections are established slowly, and proxies wait for them
		s.Permissions.DialTimeout = span(300*time.Millisecond, 1200*time.Millisecond).From
		fraction := round(fleet.Range{From: 0.2, To: 0.8}.Draw(r))
		s.Faults = append(s.Faults, Fault{
			Name: "late", Kind: "late-connects", For: fleet.DurationRange{From: s.Run.Length, To: s.Run.Length},
			Size: fleet.Range{From: fraction, To: fraction}, Away: span(200*time.Millisecond, 1200*time.Millisecond),
		})
	}
}

// setFaultParameters draws the parameters that the kind of the fault needs.
func (s *Scenario) setFaultParameters(fault *Fault, rng *rand.Rand, value func(from, to float64) fleet.Range, span func(from, to time.Duration) fleet.DurationRange) {
	second := time.Second
	switch fault.Kind {
	case "silence", "isolate":
		fault.Part = value(0.1, 0.5)
	case "slow":
		fault.Part, fault.Size = value(0.1, 0.6), value(2, 9)
	case "neighbour":
		fault.Part, fault.Size, fault.Every = value(0.2, 0.7), value(0.3, 0.8), span(second/2, 4*second).From
	case "costly":
		fault.Part, fault.Size, fault.Class = value(0.01, 0.1), value(5, 26), s.classNames()[rng.IntN(2)]
	case "drain":
		fault.Part, fault.Away, fault.Every = value(0.2, 1), span(0, 3*second), span(0, 3*second).From
	case "lose":
		fault.Part = value(0.1, 0.5)
	case "grow":
		fault.Count = 1 + rng.IntN(3)
	case "proxy-restart":
		fault.Away, fault.Every = span(0, 2*second), span(0, 6*second).From
	case "proxy-kill":
		fault.Part, fault.Away = value(0.1, 1), span(0, 3*second)
	case "partition":
		fault.Sites = []string{s.Sites[rng.IntN(len(s.Sites))]}
	case "stall":
		fault.For, fault.Repeats, fault.RepeatAfter = span(20*time.Millisecond, 900*time.Millisecond), rng.IntN(4), span(second, 4*second)
	case "late-clock":
		fault.Away = span(5*time.Millisecond, 400*time.Millisecond)
	case "descriptors":
		fault.Size = value(0, 40)
	case "rude":
		fault.Size = value(5, 200)
	case "discovery-late":
		fault.Away = span(second, 4*second)
	case "late-connects":
		fault.Size, fault.Away = value(0.1, 1), span(100*time.Millisecond, 1500*time.Millisecond)
	case "leaving":
		fault.Size = value(0.05, 0.6)
	}
}

func (s *Scenario) classNames() []string {
	if len(s.Classes) == 0 {
		return []string{"readings", "status"}
	}
	names := make([]string, len(s.Classes))
	for i := range s.Classes {
		names[i] = s.Classes[i].Name
	}
	return names
}

// Finding is a broken rule that Fuzz found.
type Finding struct {
	Seed      uint64
	Rule      string
	Err       error
	Scenario  *Scenario // as generated
	Minimized *Scenario // after Shrink; breaks the same rule with the same seed
	Tried     int       // scenarios played by Shrink
}

// brokenRule returns the name of the rule that an error of Play reports as broken, or an empty
// string if it reports none.
func brokenRule(err error) string {
	var v *Violation
	var f *vnet.Failure
	switch {
	case errors.As(err, &v):
		return v.Rule
	case errors.As(err, &f):
		return "failure"
	}
	return ""
}

// playRecovering plays a day like Play. It reports a panic as a broken rule named panic.
func playRecovering(s *Scenario, seed uint64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			buf := make([]byte, 4096)
			err = &vnet.Failure{Seed: seed, Err: &Violation{"panic", fmt.Sprintf("%v\n%s", p, buf[:runtime.Stack(buf, false)])}}
		}
	}()
	_, err = Play(s, seed, Options{})
	return err
}

// Fuzz plays generated scenarios with seeds from first on, until one breaks a rule, n have been
// played or the time until has passed. It returns the finding with the lowest seed among those that
// were started, and the number of days played. done, if not nil, is called after each day, one call
// at a time.
func Fuzz(config FuzzConfig, first uint64, n int, until time.Time, done func(seed uint64)) (*Finding, int, error) {
	var (
		mu     sync.Mutex
		next   = first
		played int
		found  *Finding
		failed error
		wait   sync.WaitGroup
	)
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				mu.Lock()
				if found != nil || failed != nil || next >= first+uint64(n) || time.Now().After(until) {
					mu.Unlock()
					return
				}
				seed := next
				next++
				mu.Unlock()
				s, err := config.scenario(seed)
				if err == nil {
					err = playRecovering(s, seed)
				}
				mu.Lock()
				played++
				if r := brokenRule(err); r != "" && (found == nil || seed < found.Seed) {
					found = &Finding{Seed: seed, Rule: r, Err: err, Scenario: s}
				} else if err != nil && r == "" {
					failed = err
				}
				if done != nil {
					done(seed)
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return found, played, failed
}

// Shrink looks for a smaller scenario that breaks the same rule with the same seed, until no
// reduction does or the time until has passed.
func (f *Finding) Shrink(until time.Time) {
	f.Minimized = f.Scenario
	for reduced := true; reduced; {
		reduced = false
		for _, c := range f.Minimized.reductions() {
			if time.Now().After(until) {
				return
			}
			f.Tried++
			if brokenRule(playRecovering(c, f.Seed)) == f.Rule {
				f.Minimized, reduced = c, true
				break
			}
		}
	}
}

// reductions returns copies of the scenario with one thing left out or made smaller, the largest
// reductions first.
func (s *Scenario) reductions() []*Scenario {
	var candidates []*Scenario
	try := func(change func(c *Scenario) bool) {
		c := *s
		c.Faults, c.Waves = slices.Clone(s.Faults), slices.Clone(s.Waves)
		if change(&c) {
			candidates = append(candidates, &c)
		}
	}
	for i := range s.Faults {
		try(func(c *Scenario) bool { c.Faults = slices.Delete(c.Faults, i, i+1); return true })
	}
	for i := range s.Waves {
		try(func(c *Scenario) bool { c.Waves = slices.Delete(c.Waves, i, i+1); return true })
	}
	for i := range s.Faults {
		try(func(c *Scenario) bool { t := &c.Faults[i]; was := t.Repeats; t.Repeats = 0; return was > 0 })
	}
	try(func(c *Scenario) bool { was := c.Network.Loss; c.Network.Loss = 0; return was > 0 })
	try(func(c *Scenario) bool { was := c.Proxies.EventCost; c.Proxies.EventCost = 0; return was > 0 })
	try(func(c *Scenario) bool {
		was := c.Proxies.MaxDescriptors
		c.Proxies.MaxDescriptors = 1024
		return was != 1024
	})
	for _, step := range []int{2, 1} {
		less := func(n *int) bool {
			was := *n
			*n = max(was/2, 1)
			if step == 1 {
				*n = max(was-1, 1)
			}
			return *n < was
		}
		try(func(c *Scenario) bool { return less(&c.Proxies.Count) })
		try(func(c *Scenario) bool { return less(&c.Relays.Count) })
	}
	for _, part := range []time.Duration{2, 8} {
		try(func(c *Scenario) bool {
			c.Run.Length = (c.Run.Length * (part - 1) / part).Round(time.Millisecond)
			return c.Run.Length >= time.Second
		})
		try(func(c *Scenario) bool {
			c.Run.WarmUp = (c.Run.WarmUp * (part - 1) / part).Round(time.Millisecond)
			return c.Run.WarmUp >= time.Second/2
		})
		try(func(c *Scenario) bool {
			c.Traffic.Rate = round(c.Traffic.Rate * float64(part-1) / float64(part))
			return c.Traffic.Rate >= 0.2
		})
	}
	return candidates
}
