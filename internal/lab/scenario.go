// Package lab emulates days of a fleet of proxies. A scenario file describes the fleet and its
// faults, and a seed determines all random values. The package runs the real proxies on a virtual
// network, checks the rules at every step, and writes the results as tables and charts.
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

// Scenario is the content of a scenario file. Its values may be ranges, from which a day draws.
type Scenario struct {
	Name        string
	Run         Run
	Sites       []string
	Proxies     Proxies
	Relays      Relays
	Kinds       []fleet.RelayKind
	Classes     []Class
	Network     Network
	Traffic     Traffic
	Waves       []Wave
	Discovery   Discovery
	Front       Front
	Rules       Rules
	Permissions Permissions
	Standing    Standing
	Faults      []Fault
}

// Run holds the length of a day, and what applies to the day as a whole.
type Run struct {
	Length      time.Duration `ini:"length" above:"0" max:"3600"`
	WarmUp      time.Duration `ini:"warm_up"`              // before Length
	CoolDown    time.Duration `ini:"cool_down"`            // after Length, without clients: everything taken must be released
	AuditPeriod time.Duration `ini:"audit"`                // between two audits of a proxy's bookkeeping; 0: after every turn
	About       string        `ini:"about"`                // purpose of the scenario
	Sites       []string      `ini:"sites"`                // of proxies, relays and clients
	Skew        fleet.Range   `ini:"skew" min:"0" max:"1"` // share of the traffic that is moved to the first site
}

// Proxies describes the proxy instances.
type Proxies struct {
	Count          int           `ini:"count" min:"1" max:"1000"`
	MaxDescriptors int           `ini:"sockets" min:"0"` // of each proxy; 0: no limit
	EventCost      time.Duration `ini:"event_cost"`      // processor time for each event of the loop
	AnswerMargin   time.Duration `ini:"answer_margin" above:"0"`
	SilentAfter    time.Duration `ini:"silent_after" min:"0.01"`
	MovesSpan      time.Duration `ini:"moves_span" min:"0.02"`
	MovesDone      time.Duration `ini:"moves_done" min:"0.35"`
	// Keepers is the number of proxies that agree on the owners of the fleet's duties, 3 or 5; 0:
	// proxies share nothing.
	Keepers int      `ini:"keepers" min:"0" max:"5"`
	Duties  []string `ini:"duties"` // with keepers, what the owners do for all: discovery, probes, moves
	// Limit is the most connections that all proxies together may have; 0: no limit. LimitKind is
	// how it is enforced. Limit needs keepers.
	Limit     int    `ini:"limit" min:"0"`
	LimitKind string `ini:"limit_kind" one:"soft, strict"`
	// LimitWithin makes Limit one of new connections within that time; 0: of established
	// connections.
	LimitWithin time.Duration `ini:"limit_within"`
	// Retries is the largest ratio of all proxies' further attempts to first attempts; 0: no limit.
	// It needs keepers.
	Retries float64 `ini:"retries" min:"0" max:"10"`
	// BadLinks leads the traffic between proxies that are real processes over links that lose,
	// delay, duplicate and block messages in one direction. It needs keepers.
	BadLinks bool `ini:"bad_links"`
	// Verdicts lets the proxies judge relays by the observations of all of them. It needs keepers.
	Verdicts       bool    `ini:"verdicts"`
	MovesPerSecond float64 `ini:"moves_per_second" min:"0"` // pace set by the owner of moves; 0: none
}

// Relays describes the servers that the proxies connect to.
type Relays struct {
	Count               int                 `ini:"count" min:"1" max:"10000"`
	PerCore             fleet.Range         `ini:"per_core" above:"0"`     // usual connections that fill a standard core
	MaxPerCore          fleet.Range         `ini:"most_per_core" min:"0"`  // most connections per core of a relay; 0: no limit
	WorkBuffer          fleet.DurationRange `ini:"buffer"`                 // queued work at which connections are dropped
	MessageWork         fleet.DurationRange `ini:"message_work" above:"0"` // of a message, on a standard core
	GroupCost           float64             `ini:"group_cost" min:"0"`     // usual loads for each group with a connection at the relay
	ReportPeriod        fleet.DurationRange `ini:"report_every" above:"0"` // between two load reports
	ReportDelay         fleet.DurationRange `ini:"report_late"`            // until a report can be read
	ReportNoise         fleet.Range         `ini:"report_noise" min:"0"`   // relative
	ProbeWork           fleet.DurationRange `ini:"probe_work"`             // on a standard core
	StartNotice         fleet.DurationRange `ini:"return_notice"`          // until discovery lists a started relay
	DrainNotice         fleet.DurationRange `ini:"drain_notice"`           // until discovery lists a draining or stopped relay as such
	SilenceNotice       fleet.DurationRange `ini:"silent_notice"`          // until discovery drops a silent relay
	ErrorShare          float64             `ini:"errors" min:"0" max:"1"` // share of connections answered with an error, where the kind has none
	RandomSites         float64             `ini:"spread" min:"0" max:"1"` // share of the relays placed at random sites
	DrainingFailsProbes bool                `ini:"draining_fails_probes"`  // else probes of draining relays succeed
	TellsDelay          bool                `ini:"tell_delay"`             // the proxies are told to watch message delays
}

