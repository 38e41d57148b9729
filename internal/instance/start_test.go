package instance

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	platform "ospreyspan/internal/fleet"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/routes"
	"ospreyspan/internal/settings"
	"ospreyspan/internal/vnet"
)

const (
	restarted = 350 // proxies that start at the same moment
	servers   = 90
)

// start is a day's moment: all proxies of a fleet start at once.
type start struct {
	name  string
	known int           // targets in each one's configuration
	down  time.Duration // discovery is down for so long
	call  time.Duration // what one call takes discovery, which answers them in turn
	push  bool          // lists are pushed
}

// fleetOf starts the proxies, discovery and a front on a virtual network.
type fleetOf struct {
	t     *testing.T
	w     *vnet.World
	front *platform.Front
}

func (c start) play(t *testing.T) *fleetOf {
	t.Helper()
	f := &fleetOf{t: t, w: vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: ms} })}
	discoveryAt := netip.MustParseAddrPort("10.2.0.1:8500")
	registry := platform.NewRegistry()
	for i := range servers {
		registry.Set(platform.Entry{Host: fmt.Sprint("s", i), Dial: fmt.Sprintf("10.1.0.%d:8443", i+1), Health: platform.Serving, Share: 1})
	}
	discovery := f.w.AddHost("discovery", discoveryAt.Addr(), vnet.Limits{})
	begin := func() {
		err := discovery.Start(func(k poll.Kernel) (func() error, error) {
			loop := poll.NewOn(k, func() {})
			_, err := platform.NewDiscovery(loop, discoveryAt, platform.DiscoveryConfig{Call: c.call, Timeout: 2 * time.Second}, registry,
				platform.NewLedger(f.w.Now(), time.Minute, nil))
			return func() error { return loop.Turn(true) }, err
		})
		if err != nil {
			t.Error(err)
		}
	}
	if c.down == 0 {
		begin()
	} else {
		f.w.After(c.down, begin)
	}
	for i := range restarted {
		f.startProxy(i, c, discoveryAt)
	}
	f.watch()
	return f
}

func (f *fleetOf) startProxy(i int, c start, discovery netip.AddrPort) {
	f.t.Helper()
	text := strings.Replace(testSettings, `"Balancers":1`, fmt.Sprintf(`"Balancers":%d,"Invariants":{"AskWithinUs":10000000}`, restarted), 1)
	if c.push {
		text = strings.Replace(text, "subscribe", "automatic", 1)
	}
	set, err := settings.Decode([]byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	known := &routes.List{Whole: true, Seq: 1}
	for i := range c.known {
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:8443", i+1))})
	}
	host := f.w.AddHost(fmt.Sprint("proxy", i), proxyAddr(i).Addr(), vnet.Limits{})
	err = host.Start(func(k poll.Kernel) (func() error, error) {
		inst, err := New(poll.NewOn(k, func() {}), Config{
			Name: "p", Listen: proxyAddr(i), Discovery: discovery, Seed: uint64(i), MaxDescriptors: 1024,
			KnownList: known, Settings: set, Log: log.New(io.Discard, "", 0),
		})
		return func() error { return inst.Turn() }, err
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

func proxyAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), port)
}

// watch has a front ask all proxies once a second.
func (f *fleetOf) watch() {
	host := f.w.AddHost("front", netip.MustParseAddr("10.3.0.1"), vnet.Limits{})
	err := host.Start(func(k poll.Kernel) (func() error, error) {
		loop := poll.NewOn(k, func() {})
		f.front = platform.NewFront(loop, platform.FrontConfig{Every: time.Second}, rand.New(rand.NewPCG(1, 2)))
		for i := range restarted {
			f.front.Add(proxyAddr(i), true)
		}
		return func() error { return loop.Turn(true) }, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// Nine in ten of the proxies that start at once are ready within 10 s, whatever discovery does meanwhile and whether or not their
// configurations name targets; on a short day within 6 s.
func TestManyStartAtOnce(t *testing.T) {
	for _, c := range []start{
		{name: "a list, discovery down", known: servers, down: 8 * time.Second, call: 80 * ms},
		{name: "a list, discovery overbooked", known: servers, call: 80 * ms},
		{name: "no list, discovery down", down: 8 * time.Second, call: 80 * ms},
		{name: "no list, discovery overbooked", call: 80 * ms},
		{name: "no list, discovery down and pushing", down: 8 * time.Second, call: ms, push: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.play(t)
			if err := f.w.Run(6 * time.Second); err != nil {
				t.Fatal(err)
			}
			if n := f.front.Admitted(); n*10 < restarted*9 {
				t.Errorf("%d of %d are ready after 6 s", n, restarted)
			}
		})
	}
}
