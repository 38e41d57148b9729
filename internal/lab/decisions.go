package lab

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"ospreyspan/balance"
)

// DecisionHarness drives a balance.Balancer without sockets in order to measure the cost of a
// request. As the balancer's host it answers each probe at once and closes the oldest connection
// when there are more than maxOpen.
type DecisionHarness struct {
	balancer *balance.Balancer
	now      time.Time
	lastID   balance.RequestID
	open     []balance.RequestID // ids of open connections, oldest first
	placed   balance.RequestID   // just placed, not yet reported as established; 0: none
	probes   []string            // backends whose probes are not answered yet
	maxOpen  int                 // open connections beyond which the oldest one is closed
}

// NewDecisionHarness returns a harness with the given number of relays, in three zones, and as many
// open connections as relays, at least 30.
func NewDecisionHarness(relays int) (*DecisionHarness, error) {
	d := &DecisionHarness{now: time.Unix(1e9, 0), maxOpen: max(relays, 30)}
	balancer, err := balance.New(balance.Config{
		Relays: 3, Zone: "a", GroupAffinity: true, MaxAttempts: 5, MaxRetryAfter: 2 * time.Second, MayProbe: true, MayCancel: true,
		Classes: []balance.Class{{SetupTarget: 800 * time.Millisecond, Worth: 3, MessageTarget: 60 * time.Millisecond}},
		Rules: balance.Rules{
			MaxDiscoveryGap: 10 * time.Second, InitialCapacity: 0.13, WarmUpTime: 24 * time.Second, OverloadFactor: 3, OverloadWindow: 1500 * time.Millisecond,
		},
		Prices: balance.Prices{CrossZone: 0.022},
	}, 1, d)
	if err != nil {
		return nil, err
	}
	d.balancer = balancer
	balancer.Start(d.now)
	list := make([]balance.Backend, relays)
	for i := range list {
		list[i] = balance.Backend{ID: fmt.Sprintf("relay-%05d", i), Zone: string("abc"[i%3]), Size: 1}
	}
	balancer.DiscoveryUpdate(d.now, balance.ListWhole, list)
	for range 2 * d.maxOpen {
		d.Request()
	}
	return d, nil
}

// Request takes one request through the balancer: its arrival, the probes that it causes, its
// placement, and the end of the oldest connection.
func (d *DecisionHarness) Request() {
	d.now = d.now.Add(20 * time.Millisecond)
	d.lastID++
	d.placed = 0
	d.balancer.Request(d.now, balance.Request{
		ID: d.lastID, Key: "k", Group: "g" + strconv.Itoa(int(d.lastID)%97), Timeout: 4 * time.Second, Tenant: -1,
	})
	for len(d.probes) > 0 {
		id := d.probes[len(d.probes)-1]
		d.probes = d.probes[:len(d.probes)-1]
		load := 0.3 + 0.2*float64(len(id)%7)/7
		d.balancer.Probed(d.now, id, balance.OK, balance.Report{Load: load, CPU: load, Active: 20, Waiting: math.NaN(), Latency: math.NaN(), Rate: 1, Errors: math.NaN()})
	}
	if d.placed != 0 {
		d.balancer.Established(d.now, d.placed)
		d.open = append(d.open, d.placed)
	}
	if len(d.open) > d.maxOpen {
		id := d.open[0]
		d.open = d.open[1:]
		d.balancer.Finished(d.now, id, 0, true, balance.OK, balance.Report{Load: -1, CPU: -1})
	}
}

// OpenConnections returns the number of open connections. A caller checks it because a balancer
// that places no requests would measure as cheap.
func (d *DecisionHarness) OpenConnections() int { return len(d.open) }

// The methods below implement balance.Host.

func (d *DecisionHarness) Send(id balance.RequestID, _ string, _ time.Duration) { d.placed = id }
func (d *DecisionHarness) Refuse(balance.RequestID, time.Duration)              {}
func (d *DecisionHarness) Fail(balance.RequestID)                               {}
func (d *DecisionHarness) Cancel(balance.RequestID, int)                        {}
func (d *DecisionHarness) Move(balance.RequestID)                               {}
func (d *DecisionHarness) Probe(id string)                                      { d.probes = append(d.probes, id) }
func (d *DecisionHarness) WatchDiscovery()                                      {}
func (d *DecisionHarness) After(time.Duration, uint64)                          {}

// DecisionCost is the mean time that the balancer takes for a request with the given number of
// relays.
type DecisionCost struct {
	Relays int
	Cost   time.Duration
}

// MeasureDecisions measures the cost of a request at each number of relays in sizes, for about span
// each.
func MeasureDecisions(sizes []int, span time.Duration) ([]DecisionCost, error) {
	var list []DecisionCost
	for _, n := range sizes {
		d, err := NewDecisionHarness(n)
		if err != nil {
			return nil, err
		}
		done := 0
		begin := time.Now()
		for time.Since(begin) < span {
			for range 64 {
				d.Request()
			}
			done += 64
		}
		list = append(list, DecisionCost{n, time.Since(begin) / time.Duration(done)})
	}
	return list, nil
}

// SaveDecisions writes decisions.md and decisions.svg into the directory dir.
func SaveDecisions(dir string, list []DecisionCost) error {
	return saveAll(dir, map[string]func(w io.Writer) error{
		"decisions.md":  func(w io.Writer) error { return DecisionTable(w, list) },
		"decisions.svg": func(w io.Writer) error { return decisionChart(w, list) },
	})
}

// DecisionTable writes the measurements as a Markdown table.
func DecisionTable(w io.Writer, list []DecisionCost) error {
	var b strings.Builder
	var rows [][]string
	for _, d := range list {
		rows = append(rows, []string{strconv.Itoa(d.Relays), strconv.FormatFloat(float64(d.Cost)/1e3, 'f', 2, 64)})
	}
	table(&b, []string{"relays", "µs a request"}, rows)
	_, err := io.WriteString(w, b.String())
	return err
}

func decisionChart(w io.Writer, list []DecisionCost) error {
	p := newChart("the module's cost for a request", "relays", "µs")
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	points := make(plotter.XYs, len(list))
	for i, d := range list {
		points[i] = plotter.XY{X: float64(d.Relays), Y: float64(d.Cost) / 1e3}
	}
	l, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	l.Color, l.Width, dots.Color, dots.Radius = palette[0], vg.Points(1.5), palette[0], vg.Points(3)
	p.Add(l, dots)
	return writeSVG(p, w, chartWidth, chartHeight)
}
