package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/settings"
)

// day is a scenario with all values drawn that are drawn once per run.
type day struct {
	scenario       *Scenario
	seed           uint64
	classes        []fleet.Class
	traffic        fleet.Traffic
	skew           float64
	waves          []drawnWave
	relays         []relayPlan
	usualLoad      float64 // of a usual connection, in standard cores
	sameSiteDelay  time.Duration
	crossSiteDelay map[[2]string]time.Duration
	clientDelay    map[string]time.Duration
	jitter         float64
	workBuffer     time.Duration
	maxPerCore     float64
	reportNoise    float64
	messageWork    time.Duration
	groupsPerSite  int
	swingPhase     float64
	total          time.Duration // warm-up and length
	settingsJSON   []byte
}

// drawnWave is a Wave with its values drawn.
type drawnWave struct {
	from, until  time.Duration // since the start
	rateMultiple float64
	sites        []string
}

// relayPlan holds the drawn properties of one relay.
type relayPlan struct {
	id         string
	site       string
	kind       *fleet.RelayKind
	speed      float64
	startsLate bool // it does not run from the start
}

// randomStream returns the random numbers of one purpose, which do not depend on those of other
// purposes.
func randomStream(seed uint64, concern string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(concern)))
}

// newDay draws the values of a day.
func newDay(s *Scenario, seed uint64) (*day, error) {
	d := &day{scenario: s, seed: seed, total: s.Run.WarmUp + s.Run.Length, crossSiteDelay: make(map[[2]string]time.Duration), clientDelay: make(map[string]time.Duration)}
	r := randomStream(seed, "day")
	shareSum := 0.0
	for _, c := range s.Classes {
		shareSum += (c.Share.From + c.Share.To) / 2
	}
	for _, c := range s.Classes {
		d.classes = append(d.classes, fleet.Class{
			Name: c.Name, Share: (c.Share.From + c.Share.To) / 2 / shareSum, SetUpTarget: c.SetUp, AttemptTimeout: c.GiveUp, MessageTarget: c.Message, Worth: c.Worth,
			SetUpWork: c.Work, LoadFactor: c.Load.Draw(r), LifeFactor: c.Life.Draw(r), LoadSigma: c.Sigma.Draw(r), ChangeSigma: c.Swing.Draw(r), ChangeInterval: c.Change,
			SingleShot: c.repeat() == "single_shot" || c.repeat() == "guarded" && c.scope() != "all",
		})
	}
	traffic := &s.Traffic
	d.traffic = fleet.Traffic{
		Rate: traffic.Rate, RateSwing: traffic.Swing.Draw(r), SwingPeriod: traffic.Period.Draw(r), MeanLife: traffic.Life.Draw(r), GroupSize: traffic.GroupSize.Draw(r),
		GroupCost: s.Relays.GroupCost, MessageInterval: traffic.MessagePeriod, QuickRetries: traffic.Retries, Backoff: traffic.Backoff, HonourFraction: traffic.HonourAdvice.Draw(r),
		ReconnectDelay: traffic.Rejoin, ImpatientFraction: traffic.Impatient.Draw(r),
	}
	d.skew, d.swingPhase = s.Run.Skew.Draw(r), 2*math.Pi*r.Float64()
	d.usualLoad = 1 / s.Relays.PerCore.Draw(r)
	d.sameSiteDelay, d.jitter = s.Network.SameSite.Draw(r), s.Network.Jitter.Draw(r)
	for i, a := range s.Sites {
		d.clientDelay[a] = s.Network.Client.Draw(r)
		for _, b := range s.Sites[i+1:] {
			delay := s.Network.CrossSite.Draw(r)
			d.crossSiteDelay[[2]string{a, b}], d.crossSiteDelay[[2]string{b, a}] = delay, delay
		}
	}
	d.workBuffer, d.maxPerCore = s.Relays.WorkBuffer.Draw(r), s.Relays.MaxPerCore.Draw(r)
	d.reportNoise, d.messageWork = s.Relays.ReportNoise.Draw(r), s.Relays.MessageWork.Draw(r)
	// Little's law gives the number of simultaneous connections; divided by the group size, that is
	// the number of groups.
	life := 0.0
	for _, c := range d.classes {
		life += c.Share * c.LifeFactor * d.traffic.MeanLife.Seconds()
	}
	d.groupsPerSite = max(int(math.Round(traffic.Rate*life/d.traffic.GroupSize/float64(len(s.Sites)))), 1)
	for _, wave := range s.Waves {
		at := wave.At.Draw(r)
		d.waves = append(d.waves, drawnWave{at, at + wave.For.Draw(r), wave.Times.Draw(r), wave.Sites})
	}
	d.planRelays()
	var err error
	if d.settingsJSON, err = d.platformSettings(); err != nil {
		return nil, err
	}
	return d, nil
}

