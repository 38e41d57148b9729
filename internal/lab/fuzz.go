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

// Text is the scenario as a file that Read reads, without what is as by default.
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
	inifile.Encode(&b, "allow", s.Allow, d.Allow)
	kinds, classes := s.Kinds, s.Classes
	if reflect.DeepEqual(kinds, defaultKinds()) {
		kinds = nil
	}
	if reflect.DeepEqual(classes, defaultClasses()) {
		classes = nil
	}
	for _, k := range kinds {
		inifile.Encode(&b, "kind "+k.Name, kind{k.Share, k.Cores, k.Speed, k.ColdFrom, k.WarmUp, k.ErrorFraction}, nil)
	}
	for _, c := range classes {
		inifile.Encode(&b, "class "+c.Name, c, nil)
	}
	for _, w := range s.Waves {
		inifile.Encode(&b, "wave "+w.Name, w, nil)
	}
	for _, t := range s.Troubles {
		inifile.Encode(&b, "trouble "+t.Name, t, Trouble{})
	}
	return b.String()
}

// Parse reads a scenario from the text of a file with that name. Set is as in Read.
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

// draws are the figures of a made-up scenario, each drawn once and for all.
type draws struct{ r *rand.Rand }

func newDraws(r *rand.Rand) *draws { return &draws{r} }

// span draws a time in whole milliseconds, one at least: a file leaves out what is nothing.
func (d *draws) span(from, to time.Duration) fleet.DurationRange {
	t := max(fleet.DurationRange{From: from, To: to}.Draw(d.r).Round(time.Millisecond), time.Millisecond)
	return fleet.DurationRange{From: t, To: t}
}

func (d *draws) one(from, to float64) fleet.Range {
	x := round(fleet.Range{From: from, To: to}.Draw(d.r))
	return fleet.Range{From: x, To: x}
}

// MakeScenario makes up a scenario from a seed.
type MakeScenario func(seed uint64) *Scenario

// FuzzDays are what Fuzz plays.
type FuzzDays struct {
	MakeUp MakeScenario
	Set    []string // section.key=value pairs that go before what is made up
}

// scenario makes up a day. It is what a file of it says, so that the file repeats it.
func (d *FuzzDays) scenario(seed uint64) (*Scenario, error) {
	return Parse(fmt.Sprintf("fuzz-%d.ini", seed), d.MakeUp(seed).Text(), d.Set...)
}

// MadeUp are the kinds of made-up days, by their names.
func MadeUp() map[string]MakeScenario {
	return map[string]MakeScenario{"any": Random, "throng": RandomThrong}
}

// Random makes up a scenario: a small fleet, and a few troubles of any kind that may overlap in any way.
func Random(seed uint64) *Scenario {
	d := newDraws(stream(seed, "fuzz"))
	r, span, one := d.r, d.span, d.one
	s := defaults()
	s.Kinds, s.Classes = defaultKinds(), defaultClasses()
	s.Name = fmt.Sprintf("fuzz-%d", seed)
	s.Run.Text = "made up"
	s.Run.Length, s.Run.WarmUp = span(12*time.Second, 30*time.Second).From, span(3*time.Second, 8*time.Second).From
	s.Sites = s.Run.Sites[:1+r.IntN(3)]
	s.Run.Sites = s.Sites
	s.Proxies.Count = 1 + r.IntN(4)
	s.Relays.Count = 2 + r.IntN(7)
	s.Traffic.Rate = one(2, 14).From
	if r.IntN(3) == 0 {
		s.Proxies.EventCost = span(10*time.Microsecond, 200*time.Microsecond).From
	}
	if r.IntN(3) == 0 {
		s.Network.Loss = one(0, 0.02).From
	}
	if r.IntN(3) == 0 {
		s.Proxies.Sockets = 100 + r.IntN(400)
	}
	if r.IntN(4) == 0 {
		s.Waves = append(s.Waves, Wave{Name: "surge", At: span(4*time.Second, 15*time.Second), For: span(time.Second, 6*time.Second), Times: one(3, 10)})
	}
	kinds := []string{
		"silence", "slow", "neighbour", "costly", "drain", "lose", "grow", "proxy-restart", "proxy-kill", "partition", "isolate",
		"stall", "late-clock", "descriptors", "ports", "rude", "discovery-down", "discovery-hang", "discovery-late",
		"late-connects", "leaving",
	}
	for i := range 1 + r.IntN(6) {
		t := Trouble{Name: fmt.Sprintf("t%d", i), Kind: kinds[r.IntN(len(kinds))]}
		t.At = span(0, s.Run.Length)
		t.For = span(200*time.Millisecond, 8*time.Second)
		s.fill(&t, r, one, span)
		s.Troubles = append(s.Troubles, t)
	}
	s.customer(r, span)
	return &s
}

// customer draws what another customer's settings may say: effects that must not come twice, and what is permitted.
func (s *Scenario) customer(r *rand.Rand, span func(from, to time.Duration) fleet.DurationRange) {
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
	s.Allow.Cancel, s.Allow.Probes, s.Allow.Pushed = r.IntN(3) > 0, r.IntN(6) > 0, r.IntN(4) == 0
	if r.IntN(3) == 0 { // connections that take long to come up, and are waited for
		s.Allow.Dial = span(300*time.Millisecond, 1200*time.Millisecond).From
		part := round(fleet.Range{From: 0.2, To: 0.8}.Draw(r))
		s.Troubles = append(s.Troubles, Trouble{
			Name: "late", Kind: "late-connects", For: fleet.DurationRange{From: s.Run.Length, To: s.Run.Length},
			Size: fleet.Range{From: part, To: part}, Away: span(200*time.Millisecond, 1200*time.Millisecond),
		})
	}
}

