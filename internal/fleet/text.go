package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ospreyspan/internal/inifile"
)

// A Range is written as 0.2..0.4 and a DurationRange as 1s..2s. A single value stands for both
// bounds.

// UnmarshalText parses a Range.
func (r *Range) UnmarshalText(text []byte) error {
	return parseEnds(string(text), inifile.ParseNumber, &r.From, &r.To)
}

// Bounds returns the bounds of the range.
func (r *Range) Bounds() (least, most float64) { return r.From, r.To }

// UnmarshalText parses a DurationRange.
func (r *DurationRange) UnmarshalText(text []byte) error {
	return parseEnds(string(text), inifile.ParseDuration, &r.From, &r.To)
}

// Bounds returns the bounds in seconds.
func (r *DurationRange) Bounds() (least, most float64) { return r.From.Seconds(), r.To.Seconds() }

func parseEnds[T float64 | time.Duration](text string, read func(string) (T, error), from, to *T) error {
	first, last, both := strings.Cut(text, "..")
	if !both {
		last = first
	}
	var err error
	if *from, err = read(strings.TrimSpace(first)); err != nil {
		return err
	}
	if *to, err = read(strings.TrimSpace(last)); err != nil {
		return err
	}
	if *to < *from {
		return fmt.Errorf("%s: its end is below its beginning", text)
	}
	return nil
}

// MarshalText formats a Range in the form that UnmarshalText parses.
func (r Range) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s..%s", strconv.FormatFloat(r.From, 'g', -1, 64), strconv.FormatFloat(r.To, 'g', -1, 64)), nil
}

// MarshalText formats a DurationRange in the form that UnmarshalText parses.
func (r DurationRange) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%v..%v", r.From, r.To), nil
}
