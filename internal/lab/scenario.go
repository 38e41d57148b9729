// Package lab plays days of a fleet: a scenario file says what there is and what goes wrong, a seed draws the rest. It runs
// the real proxies on a virtual network, checks the rules at every step, and keeps what came of it as tables and charts.
package lab

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/inifile"
	"ospreyspan/internal/proxy"
)

// Scenario is what a scenario file says. Its figures may be ranges, from which a day draws.
type Scenario struct {
	Name      string
	Run       Run
	Sites     []string
	Proxies   Proxies
	Relays    Relays
	Kinds     []fleet.RelayKind
	Classes   []Class
	Network   Network
	Traffic   Traffic
	Waves     []Wave
	Discovery Discovery
	Front     Front
	Rules     Rules
	Allow     Allow
	Troubles  []Trouble
}

// Run is how long a day takes and what of it counts.
type Run struct {
	Length   time.Duration `ini:"length" above:"0" max:"3600"`
	WarmUp   time.Duration `ini:"warm_up"`              // before that
	CoolDown time.Duration `ini:"cool_down"`            // after it, without clients: what was taken must be given back
	Audit    time.Duration `ini:"audit"`                // between two looks at a proxy's books; 0: after every turn
	Text     string        `ini:"about"`                // what the scenario is for
	Sites    []string      `ini:"sites"`                // where proxies, relays and clients are
	Skew     fleet.Range   `ini:"skew" min:"0" max:"1"` // part of the traffic that is moved to the first site
}

// Proxies are the instances of the program.
type Proxies struct {
	Count        int           `ini:"count" min:"1" max:"1000"`
	Sockets      int           `ini:"sockets" min:"0"` // descriptors of each; 0: without limit
	EventCost    time.Duration `ini:"event_cost"`      // of the processor, for each event of the loop
	AnswerMargin time.Duration `ini:"answer_margin" above:"0"`
	SilentAfter  time.Duration `ini:"silent_after" min:"0.01"`
	MovesSpan    time.Duration `ini:"moves_span" min:"0.02"`
	MovesDone    time.Duration `ini:"moves_done" min:"0.35"`
	// Keepers is how many of the proxies agree on who owns the fleet's duties, 3 or 5; 0: proxies share nothing.
	Keepers int      `ini:"keepers" min:"0" max:"5"`
	Duties  []string `ini:"duties"` // with keepers, what all of them take: discovery, probes, moves
	// Limit is how many connections all proxies together may have, 0: any number; LimitKind says how that is kept. Needs keepers.
	Limit     int    `ini:"limit" min:"0"`
	LimitKind string `ini:"limit_kind" one:"soft, strict"`
	// LimitWithin has the limit be one of new connections in such a time; 0: of those that stand.
	LimitWithin time.Duration `ini:"limit_within"`
	// Retries is the part of first attempts that all proxies' further ones may be; 0: any. Needs keepers.
	Retries float64 `ini:"retries" min:"0" max:"10"`
	// BadLinks has what real processes say to each other led over links that lose, delay, repeat and cut one way. Needs keepers.
	BadLinks bool `ini:"bad_links"`
	// Verdicts says that the proxies judge relays by what all of them saw. Needs keepers.
	Verdicts bool    `ini:"verdicts"`
	PerS     float64 `ini:"moves_per_second" min:"0"` // at which the owner of moves paces them; 0: nobody does
}

