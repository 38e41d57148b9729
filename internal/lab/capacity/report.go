package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"gonum.org/v1/plot/plotter"

	"ospreyspan/internal/lab"
)

// ReadSamples reads a file of raw samples.
func ReadSamples(path string) ([]Sample, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list []Sample
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// Save writes slopes.json, slopes.md, the samples of each part that was measured and a chart for each role and driver into a
// folder.
func (s *Slopes) Save(dir string, samples map[string][]Sample) error {
	files := map[string]func(w io.Writer) error{
		"slopes.json": s.JSON,
		"slopes.md":   s.Markdown,
	}
	for part, list := range samples {
		files[part+"-samples.json"] = func(w io.Writer) error { return writeSamples(w, list) }
	}
	for name, list := range s.charts() {
		files[name+".svg"] = func(w io.Writer) error { return writeChart(w, list) }
	}
	return lab.SaveFiles(dir, files)
}

// writeSamples writes one sample a line, so that files of them can be compared.
func writeSamples(w io.Writer, samples []Sample) error {
	lines := make([]string, len(samples))
	for i, s := range samples {
		text, err := json.Marshal(s)
		if err != nil {
			return err
		}
		lines[i] = string(text)
	}
	_, err := io.WriteString(w, "[\n"+strings.Join(lines, ",\n")+"\n]\n")
	return err
}

// Markdown writes the table of all fits.
func (s *Slopes) Markdown(w io.Writer) error {
	all := func(Key) bool { return true }
	_, err := io.WriteString(w, lab.MarkdownTable(FitHead(), s.Rows(all)))
	return err
}

// leastChartPoints is how many sizes a curve has to have to be drawn.
const leastChartPoints = 4

// charts are the series by the names of the charts that they are drawn in: those of one role and one driver together. Only
// those of which the page's rows are made are drawn, as the others hide them.
func (s *Slopes) charts() map[string][]*Series {
	charts := make(map[string][]*Series)
	for _, x := range s.Series {
		if len(x.Points) >= leastChartPoints && inUse(x.Key) {
			name := strings.ReplaceAll(x.Role+" by "+x.Driver, " ", "-")
			charts[name] = append(charts[name], x)
		}
	}
	return charts
}

// writeChart draws costs of one role and driver, each with its points and its fit.
func writeChart(w io.Writer, list []*Series) error {
	var curves []lab.Curve
	for _, x := range list {
		fit, err := x.Fit()
		if err != nil {
			return err
		}
		c := lab.Curve{Name: x.Cost + ", " + x.Unit}
		for _, p := range x.Points {
			if p.Value <= 0 || p.Size <= 0 {
				continue // a logarithm has no place for it
			}
			c.Dots = append(c.Dots, plotter.XY{X: p.Size, Y: p.Value})
			if at := fit.At(p.Size).Value; at > 0 {
				c.Line = append(c.Line, plotter.XY{X: p.Size, Y: at})
			}
		}
		curves = append(curves, c)
	}
	return lab.WriteLogChart(w, list[0].Role+": costs and their fits", list[0].Driver, "cost, in its unit", curves)
}