// Class is fleet.Class in the form of the scenario file.
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

// Network holds the one-way delays, the loss and the bandwidth between machines.
type Network struct {
	SameSite  fleet.DurationRange `ini:"same_site"`
	CrossSite fleet.DurationRange `ini:"cross_site"`
	Client    fleet.DurationRange `ini:"client"`                 // from a client's machine to its site
	Jitter    fleet.Range         `ini:"jitter" min:"0" max:"2"` // share of a delay that is added at most
	Loss      float64             `ini:"loss" min:"0" max:"0.9"`
	Bandwidth float64             `ini:"bandwidth" min:"0"` // bytes per second on each path; 0: no limit
}

// Traffic is fleet.Traffic in the form of the scenario file.
type Traffic struct {
	Rate          float64             `ini:"rate" min:"0"` // new clients per second, at all sites
	Swing         fleet.Range         `ini:"swing" min:"0" max:"1"`
	Period        fleet.DurationRange `ini:"period" above:"0"`
	Life          fleet.DurationRange `ini:"life" above:"0"`
	GroupSize     fleet.Range         `ini:"group_size" above:"0"`
	MessagePeriod time.Duration       `ini:"message_every" above:"0"`
	Retries       int                 `ini:"retries" min:"0" max:"20"`
	Backoff       fleet.DurationRange `ini:"backoff" above:"0"`
	HonourAdvice  fleet.Range         `ini:"honour" min:"0" max:"1"`
	Rejoin        fleet.DurationRange `ini:"rejoin" above:"0"`
	Impatient     fleet.Range         `ini:"impatient" min:"0" max:"1"`
}

// Wave is a period in which more or fewer clients arrive.
type Wave struct {
	Name  string
	At    fleet.DurationRange `ini:"at"`
	For   fleet.DurationRange `ini:"for" above:"0"`
	Times fleet.Range         `ini:"times" min:"0"` // multiple of the usual rate
	Sites []string            `ini:"sites"`         // empty: all
}

// Discovery describes the service that lists the relays.
type Discovery struct {
	CallTime   time.Duration `ini:"call"`
	LineTime   time.Duration `ini:"line"`
	Timeout    time.Duration `ini:"timeout"`
	ResetShare float64       `ini:"resets" min:"0" max:"1"` // share of the timed-out calls whose connection is reset
}

// Front describes the load balancer that assigns clients to proxies.
type Front struct {
	CheckPeriod time.Duration       `ini:"every" above:"0"`
	Notice      fleet.DurationRange `ini:"notice"`
	LateClients fleet.DurationRange `ini:"late_clients"` // how long clients still arrive after the proxy was told to stop
}

// Rules holds the bounds that the judge checks, most of which the proxies are told.
type Rules struct {
	AnswerSlack  time.Duration `ini:"answer_slack"`
	DrainGrace   time.Duration `ini:"drain_grace" above:"0"`
	ColdFrom     float64       `ini:"cold_from" above:"0" max:"1"`
	WarmWithin   time.Duration `ini:"warm_within" above:"0"`
	FallMultiple float64       `ini:"fall_multiple" min:"1"`
	FallWithin   time.Duration `ini:"fall_within" above:"0"`
	ColdBudget   bool          `ini:"cold_budget"` // also check all that a cold relay gets
	NewsWithin   time.Duration `ini:"news_within"` // until a change is deemed known after a failed call; 0: never
	AskAgain     time.Duration `ini:"ask_again"`   // most time until a call after a failed one; 0: no limit
}

// Permissions holds what proxies may do.
type Permissions struct {
	Attempts     int           `ini:"attempts" min:"0"`
	DialTimeout  time.Duration `ini:"dial" above:"0"`
	ConnIdle     time.Duration `ini:"idle"`
	AskWithin    time.Duration `ini:"ask_within" above:"0"`
	MaxAdvice    time.Duration `ini:"advice"`
	CrossingCost float64       `ini:"crossing" min:"0"`
	Cancel       bool          `ini:"cancel"` // abandoning an attempt that may run
	Probes       bool          `ini:"probes"`
	ListsPushed  bool          `ini:"pushed"` // discovery's list is deemed known at once, asked for or not
}

