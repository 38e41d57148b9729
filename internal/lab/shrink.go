package lab

import (
	"slices"
	"time"
)

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
