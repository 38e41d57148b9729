package inifile

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Decode stores the keys of a section in the struct that target points to, as its field tags say. A
// field whose key is absent keeps its value, so the caller sets the defaults beforehand. A missing
// section is treated as one without keys. Problems are collected and returned by Err.
//
//	Rate  float64       `ini:"rate" min:"0"`   // a number may be written as 12%
//	Wait  time.Duration `ini:"wait" above:"0"` // needs a unit; not negative unless min is set
//	Kind  string        `ini:"kind" one:"a, b"`
//	Names []string      `ini:"names"`          // comma-separated
//
// Types that implement encoding.TextUnmarshaler decode themselves. If such a type also has a method
// Bounds() (least, most float64), both results are checked against min, max and above.
func (f *File) Decode(section string, target any) {
	f.decoded[section] = true
	v := reflect.ValueOf(target).Elem()
	known := make(map[string]bool)
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := field.Tag.Get("ini")
		if key == "" {
			continue
		}
		known[key] = true
		if !f.HasKey(section, key) {
			continue
		}
		text := f.ini.Section(section).Key(key).String()
		if err := decodeValue(v.Field(i), field.Tag, text); err != nil {
			f.AddProblem(section, key, "%v", err)
		}
	}
	for _, key := range f.ini.Section(section).KeyStrings() {
		if !known[key] {
			f.AddProblem(section, key, "unknown key%s", suggestKey(key, known))
		}
	}
}

// suggestKey returns a suggestion of the known key that is closest to a misspelt one, or an empty
// string if no known key is within an edit distance of 2.
func suggestKey(key string, known map[string]bool) string {
	best, bestDistance := "", 3
	for k := range known {
		if d := editDistance(key, k); d < bestDistance || d == bestDistance && k < best {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; perhaps %s", best)
}

// editDistance returns the Levenshtein distance between a and b, counted in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

var durationType = reflect.TypeFor[time.Duration]()

// decodeValue parses text, checks it against the tag and stores it in v.
func decodeValue(v reflect.Value, tag reflect.StructTag, text string) error {
	if text == "" && v.Kind() != reflect.String {
		return fmt.Errorf("empty value")
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(text)); err != nil {
			return err
		}
		if b, ok := v.Addr().Interface().(interface{ Bounds() (least, most float64) }); ok {
			least, most := b.Bounds()
			if err := checkBounds(least, tag, text); err != nil {
				return err
			}
			return checkBounds(most, tag, text)
		}
		return nil
	}
	switch {
	case v.Type() == durationType:
		d, err := ParseDuration(text)
		if err != nil {
			return err
		}
		v.SetInt(int64(d))
		if err := checkBounds(d.Seconds(), tag, text); err != nil {
			return err
		}
		if d < 0 && tag.Get("min") == "" {
			return fmt.Errorf("%s: a time must not be negative", text)
		}
		return nil
	case v.Kind() == reflect.String:
		if allowed := tag.Get("one"); allowed != "" {
			if values := strings.Split(allowed, ", "); !slices.Contains(values, text) {
				return fmt.Errorf("%q is none of %s", text, allowed)
			}
		}
		v.SetString(text)
	case v.Kind() == reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(b)
	case v.Kind() == reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		v.SetInt(int64(n))
		return checkBounds(float64(n), tag, text)
	case v.Kind() == reflect.Float64:
		n, err := ParseNumber(text)
		if err != nil {
			return err
		}
		v.SetFloat(n)
		return checkBounds(n, tag, text)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.String:
		var entries []string
		for entry := range strings.SplitSeq(text, ",") {
			entry = strings.TrimSpace(entry)
			if entry == "" {
				return fmt.Errorf("an empty entry in %q", text)
			}
			if slices.Contains(entries, entry) {
				return fmt.Errorf("%q stands there twice", entry)
			}
			entries = append(entries, entry)
		}
		v.Set(reflect.ValueOf(entries).Convert(v.Type()))
	default:
		// A fault of the program, not of the file.
		panic(fmt.Sprintf("inifile: unsupported field type %s", v.Type()))
	}
	return nil
}

// checkBounds checks n against the bounds in the tag. A duration is given in seconds; text is the
// value as written in the file.
func checkBounds(n float64, tag reflect.StructTag, text string) error {
	for _, b := range []struct {
		tagKey      string
		violated    func(bound float64) bool
		description string
	}{
		{"min", func(bound float64) bool { return n < bound }, "less than"},
		{"max", func(bound float64) bool { return n > bound }, "more than"},
		{"above", func(bound float64) bool { return n <= bound }, "not above"},
	} {
		boundText := tag.Get(b.tagKey)
		if boundText == "" {
			continue
		}
		bound, err := strconv.ParseFloat(boundText, 64)
		if err != nil {
			panic(fmt.Sprintf("inifile: bound in tag %s:%q is not a number", b.tagKey, boundText))
		}
		if b.violated(bound) {
			return fmt.Errorf("%s: %s %s", text, b.description, boundText)
		}
	}
	return nil
}

// ParseNumber parses a finite number, which may be written as a percentage: 25% is 0.25.
func ParseNumber(text string) (float64, error) {
	number, percent := strings.CutSuffix(text, "%")
	n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	if percent {
		n /= 100
	}
	return n, nil
}

// ParseDuration parses a duration with its unit, as in 1.5s, 200ms or 1m30s. Only 0 needs no unit.
func ParseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err == nil {
		return d, nil
	}
	if _, numberErr := strconv.ParseFloat(text, 64); numberErr == nil {
		return 0, fmt.Errorf("%s: a time needs a unit, as in %ss or %sms", text, text, text)
	}
	return 0, fmt.Errorf("%q is not a time, as in 1.5s or 200ms", text)
}
