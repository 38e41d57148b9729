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
	lookEvery = carrier.LookEvery
	// trialEvery is the length of a turn.
	trialEvery = time.Second
	// probers is how many of all probe such a target in that time, in the mean.
	probers = 2
)

// verdicts carries the evidence between this proxy's engine and the other proxies, and passes on to the module what the fleet
// holds of a target. What is decided is decided in internal/shared.
type verdicts struct {
	f       *fleet
	conf    Verdicts
	store   *evidence.Store
	known   map[string]verdict.Finding
	order   []string // of known
	targets []verdict.Target
	tried   time.Time
}

func newVerdicts(f *fleet, c Verdicts) *verdicts {
	v := &verdicts{f: f, conf: c, known: make(map[string]verdict.Finding), store: f.carrier.Store()}
	f.i.engine.OnOutcome(v.saw)
	return v
}

// saw takes an outcome of this proxy's own.
func (v *verdicts) saw(target string, o balance.Outcome, of proxy.OutcomeSource) {
	var c evidence.Counts
	switch o {
	case balance.OK:
		switch of {
		case proxy.FromHop:
			c.OK = 1
		case proxy.FromProbe:
			c.Seen = 1
		default:
			return // a connection that its client ended tells nothing new
		}
	case balance.Error, balance.Broken:
		if of == proxy.FromProbe {
			return // it may answer so many probes only
		}
		c.Fail = 1
	case balance.TimedOut:
		c.Slow = 1
		if of == proxy.FromProbe {
			c.Silent, c.Slow = 1, 0
		}
	case balance.NoConnect:
		c.Silent = 1
	default:
		return // full, called off or not sent: that speaks against no target
	}
	if c.Bad() > 0 {
		v.f.i.Count.Sightings++
	}
	v.store.Saw(v.f.loop.Now(), target, c)
}

// look judges if there is anything to judge.
func (v *verdicts) look(now time.Time) {
	if v.store.Disputed() || len(v.order) > 0 {
		v.judge(now)
	}
}

// judge looks at all targets anew.
func (v *verdicts) judge(now time.Time) {
	v.targets = v.targets[:0]
	for _, t := range v.f.i.engine.Table().All() {
		if !v.f.i.engine.Drains(t.ID) {
			v.targets = append(v.targets, verdict.Target{ID: t.ID, Zone: t.Site})
		}
	}
	list := verdict.Judge(now, v.store, v.store.Me().Zone, v.targets, v.conf.Judge, verdict.Flaws{})
	before := v.known
	v.known = make(map[string]verdict.Finding, len(list))
	trial, members := now.Sub(v.tried) >= trialEvery, v.f.node.Peers().Count()
	for _, x := range list {
		v.known[x.Target] = x
		if was := before[x.Target].Verdict; was != x.Verdict {
			if x.Condemned() && !was.Condemned() {
				v.f.i.Count.Condemned++
			}
			v.tell(VerdictChange{x, was})
		}
		span := now.UnixMilli() / trialEvery.Milliseconds()
		mine := verdict.Turn(v.store.Me().Session, x.Target, span, verdict.Triers)
		until := now.Add(2 * lookEvery)
		if x.Verdict == verdict.Returning && mine && !x.Tried {
			until = time.Time{}
		}
		v.f.i.engine.AvoidUntil(x.Target, until)
		if trial && x.Verdict != verdict.Failing && verdict.Turn(v.store.Me().Session, x.Target, span, members/probers) {
			v.tried = now
			v.f.i.Count.Trials++
			v.f.i.engine.ProbeDirectly(x.Target)
		}
	}
	for _, id := range v.order {
		if _, still := v.known[id]; !still {
			v.f.i.Count.Acquitted++
			v.f.i.engine.AvoidUntil(id, time.Time{})
			v.tell(VerdictChange{verdict.Finding{Target: id}, before[id].Verdict})
		}
	}
	v.order = v.order[:0]
	for _, x := range list {
		v.order = append(v.order, x.Target)
	}
}

// view tells operators of verdicts; targets without one are sound.
func (v *verdicts) view() []mesh.SharedView {
	var all []mesh.SharedView
	for _, id := range v.order {
		x := v.known[id]
		all = append(all, mesh.SharedView{Matter: "verdict", Name: id, State: x.Verdict.String(), AgeMS: x.Age.Milliseconds(),
			Text: fmt.Sprintf("%d witnesses, %d against", x.Witnesses, x.Against)})
	}
	return all
}

func (v *verdicts) tell(c VerdictChange) {
	if v.conf.OnChange != nil {
		v.conf.OnChange(c)
	}
}
