package duty

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ospreyspan/internal/routes"
)

var discoveryAddr = netip.MustParseAddrPort("127.0.0.1:8500")

func testTargets() []*routes.Target {
	return []*routes.Target{
		{ID: "a", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Share: 1, StartUnixMS: 5},
		{ID: "b", Addr: netip.MustParseAddrPort("10.0.0.2:1"), Health: routes.Draining, Share: 1},
	}
}

// The announcement is the list. A process keeps the addresses that it knows, and asks for those that it does not.
func TestEncodeList(t *testing.T) {
	text, err := EncodeList(discoveryAddr, 9, testTargets())
	if err != nil {
		t.Fatal(err)
	}
	mine := &routes.Target{ID: "a", Addr: netip.MustParseAddrPort("10.9.9.9:1"), StartUnixMS: 5}
	find := func(id string) *routes.Target {
		if id == "a" {
			return mine
		}
		return nil
	}
	h, err := DecodeList(text, discoveryAddr, 8, false, find)
	if err != nil || h.Unknown != 1 || len(h.List.Hosts) != 1 || h.List.Hosts[0].Addr != mine.Addr {
		t.Fatalf("%+v, %v", h, err)
	}
	h, err = DecodeList(text, discoveryAddr, 8, true, find)
	if err != nil || h.Unknown != 0 || len(h.List.Hosts) != 2 || h.List.Hosts[1].Health != routes.Draining ||
		h.List.Hosts[0].Addr != testTargets()[0].Addr || !h.List.Whole || h.List.Seq != 9 {
		t.Fatalf("%+v, %v", h, err)
	}
}

// A list that is older than what is known, of another discovery or damaged is refused.
func TestDecodeListRejects(t *testing.T) {
	text, _ := EncodeList(discoveryAddr, 9, testTargets())
	none := func(string) *routes.Target { return nil }
	for _, tt := range []struct {
		text  []byte
		from  string
		known int64
		want  string
	}{
		{text, "127.0.0.1:8500", 10, "older than 10"}, {text, "127.0.0.2:8500", 0, "of another discovery"},
		{text[:20], "127.0.0.1:8500", 0, "duty: list"}, {nil, "127.0.0.1:8500", 0, "duty: list"},
	} {
		if _, err := DecodeList(tt.text, netip.MustParseAddrPort(tt.from), tt.known, true, none); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: %v", tt.want, err)
		}
	}
}

// Whoever relies on an announcement has asked itself before the time after which changes count as told.
func TestRelyUntilLeavesTimeToAsk(t *testing.T) {
	confirmed, askWithin := time.Unix(1e9, 0), 10*time.Second
	if end := RelyUntil(confirmed, askWithin).Add(FallbackSpread(askWithin)); end.Sub(confirmed) >= askWithin {
		t.Errorf("asked only %v after the last announcement", end.Sub(confirmed))
	}
	if !RelyUntil(time.Time{}, askWithin).IsZero() || !RelyUntil(confirmed, 0).IsZero() {
		t.Error("it relies on an announcement that nobody confirmed")
	}
}

// An announced list names 1,024 targets, and more.
func TestListOfManyTargets(t *testing.T) {
	const n = 1024
	var all []*routes.Target
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8443)
		all = append(all, &routes.Target{ID: fmt.Sprintf("s-%08x", i), Addr: addr, Site: "a", Kind: "m2", Block: i, Share: 1, StartUnixMS: 1_800_000_000_000})
	}
	text, err := EncodeList(discoveryAddr, 9, all)
	if err != nil {
		t.Fatal(err)
	}
	h, err := DecodeList(text, discoveryAddr, 8, true, func(string) *routes.Target { return nil })
	if err != nil || len(h.List.Hosts) != n || *h.List.Hosts[n-1] != *all[n-1] {
		t.Fatalf("%d bytes, %v", len(text), err)
	}
	if maxBytes := 900 * 256; len(text) > maxBytes { // what the mesh carries of an announcement
		t.Errorf("%d bytes, the mesh carries %d", len(text), maxBytes)
	}
}
