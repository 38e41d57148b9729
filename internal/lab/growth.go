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
)

// Growth holds what the fleet costs on a day with the given numbers of proxies and relays.
type Growth struct {
	Proxies, Relays int
	Service         float64 // from 0 to 1, over all classes
	Worst           float64 // service in the worst 10 s, from 0 to 1
	Calls           float64 // calls to discovery per second, of all proxies together
	CallsFailed     float64 // fraction of these calls
	Probes          float64 // per request
	Hops            float64 // per request
	Moves           float64 // per request
	Datagrams       float64 // datagrams between proxies that each proxy sends per second
	Bytes           float64 // bytes of these datagrams that each proxy sends per second
}

// Scale returns a copy of the scenario with the given number of proxies. Relays, rate of clients
// and the counts of faults change in proportion; each count is at least 1.
func (s *Scenario) Scale(proxies int) *Scenario {
	scaled, factor := *s, float64(proxies)/float64(s.Proxies.Count)
	scaleCount := func(n int) int { return max(int(math.Round(float64(n)*factor)), 1) }
	scaled.Proxies.Count, scaled.Relays.Count = proxies, scaleCount(s.Relays.Count)
	scaled.Traffic.Rate *= factor
	scaled.Faults = nil
	for _, t := range s.Faults {
		if t.Count > 0 {
			n := scaleCount(t.Count)
			// All occurrences stay within the same total time.
			t.Count, t.Every = n, t.Every*time.Duration(t.Count)/time.Duration(n)
		}
		scaled.Faults = append(scaled.Faults, t)
	}
	return &scaled
}

// MeasureGrowth plays a scenario at each number of proxies in sizes, with the same seed. An error
// is a broken rule or a scenario that cannot be played; the measurements before it are returned
// with it.
func MeasureGrowth(s *Scenario, sizes []int, seed uint64, o Options) ([]Growth, error) {
	var list []Growth
	for _, n := range sizes {
		r, err := Play(s.Scale(n), seed, o)
		if err != nil {
			return list, fmt.Errorf("%d proxies: %w", n, err)
		}
		list = append(list, r.growth())
	}
	return list, nil
}

func (r *Result) growth() Growth {
	c := &r.Counters
	ratio := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	shared := r.Shared
	if shared == nil {
		shared = &SharedStats{}
	}
	proxySeconds := (r.WarmUp + r.Length) * float64(r.Proxies)
	return Growth{
		Datagrams: float64(shared.Datagrams) / proxySeconds, Bytes: float64(shared.Bytes) / proxySeconds,
		Proxies: r.Proxies, Relays: r.Relays, Service: r.Service, Worst: r.Worst,
		Calls: float64(c.Watches) / (r.WarmUp + r.Length), CallsFailed: ratio(c.WatchesFailed, c.Watches),
		Probes: ratio(c.Probes, c.Exchanges), Hops: ratio(c.Hops, c.Exchanges), Moves: ratio(c.Moves, c.Exchanges),
	}
}

// columns returns the names and the values of the cost figures.
func (g *Growth) columns() ([]string, []float64) {
	return []string{"calls to discovery a second", "of them failed", "probes a request", "hops a request", "moves a request",
			"datagrams a proxy", "bytes a proxy"},
		[]float64{g.Calls, g.CallsFailed, g.Probes, g.Hops, g.Moves, g.Datagrams, g.Bytes}
}

// GrowthTable writes the measurements as a Markdown table.
func GrowthTable(w io.Writer, list []Growth) error {
	names, _ := new(Growth).columns()
	var rows [][]string
	for _, g := range list {
		row := []string{strconv.Itoa(g.Proxies), strconv.Itoa(g.Relays), fmt.Sprintf("%.3f", g.Service), fmt.Sprintf("%.3f", g.Worst)}
		_, figures := g.columns()
		for _, x := range figures {
			row = append(row, fmt.Sprintf("%.3g", x))
		}
		rows = append(rows, row)
	}
	var b strings.Builder
	table(&b, append([]string{"proxies", "relays", "service", "worst 10 s"}, names...), rows)
	_, err := io.WriteString(w, b.String())
	return err
}

// SaveGrowth writes growth.md and growth.svg into the directory dir.
func SaveGrowth(dir string, list []Growth) error {
	return saveAll(dir, map[string]func(w io.Writer) error{
		"growth.md":  func(w io.Writer) error { return GrowthTable(w, list) },
		"growth.svg": func(w io.Writer) error { return growthChart(w, list) },
	})
}

// growthChart draws each figure as a multiple of its value for the smallest fleet, which shows how
// it grows with the number of proxies.
func growthChart(w io.Writer, list []Growth) error {
	p := newChart("costs by the number of proxies, as multiples of the smallest fleet's", "proxies", "times")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top = true
	names, _ := new(Growth).columns()
	for i, name := range names {
		var points plotter.XYs
		for k := range list {
			_, first := list[0].columns()
			if _, x := list[k].columns(); first[i] > 0 {
				points = append(points, plotter.XY{X: float64(list[k].Proxies), Y: x[i] / first[i]})
			}
		}
		if len(points) == 0 {
			continue
		}
		l, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		l.Color, l.Width, dots.Color, dots.Radius = palette[i], vg.Points(1.5), palette[i], vg.Points(3)
		p.Add(l, dots)
		p.Legend.Add(name, l)
	}
	return writeSVG(p, w, chartWidth, chartHeight)
}
