package lab

import (
	"fmt"
	"math"
	"time"

	"ospreyspan/internal/fleet"
	"ospreyspan/internal/stats"
)

// samples are taken once a virtual second: what the charts of relays show.
type samples struct {
	load  [][]float64 // by relay and second since the start: load asked over capacity; NaN while none runs
	stand [][]float64
	seats []int // clients that wanted something, by second
}

func (m *samples) init(s *stage) {
	m.load, m.stand = make([][]float64, len(s.nodes)), make([][]float64, len(s.nodes))
}

func (m *samples) take(s *stage) {
	now := s.now()
	for i, n := range s.nodes {
		load, stand := math.NaN(), math.NaN()
		if r := n.relay; r != nil {
			load, stand = r.Machine().Utilization(now), float64(r.ConnectionCount())
		}
		m.load[i], m.stand[i] = append(m.load[i], load), append(m.stand[i], stand)
	}
	open := 0
	for _, c := range s.crowds {
		open += c.crowd.Open()
	}
	m.seats = append(m.seats, open)
}

// Result is what came of a day. It holds no time of the real clock: the same scenario and seed give the same Result.
type Result struct {
	Scenario string             `json:"scenario"`
	About    string             `json:"about,omitempty"`
	Seed     uint64             `json:"seed"`
	Length   float64            `json:"length_s"`
	WarmUp   float64            `json:"warm_up_s"`
	Proxies  int                `json:"proxies"`
	Relays   int                `json:"relays"`
	Goal     float64            `json:"goal"`    // service mixed as the operators count it
	Service  float64            `json:"service"` // over all classes
	Worst    float64            `json:"worst"`   // the worst 10 s
	WorstAt  int                `json:"worst_at_s"`
	Classes  []ClassResult      `json:"classes"`
	Clients  fleet.ClientCounts `json:"clients"`
	Most     int                `json:"most_open"` // clients that wanted a connection at a time, at the most
	Counters stats.Counters     `json:"counters"`  // of all proxies
	Shared   *Shared            `json:"shared,omitempty"`
	Wires    *Wires             `json:"wires,omitempty"`
	Requests int                `json:"requests_judged"`
	Attempts int                `json:"attempts_judged"`
	Falls    int                `json:"cold_falls,omitempty"` // of cold relays, by what all proxies sent them; where the budget is judged
	// While clients were refused: ColdRoom is how many requests of mean work the settings allowed cold relays that the list named,
	// ColdUsed how many they got.
	ColdRoom float64 `json:"cold_room,omitempty"`
	ColdUsed float64 `json:"cold_used,omitempty"`
	Events   uint64  `json:"events"`
	Trace    string  `json:"trace"` // hash over all events

	series series
}

// ClassResult is one class's part of a Result. Times are in milliseconds.
type ClassResult struct {
	Name       string  `json:"name"`
	Service    float64 `json:"service"`
	SetUpP50   float64 `json:"set_up_p50_ms"`
	SetUpP99   float64 `json:"set_up_p99_ms"`
	MessageP50 float64 `json:"message_p50_ms"`
	MessageP99 float64 `json:"message_p99_ms"`
}

// series are the curves of a Result, by second.
type series struct {
	service [][]float64 // by class; counted seconds only
	load    [][]float64 // by relay; from the start
	stand   [][]float64
	moves   []int
	open    []int
	names   []string
	kinds   []string
	warm    int
}

// Play plays a day and returns what came of it. An error is a broken rule (a *vnet.Failure with a *Violation in it) or a
// scenario that can't be played; the Result then tells how far the day came.
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
		Scenario: s.s.Name, About: s.s.Run.Text, Seed: s.seed, Length: s.s.Run.Length.Seconds(), WarmUp: s.s.Run.WarmUp.Seconds(),
		Proxies: len(s.proxies), Relays: len(s.nodes), Goal: round(l.Goal()), Service: round(l.Service(-1, 0, l.Seconds())),
		Clients: l.Counts, Counters: s.ended,
	}
	if s.world != nil {
		r.Requests, r.Attempts = s.judge.Requests, s.judge.Attempts
		if s.judge.cold != nil {
			r.Falls, r.ColdRoom, r.ColdUsed = s.judge.cold.Falls, round(s.judge.cold.Room), round(s.judge.cold.Used)
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
	if s.s.Proxies.Keepers > 0 {
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
	for _, n := range s.samples.seats {
		r.Most = max(r.Most, n)
	}
	r.series.load, r.series.stand, r.series.open = s.samples.load, s.samples.stand, s.samples.seats
	r.series.moves, r.series.warm = l.Moves, int(s.s.Run.WarmUp/time.Second)
	for _, n := range s.nodes {
		r.series.names, r.series.kinds = append(r.series.names, n.plan.id), append(r.series.kinds, n.plan.kind.Name)
	}
	return r
}

// round cuts a figure to five places, and makes 0 of what was not counted: JSON has no word for that.
func round(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return math.Round(x*1e5) / 1e5
}
