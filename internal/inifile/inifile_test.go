package inifile

import (
	"strings"
	"testing"
	"time"
)

type sample struct {
	Rate     float64       `ini:"rate" min:"0"`
	Share    float64       `ini:"share" min:"0" max:"1"`
	Wait     time.Duration `ini:"wait" above:"0"`
	Rest     time.Duration `ini:"rest"`
	Kind     string        `ini:"kind" one:"slow, silent"`
	Names    []string      `ini:"names"`
	Count    int           `ini:"count" min:"1"`
	On       bool          `ini:"on"`
	Untagged float64
}

func TestDecode(t *testing.T) {
	f, err := Parse("a.ini", []byte("; a comment\n[run]\nrate = 1.5\nshare = 12%\nwait = 1m30s\nrest = 0\nkind = slow\n"+
		"names = a, b ,c # three\ncount = 3\non = true\n[site x]\nrate = 2\n[site y y]\n"))
	if err != nil {
		t.Fatal(err)
	}
	s := sample{Untagged: 7}
	f.Decode("run", &s)
	if s.Rate != 1.5 || s.Share != 0.12 || s.Wait != 90*time.Second || s.Kind != "slow" || strings.Join(s.Names, "") != "abc" ||
		s.Count != 3 || !s.On || s.Untagged != 7 {
		t.Errorf("got %+v", s)
	}
	if got := strings.Join(f.SectionNames("site"), "|"); got != "x|y y" {
		t.Errorf("got site names %q, want \"x|y y\"", got)
	}
	for _, name := range f.SectionNames("site") {
		f.Decode("site "+name, &s)
	}
	f.Decode("not there", &s)
	if err := f.Err(); err != nil || s.Rate != 2 {
		t.Errorf("got error %v and %+v, want no error and Rate 2", err, s)
	}
}

// Problems are reported all at once, each with its line.
func TestProblems(t *testing.T) {
	f, err := Parse("b.ini", []byte("[run]\nrate = -1\nshare = 1.5\nwait = 0s\nrest = 5\nkind = fast\nnames = a,,b\ncount = x\n"+
		"on = perhaps\nraet = 1\n[rnu]\nrate = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	f.Decode("run", &sample{})
	f.AddProblem("run", "rate", "and more")
	want := []string{
		"b.ini:2: [run] rate: -1: less than 0",
		"b.ini:2: [run] rate: and more",
		"b.ini:3: [run] share: 1.5: more than 1",
		"b.ini:4: [run] wait: 0s: not above 0",
		"b.ini:5: [run] rest: 5: a time needs a unit, as in 5s or 5ms",
		`b.ini:6: [run] kind: "fast" is none of slow, silent`,
		`b.ini:7: [run] names: an empty entry in "a,,b"`,
		`b.ini:8: [run] count: "x" is not a whole number`,
		`b.ini:9: [run] on: "perhaps" is neither true nor false`,
		"b.ini:10: [run] raet: unknown key; perhaps rate",
		"b.ini:11: [rnu] unknown section",
	}
	err = f.Err()
	if err == nil {
		t.Fatal("got no error, want one for each problem")
	}
	if got := strings.Split(err.Error(), "\n"); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got:\n%s\nwant:\n%s", err, strings.Join(want, "\n"))
	}
}

func TestMalformedFile(t *testing.T) {
	for text, want := range map[string]string{
		"[a]\n[b]\n[a]\n":    "c.ini:3: [a] duplicate section, first defined in line 1",
		"[a]\nx=1\nx=2\n":    "c.ini:3: [a] x: duplicate key, first set in line 2",
		"x=1\n":              "c.ini:1: x: key before the first section",
		"[a]\nnothing\n":     `c.ini:2: [a] "nothing" is neither [section] nor key = value`,
		"[a\n":               "c.ini:1: malformed section header, want [name]",
		"[a]\n= 3\n[]\ny=\n": "c.ini:2: [a] \"= 3\" is neither [section] nor key = value\nc.ini:3: malformed section header, want [name]",
	} {
		if _, err := Parse("c.ini", []byte(text)); err == nil || err.Error() != want {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
	if _, err := Parse("big.ini", make([]byte, maxFileBytes+1)); err == nil {
		t.Error("a file larger than maxFileBytes was accepted, want an error")
	}
}

// FuzzParse checks that any input is either decoded or rejected with an error that names the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[run]\nrate = 1\n"))
	f.Add([]byte("[a]\nx = \"\"\"\nb\n"))
	f.Add([]byte("[a]\nx = `b\n"))
	f.Add([]byte("\ufeff[a]\r\nx = 1 # c\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f.ini", text)
		if err == nil {
			file.Decode("run", &sample{})
			err = file.Err()
		}
		if err != nil && !strings.HasPrefix(err.Error(), "f.ini") {
			t.Errorf("got error %q, want one that starts with the file name", err)
		}
	})
}