// Fault is a failure or disturbance that is injected into a day.
type Fault struct {
	Name        string
	Kind        string              `ini:"kind" one:"silence, slow, cut-output, failing, relimit, neighbour, costly, drain, lose, grow, proxy-restart, proxy-kill, partition, isolate, stall, late-clock, descriptors, ports, rude, late-connects, leaving, group-start, discovery-down, discovery-hang, discovery-late, discovery-queue, watches-silent"`
	At          fleet.DurationRange `ini:"at"`
	For         fleet.DurationRange `ini:"for"`
	Part        fleet.Range         `ini:"part" min:"0" max:"1"` // share of the relays, proxies or connections
	Count       int                 `ini:"count" min:"0"`        // instead of Part
	Size        fleet.Range         `ini:"size" min:"0"`         // slowdown, cost factor, machine share, descriptors, clients per second or of a group
	Away        fleet.DurationRange `ini:"away"`                 // until what was stopped starts again
	Every       time.Duration       `ini:"every"`                // between one proxy or relay and the next
	Class       string              `ini:"class"`
	Sites       []string            `ini:"sites"`
	Repeats     int                 `ini:"again" min:"0" max:"100"` // further occurrences
	RepeatAfter fleet.DurationRange `ini:"after"`                   // between these
}

// defaults returns the values of a day without faults, from ranges observed in production.
func defaults() Scenario {
	ms, s := time.Millisecond, time.Second
	t := proxy.DefaultTuning()
	return Scenario{
		Run:     Run{Length: 55 * s, WarmUp: 30 * s, CoolDown: 10 * s, Sites: []string{"winterthur", "lausanne", "chur"}, Skew: fleet.Range{From: 0.1, To: 0.25}},
		Proxies: Proxies{Count: 3, MaxDescriptors: 1024, AnswerMargin: t.AnswerMargin, SilentAfter: t.SilentAfter, MovesSpan: t.MovesSpan, MovesDone: t.MovesDone},
		Relays: Relays{
			Count: 10, PerCore: fleet.Range{From: 8.1, To: 21}, MaxPerCore: fleet.Range{From: 50, To: 75}, WorkBuffer: fleet.DurationRange{From: s / 2, To: 3 * s},
			MessageWork: fleet.DurationRange{From: 2 * ms, To: 7 * ms}, GroupCost: 3,
			ReportPeriod: fleet.DurationRange{From: 43 * ms, To: 370 * ms}, ReportDelay: fleet.DurationRange{From: 19 * ms, To: 140 * ms}, ReportNoise: fleet.Range{From: 0.08, To: 0.18},
			ProbeWork:   fleet.DurationRange{From: 1100 * time.Microsecond, To: 2300 * time.Microsecond},
			StartNotice: fleet.DurationRange{From: 1100 * ms, To: 2400 * ms}, DrainNotice: fleet.DurationRange{From: 580 * ms, To: 3500 * ms},
			SilenceNotice: fleet.DurationRange{From: 6600 * ms, To: 12 * s}, RandomSites: 0.5, TellsDelay: true,
		},
		Network: Network{
			SameSite: fleet.DurationRange{From: 180 * time.Microsecond, To: 320 * time.Microsecond}, CrossSite: fleet.DurationRange{From: 5600 * time.Microsecond, To: 10 * ms},
			Client: fleet.DurationRange{From: 290 * time.Microsecond, To: 950 * time.Microsecond}, Jitter: fleet.Range{From: 0.05, To: 0.35},
		},
		Traffic: Traffic{
			Rate: 5.1, Swing: fleet.Range{From: 0.2, To: 0.4}, Period: fleet.DurationRange{From: 15 * s, To: 40 * s}, Life: fleet.DurationRange{From: 22 * s, To: 48 * s},
			GroupSize: fleet.Range{From: 32, To: 59}, MessagePeriod: 2 * s, Retries: 2, Backoff: fleet.DurationRange{From: 16 * ms, To: 130 * ms},
			HonourAdvice: fleet.Range{From: 0.63, To: 0.92}, Rejoin: fleet.DurationRange{From: 67 * ms, To: 1100 * ms}, Impatient: fleet.Range{To: 0.03},
		},
		Discovery: Discovery{CallTime: 4 * ms, LineTime: ms / 4, Timeout: s},
		Front:     Front{CheckPeriod: 500 * ms, Notice: fleet.DurationRange{From: 1300 * ms, To: 3300 * ms}, LateClients: fleet.DurationRange{From: 200 * ms, To: 400 * ms}},
		Rules: Rules{
			AnswerSlack: 50 * ms, DrainGrace: 500 * ms, ColdFrom: 0.13, WarmWithin: 24 * s, FallMultiple: 3, FallWithin: 1500 * ms, NewsWithin: 6 * s,
		},
		Permissions: Permissions{Attempts: 5, DialTimeout: 200 * ms, ConnIdle: 60 * s, AskWithin: 10 * s, MaxAdvice: 2 * s, CrossingCost: 0.022, Cancel: true, Probes: true},
	}
}

