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
	proxyCount  = 350 // proxies that start at the same time
	serverCount = 90
)

// startCase is a situation in which all proxies of a fleet start at once.
type startCase struct {
	name             string
	knownTargets     int           // targets in the configuration of each proxy
	discoveryDownFor time.Duration // time until discovery starts
	callTime         time.Duration // time per request to discovery, which answers one by one
	pushed           bool          // lists are pushed
}

// testFleet runs the proxies, discovery and a front on a virtual network.
type testFleet struct {
	t     *testing.T
	world *vnet.World
	front *platform.FrontBalancer
}

func (c startCase) start(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, world: vnet.New(1, func(_, _ *vnet.Host) vnet.Link { return vnet.Link{Delay: ms} })}
	discoveryAt := netip.MustParseAddrPort("10.2.0.1:8500")
	registry := platform.NewRegistry()
	for i := range serverCount {
		registry.Set(platform.Entry{Host: fmt.Sprint("s", i), Dial: fmt.Sprintf("10.1.0.%d:8443", i+1), Health: platform.Serving, Share: 1})
	}
	discovery := f.world.AddHost("discovery", discoveryAt.Addr(), vnet.Limits{})
	startDiscovery := func() {
		err := discovery.Start(func(k poll.Kernel) (func() error, error) {
			loop := poll.NewOn(k, func() {})
			_, err := platform.NewDiscovery(loop, discoveryAt, platform.DiscoveryConfig{CallWork: c.callTime, QueueTimeout: 2 * time.Second}, registry,
				platform.NewLedger(f.world.Now(), time.Minute, nil))
			return func() error { return loop.Turn(true) }, err
		})
		if err != nil {
			t.Error(err)
		}
	}
	if c.discoveryDownFor == 0 {
		startDiscovery()
	} else {
		f.world.After(c.discoveryDownFor, startDiscovery)
	}
	for i := range proxyCount {
		f.startProxy(i, c, discoveryAt)
	}
	f.startFront()
	return f
}

func (f *testFleet) startProxy(i int, c startCase, discovery netip.AddrPort) {
	f.t.Helper()
	text := strings.Replace(testSettings, `"Balancers":1`, fmt.Sprintf(`"Balancers":%d,"Invariants":{"AskWithinUs":10000000}`, proxyCount), 1)
	if c.pushed {
		text = strings.Replace(text, "subscribe", "automatic", 1)
	}
	set, err := settings.Decode([]byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	known := &routes.List{Whole: true, Seq: 1}
	for i := range c.knownTargets {
		known.Hosts = append(known.Hosts, &routes.Target{ID: fmt.Sprint("s", i), Addr: netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:8443", i+1))})
	}
	host := f.world.AddHost(fmt.Sprint("proxy", i), proxyAddr(i).Addr(), vnet.Limits{})
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

// startFront starts a front that asks all proxies once a second.
func (f *testFleet) startFront() {
	host := f.world.AddHost("front", netip.MustParseAddr("10.3.0.1"), vnet.Limits{})
	err := host.Start(func(k poll.Kernel) (func() error, error) {
		loop := poll.NewOn(k, func() {})
		f.front = platform.NewFrontBalancer(loop, platform.FrontBalancerConfig{CheckInterval: time.Second}, rand.New(rand.NewPCG(1, 2)))
		for i := range proxyCount {
			f.front.Add(proxyAddr(i), true)
		}
		return func() error { return loop.Turn(true) }, nil
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// Of the proxies that start at once, 90% must be ready within 10 s, and in a short run within 6 s,
// whatever the state of discovery and whether or not their configurations list targets.
func TestManyStartAtOnce(t *testing.T) {
	for _, c := range []startCase{
		{name: "a list, discovery down", knownTargets: serverCount, discoveryDownFor: 8 * time.Second, callTime: 80 * ms},
		{name: "a list, discovery overloaded", knownTargets: serverCount, callTime: 80 * ms},
		{name: "no list, discovery down", discoveryDownFor: 8 * time.Second, callTime: 80 * ms},
		{name: "no list, discovery overloaded", callTime: 80 * ms},
		{name: "no list, discovery down and pushing", discoveryDownFor: 8 * time.Second, callTime: ms, pushed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.start(t)
			if err := f.world.Run(6 * time.Second); err != nil {
				t.Fatal(err)
			}
			if n := f.front.Admitted(); n*10 < proxyCount*9 {
				t.Errorf("%d of %d proxies are ready after 6 s, want 90%%", n, proxyCount)
			}
		})
	}
}
