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

// Growth is what one proxy costs the others on a day of a fleet of some size.
type Growth struct {
	Proxies, Relays int
	Service         float64 // 0 to 1, over all classes
	Worst           float64 // likewise, of the worst 10 s
	Calls           float64 // to discovery a second, of all proxies together
	CallsFailed     float64 // part of them
	Probes          float64 // for each request
	Hops            float64 // for each request
	Moves           float64 // for each request
	Datagrams       float64 // between proxies, a second for each
	Bytes           float64 // likewise
}

// Scale returns a scenario with another number of proxies and, in proportion, of relays, clients and whatever troubles
// count; there is at least one of each.
func (s *Scenario) Scale(proxies int) *Scenario {
	to, by := *s, float64(proxies)/float64(s.Proxies.Count)
	times := func(n int) int { return max(int(math.Round(float64(n)*by)), 1) }
	to.Proxies.Count, to.Relays.Count = proxies, times(s.Relays.Count)
	to.Traffic.Rate *= by
	to.Faults = nil
	for _, t := range s.Faults {
		if t.Count > 0 {
			n := times(t.Count)
			t.Count, t.Every = n, t.Every*time.Duration(t.Count)/time.Duration(n) // in the same time
		}
		to.Faults = append(to.Faults, t)
	}
	return &to
}

// Grow plays a scenario at each number of proxies, all for the same seed. An error is a broken rule or a scenario that
// can't be played; what was measured before it is returned.
func Grow(s *Scenario, sizes []int, seed uint64, o Options) ([]Growth, error) {
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
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	shared := r.Shared
	if shared == nil {
		shared = &Shared{}
	}
	each := (r.WarmUp + r.Length) * float64(r.Proxies)
	return Growth{
		Datagrams: float64(shared.Datagrams) / each, Bytes: float64(shared.Bytes) / each,
		Proxies: r.Proxies, Relays: r.Relays, Service: r.Service, Worst: r.Worst,
		Calls: float64(c.Watches) / (r.WarmUp + r.Length), CallsFailed: part(c.WatchesFailed, c.Watches),
		Probes: part(c.Probes, c.Exchanges), Hops: part(c.Hops, c.Exchanges), Moves: part(c.Moves, c.Exchanges),
	}
}

// columns are the figures of a Growth, with their names.
func (g *Growth) columns() ([]string, []float64) {
	return []string{"calls to discovery a second", "of them failed", "probes a request", "hops a request", "moves a request",
			"datagrams a proxy", "bytes a proxy"},
		[]float64{g.Calls, g.CallsFailed, g.Probes, g.Hops, g.Moves, g.Datagrams, g.Bytes}
}

// GrowthTable writes the measurements as a table.
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

// SaveGrowth writes growth.md and growth.svg into a folder.
func SaveGrowth(dir string, list []Growth) error {
	return saveAll(dir, map[string]func(w io.Writer) error{
		"growth.md":  func(w io.Writer) error { return GrowthTable(w, list) },
		"growth.svg": func(w io.Writer) error { return growthChart(w, list) },
	})
}

// growthChart draws each figure as a multiple of what it is for the smallest fleet: how it grows is what counts.
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