// defaultKinds and defaultClasses apply where a file names none.
func defaultKinds() []fleet.RelayKind {
	cold := fleet.DurationRange{From: 10 * time.Second, To: 24 * time.Second}
	return []fleet.RelayKind{
		{Name: "r3-fast", Share: 0.35, Cores: 3, Speed: fleet.Range{From: 1.7, To: 2.3}, ColdFrom: fleet.Range{From: 0.13, To: 0.32}, WarmUp: cold, ErrorFraction: fleet.Range{To: 0.0005}},
		{Name: "r2-small", Share: 0.27, Cores: 2, Speed: fleet.Range{From: 1, To: 1.4}, ColdFrom: fleet.Range{From: 0.17, To: 0.31}, WarmUp: cold, ErrorFraction: fleet.Range{To: 0.002}},
		{Name: "r4-slow", Share: 0.38, Cores: 4, Speed: fleet.Range{From: 0.68, To: 0.92}, ColdFrom: fleet.Range{From: 0.18, To: 0.33}, WarmUp: cold, ErrorFraction: fleet.Range{To: 0.002}},
	}
}

func defaultClasses() []Class { return []Class{defaultClass("readings"), defaultClass("status")} }

// defaultClass returns the values of a class that a file does not set.
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

// kindSection is fleet.RelayKind in the form of the scenario file.
type kindSection struct {
	Share    float64             `ini:"share" min:"0" max:"1"`
	Cores    int                 `ini:"cores" min:"1" max:"1024"`
	Speed    fleet.Range         `ini:"speed" above:"0"`
	ColdFrom fleet.Range         `ini:"cold_from" above:"0" max:"1"`
	Cold     fleet.DurationRange `ini:"cold"`
	Errors   fleet.Range         `ini:"errors" min:"0" max:"1"`
}

// Read reads a scenario file. The section.key=value pairs in set override the file. It reports all
// errors at once, with their lines.
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
	f.Decode("allow", &s.Permissions)
	f.Decode("standing", &s.Standing)
	for _, n := range f.SectionNames("kind") {
		k := kindSection{Share: 1, Cores: 1, Speed: fleet.Range{From: 1, To: 1}, ColdFrom: fleet.Range{From: 0.2, To: 0.2}, Cold: fleet.DurationRange{From: 15 * time.Second, To: 15 * time.Second}}
		f.Decode("kind "+n, &k)
		s.Kinds = append(s.Kinds, fleet.RelayKind{Name: n, Share: k.Share, Cores: k.Cores, Speed: k.Speed, ColdFrom: k.ColdFrom, WarmUp: k.Cold, ErrorFraction: k.Errors})
	}
	if len(s.Kinds) == 0 {
		s.Kinds = defaultKinds()
	}
	for _, n := range f.SectionNames("class") {
		c := defaultClass(n)
		f.Decode("class "+n, &c)
		s.Classes = append(s.Classes, c)
	}
	if len(s.Classes) == 0 {
		s.Classes = defaultClasses()
	}
	for _, n := range f.SectionNames("wave") {
		w := Wave{Name: n, For: fleet.DurationRange{From: 10 * time.Second, To: 10 * time.Second}, Times: fleet.Range{From: 2, To: 2}}
		f.Decode("wave "+n, &w)
		s.checkSites(f, "wave "+n, w.Sites)
		s.Waves = append(s.Waves, w)
	}
	for _, n := range f.SectionNames("trouble") {
		s.Faults = append(s.Faults, s.decodeFault(f, n))
	}
	s.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// decodeFault reads one fault. A key that its kind needs and the file does not give is an error.