// Relays are the egress targets.
type Relays struct {
	Count   int                 `ini:"count" min:"1" max:"10000"`
	PerCore fleet.Range         `ini:"per_core" above:"0"`     // usual connections that fill a standard core
	Most    fleet.Range         `ini:"most_per_core" min:"0"`  // connections that a core of a relay holds at the most; 0: any number
	Buffer  fleet.DurationRange `ini:"buffer"`                 // work that may pile up before connections are dropped
	Service fleet.DurationRange `ini:"message_work" above:"0"` // of a message, on a standard core
	Group   float64             `ini:"group_cost" min:"0"`     // usual loads for each group that a relay holds any of
	Period  fleet.DurationRange `ini:"report_every" above:"0"` // between two load reports
	Delay   fleet.DurationRange `ini:"report_late"`            // until one can be read
	Noise   fleet.Range         `ini:"report_noise" min:"0"`   // relative
	Probe   fleet.DurationRange `ini:"probe_work"`             // on a standard core
	Return  fleet.DurationRange `ini:"return_notice"`          // until discovery names one that has started
	Notice  fleet.DurationRange `ini:"drain_notice"`           // until it tells that one drains or was stopped
	Silent  fleet.DurationRange `ini:"silent_notice"`          // until it drops one that fell silent
	Errors  float64             `ini:"errors" min:"0" max:"1"` // part of the connections answered with an error, where a kind gives none
	Spread  float64             `ini:"spread" min:"0" max:"1"` // part of the relays that are placed on sites by lot
	Leaving bool                `ini:"draining_fails_probes"`  // one that drains answers probes with an error; else as one that serves
	Clients bool                `ini:"tell_delay"`             // the proxies are told to watch how long messages take
}

// Class is fleet.Class as the file has it.
type Class struct {
	Name    string
	Share   fleet.Range         `ini:"share" min:"0" max:"1"`
	SetUp   time.Duration       `ini:"set_up" above:"0"`
	GiveUp  time.Duration       `ini:"give_up" above:"0"`
	Message time.Duration       `ini:"message" above:"0"`
	Worth   float64             `ini:"worth" above:"0"`
	Work    fleet.DurationRange `ini:"work"`
	Load    fleet.Range         `ini:"load" above:"0"`
	Life    fleet.Range         `ini:"life" above:"0"`
	Sigma   fleet.Range         `ini:"sigma" min:"0" max:"3"`
	Swing   fleet.Range         `ini:"swing" min:"0" max:"3"`
	Change  fleet.DurationRange `ini:"change" above:"0"`
	Effect  string              `ini:"effect" one:"free, single_shot, guarded"`
	Scope   string              `ini:"scope" one:"all, zone, cell"` // of guarded: which relays drop repeats
	Window  time.Duration       `ini:"window"`                      // of guarded: for how long
}

// Network is the way between the machines, one way.
type Network struct {
	Same      fleet.DurationRange `ini:"same_site"`
	Cross     fleet.DurationRange `ini:"cross_site"`
	Client    fleet.DurationRange `ini:"client"`                 // from a client's machine to its site
	Jitter    fleet.Range         `ini:"jitter" min:"0" max:"2"` // part of a delay that is added at the most
	Loss      float64             `ini:"loss" min:"0" max:"0.9"`
	Bandwidth float64             `ini:"bandwidth" min:"0"` // bytes a second of each path; 0: without end
}

// Traffic is fleet.Traffic as the file has it.
type Traffic struct {
	Rate      float64             `ini:"rate" min:"0"` // new clients a second, at all sites
	Swing     fleet.Range         `ini:"swing" min:"0" max:"1"`
	Period    fleet.DurationRange `ini:"period" above:"0"`
	Life      fleet.DurationRange `ini:"life" above:"0"`
	Group     fleet.Range         `ini:"group_size" above:"0"`
	Every     time.Duration       `ini:"message_every" above:"0"`
	Retries   int                 `ini:"retries" min:"0" max:"20"`
	Backoff   fleet.DurationRange `ini:"backoff" above:"0"`
	Honour    fleet.Range         `ini:"honour" min:"0" max:"1"`
	Rejoin    fleet.DurationRange `ini:"rejoin" above:"0"`
	Impatient fleet.Range         `ini:"impatient" min:"0" max:"1"`
}

// Wave is a time in which more clients come, or fewer.
type Wave struct {
	Name  string
	At    fleet.DurationRange `ini:"at"`
	For   fleet.DurationRange `ini:"for" above:"0"`
	Times fleet.Range         `ini:"times" min:"0"` // the usual rate
	Sites []string            `ini:"sites"`         // empty: all
}

// Discovery is the service that names the relays.
type Discovery struct {
	Call    time.Duration `ini:"call"`
	Line    time.Duration `ini:"line"`
	Timeout time.Duration `ini:"timeout"`
	Resets  float64       `ini:"resets" min:"0" max:"1"` // part of the calls that waited too long whose connection is reset
}

