package line

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestParseOpen(t *testing.T) {
	o, err := ParseOpen([]byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1,h=12.5"))
	if err != nil {
		t.Fatal(err)
	}
	if o.ID != "9b1f" || o.Key != "7f3a" || o.Class != "chat" || o.Tenant != "acme" || o.AffinityGroup != "5c0f" || o.MaxWait != 2*time.Second || !o.Reconnect {
		t.Errorf("parsed as %+v", o)
	}
	// A proxy changes only the value of d, at any position in the line.
	for _, tt := range [][2]string{
		{"OPEN a b c=x,d=2000,g=1", "OPEN a b c=x,d=300,g=1\r\n"},
		{"OPEN a b d=7,c=x,odd=d=9", "OPEN a b d=300,c=x,odd=d=9\r\n"},
		{"OPEN a b c=x,at=s-1,d=10.5", "OPEN a b c=x,at=s-1,d=300\r\n"},
	} {
		o, err := ParseOpen([]byte(tt[0]))
		if err != nil {
			t.Fatalf("%q: %v", tt[0], err)
		}
		if got := string(o.Append(nil, 300*time.Millisecond+900*time.Microsecond)); got != tt[1] {
			t.Errorf("%q forwarded as %q, want %q", tt[0], got, tt[1])
		}
	}
	for _, bad := range []string{
		"", "OPEN", "OPEN a b", "OPEN a b c=x", "OPEN a b d=5", "OPEN a b c=x,d=-1", "OPEN a b c=x,d=NaN",
		"OPEN a b c=x,d=1,d=2", "OPEN a  c=x,d=1", "OPEN a b c=x,d=1,", "OPEN a b c=x d=1", "GET / HTTP/1.1",
		"OPEN a b c=x,d=", "OPEN a b c=x,d=soon", "OPEN a b c=x,d=1e3", "OPEN a b c=x,d=0x10", "OPEN a b c=x,d=1.2.3",
		"OPEN a b c=x,d=99999999999999999999999", "OPEN a b c=x,d=Inf", "OPEN a b c=x,d=+5", "OPEN a b c=x,c=y,d=5", "OPEN a b c=x,t=y,t=z,d=5",
		"OPEN a\x00 b c=x,d=5", "OPEN a b c=x,d=5,g=\xff", "OPEN a\tb c c=x,d=5",
	} {
		if _, err := ParseOpen([]byte(bad)); !errors.Is(err, ErrSyntax) {
			t.Errorf("%q: got error %v, want ErrSyntax", bad, err)
		}
	}
}

// TestParseReport checks that a value which is missing or not a finite number is left out and not
// reported as zero.
func TestParseReport(t *testing.T) {
	got := map[string]float64{}
	ParseReport([]byte("cpu=0.5,x0=,rps=-,odd,y=NaN,z=+Inf,w=3"), func(n string, v float64) { got[n] = v })
	if len(got) != 2 || got["cpu"] != 0.5 || got["w"] != 3 {
		t.Errorf("got %v, want cpu=0.5 and w=3 only", got)
	}
}

func TestAppendBusy(t *testing.T) {
	for after, want := range map[time.Duration]string{
		0: "BUSY\r\n", time.Microsecond: "BUSY\r\n", 1500 * time.Millisecond: "BUSY 1500\r\n",
	} {
		if got := string(AppendBusy(nil, after)); got != want {
			t.Errorf("%v: got %q, want %q", after, got, want)
		}
	}
}

// FuzzWhole checks SplitComplete and Next: the lines of a stream must not depend on how the stream
// is split into reads, and a line over the limit must be detected.
func FuzzWhole(f *testing.F) {
	f.Add([]byte("OPEN a b c=x,d=1\r\nPING\r\nhalf"), uint8(3))
	f.Add([]byte("\n\r\n\n"), uint8(1))
	f.Add(bytes.Repeat([]byte("x"), MaxLength+1), uint8(200))
	f.Add([]byte(strings.Repeat("y", MaxLength-2)+"\r\nz\r\n"), uint8(255))
	f.Fuzz(func(t *testing.T, stream []byte, cut uint8) {
		step := int(cut) + 1
		var rest, out []byte
		failed := false
		for at := 0; at < len(stream) && !failed; at += step {
			data := append(append([]byte(nil), rest...), stream[at:min(at+step, len(stream))]...)
			complete, more, err := SplitComplete(data)
			if failed = err != nil; failed {
				break
			}
			for len(complete) > 0 {
				var first []byte
				if first, complete = Next(complete); bytes.Count(first, []byte("\n")) != 1 || len(first) > MaxLength {
					t.Fatalf("line of %d bytes is too long or not exactly one line: %q", len(first), first)
				}
				out = append(out, first...)
			}
			rest = append([]byte(nil), more...)
		}
		tooLong := false
		for _, l := range bytes.SplitAfter(stream, []byte("\n")) {
			tooLong = tooLong || len(l) > MaxLength || len(l) == MaxLength && !bytes.HasSuffix(l, []byte("\n"))
		}
		if failed != tooLong {
			t.Fatalf("stream has a line that is too long: %v, but SplitComplete failed: %v", tooLong, failed)
		}
		if !failed && string(append(out, rest...)) != string(stream) {
			t.Fatalf("bytes of the stream were lost or changed")
		}
	})
}

// FuzzParseOpen checks that a line that ParseOpen accepts is parsed in the same way after a proxy
// has forwarded it, except for the wait.
func FuzzParseOpen(f *testing.F) {
	f.Add([]byte("OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f"))
	f.Add([]byte("OPEN a b d=1,c=x,at=s-1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := ParseOpen(text)
		if err != nil {
			return
		}
		reparsed, err := ParseOpen(TrimLineEnd(o.Append(nil, 250*time.Millisecond)))
		if err != nil || reparsed.MaxWait != 250*time.Millisecond {
			t.Fatalf("%q is parsed after forwarding as %+v, error %v", text, reparsed, err)
		}
		reparsed.MaxWait, o.MaxWait = 0, 0
		if reparsed != o {
			t.Fatalf("%q: parsed as %+v, after forwarding as %+v", text, o, reparsed)
		}
	})
}