// fill gives a trouble the figures that its kind needs.
func (s *Scenario) fill(t *Trouble, r *rand.Rand, one func(from, to float64) fleet.Range, span func(from, to time.Duration) fleet.DurationRange) {
	second := time.Second
	switch t.Kind {
	case "silence", "isolate":
		t.Part = one(0.1, 0.5)
	case "slow":
		t.Part, t.Size = one(0.1, 0.6), one(2, 9)
	case "neighbour":
		t.Part, t.Size, t.Every = one(0.2, 0.7), one(0.3, 0.8), span(second/2, 4*second).From
	case "costly":
		t.Part, t.Size, t.Class = one(0.01, 0.1), one(5, 26), s.classNames()[r.IntN(2)]
	case "drain":
		t.Part, t.Away, t.Every = one(0.2, 1), span(0, 3*second), span(0, 3*second).From
	case "lose":
		t.Part = one(0.1, 0.5)
	case "grow":
		t.Count = 1 + r.IntN(3)
	case "proxy-restart":
		t.Away, t.Every = span(0, 2*second), span(0, 6*second).From
	case "proxy-kill":
		t.Part, t.Away = one(0.1, 1), span(0, 3*second)
	case "partition":
		t.Sites = []string{s.Sites[r.IntN(len(s.Sites))]}
	case "stall":
		t.For, t.Again, t.After = span(20*time.Millisecond, 900*time.Millisecond), r.IntN(4), span(second, 4*second)
	case "late-clock":
		t.Away = span(5*time.Millisecond, 400*time.Millisecond)
	case "descriptors":
		t.Size = one(0, 40)
	case "rude":
		t.Size = one(5, 200)
	case "discovery-late":
		t.Away = span(second, 4*second)
	case "late-connects":
		t.Size, t.Away = one(0.1, 1), span(100*time.Millisecond, 1500*time.Millisecond)
	case "leaving":
		t.Size = one(0.05, 0.6)
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

// Found is a broken rule that Fuzz came upon.
type Found struct {
	Seed     uint64
	Rule     string
	Err      error
	Scenario *Scenario // as it was made up
	Small    *Scenario // after shrinking; breaks the same rule with the same seed
	Tried    int       // scenarios tried in shrinking
}

// rule is the name of the rule that an error of Play tells of; empty if it is none.
func rule(err error) string {
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

// playSafely is Play; a panic of the program is a broken rule like others.
func playSafely(s *Scenario, seed uint64) (err error) {
	defer func() {
		if p := recover(); p != nil {
			buf := make([]byte, 4096)
			err = &vnet.Failure{Seed: seed, Err: &Violation{"panic", fmt.Sprintf("%v\n%s", p, buf[:runtime.Stack(buf, false)])}}
		}
	}()
	_, err = Play(s, seed, Options{})
	return err
}

// Fuzz plays scenarios that are made up from seeds from first on, until one breaks a rule, n were played or the time is over; it
// returns the lowest such seed of those that were begun, and how many were played. done is called after each.
func Fuzz(days FuzzDays, first uint64, n int, until time.Time, done func(seed uint64)) (*Found, int, error) {
	var (
		one    sync.Mutex
		next   = first
		played int
		found  *Found
		failed error
		wait   sync.WaitGroup
	)
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				one.Lock()
				if found != nil || failed != nil || next >= first+uint64(n) || time.Now().After(until) {
					one.Unlock()
					return
				}
				seed := next
				next++
				one.Unlock()
				s, err := days.scenario(seed)
				if err == nil {
					err = playSafely(s, seed)
				}
				one.Lock()
				played++
				if r := rule(err); r != "" && (found == nil || seed < found.Seed) {
					found = &Found{Seed: seed, Rule: r, Err: err, Scenario: s}
				} else if err != nil && r == "" {
					failed = err
				}
				if done != nil {
					done(seed)
				}
				one.Unlock()
			}
		}()
	}
	wait.Wait()
	return found, played, failed
}

// Shrink looks for a smaller scenario that breaks the same rule with the same seed, until nothing can be left out or the
// time is over.
func (f *Found) Shrink(until time.Time) {
	f.Small = f.Scenario
	for again := true; again; {
		again = false
		for _, c := range f.Small.smaller() {
			if time.Now().After(until) {
				return
			}
			f.Tried++
			if rule(playSafely(c, f.Seed)) == f.Rule {
				f.Small, again = c, true
				break
			}
		}
	}
}

// smaller returns scenarios with something left out, the boldest first.
func (s *Scenario) smaller() []*Scenario {
	var list []*Scenario
	try := func(change func(c *Scenario) bool) {
		c := *s
		c.Troubles, c.Waves = slices.Clone(s.Troubles), slices.Clone(s.Waves)
		if change(&c) {
			list = append(list, &c)
		}
	}
	for i := range s.Troubles {
		try(func(c *Scenario) bool { c.Troubles = slices.Delete(c.Troubles, i, i+1); return true })
	}
	for i := range s.Waves {
		try(func(c *Scenario) bool { c.Waves = slices.Delete(c.Waves, i, i+1); return true })
	}
	for i := range s.Troubles {
		try(func(c *Scenario) bool { t := &c.Troubles[i]; was := t.Again; t.Again = 0; return was > 0 })
	}
	try(func(c *Scenario) bool { was := c.Network.Loss; c.Network.Loss = 0; return was > 0 })
	try(func(c *Scenario) bool { was := c.Proxies.EventCost; c.Proxies.EventCost = 0; return was > 0 })
	try(func(c *Scenario) bool { was := c.Proxies.Sockets; c.Proxies.Sockets = 1024; return was != 1024 })
	for _, by := range []int{2, 1} {
		less := func(n *int) bool {
			was := *n
			*n = max(was/2, 1)
			if by == 1 {
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
	return list
}
