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
	r.parts = r.parts[:0]
	for len(rest) > 0 {
		if limit >= 0 && len(r.parts) == limit-1 {
			r.parts = append(r.parts, rest)
			return
		}
		i := bytes.IndexByte(rest, ' ')
		if i < 0 {
			r.parts = append(r.parts, rest)
			return
		}
		r.parts = append(r.parts, rest[:i])
		rest = rest[i+1:]
	}
}

func absent(part []byte) bool { return len(part) == 1 && part[0] == '-' }

func (r *Reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// whole reads a number that is not negative.
func (r *Reader) whole(i int) uint64 {
	n := uint64(0)
	part := r.parts[i]
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

// integer reads a number with a sign.
func (r *Reader) integer(i int) int64 {
	part := r.parts[i]
	negative := len(part) > 1 && part[0] == '-'
	if negative {
		r.parts[i] = part[1:]
	}
	n := r.whole(i)
	if n > math.MaxInt64 {
		r.fail(fmt.Errorf("%q is too large", part))
		return 0
	}
	if negative {
		return -int64(n)
	}
	return int64(n)
}

// optional reads a number that may be absent, which counts as 0.
func (r *Reader) optional(i int) int64 {
	if absent(r.parts[i]) {
		return 0
	}
	return r.integer(i)
}

// number reads a number with a fraction; one that is absent is NaN.
func (r *Reader) number(part []byte) float64 {
	if absent(part) || len(part) == 0 {
		return math.NaN()
	}
	f, err := strconv.ParseFloat(string(part), 64)
	if err != nil {
		r.fail(fmt.Errorf("%q is not a number", part))
	}
	return f
}

func (r *Reader) backend(i int) string {
	part := r.parts[i]
	if name, ok := r.names[string(part)]; ok {
		return name
	}
	if absent(part) || len(part) == 0 {
		r.fail(errors.New("the backend is missing"))
		return ""
	}
	name := string(part)
	r.names[name] = name
	return name
}

// word looks a value up among the words that the wire knows there.
func word[T any](r *Reader, words map[string]T, i int) T {
	v, ok := words[string(r.parts[i])]
	if !ok {
		r.fail(fmt.Errorf("unknown word %q", r.parts[i]))
	}
	return v
}

// report reads a load report; what it lacks is NaN.
func (r *Reader) report(i int, set *settings.Settings) balance.Report {
	var rep balance.Report
	settings.ClearReport(&rep)
	rest := r.parts[i]
	if absent(rest) {
		return rep
	}
	for _, name := range set.ReportFields {
		value, more, _ := bytes.Cut(rest, []byte(","))
		rest = more
		set.SetReportValue(&rep, name, r.number(value))
	}
	return rep
}
