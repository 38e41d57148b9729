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

// MarkdownTable returns a table with even columns.
func MarkdownTable(head []string, rows [][]string) string {
	var b strings.Builder
	table(&b, head, rows)
	return b.String()
}

// SaveFiles writes files by name into a folder, which is made if it is not there. Each file is whole or not there.
func SaveFiles(dir string, files map[string]func(w io.Writer) error) error {
	return saveAll(dir, files)
}

// Curve is one line of a chart of costs. Dots are drawn on top of it, without a line; either may be empty.
type Curve struct {
	Name       string
	Line, Dots plotter.XYs
}

// WriteLogChart draws curves with logarithmic axes as SVG; all figures must be above 0.
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
	p.Y.Max *= math.Pow(legendRoom, float64(len(curves)))
	return writeSVG(p, w, chartWidth, chartHeight)
}

// legendRoom is the factor by which the logarithmic axis is longer for each line of the legend, so that no curve is hidden.
const legendRoom = 3

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
