package lab

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// MarkdownTable returns a Markdown table whose columns are padded to equal width.
func MarkdownTable(head []string, rows [][]string) string {
	var b strings.Builder
	table(&b, head, rows)
	return b.String()
}

// SaveFiles writes files, given by name and writing function, into the directory dir, which is
// created if necessary. A file is written completely or not at all.
func SaveFiles(dir string, files map[string]func(w io.Writer) error) error {
	return saveAll(dir, files)
}

// Curve is a series of a cost chart: a line, and dots drawn on top of it without a line between
// them. Either may be empty.
type Curve struct {
	Name       string
	Line, Dots plotter.XYs
}

// WriteLogChart draws curves on logarithmic axes as SVG. All values must be greater than 0.
func WriteLogChart(w io.Writer, title, x, y string, curves []Curve) error {
	p := newChart(title, x, y)
	p.Legend.Top = true
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	for i, c := range curves {
		if len(c.Line)+len(c.Dots) == 0 {
			continue
		}
		if err := addCurve(p, c, palette[i%len(palette)]); err != nil {
			return fmt.Errorf("%s: %w", c.Name, err)
		}
	}
	p.Y.Max *= math.Pow(legendSpace, float64(len(curves)))
	return writeSVG(p, w, chartWidth, chartHeight)
}

// legendSpace is the factor by which each entry of the legend extends the logarithmic y axis, so
// that the legend covers no curve.
const legendSpace = 3

func addCurve(p *plot.Plot, c Curve, colour color.Color) error {
	if len(c.Line) > 0 {
		line, err := plotter.NewLine(c.Line)
		if err != nil {
			return err
		}
		line.Color, line.Width = colour, vg.Points(1)
		p.Add(line)
		p.Legend.Add(c.Name, line)
	}
	if len(c.Dots) == 0 {
		return nil
	}
	dots, err := plotter.NewScatter(c.Dots)
	if err != nil {
		return err
	}
	dots.Color, dots.Radius = colour, vg.Points(3)
	p.Add(dots)
	return nil
}