// Front hands clients to proxies.
type Front struct {
	Every  time.Duration       `ini:"every" above:"0"`
	Notice fleet.DurationRange `ini:"notice"`
	Late   fleet.DurationRange `ini:"late_clients"` // how long clients still come to a proxy that was told to stop
}

// Rules are what runs are judged by, and what proxies are told of it.
type Rules struct {
	AnswerSlack  time.Duration `ini:"answer_slack"`
	DrainGrace   time.Duration `ini:"drain_grace" above:"0"`
	ColdFrom     float64       `ini:"cold_from" above:"0" max:"1"`
	WarmWithin   time.Duration `ini:"warm_within" above:"0"`
	FallMultiple float64       `ini:"fall_multiple" min:"1"`
	FallWithin   time.Duration `ini:"fall_within" above:"0"`
	ColdBudget   bool          `ini:"cold_budget"` // what a cold relay gets in all is judged as well
	NewsWithin   time.Duration `ini:"news_within"` // until a change counts as told after a call that failed; 0: it does not
	AskAgain     time.Duration `ini:"ask_again"`   // until a proxy whose call failed has to ask again; 0: any time
}

// Allow is what proxies may do.
type Allow struct {
	Attempts  int           `ini:"attempts" min:"0"`
	Dial      time.Duration `ini:"dial" above:"0"`
	Idle      time.Duration `ini:"idle"`
	AskWithin time.Duration `ini:"ask_within" above:"0"`
	Advice    time.Duration `ini:"advice"`
	Crossing  float64       `ini:"crossing" min:"0"`
	Cancel    bool          `ini:"cancel"` // giving up a hop that may run
	Probes    bool          `ini:"probes"`
	Pushed    bool          `ini:"pushed"` // lists are pushed: what discovery has counts as told, asked or not
}

// Trouble is something that goes wrong.
type Trouble struct {
	Name  string
	Kind  string              `ini:"kind" one:"silence, slow, failing, relimit, neighbour, costly, drain, lose, grow, proxy-restart, proxy-kill, partition, isolate, stall, late-clock, descriptors, ports, rude, late-connects, leaving, discovery-down, discovery-hang, discovery-late, discovery-queue, watches-silent"`
	At    fleet.DurationRange `ini:"at"`
	For   fleet.DurationRange `ini:"for"`
	Part  fleet.Range         `ini:"part" min:"0" max:"1"` // of the relays, proxies or connections
	Count int                 `ini:"count" min:"0"`        // in place of part
	Size  fleet.Range         `ini:"size" min:"0"`         // times as slow, times as costly, share of the machine, descriptors, clients a second
	Away  fleet.DurationRange `ini:"away"`                 // until what was stopped starts again
	Every time.Duration       `ini:"every"`                // between one proxy's or relay's turn and the next's
	Class string              `ini:"class"`
	Sites []string            `ini:"sites"`
	Again int                 `ini:"again" min:"0" max:"100"` // further times
	After fleet.DurationRange `ini:"after"`                   // between these
}

