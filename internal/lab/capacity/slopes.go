package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Key names a series: who pays what, in which unit, for which thing that grows.
type Key struct {
	Role   string `json:"role"`
	Cost   string `json:"cost"`
	Unit   string `json:"unit"`
	Driver string `json:"driver"`
}

// String names the series in tables and errors.
func (k Key) String() string {
	return fmt.Sprintf("%s: %s, %s, by %s", k.Role, k.Cost, k.Unit, k.Driver)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Driver, b.Driver), cmp.Compare(a.Unit, b.Unit))
}

// Series is one measured cost at several sizes, with the slope that a reader of the file gets without fitting anew.
type Series struct {
	Key
	Command       string  `json:"command"` // that gave the points
	Points        []Point `json:"points"`  // by size
	Slope         float64 `json:"slope"`
	SlopeError    float64 `json:"slope_error"` // half of its 95 % interval
	Intercept     float64 `json:"intercept"`
	Residual      float64 `json:"residual"` // the largest, as a part of the largest value
	Straight      bool    `json:"straight"`
	Exponent      float64 `json:"exponent"` // of the power law; 0: there is none
	ExponentError float64 `json:"exponent_error"`
}

// Fit fits the series' points.
func (s *Series) Fit() (*Fit, error) {
	f, err := NewFit(s.Points)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", s.Key, err)
	}
	return f, nil
}

func (s *Series) fill() error {
	f, err := s.Fit()
	if err != nil {
		return err
	}
	s.Slope, s.SlopeError, s.Intercept = f.Slope, f.SlopeError, f.Intercept
	s.Residual, s.Straight = f.Residual, f.Straight()
	s.Exponent, s.ExponentError = 0, 0
	if !math.IsNaN(f.Exponent) {
		s.Exponent, s.ExponentError = f.Exponent, f.ExponentError
	}
	return nil
}

// Slopes is the file of measured slopes: all series, by key.
type Slopes struct {
	Series []*Series `json:"series"`
}

// Group makes series of samples: the points are means over the seeds. Costs with fewer than three sizes have no slope; their
// keys are returned.
func Group(samples []Sample, command string) (*Slopes, []Key) {
	bySize := make(map[Key]map[float64][]float64)
	for _, s := range samples {
		k := Key{s.Role, s.Cost, s.Unit, s.Driver}
		if bySize[k] == nil {
			bySize[k] = make(map[float64][]float64)
		}
		bySize[k][s.Size] = append(bySize[k][s.Size], s.Value)
	}
	var all Slopes
	var without []Key
	for _, k := range slices.SortedFunc(maps.Keys(bySize), compareKeys) {
		s := &Series{Key: k, Command: command}
		for _, size := range slices.Sorted(maps.Keys(bySize[k])) {
			s.Points = append(s.Points, Point{Size: size, Value: mean(bySize[k][size]), Samples: len(bySize[k][size])})
		}
		if s.fill() != nil {
			without = append(without, k)
			continue
		}
		all.Series = append(all.Series, s)
	}
	return &all, without
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Replace puts series in the place of those with the same keys, and keeps all others.
func (s *Slopes) Replace(with *Slopes) {
	for _, n := range with.Series {
		at, found := slices.BinarySearchFunc(s.Series, n.Key, func(a *Series, k Key) int { return compareKeys(a.Key, k) })
		if found {
			s.Series[at] = n
		} else {
			s.Series = slices.Insert(s.Series, at, n)
		}
	}
}

// Find returns a series, nil if there is none of that key.
func (s *Slopes) Find(k Key) *Series {
	at, found := slices.BinarySearchFunc(s.Series, k, func(a *Series, k Key) int { return compareKeys(a.Key, k) })
	if !found {
		return nil
	}
	return s.Series[at]
}

// ReadSlopes reads a file of slopes and checks that each slope is what its points give.
func ReadSlopes(path string) (*Slopes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s Slopes
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// Check tells the first series whose slope is not that of its points, or that is out of order.
func (s *Slopes) Check() error {
	for i, x := range s.Series {
		if i > 0 && compareKeys(s.Series[i-1].Key, x.Key) >= 0 {
			return fmt.Errorf("%v: out of order", x.Key)
		}
		again := Series{Key: x.Key, Points: x.Points}
		if err := again.fill(); err != nil {
			return err
		}
		same := func(a, b float64) bool { return math.Abs(a-b) <= 1e-9*(1+math.Abs(b)) }
		if !same(x.Slope, again.Slope) || !same(x.SlopeError, again.SlopeError) || !same(x.Intercept, again.Intercept) ||
			!same(x.Residual, again.Residual) || x.Straight != again.Straight || !same(x.Exponent, again.Exponent) ||
			!same(x.ExponentError, again.ExponentError) {
			return fmt.Errorf("%v: the slope %v ± %v is not what the points give, %v ± %v", x.Key, x.Slope, x.SlopeError, again.Slope, again.SlopeError)
		}
	}
	return nil
}

// JSON writes the file.
func (s *Slopes) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(s)
}

// Rows are the lines of the table of fits, under FitHead, of the series that are wanted.
func (s *Slopes) Rows(wanted func(Key) bool) [][]string {
	var rows [][]string
	for _, x := range s.Series {
		if !wanted(x.Key) {
			continue
		}
		first, last := x.Points[0], x.Points[len(x.Points)-1]
		exponent := "–"
		if x.Exponent != 0 {
			exponent = fmt.Sprintf("%.2f ± %.2f", x.Exponent, x.ExponentError)
		}
		rows = append(rows, []string{
			x.Role, x.Cost + ", " + x.Unit, x.Driver, fmt.Sprintf("%s to %s", Figure(first.Size), Figure(last.Size)), fmt.Sprint(len(x.Points)),
			fmt.Sprintf("%s ± %s", Figure(x.Slope), Figure(x.SlopeError)), Figure(x.Intercept),
			fmt.Sprintf("%.1f %%", 100*x.Residual), exponent, x.warning(),
		})
	}
	return rows
}

const (
	leastPoints = 5   // a slope from fewer is told with a warning
	leastRange  = 100 // likewise, of the largest size to the smallest
)

// warning tells what is to be doubted about the slope, empty for nothing.
func (s *Series) warning() string {
	var list []string
	if !s.Straight {
		list = append(list, "**no line**")
	}
	if math.Abs(s.Slope) <= s.SlopeError {
		list = append(list, "no growth seen")
	}
	if len(s.Points) < leastPoints || s.Points[len(s.Points)-1].Size < leastRange*s.Points[0].Size {
		list = append(list, "**narrow**")
	}
	return strings.Join(list, ", ")
}

// FitHead is the head of the table of fits.
func FitHead() []string {
	return []string{"role", "cost", "by", "sizes", "points", "slope, 95 %", "at 0", "largest residual", "exponent, 95 %", "warning"}
}

// Figure writes a figure with three digits, thousands set apart.
func Figure(x float64) string {
	switch {
	case x == 0:
		return "0"
	case math.Abs(x) < 1000:
		return strings.Replace(fmt.Sprintf("%.3g", x), "e+0", "e", 1)
	}
	scale := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-2)
	return Exact(math.Round(x/scale) * scale)
}

// Exact writes a figure with all its digits, thousands set apart.
func Exact(x float64) string {
	digits, fraction, _ := strings.Cut(strconv.FormatFloat(math.Abs(x), 'f', -1, 64), ".")
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	if fraction != "" {
		digits += "." + fraction
	}
	if x < 0 {
		return "-" + digits
	}
	return digits
}