// planRelays draws the relays: kinds by their shares, sites in turn except for the share that is
// placed at random. Relays added by a fault of kind grow are planned with the others, so that the
// draws of the others do not depend on it.
func (d *day) planRelays() {
	r := randomStream(d.seed, "relays")
	extra := 0
	for _, t := range d.scenario.Faults {
		if t.Kind == "grow" {
			extra += t.Count * (t.Repeats + 1)
		}
	}
	for i := range d.scenario.Relays.Count + extra {
		x, k := r.Float64(), 0
		for ; k < len(d.scenario.Kinds)-1 && x >= d.scenario.Kinds[k].Share; k++ {
			x -= d.scenario.Kinds[k].Share
		}
		site := d.scenario.Sites[i%len(d.scenario.Sites)]
		if randomSite := r.IntN(len(d.scenario.Sites)); r.Float64() < d.scenario.Relays.RandomSites {
			site = d.scenario.Sites[randomSite]
		}
		d.relays = append(d.relays, relayPlan{
			id: fmt.Sprintf("relay-%03d", i), site: site, kind: &d.scenario.Kinds[k], speed: d.scenario.Kinds[k].Speed.Draw(r),
			startsLate: i >= d.scenario.Relays.Count,
		})
	}
}

// arrivalRate returns the new clients per second at a site, by the time since the start.
func (d *day) arrivalRate(site string, at time.Duration) float64 {
	part := 1 / float64(len(d.scenario.Sites))
	if site == d.scenario.Sites[0] {
		part += d.skew * (1 - part)
	} else {
		part -= d.skew * part
	}
	r := d.traffic.Rate * part * (1 + d.traffic.RateSwing*math.Sin(d.swingPhase+2*math.Pi*at.Seconds()/d.traffic.SwingPeriod.Seconds()))
	for _, wave := range d.waves {
		if at >= wave.from && at < wave.until && siteListed(wave.sites, site) {
			r *= wave.rateMultiple
		}
	}
	return r
}

// siteListed reports whether a list names a site; an empty list stands for all sites.
func siteListed(sites []string, site string) bool {
	for _, s := range sites {
		if s == site {
			return true
		}
	}
	return len(sites) == 0
}

// repeat and scope return, in the words of the proxies' settings, what repeating a request of the
// class does.
func (c *Class) repeat() string { return cmp.Or(c.Effect, "free") }
func (c *Class) scope() string  { return cmp.Or(c.Scope, "all") }

