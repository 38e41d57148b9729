package capacity

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// confidence is the probability that an interval is said to hold the truth.
	confidence = 0.95
	// mostResidual is how far a point may lie from the line, as a part of the largest value, before the line is doubted.
	mostResidual = 0.1
	// mostBend is how far the quadratic may leave the line at the largest size, as a part of the value there, before a
	// quadratic term whose interval excludes 0 counts.
	mostBend = 0.05
	// farExtrapolation is the ratio of a planned size to the largest measured one above which a figure is marked.
	farExtrapolation = 10
)

// Point is the cost at one size: the mean of all samples there.
type Point struct {
	Size    float64 `json:"size"`
	Value   float64 `json:"value"`
	Samples int     `json:"samples"`
}

// Fit is a least-squares line through points, value = Intercept + Slope * size, with what is needed to extrapolate it.
type Fit struct {
	Intercept, Slope float64
	SlopeError       float64 // half of the slope's 95 % interval
	Residual         float64 // the largest distance from the line, as a part of the largest value
	Bent             bool    // a quadratic term is there, and matters
	Exponent         float64 // of the power law through the same points, 1 for a line through 0; NaN if a value is not above 0
	ExponentError    float64 // half of its 95 % interval

	points       []Point
	spread, mean float64 // standard deviation of the points about the line, mean of their sizes
	squares      float64 // sum of the squared distances of the sizes from their mean
	power        *Fit    // the line through the logarithms, nil if there is none
}

// Estimate is a figure with its 95 % interval.
type Estimate struct{ Value, Low, High float64 }

// ErrFewPoints is returned for fewer than three points of different sizes: a line through two has no interval.
var ErrFewPoints = errors.New("capacity: fewer than three sizes")

// NewFit fits a line and a power law.
func NewFit(points []Point) (*Fit, error) {
	f, err := newLine(points)
	if err != nil {
		return nil, err
	}
	f.Bent = bent(points, f)
	f.Exponent = math.NaN()
	if logs := logarithms(points); logs != nil {
		if f.power, err = newLine(logs); err != nil {
			return nil, err
		}
		f.Exponent, f.ExponentError = f.power.Slope, f.power.SlopeError
	}
	return f, nil
}

func newLine(points []Point) (*Fit, error) {
	f := &Fit{points: points}
	n := float64(len(points))
	valueMean := 0.0
	for _, p := range points {
		f.mean += p.Size / n
		valueMean += p.Value / n
	}
	products := 0.0
	for _, p := range points {
		f.squares += (p.Size - f.mean) * (p.Size - f.mean)
		products += (p.Size - f.mean) * (p.Value - valueMean)
	}
	if len(points) < 3 || f.squares == 0 {
		return nil, ErrFewPoints
	}
	f.Slope = products / f.squares
	f.Intercept = valueMean - f.Slope*f.mean
	residuals, most, largest := 0.0, 0.0, 0.0
	for _, p := range points {
		residual := p.Value - f.line(p.Size)
		residuals += residual * residual
		most, largest = max(most, math.Abs(residual)), max(largest, math.Abs(p.Value))
	}
	if largest > 0 {
		f.Residual = most / largest
	}
	f.spread = math.Sqrt(residuals / (n - 2))
	f.SlopeError = quantile(n-2) * f.spread / math.Sqrt(f.squares)
	return f, nil
}

// quantile is that of Student's t for a two-sided interval.
func quantile(freedom float64) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile((1 + confidence) / 2)
}

func (f *Fit) line(size float64) float64 { return f.Intercept + f.Slope*size }

// Straight tells whether the points lie on a line as far as can be told: a level one with noise about it does.
func (f *Fit) Straight() bool { return !f.Bent && (f.Residual <= mostResidual || f.level()) }

// level tells whether no growth is seen: neither the slope's nor the exponent's interval excludes 0.
func (f *Fit) level() bool {
	return math.Abs(f.Slope) <= f.SlopeError && (f.power == nil || math.Abs(f.power.Slope) <= f.power.SlopeError)
}

// estimate is the line's figure at a size, with the interval of the mean there.
func (f *Fit) estimate(size float64) Estimate {
	away := size - f.mean
	half := quantile(float64(len(f.points))-2) * f.spread * math.Sqrt(1/float64(len(f.points))+away*away/f.squares)
	value := f.line(size)
	return Estimate{value, value - half, value + half}
}

// At is the cost at a size. Where the points are no line it is the higher one of line and power law, and the interval covers
// both; where no growth is seen it is the higher one of line and mean. A cost is never below 0.
func (f *Fit) At(size float64) Estimate {
	e := f.estimate(size)
	switch {
	case f.level():
		e.Value = max(e.Value, f.line(f.mean))
		e.High = max(e.High, e.Value)
	case !f.Straight() && f.power != nil && size > 0:
		p := f.power.estimate(math.Log(size))
		e = Estimate{max(e.Value, math.Exp(p.Value)), min(e.Low, math.Exp(p.Low)), max(e.High, math.Exp(p.High))}
	}
	return Estimate{max(e.Value, 0), max(e.Low, 0), max(e.High, 0)}
}

// Reach is how many times a size is the largest that was measured.
func (f *Fit) Reach(size float64) float64 {
	largest := 0.0
	for _, p := range f.points {
		largest = max(largest, p.Size)
	}
	return size / largest
}

// logarithms returns the points of the power law, nil if there is none.
func logarithms(points []Point) []Point {
	var logs []Point
	for _, p := range points {
		if p.Size <= 0 || p.Value <= 0 {
			return nil
		}
		logs = append(logs, Point{math.Log(p.Size), math.Log(p.Value), p.Samples})
	}
	return logs
}

// bent tells whether the quadratic term's interval excludes 0 and the curve leaves the line by more than mostBend. The term
// is that of the part of size² that no line explains, so that it is the same as in a fit of all three terms.
func bent(points []Point, line *Fit) bool {
	if len(points) < 4 {
		return false
	}
	squares := make([]Point, len(points))
	largest := 0.0
	for i, p := range points {
		squares[i] = Point{Size: p.Size, Value: p.Size * p.Size}
		largest = max(largest, p.Size)
	}
	squareLine, err := newLine(squares)
	if err != nil {
		return false
	}
	norm, product := 0.0, 0.0
	for i, p := range points {
		rest := squares[i].Value - squareLine.line(p.Size)
		norm += rest * rest
		product += rest * (p.Value - line.line(p.Size))
	}
	if norm == 0 {
		return false
	}
	term := product / norm
	residuals := 0.0
	for i, p := range points {
		residual := p.Value - line.line(p.Size) - term*(squares[i].Value-squareLine.line(p.Size))
		residuals += residual * residual
	}
	freedom := float64(len(points) - 3)
	half := quantile(freedom) * math.Sqrt(residuals/freedom/norm)
	leaves := math.Abs(term * (largest*largest - squareLine.line(largest)))
	return math.Abs(term) > half && leaves > mostBend*math.Abs(line.line(largest))
}
