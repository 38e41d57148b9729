package lab

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// palette has colours that are told apart also without seeing red or green (Okabe and Ito's).
var palette = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{120, 120, 120, 255},
}

const (
	chartWide = 20 * vg.Centimeter
	chartHigh = 9 * vg.Centimeter
	// fewRelays is how many are drawn one by one; of more, their quantiles are.
	fewRelays = 16
)

// Charts are the pictures of a day: their names, and what writes each as SVG.
func (r *Result) Charts() map[string]func(w io.Writer) error {
	return map[string]func(w io.Writer) error{
		"service.svg":     func(w io.Writer) error { return r.serviceChart(w) },
		"load.svg":        func(w io.Writer) error { return r.relayChart(w, "load asked over capacity", r.series.load) },
		"connections.svg": func(w io.Writer) error { return r.relayChart(w, "connections", r.series.stand) },
		"moves.svg":       func(w io.Writer) error { return r.movesChart(w) },
	}
}

func newChart(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = false, true
	p.Add(plotter.NewGrid())
	return p
}

func writeSVG(p *plot.Plot, w io.Writer, wide, high vg.Length) error {
	to, err := p.WriterTo(wide, high, "svg")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}

// curve adds a line to a chart; figures that are NaN break it.
func curve(p *plot.Plot, name string, from int, ys []float64, c color.Color, wide vg.Length) error {
	var part plotter.XYs
	named := false
	flush := func() error {
		if len(part) == 0 {
			return nil
		}
		l, err := plotter.NewLine(part)
		if err != nil {
			return err
		}
		l.Color, l.Width = c, wide
		p.Add(l)
		if !named && name != "" {
			p.Legend.Add(name, l)
			named = true
		}
		part = nil
		return nil
	}
	for i, y := range ys {
		if math.IsNaN(y) {
			if err := flush(); err != nil {
				return err
			}
			continue
		}
		part = append(part, plotter.XY{X: float64(from + i), Y: y})
	}
	return flush()
}

func (r *Result) serviceChart(w io.Writer) error {
	p := newChart(r.Title()+": service", "s", "service")
	p.Y.Min, p.Y.Max = 0, 1
	for c := range r.Classes {
		if err := curve(p, r.Classes[c].Name, 0, r.series.service[c], palette[c%len(palette)], vg.Points(1.5)); err != nil {
			return err
		}
	}
	return writeSVG(p, w, chartWide, chartHigh)
}

func (r *Result) relayChart(w io.Writer, what string, curves [][]float64) error {
	p := newChart(r.Title()+": "+what+" of the relays", "s", what)
	p.Y.Min = 0
	from := -r.series.warm
	if len(curves) <= fewRelays {
		for i, ys := range curves {
			// One colour for a kind, so that what the kinds do shows; names of a dozen relays would hide the curves.
			k := slices.Index(r.kindNames(), r.series.kinds[i])
			name := ""
			if slices.Index(r.series.kinds, r.series.kinds[i]) == i {
				name = r.series.kinds[i]
			}
			if err := curve(p, name, from, ys, palette[k%len(palette)], vg.Points(1)); err != nil {
				return err
			}
		}
		return writeSVG(p, w, chartWide, chartHigh)
	}
	for i, q := range []float64{0, 0.05, 0.5, 0.95, 1} {
		name := fmt.Sprintf("%g %% of the relays are below", 100*q)
		if err := curve(p, name, from, quantiles(curves, q), palette[i], vg.Points(1.5)); err != nil {
			return err
		}
	}
	return writeSVG(p, w, chartWide, chartHigh)
}

func (r *Result) kindNames() []string {
	names := slices.Clone(r.series.kinds)
	slices.Sort(names)
	return slices.Compact(names)
}

// quantiles takes a quantile over the curves at each second, of those that have a figure there.
func quantiles(curves [][]float64, q float64) []float64 {
	n := 0
	for _, c := range curves {
		n = max(n, len(c))
	}
	out := make([]float64, n)
	for i := range out {
		var at []float64
		for _, c := range curves {
			if i < len(c) && !math.IsNaN(c[i]) {
				at = append(at, c[i])
			}
		}
		slices.Sort(at)
		if out[i] = math.NaN(); len(at) > 0 {
			out[i] = at[int(q*float64(len(at)-1))]
		}
	}
	return out
}

func (r *Result) movesChart(w io.Writer) error {
	p := newChart(r.Title()+": clients that were moved", "s", "moves a second")
	p.Y.Min = 0
	values := make(plotter.Values, len(r.series.moves))
	for i, n := range r.series.moves {
		values[i] = float64(n)
	}
	if len(values) == 0 {
		return writeSVG(p, w, chartWide, chartHigh)
	}
	bars, err := plotter.NewBarChart(values, chartWide/vg.Length(len(values)+6)*3/4)
	if err != nil {
		return err
	}
	bars.Color, bars.LineStyle = palette[0], draw.LineStyle{}
	p.Add(bars)
	return writeSVG(p, w, chartWide, chartHigh)
}
