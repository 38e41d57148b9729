package lab

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Side is one of the two configurations that a Comparison plays.
type Side struct {
	Name     string
	Scenario *Scenario
	Program  string // ospreylab of another build that plays this side; empty: this one
}

// play plays one day of the side with the given seed.
func (s *Side) play(seed uint64) (*Result, error) {
	if s.Program == "" {
		return Play(s.Scenario, seed, Options{})
	}
	dir, err := os.MkdirTemp("", "ospreylab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, s.Scenario.Name+".ini")
	if err := os.WriteFile(path, []byte(s.Scenario.Text()), 0o644); err != nil {
		return nil, err
	}
	cmd := exec.Command(s.Program, "run", path, "--seed", strconv.FormatUint(seed, 10), "--out", dir)
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%s, seed %d: %w\n%s", s.Program, seed, err, out)
	}
	text, err := os.ReadFile(filepath.Join(dir, "results.json"))
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s, seed %d: results.json: %w", s.Program, seed, err)
	}
	return &r, nil
}

// Comparison holds the figures of two sides that were played with the same seeds.
type Comparison struct {
	A       string             `json:"a"`
	B       string             `json:"b"`
	Seeds   []uint64           `json:"seeds"`
	Figures []FigureComparison `json:"figures"`
}

// FigureComparison compares one figure of the two sides. Its interval is Student's 95 % confidence
// interval of the paired differences.
type FigureComparison struct {
	Name           string    `json:"name"`
	A              []float64 `json:"a"` // by seed
	B              []float64 `json:"b"` // by seed
	MeanA          float64   `json:"mean_a"`
	MeanB          float64   `json:"mean_b"`
	MeanDifference float64   `json:"mean_difference"` // mean of B - A
	HalfInterval   float64   `json:"half_interval"`   // half width of the 95 % interval
}

// Significant reports whether the 95 % interval of the difference excludes 0.
func (c *FigureComparison) Significant() bool { return math.Abs(c.MeanDifference) > c.HalfInterval }

// figures returns the names and the values of the figures of a day that a Comparison compares.
func (r *Result) figures() (names []string, values []float64) {
	add := func(name string, v float64) { names, values = append(names, name), append(values, v) }
	for _, c := range r.Classes {
		add("service: "+c.Name, c.Service)
	}
	add("service: all", r.Service)
	add("service: worst 10 s", r.Worst)
	add("goal", r.Goal)
	per := func(n, of int) float64 { return round(float64(n) / float64(max(of, 1))) }
	add("moves a client", per(r.Clients.Moved, r.Clients.Clients))
	add("refusals a client", per(r.Clients.Refused, r.Clients.Clients))
	add("cut off, of clients", per(r.Clients.Cut, r.Clients.Clients))
	k := &r.Counters
	add("calls to discovery a second", round(float64(k.Watches)/(r.WarmUp+r.Length)))
	add("calls that fail, of all", per(k.WatchesFailed, k.Watches))
	add("hops that fail, a request", per(k.HopError+k.HopTimeout+k.HopNoConnect+k.HopBroken, k.Exchanges))
	add("hops a request", per(k.Hops, k.Exchanges))
	add("answered with an error by relays that fail, a request", per(r.Clients.FaultErrors, k.Exchanges))
	add("verdicts against relays, a proxy", round(float64(k.Condemned)/float64(r.Proxies)))
	falseVerdicts := 0
	if r.Shared != nil {
		falseVerdicts = r.Shared.FalseVerdicts
	}
	add("of them without a cause", round(float64(falseVerdicts)/float64(r.Proxies)))
	add("probes a request", per(k.Probes, k.Exchanges))
	for _, s := range []time.Duration{1, 3, 10} {
		add(fmt.Sprintf("hops by a list under %d s old", s), round(k.ListAgeFraction(s*time.Second)))
	}
	add("age of a hop's list, median, at most s", k.ListAgeQuantile(0.5).Seconds())
	add("age of a hop's list, 99 %, at most s", k.ListAgeQuantile(0.99).Seconds())
	kbSent := 0.0
	if r.Shared != nil {
		kbSent = float64(r.Shared.Bytes) / 1024 / (r.WarmUp + r.Length) / float64(r.Proxies)
	}
	peakConnections, meanConnections := 0, 0.0
	if r.Shared != nil {
		peakConnections, meanConnections = r.Shared.PeakConnections, round(r.Shared.ConnectionSeconds/r.Length)
	}
	add("most connections under a limit, by the relays' count", float64(peakConnections))
	add("connections under a limit, in the mean", meanConnections)
	add("refused by a limit, a request", per(k.Beyond, k.Exchanges))
	add("KB a second that a proxy sends to others", round(kbSent))
	return names, values
}

