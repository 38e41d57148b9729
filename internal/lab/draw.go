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

// day is a scenario with everything drawn that is drawn once.
type day struct {
	s        *Scenario
	seed     uint64
	classes  []fleet.Class
	traffic  fleet.Traffic
	skew     float64
	waves    []drawnWave
	relays   []relayPlan
	usual    float64 // load of a usual connection, in standard cores
	same     time.Duration
	cross    map[[2]string]time.Duration
	client   map[string]time.Duration
	jitter   float64
	buffer   time.Duration
	most     float64
	noise    float64
	service  time.Duration
	groups   int
	phase    float64
	total    time.Duration // warm-up and length
	settings []byte
}

type drawnWave struct {
	from, until time.Duration // since the start
	times       float64
	sites       []string
}

// relayPlan is one relay of the day.
type relayPlan struct {
	id    string
	site  string
	kind  *fleet.RelayKind
	speed float64
	late  bool // it is not there at the start
}

// stream is the draws of one concern of a seed.
func stream(seed uint64, concern string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(concern)))
}

// newDay draws a day.
func newDay(s *Scenario, seed uint64) (*day, error) {
	d := &day{s: s, seed: seed, total: s.Run.WarmUp + s.Run.Length, cross: make(map[[2]string]time.Duration), client: make(map[string]time.Duration)}
	r := stream(seed, "day")
	share := 0.0
	for _, c := range s.Classes {
		share += (c.Share.From + c.Share.To) / 2
	}
	for _, c := range s.Classes {
		d.classes = append(d.classes, fleet.Class{
			Name: c.Name, Share: (c.Share.From + c.Share.To) / 2 / share, SetUpTarget: c.SetUp, AttemptTimeout: c.GiveUp, MessageTarget: c.Message, Worth: c.Worth,
			SetUpWork: c.Work, LoadFactor: c.Load.Draw(r), LifeFactor: c.Life.Draw(r), LoadSigma: c.Sigma.Draw(r), ChangeSigma: c.Swing.Draw(r), ChangeInterval: c.Change,
			SingleShot: c.repeat() == "single_shot" || c.repeat() == "guarded" && c.scope() != "all",
		})
	}
	t := &s.Traffic
	d.traffic = fleet.Traffic{
		Rate: t.Rate, RateSwing: t.Swing.Draw(r), SwingPeriod: t.Period.Draw(r), MeanLife: t.Life.Draw(r), GroupSize: t.Group.Draw(r),
		GroupCost: s.Relays.Group, MessageInterval: t.Every, QuickRetries: t.Retries, Backoff: t.Backoff, HonourFraction: t.Honour.Draw(r),
		ReconnectDelay: t.Rejoin, ImpatientFraction: t.Impatient.Draw(r),
	}
	d.skew, d.phase = s.Run.Skew.Draw(r), 2*math.Pi*r.Float64()
	d.usual = 1 / s.Relays.PerCore.Draw(r)
	d.same, d.jitter = s.Network.Same.Draw(r), s.Network.Jitter.Draw(r)
	for i, a := range s.Sites {
		d.client[a] = s.Network.Client.Draw(r)
		for _, b := range s.Sites[i+1:] {
			w := s.Network.Cross.Draw(r)
			d.cross[[2]string{a, b}], d.cross[[2]string{b, a}] = w, w
		}
	}
	d.buffer, d.most = s.Relays.Buffer.Draw(r), s.Relays.Most.Draw(r)
	d.noise, d.service = s.Relays.Noise.Draw(r), s.Relays.Service.Draw(r)
	// Little's law gives how many are there at a time; so many groups have that many members.
	life := 0.0
	for _, c := range d.classes {
		life += c.Share * c.LifeFactor * d.traffic.MeanLife.Seconds()
	}
	d.groups = max(int(math.Round(t.Rate*life/d.traffic.GroupSize/float64(len(s.Sites)))), 1)
	for _, w := range s.Waves {
		at := w.At.Draw(r)
		d.waves = append(d.waves, drawnWave{at, at + w.For.Draw(r), w.Times.Draw(r), w.Sites})
	}
	d.plan()
	var err error
	if d.settings, err = d.platformSettings(); err != nil {
		return nil, err
	}
	return d, nil
}

// plan draws the relays: kinds by their shares, sites in turn but for the part that is placed by lot. Relays that a
// trouble of kind grow adds are planned with the others, so that their draws do not depend on it.
func (d *day) plan() {
	r := stream(d.seed, "relays")
	extra := 0
	for _, t := range d.s.Troubles {
		if t.Kind == "grow" {
			extra += t.Count * (t.Again + 1)
		}
	}
	for i := range d.s.Relays.Count + extra {
		x, k := r.Float64(), 0
		for ; k < len(d.s.Kinds)-1 && x >= d.s.Kinds[k].Share; k++ {
			x -= d.s.Kinds[k].Share
		}
		site := d.s.Sites[i%len(d.s.Sites)]
		if lot := r.IntN(len(d.s.Sites)); r.Float64() < d.s.Relays.Spread {
			site = d.s.Sites[lot]
		}
		d.relays = append(d.relays, relayPlan{
			id: fmt.Sprintf("relay-%03d", i), site: site, kind: &d.s.Kinds[k], speed: d.s.Kinds[k].Speed.Draw(r),
			late: i >= d.s.Relays.Count,
		})
	}
}

