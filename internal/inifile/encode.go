package inifile

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Encode appends the struct value to b as a section that Decode can read. It omits fields that
// equal those of defaults, a struct of the same type or nil, and fields whose text is empty, such
// as empty strings and lists. If no field is left, it writes nothing.
func Encode(b *strings.Builder, section string, value, defaults any) {
	v := reflect.ValueOf(value)
	start := b.Len()
	fmt.Fprintf(b, "[%s]\n", section)
	headerEnd := b.Len()
	for i := range v.NumField() {
		key := v.Type().Field(i).Tag.Get("ini")
		if key == "" {
			continue
		}
		if defaults != nil && reflect.DeepEqual(v.Field(i).Interface(), reflect.ValueOf(defaults).Field(i).Interface()) {
			continue
		}
		if text := formatValue(v.Field(i)); text != "" {
			fmt.Fprintf(b, "%s = %s\n", key, text)
		}
	}
	if b.Len() == headerEnd { // no keys were written, so the header is removed
		text := b.String()[:start]
		b.Reset()
		b.WriteString(text)
		return
	}
	b.WriteByte('\n')
}

// formatValue returns the text of a field that decodeValue parses.
func formatValue(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err != nil {
			panic(err) // the value comes from the program, not from a file
		}
		return string(text)
	}
	switch {
	case v.Type() == durationType:
		return time.Duration(v.Int()).String()
	case v.Kind() == reflect.String:
		return v.String()
	case v.Kind() == reflect.Bool:
		return strconv.FormatBool(v.Bool())
	case v.Kind() == reflect.Int:
		return strconv.FormatInt(v.Int(), 10)
	case v.Kind() == reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	case v.Kind() == reflect.Slice:
		entries := make([]string, v.Len())
		for i := range entries {
			entries[i] = v.Index(i).String()
		}
		return strings.Join(entries, ", ")
	}
	panic(fmt.Sprintf("inifile: unsupported field type %s", v.Type()))
}
