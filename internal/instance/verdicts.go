package instance

import (
	"fmt"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/proxy"
	"ospreyspan/internal/shared/carrier"
	"ospreyspan/internal/shared/evidence"
	"ospreyspan/internal/shared/verdict"
)

// Verdicts are the figures of what all proxies hold of targets together; all of a fleet must have the same.
type Verdicts struct {
	Evidence evidence.Config
	Judge    verdict.Config
	OnChange func(VerdictChange) // told of each change, for the log; may be nil
}

// DefaultVerdicts have the figures that serve.
func DefaultVerdicts() Verdicts {
	return Verdicts{Evidence: evidence.DefaultConfig(), Judge: verdict.DefaultConfig()}
}

// VerdictChange is a verdict that changed.
type VerdictChange struct {
	verdict.Finding
	Previous verdict.Verdict
}

const (
	tickInterval = carrier.LookEvery
	// trialInterval is the length of a turn.
	trialInterval = time.Second
	// probersPerTrial is how many of all probe such a target in that time, in the mean.
	probersPerTrial = 2
)

// verdicts carries the evidence between this proxy's engine and the other proxies, and passes on to the module what the fleet
// holds of a target. What is decided is decided in internal/shared.
type verdicts struct {
	fleet        *fleet
	config       Verdicts
	store        *evidence.Store
	findings     map[string]verdict.Finding
	findingOrder []string // of known
	targets      []verdict.Target
	lastTrial    time.Time
}

func newVerdicts(f *fleet, c Verdicts) *verdicts {
	v := &verdicts{fleet: f, config: c, findings: make(map[string]verdict.Finding), store: f.carrier.Store()}
	f.instance.engine.OnOutcome(v.onOutcome)
	return v
}

// onOutcome takes an outcome of this proxy's own.
func (v *verdicts) onOutcome(target string, o balance.Outcome, of proxy.Occasion) {
	var c evidence.Counts
	switch o {
	case balance.OK:
		switch of {
		case proxy.OfHop:
			c.OK = 1
		case proxy.OfProbe:
			c.Seen = 1
		default:
			return // a connection that its client ended tells nothing new
		}
	case balance.Error, balance.Broken:
		if of == proxy.OfProbe {
			return // it may answer so many probes only
		}
		c.Fail = 1
	case balance.TimedOut:
		c.Slow = 1
		if of == proxy.OfProbe {
			c.Silent, c.Slow = 1, 0
		}
	case balance.NoConnect:
		c.Silent = 1
	default:
		return // full, called off or not sent: that speaks against no target
	}
	if c.Bad() > 0 {
		v.fleet.instance.Count.Sightings++
	}
	v.store.Saw(v.fleet.loop.Now(), target, c)
}

// tick judges if there is anything to judge.
func (v *verdicts) tick(now time.Time) {
	if v.store.Disputed() || len(v.findingOrder) > 0 {
		v.evaluate(now)
	}
}

// evaluate looks at all targets anew.
func (v *verdicts) evaluate(now time.Time) {
	v.targets = v.targets[:0]
	for _, t := range v.fleet.instance.engine.Table().All() {
		if !v.fleet.instance.engine.Drains(t.ID) {
			v.targets = append(v.targets, verdict.Target{ID: t.ID, Zone: t.Site})
		}
	}
	list := verdict.Judge(now, v.store, v.store.Me().Zone, v.targets, v.config.Judge, verdict.Flaws{})
	previous := v.findings
	v.findings = make(map[string]verdict.Finding, len(list))
	trial, members := now.Sub(v.lastTrial) >= trialInterval, v.fleet.node.Peers().Count()
	for _, x := range list {
		v.findings[x.Target] = x
		if was := previous[x.Target].Verdict; was != x.Verdict {
			if x.Condemned() && !was.Condemned() {
				v.fleet.instance.Count.Condemned++
			}
			v.notifyChange(VerdictChange{x, was})
		}
		turn := now.UnixMilli() / trialInterval.Milliseconds()
		mine := verdict.Turn(v.store.Me().Session, x.Target, turn, verdict.Triers)
		until := now.Add(2 * tickInterval)
		if x.Verdict == verdict.Returning && mine && !x.Tried {
			until = time.Time{}
		}
		v.fleet.instance.engine.Told(x.Target, until)
		if trial && x.Verdict != verdict.Failing && verdict.Turn(v.store.Me().Session, x.Target, turn, members/probersPerTrial) {
			v.lastTrial = now
			v.fleet.instance.Count.Trials++
			v.fleet.instance.engine.ProbeAlone(x.Target)
		}
	}
	for _, id := range v.findingOrder {
		if _, still := v.findings[id]; !still {
			v.fleet.instance.Count.Acquitted++
			v.fleet.instance.engine.Told(id, time.Time{})
			v.notifyChange(VerdictChange{verdict.Finding{Target: id}, previous[id].Verdict})
		}
	}
	v.findingOrder = v.findingOrder[:0]
	for _, x := range list {
		v.findingOrder = append(v.findingOrder, x.Target)
	}
}

// view tells operators of verdicts; targets without one are sound.
func (v *verdicts) view() []mesh.SharedView {
	var all []mesh.SharedView
	for _, id := range v.findingOrder {
		x := v.findings[id]
		all = append(all, mesh.SharedView{Matter: "verdict", Name: id, State: x.Verdict.String(), AgeMS: x.Age.Milliseconds(),
			Text: fmt.Sprintf("%d witnesses, %d against", x.Witnesses, x.Against)})
	}
	return all
}

func (v *verdicts) notifyChange(c VerdictChange) {
	if v.config.OnChange != nil {
		v.config.OnChange(c)
	}
}
