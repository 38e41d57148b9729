package inifile

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Encode writes a section as Decode reads it. Fields that are as in like, a struct of the same type, are left out, and so
// are empty words and lists; like may be nil.
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
	if b.Len() == headerEnd { // nothing to say
		text := b.String()[:start]
		b.Reset()
		b.WriteString(text)
		return
	}
	b.WriteByte('\n')
}

func formatValue(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		if err != nil {
			panic(err) // the program's own value
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
	panic(fmt.Sprintf("inifile: a field of type %s", v.Type()))
}
