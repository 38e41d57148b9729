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

// split splits rest at its spaces into r.values. If limit is not negative, the result has at most
// limit values and the last one holds the rest of the line.
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

// absent returns whether a value is "-", which stands for no value.
func absent(part []byte) bool { return len(part) == 1 && part[0] == '-' }

// fail records the first error of the current line.
func (r *Reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// unsigned parses value i as a non-negative integer.
func (r *Reader) unsigned(i int) uint64 {
	n := uint64(0)
	part := r.values[i]
	for _, c := range part {
		d := uint64(c - '0')
		if d > 9 || n > (math.MaxUint64-d)/10 {
			r.fail(fmt.Errorf("%q is not an unsigned 64-bit integer", part))
			return 0
		}
		n = n*10 + d
	}
	if len(part) == 0 {
		r.fail(errors.New("value is empty, expected a number"))
	}
	return n
}

// signed parses value i as an integer that may be negative.
func (r *Reader) signed(i int) int64 {
	part := r.values[i]
	negative := len(part) > 1 && part[0] == '-'
	if negative {
		r.values[i] = part[1:]
	}
	n := r.unsigned(i)
	if n > math.MaxInt64 {
		r.fail(fmt.Errorf("%q does not fit into a signed 64-bit integer", part))
		return 0
	}
	if negative {
		return -int64(n)
	}
	return int64(n)
}

// optionalSigned parses value i as an integer that may be negative. It returns 0 if the value is
// absent.
func (r *Reader) optionalSigned(i int) int64 {
	if absent(r.values[i]) {
		return 0
	}
	return r.signed(i)
}

// float parses a decimal number. It returns NaN if the value is absent or empty.
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

// backendID returns value i, the ID of a backend, which must be present.
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

// lookUp returns the entry of words for value i, which must be one of the words that the protocol
// allows there.
func lookUp[T any](r *Reader, words map[string]T, i int) T {
	v, ok := words[string(r.values[i])]
	if !ok {
		r.fail(fmt.Errorf("unknown word %q", r.values[i]))
	}
	return v
}

// report parses value i as a load report with the fields that the settings name. Fields that the
// report lacks are NaN.
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
