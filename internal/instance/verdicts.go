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

// VerdictConfig configures the verdicts on targets that all proxies of a fleet reach together. All
// proxies must have the same configuration.
type VerdictConfig struct {
	Evidence evidence.Config
	Judge    verdict.Config
	OnChange func(VerdictChange) // called with each change, for the log; may be nil
}

// DefaultVerdictConfig returns the default configuration.
func DefaultVerdictConfig() VerdictConfig {
	return VerdictConfig{Evidence: evidence.DefaultConfig(), Judge: verdict.DefaultConfig()}
}

// VerdictChange is a change of the verdict on a target.
type VerdictChange struct {
	verdict.Finding
	Previous verdict.Verdict
}

const (
	tickInterval = carrier.TickInterval
	// trialInterval is the length of a turn, in which some of the processes try a target that has a
	// verdict.
	trialInterval = time.Second
	// probersPerTrial is the mean number of processes that probe a target with a verdict in one
	// turn.
	probersPerTrial = 2
)

// verdicts exchanges evidence between this proxy's engine and the other proxies, and passes the
// fleet's verdicts on targets to the module. The decisions are made in package
// internal/shared/verdict.
type verdicts struct {
	fleet        *fleet
	config       VerdictConfig
	store        *evidence.Store
	findings     map[string]verdict.Finding
	findingOrder []string // target IDs of findings, in the order of the last evaluation
	targets      []verdict.Target
	lastTrial    time.Time
}

func newVerdicts(f *fleet, c VerdictConfig) *verdicts {
	v := &verdicts{fleet: f, config: c, findings: make(map[string]verdict.Finding), store: f.carrier.Store()}
	f.instance.engine.OnOutcome(v.onOutcome)
	return v
}

// onOutcome records the outcome of a hop or probe of this proxy.
func (v *verdicts) onOutcome(target string, o balance.Outcome, of proxy.OutcomeSource) {
	var c evidence.Counts
	switch o {
	case balance.OK:
		switch of {
		case proxy.OutcomeFromHop:
			c.OK = 1
		case proxy.OutcomeFromProbe:
			c.ProbeOK = 1
		default:
			return // a connection that its client closed is no evidence
		}
	case balance.Error, balance.Broken:
		if of == proxy.OutcomeFromProbe {
			return // the target may limit the rate of probes
		}
		c.Fail = 1
	case balance.TimedOut:
		c.Slow = 1
		if of == proxy.OutcomeFromProbe {
			c.Silent, c.Slow = 1, 0
		}
	case balance.NoConnect:
		c.Silent = 1
	default:
		return // full, cancelled or not sent: no evidence against the target
	}
	if c.Bad() > 0 {
		v.fleet.instance.Count.Sightings++
	}
	v.store.Record(v.fleet.loop.Now(), target, c)
}

// tick evaluates the verdicts if there is evidence against a target or a verdict to revise.
func (v *verdicts) tick(now time.Time) {
	if v.store.Disputed() || len(v.findingOrder) > 0 {
		v.evaluate(now)
	}
}

// evaluate computes the verdicts on all targets anew.
func (v *verdicts) evaluate(now time.Time) {
	v.targets = v.targets[:0]
	for _, t := range v.fleet.instance.engine.Table().All() {
		if !v.fleet.instance.engine.IsDraining(t.ID) {
			v.targets = append(v.targets, verdict.Target{ID: t.ID, Zone: t.Site})
		}
	}
	list := verdict.Judge(now, v.store, v.store.Self().Zone, v.targets, v.config.Judge, verdict.Flaws{})
	previous := v.findings
	v.findings = make(map[string]verdict.Finding, len(list))
	trial, members := now.Sub(v.lastTrial) >= trialInterval, v.fleet.node.Peers().Count()
	for _, finding := range list {
		v.findings[finding.Target] = finding
		if was := previous[finding.Target].Verdict; was != finding.Verdict {
			if finding.Unhealthy() && !was.Unhealthy() {
				v.fleet.instance.Count.Condemned++
			}
			v.notifyChange(VerdictChange{finding, was})
		}
		turn := now.UnixMilli() / trialInterval.Milliseconds()
		mine := verdict.HasTurn(v.store.Self().Session, finding.Target, turn, verdict.TrialDivisor)
		until := now.Add(2 * tickInterval)
		if finding.Verdict == verdict.Returning && mine && !finding.RecentlyTried {
			until = time.Time{}
		}
		v.fleet.instance.engine.AvoidUntil(finding.Target, until)
		if trial && finding.Verdict != verdict.Failing && verdict.HasTurn(v.store.Self().Session, finding.Target, turn, members/probersPerTrial) {
			v.lastTrial = now
			v.fleet.instance.Count.Trials++
			v.fleet.instance.engine.ProbeDirectly(finding.Target)
		}
	}
	for _, id := range v.findingOrder {
		if _, still := v.findings[id]; !still {
			v.fleet.instance.Count.Acquitted++
			v.fleet.instance.engine.AvoidUntil(id, time.Time{})
			v.notifyChange(VerdictChange{verdict.Finding{Target: id}, previous[id].Verdict})
		}
	}
	v.findingOrder = v.findingOrder[:0]
	for _, finding := range list {
		v.findingOrder = append(v.findingOrder, finding.Target)
	}
}

// view returns the verdicts for operators. A target without a verdict is sound.
func (v *verdicts) view() []mesh.SharedView {
	var all []mesh.SharedView
	for _, id := range v.findingOrder {
		finding := v.findings[id]
		all = append(all, mesh.SharedView{Topic: "verdict", Name: id, State: finding.Verdict.String(), AgeMS: finding.Age.Milliseconds(),
			Text: fmt.Sprintf("%d witnesses, %d against", finding.Witnesses, finding.Opposing)})
	}
	return all
}

func (v *verdicts) notifyChange(c VerdictChange) {
	if v.config.OnChange != nil {
		v.config.OnChange(c)
	}
}
