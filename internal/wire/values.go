package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"ospreyspan/balance"
	"ospreyspan/internal/settings"
)

// split cuts rest at its spaces into r.parts, into at most limit parts if that is not below 0.
func (r *Reader) split(rest []byte, limit int) {
	r.values = r.values[:0]
	for len(rest) > 0 {
		if limit >= 0 && len(r.values) == limit-1 {
			r.values = append(r.values, rest)
			return
		}
		i := bytes.IndexByte(rest, ' ')
		if i < 0 {
			r.values = append(r.values, rest)
			return
		}
		r.values = append(r.values, rest[:i])
		rest = rest[i+1:]
	}
}

func absent(part []byte) bool { return len(part) == 1 && part[0] == '-' }

func (r *Reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// unsigned reads a number that is not negative.
func (r *Reader) unsigned(i int) uint64 {
	n := uint64(0)
	part := r.values[i]
	for _, c := range part {
		d := uint64(c - '0')
		if d > 9 || n > (math.MaxUint64-d)/10 {
			r.fail(fmt.Errorf("%q is not a whole number", part))
			return 0
		}
		n = n*10 + d
	}
	if len(part) == 0 {
		r.fail(errors.New("an empty value"))
	}
	return n
}

// signed reads a number with a sign.
func (r *Reader) signed(i int) int64 {
	part := r.values[i]
	negative := len(part) > 1 && part[0] == '-'
	if negative {
		r.values[i] = part[1:]
	}
	n := r.unsigned(i)
	if n > math.MaxInt64 {
		r.fail(fmt.Errorf("%q is too large", part))
		return 0
	}
	if negative {
		return -int64(n)
	}
	return int64(n)
}

// optionalSigned reads a number that may be absent, which counts as 0.
func (r *Reader) optionalSigned(i int) int64 {
	if absent(r.values[i]) {
		return 0
	}
	return r.signed(i)
}

// float reads a float with a fraction; one that is absent is NaN.
func (r *Reader) float(part []byte) float64 {
	if absent(part) || len(part) == 0 {
		return math.NaN()
	}
	f, err := strconv.ParseFloat(string(part), 64)
	if err != nil {
		r.fail(fmt.Errorf("%q is not a number", part))
	}
	return f
}

func (r *Reader) backendID(i int) string {
	part := r.values[i]
	if name, ok := r.backendIDs[string(part)]; ok {
		return name
	}
	if absent(part) || len(part) == 0 {
		r.fail(errors.New("the backend is missing"))
		return ""
	}
	name := string(part)
	r.backendIDs[name] = name
	return name
}

// lookUp looks a value up among the words that the wire knows there.
func lookUp[T any](r *Reader, words map[string]T, i int) T {
	v, ok := words[string(r.values[i])]
	if !ok {
		r.fail(fmt.Errorf("unknown word %q", r.values[i]))
	}
	return v
}

// report reads a load report; what it lacks is NaN.
func (r *Reader) report(i int, set *settings.Settings) balance.Report {
	var rep balance.Report
	settings.ClearReport(&rep)
	rest := r.values[i]
	if absent(rest) {
		return rep
	}
	for _, name := range set.ReportFields {
		value, more, _ := bytes.Cut(rest, []byte(","))
		rest = more
		set.SetReportValue(&rep, name, r.float(value))
	}
	return rep
}
