package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"ospreyspan/internal/inifile"
)

// A Range is written 0.2..0.4, Spans 1s..2s; where both ends are the same, one figure will do.

// UnmarshalText reads a Range.
func (r *Range) UnmarshalText(text []byte) error {
	return parseEnds(string(text), inifile.Number, &r.From, &r.To)
}

// Bounds are the range's ends.
func (r *Range) Bounds() (least, most float64) { return r.From, r.To }

// UnmarshalText reads Spans.
func (s *DurationRange) UnmarshalText(text []byte) error {
	return parseEnds(string(text), inifile.Duration, &s.From, &s.To)
}

// Bounds are the ends in seconds.
func (s *DurationRange) Bounds() (least, most float64) { return s.From.Seconds(), s.To.Seconds() }

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

// MarshalText writes a Range as UnmarshalText reads it.
func (r Range) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s..%s", strconv.FormatFloat(r.From, 'g', -1, 64), strconv.FormatFloat(r.To, 'g', -1, 64)), nil
}

// MarshalText writes Spans as UnmarshalText reads them.
func (s DurationRange) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%v..%v", s.From, s.To), nil
}
