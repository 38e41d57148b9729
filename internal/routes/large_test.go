package routes

import (
	"fmt"
	"strings"
	"testing"
)

// largeList returns discovery's whole list with the given number of entries.
func largeList(entries int) string {
	var b strings.Builder
	b.WriteString(`{"seq":7,"whole":true,"hosts":[`)
	for i := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"host":"s-%08x","dial":"10.1.%d.%d:8443","site":"a","class":"m2","block":%d,"health":"SERVING","share":1.0,"born_ms":0}`,
			i, i/250, i%250, i/8)
	}
	b.WriteString("]}")
	return b.String()
}

// A whole list of 10,000 entries is merged completely, and a whole list that lacks nearly all of
// them removes the others. A list that is truncated in the middle of an entry is not accepted.
func TestLargeList(t *testing.T) {
	var table Table
	text := okResponse(largeList(10000))
	for _, cut := range []int{len(text) / 2, len(text) - 1} {
		if r, err := parseResponse([]byte(text[:cut]), false); err == nil {
			t.Fatalf("%d of %d bytes were parsed as a complete response with a body of %d bytes", cut, len(text), len(r.body))
		}
	}
	r, err := parseResponse([]byte(text), false)
	if err != nil {
		t.Fatal(err)
	}
	l, err := Decode(r.body)
	if err != nil {
		t.Fatal(err)
	}
	if table.Merge(l); len(table.IDs()) != 10000 {
		t.Fatalf("table has %d entries, want 10000", len(table.IDs()))
	}
	if l, err = Decode([]byte(largeList(3))); err != nil {
		t.Fatal(err)
	}
	if stopped := table.Merge(l); len(stopped) != 9997 || len(table.IDs()) != 3 {
		t.Errorf("%d targets stopped and %d left in the table, want 9997 and 3", len(stopped), len(table.IDs()))
	}
}

// BenchmarkWholeList measures the cost of one answer of discovery to a proxy by the number of
// entries.
func BenchmarkWholeList(b *testing.B) {
	for _, n := range []int{10, 60, 1000, 10000} {
		text := []byte(okResponse(largeList(n)))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table
			for b.Loop() {
				r, err := parseResponse(text, false)
				if err != nil {
					b.Fatal(err)
				}
				l, err := Decode(r.body)
				if err != nil {
					b.Fatal(err)
				}
				table.Merge(l)
			}
		})
	}
}
