package lab

import (
	"fmt"
	"math"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/stats"
)

// samples are taken once per virtual second. The charts of relays show them.
type samples struct {
	load        [][]float64 // by relay and second: requested load over capacity; NaN while stopped
	connections [][]float64 // by relay and second: open connections; NaN while stopped
	openClients []int       // clients that wanted a connection, by second from the start
}

func (m *samples) init(s *stage) {
	m.load, m.connections = make([][]float64, len(s.nodes)), make([][]float64, len(s.nodes))
}

func (m *samples) take(s *stage) {
	now := s.now()
	for i, n := range s.nodes {
		load, connections := math.NaN(), math.NaN()
		if r := n.relay; r != nil {
			load, connections = r.Machine().Utilization(now), float64(r.ConnectionCount())
		}
		m.load[i], m.connections[i] = append(m.load[i], load), append(m.connections[i], connections)
	}
	open := 0
	for _, c := range s.crowds {
		open += c.crowd.Open()
	}
	m.openClients = append(m.openClients, open)
}

// Result holds the results of a day. It contains no real time: the same scenario and seed give the
// same Result.
type Result struct {
	Scenario string             `json:"scenario"`
	About    string             `json:"about,omitempty"`
	Seed     uint64             `json:"seed"`
	Length   float64            `json:"length_s"`
	WarmUp   float64            `json:"warm_up_s"`
	Proxies  int                `json:"proxies"`
	Relays   int                `json:"relays"`
	Goal     float64            `json:"goal"`       // service weighted as the operators count it
	Service  float64            `json:"service"`    // over all classes, from 0 to 1
	Worst    float64            `json:"worst"`      // service in the worst 10 s
	WorstAt  int                `json:"worst_at_s"` // start of the worst 10 s, in counted seconds
	Classes  []ClassResult      `json:"classes"`
	Clients  fleet.ClientCounts `json:"clients"`
	PeakOpen int                `json:"most_open"`        // most clients that wanted a connection at a time
	Counters stats.Counters     `json:"counters"`         // sums over all proxies
	Shared   *SharedStats       `json:"shared,omitempty"` // nil without keepers
	Links    *LinkStats         `json:"wires,omitempty"`  // nil without lossy links
	Requests int                `json:"requests_judged"`
	Attempts int                `json:"attempts_judged"`
	// ColdOverloads counts the times that cold relays received too much from all proxies together.
	// It is counted where the cold budget is judged.
	ColdOverloads int `json:"cold_falls,omitempty"`
	// ColdAllowed is the number of requests of mean work that the settings allowed listed cold
	// relays while clients were refused. ColdUsed is how many these relays received.
	ColdAllowed float64 `json:"cold_room,omitempty"`
	ColdUsed    float64 `json:"cold_used,omitempty"`
	Events      uint64  `json:"events"`
	Trace       string  `json:"trace"` // hash over all events

	series series
}

// ClassResult holds the results of one class of requests. Times are in milliseconds.
type ClassResult struct {
	Name       string  `json:"name"`
	Service    float64 `json:"service"`
	SetUpP50   float64 `json:"set_up_p50_ms"`
	SetUpP99   float64 `json:"set_up_p99_ms"`
	MessageP50 float64 `json:"message_p50_ms"`
	MessageP99 float64 `json:"message_p99_ms"`
}

// series are the curves of a Result, with one value per second.
type series struct {
	service       [][]float64 // by class, from the end of the warm-up
	load          [][]float64 // by relay, from the start of the warm-up
	connections   [][]float64 // by relay, from the start of the warm-up
	moves         []int       // from the end of the warm-up
	openClients   []int       // from the start of the warm-up
	relayNames    []string    // by relay
	relayKinds    []string    // by relay
	warmUpSeconds int
}

// Play plays a day and returns its results. An error is a broken rule (a *vnet.Failure that wraps a
// *Violation) or a scenario that cannot be played. With a broken rule the Result covers the day up
// to then.
func Play(sc *Scenario, seed uint64, o Options) (*Result, error) {
	d, err := newDay(sc, seed)
	if err != nil {
		return nil, err
	}
	s, err := newStage(d, o)
	if err != nil {
		return nil, err
	}
	err = s.play()
	return s.result(), err
}

func (s *stage) result() *Result {
	l := s.ledger
	r := &Result{
		Scenario: s.scenario.Name, About: s.scenario.Run.About, Seed: s.seed, Length: s.scenario.Run.Length.Seconds(), WarmUp: s.scenario.Run.WarmUp.Seconds(),
		Proxies: len(s.proxies), Relays: len(s.nodes), Goal: round(l.Goal()), Service: round(l.Service(-1, 0, l.Seconds())),
		Clients: l.Counts, Counters: s.endedCounters,
	}
	if s.world != nil {
		r.Requests, r.Attempts = s.judge.Requests, s.judge.Attempts
		if s.judge.coldBudget != nil {
			r.ColdOverloads, r.ColdAllowed, r.ColdUsed = s.judge.coldBudget.Falls, round(s.judge.coldBudget.AllowedRequests), round(s.judge.coldBudget.SentRequests)
		}
		r.Events, r.Trace = s.world.Events(), fmt.Sprintf("%016x", s.world.TraceSum())
	}
	shared := s.shared
	for _, p := range s.proxies {
		if p.inst != nil {
			r.Counters.Add(&p.inst.Count)
			shared.add(p.inst.Node())
		}
	}
	if s.scenario.Proxies.Keepers > 0 {
		r.Shared = &shared
	}
	worst, at := l.WorstWindow()
	r.Worst, r.WorstAt = round(worst), at
	ms := func(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Millisecond)*100) / 100 }
	for c := range s.classes {
		r.Classes = append(r.Classes, ClassResult{
			Name: s.classes[c].Name, Service: round(l.Service(c, 0, l.Seconds())),
			SetUpP50: ms(l.SetUp[c].Quantile(0.5)), SetUpP99: ms(l.SetUp[c].Quantile(0.99)),
			MessageP50: ms(l.Message[c].Quantile(0.5)), MessageP99: ms(l.Message[c].Quantile(0.99)),
		})
		var curve []float64
		for i := range l.Seconds() {
			curve = append(curve, l.Service(c, i, i+1))
		}
		r.series.service = append(r.series.service, curve)
	}
	for _, n := range s.samples.openClients {
		r.PeakOpen = max(r.PeakOpen, n)
	}
	r.series.load, r.series.connections, r.series.openClients = s.samples.load, s.samples.connections, s.samples.openClients
	r.series.moves, r.series.warmUpSeconds = l.Moves, int(s.scenario.Run.WarmUp/time.Second)
	for _, n := range s.nodes {
		r.series.relayNames, r.series.relayKinds = append(r.series.relayNames, n.plan.id), append(r.series.relayKinds, n.plan.kind.Name)
	}
	return r
}

// round rounds a figure to five decimal places. It returns 0 for NaN and infinities, which JSON
// cannot represent.
func round(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return math.Round(x*1e5) / 1e5
}