// rate is the new clients a second of a site, by the time since the start.
func (d *day) rate(site string, at time.Duration) float64 {
	part := 1 / float64(len(d.s.Sites))
	if site == d.s.Sites[0] {
		part += d.skew * (1 - part)
	} else {
		part -= d.skew * part
	}
	r := d.traffic.Rate * part * (1 + d.traffic.RateSwing*math.Sin(d.phase+2*math.Pi*at.Seconds()/d.traffic.SwingPeriod.Seconds()))
	for _, w := range d.waves {
		if at >= w.from && at < w.until && listed(w.sites, site) {
			r *= w.times
		}
	}
	return r
}

// listed tells whether a list names a site; an empty one stands for all.
func listed(sites []string, site string) bool {
	for _, s := range sites {
		if s == site {
			return true
		}
	}
	return len(sites) == 0
}

// repeat and scope are the platform's words for what repeating a request of the class does.
func (c *Class) repeat() string { return cmp.Or(c.Effect, "free") }
func (c *Class) scope() string  { return cmp.Or(c.Scope, "all") }

// platformSettings is the settings object that the platform gives its proxies on such a day.
func (d *day) platformSettings() ([]byte, error) {
	us := func(t time.Duration) int64 { return t.Microseconds() }
	s := d.s
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
	if s.Allow.Pushed {
		discovery = "automatic"
	}
	return json.Marshal(object{
		"Balancers": s.Proxies.Count, "Discovery": discovery, "Classes": classes,
		"Domain": object{
			"Groups": s.Relays.Group > 0, "TellsLoad": true, "TellsDelay": s.Relays.Clients, "MessageAimUs": aims,
			"ReportX0": "load asked of the server over what it can do",
		},
		"Invariants": object{
			"AskWithinUs": us(s.Allow.AskWithin), "ColdFrom": s.Rules.ColdFrom, "DrainGraceUs": us(s.Rules.DrainGrace),
			"FallUs": us(s.Rules.FallWithin), "TipMultiple": s.Rules.FallMultiple, "WarmWithinUs": us(s.Rules.WarmWithin),
			"AnswerSlackUs": us(s.Rules.AnswerSlack),
		},
		"Permissions": object{
			"AttemptsCap": s.Allow.Attempts, "Cancel": s.Allow.Cancel, "Probing": s.Allow.Probes, "DialTimeoutUs": us(s.Allow.Dial),
			"ConnIdleUs": us(s.Allow.Idle), "RetryAfter": s.Allow.Advice > 0, "MaxRetryAfterUs": us(s.Allow.Advice),
		},
		"Prices": object{"CrossZone": s.Allow.Crossing},
		"Report": object{"Fields": []string{"util", "x0", "qps"}, "How": "pull"},
	})
}

// settingsAt is the settings of a proxy at a site.
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

// settingsText is the same as JSON.
func (d *day) settingsText(site string) ([]byte, error) {
	var all map[string]any
	if err := json.Unmarshal(d.settings, &all); err != nil {
		return nil, err
	}
	all["Zone"] = site
	return json.Marshal(all)
}

// machine is what a relay computes with; a cold one has just started.
func (d *day) machine(p *relayPlan, cold bool, r *rand.Rand) fleet.MachineConfig {
	m := fleet.MachineConfig{
		Cores: p.kind.Cores, Speed: p.speed, MessageWork: d.service.Seconds(),
		FallMultiple: d.s.Rules.FallMultiple, FallWithin: d.s.Rules.FallWithin,
	}
	if cold {
		m.ColdFrom, m.WarmUp = p.kind.ColdFrom.Draw(r), p.kind.WarmUp.Draw(r)
	}
	return m
}

// relay is what a relay is made of.
func (d *day) relay(p *relayPlan, cold bool, r *rand.Rand) fleet.RelayConfig {
	errs := d.s.Relays.Errors
	if p.kind.ErrorFraction.To > 0 {
		errs = p.kind.ErrorFraction.Draw(r)
	}
	return fleet.RelayConfig{
		ID: p.id, Site: p.site, Kind: p.kind.Name, Machine: d.machine(p, cold, r), Classes: d.classes,
		Reports:     fleet.ReportConfig{Period: d.s.Relays.Period, Delay: d.s.Relays.Delay, Noise: d.noise, ProbeWork: d.s.Relays.Probe},
		TypicalLoad: d.usual, GroupCost: d.s.Relays.Group, MaxConnections: int(d.most * float64(p.kind.Cores)), MaxBacklog: d.buffer, ErrorFraction: errs, DrainFailsProbes: d.s.Relays.Leaving,
		Seed: d.seed,
	}
}