func (s *Scenario) decodeFault(f *inifile.File, name string) Fault {
	section := "trouble " + name
	t := Fault{Name: name}
	f.Decode(section, &t)
	s.checkSites(f, section, t.Sites)
	needs := map[string][]string{
		"silence": {"for"}, "slow": {"for", "size"}, "cut-output": {"size"}, "failing": {"for", "size"}, "relimit": {"size"}, "neighbour": {"for", "size"}, "costly": {"for", "size", "part", "class"},
		"drain": {"for", "away"}, "grow": {"count"}, "proxy-restart": {"away"}, "proxy-kill": {"away"},
		"partition": {"for", "sites"}, "isolate": {"for"}, "stall": {"for"}, "late-clock": {"for", "away"},
		"descriptors": {"for", "size"}, "ports": {"for"}, "rude": {"for", "size"}, "discovery-down": {"for"},
		"late-connects": {"for", "size", "away"}, "leaving": {"for", "size"}, "group-start": {"count", "for", "size"},
		"discovery-hang": {"for"}, "discovery-late": {"for", "away"}, "discovery-queue": {"for"},
	}
	switch {
	case t.Kind == "":
		f.AddProblem(section, "", "kind: missing")
	default:
		for _, key := range needs[t.Kind] {
			if !f.HasKey(section, key) {
				f.AddProblem(section, "", "%s: missing, and %s needs it", key, t.Kind)
			}
		}
	}
	if t.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == t.Class }) {
		f.AddProblem(section, "class", "no class %q", t.Class)
	}
	if (t.Kind == "slow" || t.Kind == "costly") && f.HasKey(section, "size") && t.Size.From < 1 {
		f.AddProblem(section, "size", "less than 1")
	}
	if t.Kind == "neighbour" && t.Size.To > 0.95 {
		f.AddProblem(section, "size", "more than 0.95 of a machine")
	}
	if (t.Kind == "failing" || t.Kind == "late-connects" || t.Kind == "leaving" || t.Kind == "cut-output") && t.Size.To > 1 {
		f.AddProblem(section, "size", "more than 1")
	}
	if t.Repeats > 0 && t.RepeatAfter.To <= 0 {
		f.AddProblem(section, "again", "needs the key after, the time between occurrences")
	}
	return t
}

// checkSites reports sites that the scenario does not have.
func (s *Scenario) checkSites(f *inifile.File, section string, sites []string) {
	for _, site := range sites {
		if !slices.Contains(s.Sites, site) {
			f.AddProblem(section, "sites", "no site %q", site)
		}
	}
}

// check reports errors that involve several keys.
func (s *Scenario) check(f *inifile.File) {
	if len(s.Sites) == 0 {
		f.AddProblem("run", "sites", "no site")
	}
	share := 0.0
	for _, k := range s.Kinds {
		share += k.Share
	}
	if math.Abs(share-1) > 0.02 {
		f.AddProblem("kind "+s.Kinds[0].Name, "share", "the kinds' shares add up to %.3f, not 1", share)
	}
	least, most := 0.0, 0.0
	for _, c := range s.Classes {
		least, most = least+c.Share.From, most+c.Share.To
		if c.SetUp > c.GiveUp {
			f.AddProblem("class "+c.Name, "set_up", "later than give_up")
		}
		if c.Effect == "guarded" && c.Window <= 0 {
			f.AddProblem("class "+c.Name, "window", "missing, and a guarded class needs it")
		}
	}
	if least > 1.02 || most < 0.98 {
		f.AddProblem("class "+s.Classes[0].Name, "share", "the classes' shares add up to %.3f..%.3f, a range without 1", least, most)
	}
	if s.Standing.Unlisted >= s.Relays.Count {
		f.AddProblem("standing", "unlisted", "%d of %d relays: the proxies' first list needs one", s.Standing.Unlisted, s.Relays.Count)
	}
	if s.Proxies.MaxDescriptors > 0 && s.Proxies.MaxDescriptors < 100 {
		f.AddProblem("proxies", "sockets", "%d: fewer than the 100 that a proxy reserves for itself", s.Proxies.MaxDescriptors)
	}
	for _, c := range s.Classes {
		if strings.ContainsAny(c.Name, " ,=") {
			f.AddProblem("class "+c.Name, "", "a name must not contain a space, a comma or an equals sign")
		}
	}
}

// Tuning returns the tuning of the proxies.
func (s *Scenario) Tuning() *proxy.Tuning {
	return &proxy.Tuning{
		AnswerMargin: s.Proxies.AnswerMargin, SilentAfter: s.Proxies.SilentAfter,
		MovesSpan: s.Proxies.MovesSpan, MovesDone: s.Proxies.MovesDone,
	}
}

// String returns a one-line summary of the scenario.
func (s *Scenario) String() string {
	return fmt.Sprintf("%s: %d proxies, %d relays, %g clients a second, %v", s.Name, s.Proxies.Count, s.Relays.Count, s.Traffic.Rate, s.Run.Length)
}