// defaults are the figures of a calm day, from the ranges that were seen in service.
func defaults() Scenario {
	ms, s := time.Millisecond, time.Second
	t := proxy.DefaultTuning()
	return Scenario{
		Run:     Run{Length: 55 * s, WarmUp: 30 * s, CoolDown: 10 * s, Sites: []string{"winterthur", "lausanne", "chur"}, Skew: fleet.Range{From: 0.1, To: 0.25}},
		Proxies: Proxies{Count: 3, Sockets: 1024, AnswerMargin: t.AnswerMargin, SilentAfter: t.SilentAfter, MovesSpan: t.MovesSpan, MovesDone: t.MovesDone},
		Relays: Relays{
			Count: 10, PerCore: fleet.Range{From: 8.1, To: 21}, Most: fleet.Range{From: 50, To: 75}, Buffer: fleet.DurationRange{From: s / 2, To: 3 * s},
			Service: fleet.DurationRange{From: 2 * ms, To: 7 * ms}, Group: 3,
			Period: fleet.DurationRange{From: 43 * ms, To: 370 * ms}, Delay: fleet.DurationRange{From: 19 * ms, To: 140 * ms}, Noise: fleet.Range{From: 0.08, To: 0.18},
			Probe:  fleet.DurationRange{From: 1100 * time.Microsecond, To: 2300 * time.Microsecond},
			Return: fleet.DurationRange{From: 1100 * ms, To: 2400 * ms}, Notice: fleet.DurationRange{From: 580 * ms, To: 3500 * ms},
			Silent: fleet.DurationRange{From: 6600 * ms, To: 12 * s}, Spread: 0.5, Clients: true,
		},
		Network: Network{
			Same: fleet.DurationRange{From: 180 * time.Microsecond, To: 320 * time.Microsecond}, Cross: fleet.DurationRange{From: 5600 * time.Microsecond, To: 10 * ms},
			Client: fleet.DurationRange{From: 290 * time.Microsecond, To: 950 * time.Microsecond}, Jitter: fleet.Range{From: 0.05, To: 0.35},
		},
		Traffic: Traffic{
			Rate: 5.1, Swing: fleet.Range{From: 0.2, To: 0.4}, Period: fleet.DurationRange{From: 15 * s, To: 40 * s}, Life: fleet.DurationRange{From: 22 * s, To: 48 * s},
			Group: fleet.Range{From: 32, To: 59}, Every: 2 * s, Retries: 2, Backoff: fleet.DurationRange{From: 16 * ms, To: 130 * ms},
			Honour: fleet.Range{From: 0.63, To: 0.92}, Rejoin: fleet.DurationRange{From: 67 * ms, To: 1100 * ms}, Impatient: fleet.Range{To: 0.03},
		},
		Discovery: Discovery{Call: 4 * ms, Line: ms / 4, Timeout: s},
		Front:     Front{Every: 500 * ms, Notice: fleet.DurationRange{From: 1300 * ms, To: 3300 * ms}, Late: fleet.DurationRange{From: 200 * ms, To: 400 * ms}},
		Rules: Rules{
			AnswerSlack: 50 * ms, DrainGrace: 500 * ms, ColdFrom: 0.13, WarmWithin: 24 * s, FallMultiple: 3, FallWithin: 1500 * ms, NewsWithin: 6 * s,
		},
		Allow: Allow{Attempts: 5, Dial: 200 * ms, Idle: 60 * s, AskWithin: 10 * s, Advice: 2 * s, Crossing: 0.022, Cancel: true, Probes: true},
	}
}

// defaultKinds and defaultClasses serve where a file names none.
func defaultKinds() []fleet.RelayKind {
	cold := fleet.DurationRange{From: 10 * time.Second, To: 24 * time.Second}
	return []fleet.RelayKind{
		{Name: "r3-fast", Share: 0.35, Cores: 3, Speed: fleet.Range{From: 1.7, To: 2.3}, ColdFrom: fleet.Range{From: 0.13, To: 0.32}, WarmUp: cold, ErrorFraction: fleet.Range{To: 0.0005}},
		{Name: "r2-small", Share: 0.27, Cores: 2, Speed: fleet.Range{From: 1, To: 1.4}, ColdFrom: fleet.Range{From: 0.17, To: 0.31}, WarmUp: cold, ErrorFraction: fleet.Range{To: 0.002}},
		{Name: "r4-slow", Share: 0.38, Cores: 4, Speed: fleet.Range{From: 0.68, To: 0.92}, ColdFrom: fleet.Range{From: 0.18, To: 0.33}, WarmUp: cold, ErrorFraction: fleet.Range{To: 0.002}},
	}
}

func defaultClasses() []Class { return []Class{defaultClass("readings"), defaultClass("status")} }