// RunPairs plays both sides with each seed, several days at a time. done, if not nil, is called
// after each day, one call at a time. If days break rules, the error is that of the lowest seed in
// the order of seeds.
func RunPairs(a, b Side, seeds []uint64, done func()) (*Comparison, error) {
	type outcome struct {
		r   *Result
		err error
	}
	sides := [2]Side{a, b}
	outcomes := make([][2]outcome, len(seeds))
	jobs := make(chan [2]int)
	var wait sync.WaitGroup
	var doneMu sync.Mutex
	for range min(runtime.GOMAXPROCS(0), 2*len(seeds)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for j := range jobs {
				r, err := sides[j[1]].play(seeds[j[0]])
				outcomes[j[0]][j[1]] = outcome{r, err}
				if done != nil {
					doneMu.Lock()
					done()
					doneMu.Unlock()
				}
			}
		}()
	}
	for i := range seeds {
		for side := range sides {
			jobs <- [2]int{i, side}
		}
	}
	close(jobs)
	wait.Wait()
	c := &Comparison{A: a.Name, B: b.Name, Seeds: seeds}
	for i := range outcomes {
		for side, o := range outcomes[i] {
			if o.err != nil {
				return nil, fmt.Errorf("%s: %w", sides[side].Name, o.err)
			}
			names, values := o.r.figures()
			if c.Figures == nil {
				c.Figures = make([]FigureComparison, len(names))
			}
			if len(names) != len(c.Figures) {
				return nil, fmt.Errorf("%s and %s have different classes", a.Name, b.Name)
			}
			for k := range names {
				f := &c.Figures[k]
				f.Name = names[k]
				if side == 0 {
					f.A = append(f.A, values[k])
				} else {
					f.B = append(f.B, values[k])
				}
			}
		}
	}
	for i := range c.Figures {
		c.Figures[i].computeStatistics()
	}
	return c, nil
}

// computeStatistics computes the means and the 95 % interval from the values by seed.
func (c *FigureComparison) computeStatistics() {
	differences := make([]float64, len(c.A))
	for i := range differences {
		differences[i] = c.B[i] - c.A[i]
	}
	c.MeanA, c.MeanB = round(stat.Mean(c.A, nil)), round(stat.Mean(c.B, nil))
	mean, dev := stat.MeanStdDev(differences, nil)
	c.MeanDifference = round(mean)
	if n := float64(len(differences)); n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
		c.HalfInterval = round(t * dev / math.Sqrt(n))
	}
}

// Markdown writes the comparison as a Markdown table.
func (c *Comparison) Markdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s against %s\n\n%d pairs of days, seeds %d to %d. The difference is that of the second less the first, with its 95 %% interval.\n\n",
		c.A, c.B, len(c.Seeds), c.Seeds[0], c.Seeds[len(c.Seeds)-1])
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	var rows [][]string
	for i := range c.Figures {
		g := &c.Figures[i]
		verdict := "no clear difference"
		if g.Significant() {
			verdict = "clear"
		}
		rows = append(rows, []string{g.Name, f(g.MeanA), f(g.MeanB), fmt.Sprintf("%+.4f", g.MeanDifference), "± " + f(g.HalfInterval), verdict})
	}
	table(&b, []string{"figure", "first", "second", "difference", "95 %", ""}, rows)
	_, err := io.WriteString(w, b.String())
	return err
}

// Save writes results.json, table.md, table.csv and forest.svg into the directory dir.
func (c *Comparison) Save(dir string) error {
	return saveAll(dir, map[string]func(w io.Writer) error{
		"results.json": func(w io.Writer) error {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(c)
		},
		"table.md": c.Markdown, "table.csv": c.csv, "forest.svg": c.forest,
	})
}

func (c *Comparison) csv(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"figure", "seed", "first", "second"}); err != nil {
		return err
	}
	for _, f := range c.Figures {
		for i, seed := range c.Seeds {
			g := func(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }
			if err := out.Write([]string{f.Name, strconv.FormatUint(seed, 10), g(f.A[i]), g(f.B[i])}); err != nil {
				return err
			}
		}
	}
	out.Flush()
	return out.Error()
}

// forest writes a forest plot of the mean differences with their intervals as SVG.
func (c *Comparison) forest(w io.Writer) error {
	p := newChart(c.A+" against "+c.B, "difference, with its 95 % interval", "")
	var names []string
	var points plotter.XYs
	var bars plotter.XErrors
	for i := range c.Figures {
		f := &c.Figures[len(c.Figures)-1-i] // the first figure is at the top
		names = append(names, f.Name)
		points = append(points, plotter.XY{X: f.MeanDifference, Y: float64(i)})
		bars = append(bars, struct{ Low, High float64 }{-f.HalfInterval, f.HalfInterval})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Shape, scatter.Color, scatter.Radius = draw.BoxGlyph{}, palette[0], vg.Points(3)
	errs, err := plotter.NewXErrorBars(struct {
		plotter.XYer
		plotter.XErrorer
	}{points, bars})
	if err != nil {
		return err
	}
	errs.Color, errs.Width = palette[0], vg.Points(1.2)
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return err
	}
	zero.Color, zero.Dashes = color.Gray{100}, []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(zero, errs, scatter)
	p.NominalY(names...)
	return writeSVG(p, w, chartWidth, vg.Length(len(names)+3)*0.9*vg.Centimeter)
}
