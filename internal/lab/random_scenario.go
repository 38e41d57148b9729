package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ospreyspan/internal/fleet"
)

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