// defaultClass is what a class has that a file says nothing of.
func defaultClass(name string) Class {
	ms, s := time.Millisecond, time.Second
	one := fleet.Range{From: 1, To: 1}
	switch name {
	case "status":
		return Class{
			Name: name, Share: fleet.Range{From: 0.33, To: 0.33}, SetUp: 300 * ms, GiveUp: 1800 * ms, Message: 250 * ms, Worth: 2,
			Work: fleet.DurationRange{From: 8400 * time.Microsecond, To: 18 * ms}, Load: fleet.Range{From: 0.2, To: 0.5}, Life: fleet.Range{From: 1, To: 3},
			Sigma: fleet.Range{From: 0.59, To: 1.1}, Swing: fleet.Range{From: 0.27, To: 0.8}, Change: fleet.DurationRange{From: 4100 * ms, To: 20 * s},
		}
	default:
		return Class{
			Name: name, Share: fleet.Range{From: 0.67, To: 0.67}, SetUp: 800 * ms, GiveUp: 4800 * ms, Message: 60 * ms, Worth: 3,
			Work: fleet.DurationRange{From: 2100 * time.Microsecond, To: 16 * ms}, Load: one, Life: one,
			Sigma: fleet.Range{From: 0.53, To: 1.1}, Swing: fleet.Range{From: 0.37, To: 0.88}, Change: fleet.DurationRange{From: 7400 * ms, To: 19 * s},
		}
	}
}

// kind is fleet.Kind as the file has it.
type kind struct {
	Share    float64             `ini:"share" min:"0" max:"1"`
	Cores    int                 `ini:"cores" min:"1" max:"1024"`
	Speed    fleet.Range         `ini:"speed" above:"0"`
	ColdFrom fleet.Range         `ini:"cold_from" above:"0" max:"1"`
	Cold     fleet.DurationRange `ini:"cold"`
	Errors   fleet.Range         `ini:"errors" min:"0" max:"1"`
}

// Read reads a scenario file. Set holds section.key=value pairs that go before what the file says. All mistakes come at
// once, with their lines.
func Read(path string, set ...string) (*Scenario, error) {
	f, err := inifile.Read(path)
	if err != nil {
		return nil, err
	}
	for _, s := range set {
		if err := f.Set(s); err != nil {
			return nil, err
		}
	}
	name := path[strings.LastIndexByte(path, '/')+1:]
	return decode(strings.TrimSuffix(name, ".ini"), f)
}

func decode(name string, f *inifile.File) (*Scenario, error) {
	s := defaults()
	s.Name = name
	f.Decode("run", &s.Run)
	s.Sites = s.Run.Sites
	f.Decode("proxies", &s.Proxies)
	f.Decode("relays", &s.Relays)
	f.Decode("network", &s.Network)
	f.Decode("traffic", &s.Traffic)
	f.Decode("discovery", &s.Discovery)
	f.Decode("front", &s.Front)
	f.Decode("rules", &s.Rules)
	f.Decode("allow", &s.Allow)
	for _, n := range f.Kind("kind") {
		k := kind{Share: 1, Cores: 1, Speed: fleet.Range{From: 1, To: 1}, ColdFrom: fleet.Range{From: 0.2, To: 0.2}, Cold: fleet.DurationRange{From: 15 * time.Second, To: 15 * time.Second}}
		f.Decode("kind "+n, &k)
		s.Kinds = append(s.Kinds, fleet.RelayKind{Name: n, Share: k.Share, Cores: k.Cores, Speed: k.Speed, ColdFrom: k.ColdFrom, WarmUp: k.Cold, ErrorFraction: k.Errors})
	}
	if len(s.Kinds) == 0 {
		s.Kinds = defaultKinds()
	}
	for _, n := range f.Kind("class") {
		c := defaultClass(n)
		f.Decode("class "+n, &c)
		s.Classes = append(s.Classes, c)
	}
	if len(s.Classes) == 0 {
		s.Classes = defaultClasses()
	}
	for _, n := range f.Kind("wave") {
		w := Wave{Name: n, For: fleet.DurationRange{From: 10 * time.Second, To: 10 * time.Second}, Times: fleet.Range{From: 2, To: 2}}
		f.Decode("wave "+n, &w)
		s.known(f, "wave "+n, w.Sites)
		s.Waves = append(s.Waves, w)
	}
	for _, n := range f.Kind("trouble") {
		s.Troubles = append(s.Troubles, s.trouble(f, n))
	}
	s.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// trouble reads one trouble. What its kind needs and the file does not give is a mistake.
func (s *Scenario) trouble(f *inifile.File, name string) Trouble {
	section := "trouble " + name
	t := Trouble{Name: name}
	f.Decode(section, &t)
	s.known(f, section, t.Sites)
	needs := map[string][]string{
		"silence": {"for"}, "slow": {"for", "size"}, "failing": {"for", "size"}, "relimit": {"size"}, "neighbour": {"for", "size"}, "costly": {"for", "size", "part", "class"},
		"drain": {"for", "away"}, "grow": {"count"}, "proxy-restart": {"away"}, "proxy-kill": {"away"},
		"partition": {"for", "sites"}, "isolate": {"for"}, "stall": {"for"}, "late-clock": {"for", "away"},
		"descriptors": {"for", "size"}, "ports": {"for"}, "rude": {"for", "size"}, "discovery-down": {"for"},
		"late-connects": {"for", "size", "away"}, "leaving": {"for", "size"},
		"discovery-hang": {"for"}, "discovery-late": {"for", "away"}, "discovery-queue": {"for"},
	}
	switch {
	case t.Kind == "":
		f.Complain(section, "", "kind: missing")
	default:
		for _, key := range needs[t.Kind] {
			if !f.HasKey(section, key) {
				f.Complain(section, "", "%s: missing, and %s needs it", key, t.Kind)
			}
		}
	}
	if t.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == t.Class }) {
		f.Complain(section, "class", "no class %q", t.Class)
	}
	if (t.Kind == "slow" || t.Kind == "costly") && f.HasKey(section, "size") && t.Size.From < 1 {
		f.Complain(section, "size", "less than 1")
	}
	if t.Kind == "neighbour" && t.Size.To > 0.95 {
		f.Complain(section, "size", "more than 0.95 of a machine")
	}
	if (t.Kind == "failing" || t.Kind == "late-connects" || t.Kind == "leaving") && t.Size.To > 1 {
		f.Complain(section, "size", "more than all")
	}
	if t.Again > 0 && t.After.To <= 0 {
		f.Complain(section, "again", "needs after: the time between")
	}
	return t
}

