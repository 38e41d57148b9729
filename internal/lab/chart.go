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

// palette holds colours that readers with red-green colour blindness can tell apart (those of Okabe
// and Ito).
var palette = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{120, 120, 120, 255},
}

const (
	chartWidth  = 20 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	// maxRelayCurves is the number of relays up to which each gets a curve of its own; above it,
	// the quantiles over all relays are drawn.
	maxRelayCurves = 16
)

// Charts returns the charts of a day: by file name, the function that writes the chart as SVG.
func (r *Result) Charts() map[string]func(w io.Writer) error {
	return map[string]func(w io.Writer) error{
		"service.svg":     func(w io.Writer) error { return r.serviceChart(w) },
		"load.svg":        func(w io.Writer) error { return r.relayChart(w, "load asked over capacity", r.series.load) },
		"connections.svg": func(w io.Writer) error { return r.relayChart(w, "connections", r.series.connections) },
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

func writeSVG(p *plot.Plot, w io.Writer, width, height vg.Length) error {
	to, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}

// addLine adds a line to a chart whose first value is at x = from. Values that are NaN leave gaps.
func addLine(p *plot.Plot, name string, from int, ys []float64, colour color.Color, width vg.Length) error {
	var segment plotter.XYs
	inLegend := false
	flush := func() error {
		if len(segment) == 0 {
			return nil
		}
		l, err := plotter.NewLine(segment)
		if err != nil {
			return err
		}
		l.Color, l.Width = colour, width
		p.Add(l)
		if !inLegend && name != "" {
			p.Legend.Add(name, l)
			inLegend = true
		}
		segment = nil
		return nil
	}
	for i, y := range ys {
		if math.IsNaN(y) {
			if err := flush(); err != nil {
				return err
			}
			continue
		}
		segment = append(segment, plotter.XY{X: float64(from + i), Y: y})
	}
	return flush()
}

func (r *Result) serviceChart(w io.Writer) error {
	p := newChart(r.Title()+": service", "s", "service")
	p.Y.Min, p.Y.Max = 0, 1
	for c := range r.Classes {
		if err := addLine(p, r.Classes[c].Name, 0, r.series.service[c], palette[c%len(palette)], vg.Points(1.5)); err != nil {
			return err
		}
	}
	return writeSVG(p, w, chartWidth, chartHeight)
}

func (r *Result) relayChart(w io.Writer, what string, curves [][]float64) error {
	p := newChart(r.Title()+": "+what+" of the relays", "s", what)
	p.Y.Min = 0
	from := -r.series.warmUpSeconds
	if len(curves) <= maxRelayCurves {
		for i, ys := range curves {
			// One colour for each kind of relay: the kinds can be compared, and the legend stays
			// short. The names of a dozen relays would cover the curves.
			kind := slices.Index(r.kindNames(), r.series.relayKinds[i])
			name := ""
			if slices.Index(r.series.relayKinds, r.series.relayKinds[i]) == i {
				name = r.series.relayKinds[i]
			}
			if err := addLine(p, name, from, ys, palette[kind%len(palette)], vg.Points(1)); err != nil {
				return err
			}
		}
		return writeSVG(p, w, chartWidth, chartHeight)
	}
	for i, q := range []float64{0, 0.05, 0.5, 0.95, 1} {
		name := fmt.Sprintf("%g %% of the relays are below", 100*q)
		if err := addLine(p, name, from, quantiles(curves, q), palette[i], vg.Points(1.5)); err != nil {
			return err
		}
	}
	return writeSVG(p, w, chartWidth, chartHeight)
}

// kindNames returns the names of the kinds of relays, sorted and each once.
func (r *Result) kindNames() []string {
	names := slices.Clone(r.series.relayKinds)
	slices.Sort(names)
	return slices.Compact(names)
}

// quantiles returns, for each second, the quantile q over the curves that have a value there; NaN
// if none has.
func quantiles(curves [][]float64, q float64) []float64 {
	n := 0
	for _, c := range curves {
		n = max(n, len(c))
	}
	out := make([]float64, n)
	for i := range out {
		var values []float64
		for _, c := range curves {
			if i < len(c) && !math.IsNaN(c[i]) {
				values = append(values, c[i])
			}
		}
		slices.Sort(values)
		if out[i] = math.NaN(); len(values) > 0 {
			out[i] = values[int(q*float64(len(values)-1))]
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
		return writeSVG(p, w, chartWidth, chartHeight)
	}
	bars, err := plotter.NewBarChart(values, chartWidth/vg.Length(len(values)+6)*3/4)
	if err != nil {
		return err
	}
	bars.Color, bars.LineStyle = palette[0], draw.LineStyle{}
	p.Add(bars)
	return writeSVG(p, w, chartWidth, chartHeight)
}
