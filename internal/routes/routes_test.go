package routes

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const body = `{"seq":43,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:80","site":"a","class":"m","block":3,` +
	`"health":"DRAINING","share":1.5,"born_ms":1000}]}`

func okResponse(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func TestDecode(t *testing.T) {
	l, err := Decode([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	h := l.Hosts[0]
	if l.Seq != 43 || l.Whole || h.ID != "s-1" || h.Addr.Port() != 80 || h.Health != Draining || h.Block != 3 ||
		h.StartUnixMS != 1000 {
		t.Errorf("decoded list %+v, target %+v", l, h)
	}
	for _, bad := range []string{
		"", "[]", `{"hosts":[null]}`, `{"hosts":[{"host":"a","health":"SERVING"}]}`, `{"hosts":[{"dial":"1.2.3.4:5"}]}`,
		`{"hosts":[{"host":"a","dial":"x","health":"SERVING"}]}`, `{"hosts":[{"host":"a","health":"ASLEEP"}]}`,
	} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("%s: decoded without an error", bad)
		}
	}
}

func TestTable(t *testing.T) {
	var table Table
	merge := func(text string) []string {
		l, err := Decode([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		s := table.Merge(l)
		slices.Sort(s)
		return s
	}
	host := func(id, health string) string {
		return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","health":%q}`, id, health)
	}
	merge(`{"seq":1,"whole":true,"hosts":[` + host("a", "SERVING") + "," + host("b", "SERVING") + "," + host("c", "SERVING") + `]}`)
	if got := merge(`{"seq":2,"hosts":[` + host("a", "DRAINING") + "," + host("b", "DELETED") + `]}`); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("stopped targets: %v", got)
	}
	if table.Find("a").Health != Draining || table.Find("b") != nil || table.Find("c") == nil || table.Seq != 2 {
		t.Errorf("table %+v", table)
	}
	// Targets that a whole list lacks are removed.
	if got := merge(`{"seq":3,"whole":true,"hosts":[` + host("c", "SERVING") + `]}`); !slices.Equal(got, []string{"a"}) {
		t.Errorf("stopped targets: %v", got)
	}
}

func TestParseResponse(t *testing.T) {
	for name, tt := range map[string]struct {
		text  string
		ended bool
		body  string
		keep  bool
		err   error
	}{
		"length":           {okResponse(body), false, body, true, nil},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", false, "abcde", true, nil},
		"trailer":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", false, "a", true, nil},
		"until close":      {"HTTP/1.1 200 OK\r\n\r\nabc", true, "abc", false, nil},
		"still open":       {"HTTP/1.1 200 OK\r\n\r\nabc", false, "", false, errIncomplete},
		"close":            {"HTTP/1.1 200 OK\r\nconnection: Close\r\nContent-Length: 1\r\n\r\na", false, "a", false, nil},
		"interim":          {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse("ok"), false, "ok", true, nil},
		"not HTTP":         {"SSH-2.0-x\r\n\r\n", false, "", false, errMalformedHead},
		"bad length":       {"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", false, "", false, errMalformedHead},
		"bad chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, "", false, errMalformedChunk},
		"length too large": {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", false, "", false, errTooLarge},
		"head too long":    {strings.Repeat("x", maxHeadBytes+1), false, "", false, errTooLarge},
	} {
		r, err := parseResponse([]byte(tt.text), tt.ended)
		if !errors.Is(err, tt.err) {
			t.Errorf("%s: error %v, want %v", name, err, tt.err)
		} else if err == nil && (string(r.body) != tt.body || r.keepAlive != tt.keep || r.status != 200) {
			t.Errorf("%s: parsed as %+v", name, r)
		}
	}
}

// No prefix of a complete response is parsed as a different response, and no input makes the parser
// panic.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse(body)))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, err := parseResponse(text, false)
		if err != nil {
			return
		}
		for cut := range text {
			r, err := parseResponse(text[:cut], false)
			if err == nil && (r.status != whole.status || string(r.body) != string(whole.body)) {
				t.Fatalf("the first %d of %d bytes give body %q, all give %q", cut, len(text), r.body, whole.body)
			}
		}
		_, _ = Decode(whole.body)
	})
}