// known complains of sites that there are not.
func (s *Scenario) known(f *inifile.File, section string, sites []string) {
	for _, site := range sites {
		if !slices.Contains(s.Sites, site) {
			f.Complain(section, "sites", "no site %q", site)
		}
	}
}

// check looks at what no single key tells.
func (s *Scenario) check(f *inifile.File) {
	if len(s.Sites) == 0 {
		f.Complain("run", "sites", "no site")
	}
	share := 0.0
	for _, k := range s.Kinds {
		share += k.Share
	}
	if math.Abs(share-1) > 0.02 {
		f.Complain("kind "+s.Kinds[0].Name, "share", "the kinds' shares add up to %.3f, not 1", share)
	}
	least, most := 0.0, 0.0
	for _, c := range s.Classes {
		least, most = least+c.Share.From, most+c.Share.To
		if c.SetUp > c.GiveUp {
			f.Complain("class "+c.Name, "set_up", "later than give_up")
		}
		if c.Effect == "guarded" && c.Window <= 0 {
			f.Complain("class "+c.Name, "window", "missing, and a guarded class needs it")
		}
	}
	if least > 1.02 || most < 0.98 {
		f.Complain("class "+s.Classes[0].Name, "share", "the classes' shares add up to %.3f..%.3f, without 1", least, most)
	}
	if s.Proxies.Sockets > 0 && s.Proxies.Sockets < 100 {
		f.Complain("proxies", "sockets", "%d: fewer than 100, which a proxy keeps free for itself", s.Proxies.Sockets)
	}
	for _, c := range s.Classes {
		if strings.ContainsAny(c.Name, " ,=") {
			f.Complain("class "+c.Name, "", "a name with a space, a comma or an equals sign can't be sent")
		}
	}
}

// Tuning is what the proxies are given.
func (s *Scenario) Tuning() *proxy.Tuning {
	return &proxy.Tuning{
		AnswerMargin: s.Proxies.AnswerMargin, SilentAfter: s.Proxies.SilentAfter,
		MovesSpan: s.Proxies.MovesSpan, MovesDone: s.Proxies.MovesDone,
	}
}

// String names the scenario.
func (s *Scenario) String() string {
	return fmt.Sprintf("%s: %d proxies, %d relays, %g clients a second, %v", s.Name, s.Proxies.Count, s.Relays.Count, s.Traffic.Rate, s.Run.Length)
}