// platformSettings returns the settings object that the platform gives its proxies.
func (d *day) platformSettings() ([]byte, error) {
	us := func(t time.Duration) int64 { return t.Microseconds() }
	s := d.scenario
	type object = map[string]any
	var classes []object
	var aims []int64
	for i, c := range d.classes {
		classes = append(classes, object{
			"Name": c.Name, "Repeat": s.Classes[i].repeat(), "DedupScope": s.Classes[i].scope(), "WindowUs": us(s.Classes[i].Window),
			"TargetUs": us(c.SetUpTarget), "HardLimitUs": us(c.AttemptTimeout), "Worth": c.Worth,
		})
		aims = append(aims, us(c.MessageTarget))
	}
	discovery := "subscribe"
	if s.Permissions.ListsPushed {
		discovery = "automatic"
	}
	return json.Marshal(object{
		"Balancers": s.Proxies.Count, "Discovery": discovery, "Classes": classes,
		"Domain": object{
			"Groups": s.Relays.GroupCost > 0, "TellsLoad": true, "TellsDelay": s.Relays.TellsDelay, "MessageAimUs": aims,
			"ReportX0": "load asked of the server over what it can do",
		},
		"Invariants": object{
			"AskWithinUs": us(s.Permissions.AskWithin), "ColdFrom": s.Rules.ColdFrom, "DrainGraceUs": us(s.Rules.DrainGrace),
			"FallUs": us(s.Rules.FallWithin), "TipMultiple": s.Rules.FallMultiple, "WarmWithinUs": us(s.Rules.WarmWithin),
			"AnswerSlackUs": us(s.Rules.AnswerSlack),
		},
		"Permissions": object{
			"AttemptsCap": s.Permissions.Attempts, "Cancel": s.Permissions.Cancel, "Probing": s.Permissions.Probes, "DialTimeoutUs": us(s.Permissions.DialTimeout),
			"ConnIdleUs": us(s.Permissions.ConnIdle), "RetryAfter": s.Permissions.MaxAdvice > 0, "MaxRetryAfterUs": us(s.Permissions.MaxAdvice),
		},
		"Prices": object{"CrossZone": s.Permissions.CrossingCost},
		"Report": object{"Fields": []string{"util", "x0", "qps"}, "How": "pull"},
	})
}

// settingsAt returns the settings of a proxy at a site.
func (d *day) settingsAt(site string) (*settings.Settings, error) {
	text, err := d.settingsText(site)
	if err != nil {
		return nil, err
	}
	set, err := settings.Decode(text)
	if err != nil {
		return nil, err
	}
	return set, set.Check()
}

// settingsText returns the settings of a proxy at a site as JSON.
func (d *day) settingsText(site string) ([]byte, error) {
	var all map[string]any
	if err := json.Unmarshal(d.settingsJSON, &all); err != nil {
		return nil, err
	}
	all["Zone"] = site
	return json.Marshal(all)
}

// machineConfig returns the configuration of a relay's machine; a cold one has just started.
func (d *day) machineConfig(p *relayPlan, cold bool, r *rand.Rand) fleet.MachineConfig {
	m := fleet.MachineConfig{
		Cores: p.kind.Cores, Speed: p.speed, MessageWork: d.messageWork.Seconds(),
		FallMultiple: d.scenario.Rules.FallMultiple, FallWithin: d.scenario.Rules.FallWithin,
	}
	if cold {
		m.ColdFrom, m.WarmUp = p.kind.ColdFrom.Draw(r), p.kind.WarmUp.Draw(r)
	}
	return m
}

// relayConfig returns the configuration of a relay.
func (d *day) relayConfig(p *relayPlan, cold bool, r *rand.Rand) fleet.RelayConfig {
	errs := d.scenario.Relays.ErrorShare
	if p.kind.ErrorFraction.To > 0 {
		errs = p.kind.ErrorFraction.Draw(r)
	}
	return fleet.RelayConfig{
		ID: p.id, Site: p.site, Kind: p.kind.Name, Machine: d.machineConfig(p, cold, r), Classes: d.classes,
		Reports:     fleet.ReportConfig{Period: d.scenario.Relays.ReportPeriod, Delay: d.scenario.Relays.ReportDelay, Noise: d.reportNoise, ProbeWork: d.scenario.Relays.ProbeWork},
		TypicalLoad: d.usualLoad, GroupCost: d.scenario.Relays.GroupCost, MaxConnections: int(d.maxPerCore * float64(p.kind.Cores)), MaxBacklog: d.workBuffer, ErrorFraction: errs, DrainFailsProbes: d.scenario.Relays.DrainingFailsProbes,
		Seed: d.seed,
	}
}
