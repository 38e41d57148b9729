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

// A receiver keeps the addresses that it knows and counts the targets that it does not know. If
// addresses are the same for all processes, it takes all targets with the owner's addresses.
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
	if err != nil || h.UnknownAddrs != 1 || len(h.List.Hosts) != 1 || h.List.Hosts[0].Addr != mine.Addr {
		t.Fatalf("%+v, %v", h, err)
	}
	h, err = DecodeList(text, discoveryAddr, 8, true, find)
	if err != nil || h.UnknownAddrs != 0 || len(h.List.Hosts) != 2 || h.List.Hosts[1].Health != routes.Draining ||
		h.List.Hosts[0].Addr != testTargets()[0].Addr || !h.List.Whole || h.List.Seq != 9 {
		t.Fatalf("%+v, %v", h, err)
	}
}

// A list that is older than the known version, from another discovery service, truncated or empty
// is rejected.
func TestDecodeListRejects(t *testing.T) {
	text, _ := EncodeList(discoveryAddr, 9, testTargets())
	none := func(string) *routes.Target { return nil }
	for _, tt := range []struct {
		text  []byte
		from  string
		known int64
		want  string
	}{
		{text, "127.0.0.1:8500", 10, "older than the known version 10"}, {text, "127.0.0.2:8500", 0, "is not discovery at 127.0.0.2:8500"},
		{text[:20], "127.0.0.1:8500", 0, "duty: list"}, {nil, "127.0.0.1:8500", 0, "duty: list"},
	} {
		if _, err := DecodeList(tt.text, netip.MustParseAddrPort(tt.from), tt.known, true, none); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q: %v", tt.want, err)
		}
	}
}

// A process that relied on an announcement must have queried discovery itself before askWithin has
// passed.
func TestRelyUntilLeavesTimeToAsk(t *testing.T) {
	confirmed, askWithin := time.Unix(1e9, 0), 10*time.Second
	if end := RelyUntil(confirmed, askWithin).Add(FallbackSpread(askWithin)); end.Sub(confirmed) >= askWithin {
		t.Errorf("own queries end %v after the announcement was confirmed, want less than %v", end.Sub(confirmed), askWithin)
	}
	if !RelyUntil(time.Time{}, askWithin).IsZero() || !RelyUntil(confirmed, 0).IsZero() {
		t.Error("process relies on an unconfirmed announcement, or without a time limit")
	}
}

// An announcement with 1,024 targets is decoded completely and fits into what mesh can send.
func TestListOfManyTargets(t *testing.T) {
	const n = 1024
	var all []*routes.Target
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8443)
		all = append(all, &routes.Target{ID: fmt.Sprintf("s-%08x", i), Addr: addr, Site: "a", MachineKind: "m2", Block: i, Share: 1, StartUnixMS: 1_800_000_000_000})
	}
	text, err := EncodeList(discoveryAddr, 9, all)
	if err != nil {
		t.Fatal(err)
	}
	h, err := DecodeList(text, discoveryAddr, 8, true, func(string) *routes.Target { return nil })
	if err != nil || len(h.List.Hosts) != n || *h.List.Hosts[n-1] != *all[n-1] {
		t.Fatalf("announcement of %d bytes not decoded completely: %v", len(text), err)
	}
	if maxBytes := 900 * 256; len(text) > maxBytes { // largest announcement that mesh can send
		t.Errorf("announcement of %d bytes, mesh sends at most %d", len(text), maxBytes)
	}
}
