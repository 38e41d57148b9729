package hollow

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/lab/capacity"
)

// Options say at which sizes Measure measures. An empty list that is not nil leaves its part out.
type Options struct {
	Processes []int           // fleets for the cost of a process; nil: 10 to 1,000
	Servers   []int           // that discovery names, for the cost of a server; nil: 10 to 3,000
	Paces     []time.Duration // between two changes, for the cost of a change; nil: 10 s to 0.1 s
	Failures  []int           // members that fail at once; nil: 1 to 100
	Seeds     []uint64        // nil: 1
	Log       io.Writer       // is told of each size as it is done; nil: nobody
}

// The names of roles, costs, drivers and units in the samples.
const (
	roleProxy     = "proxy"
	roleKeeper    = "keeper"
	roleOwner     = "duty owner"
	roleDiscovery = "discovery"

	costBytes       = "bytes"
	costBusiest     = "bytes of the busiest"
	costReceived    = "bytes received"
	costMessages    = "messages"
	costProcessor   = "processor"
	costState       = "state"
	costAllocations = "allocations"

	driverProxies  = "proxies"
	driverServers  = "servers"
	driverChanges  = "changes"
	driverFailures = "failures"

	unitBytes        = "B"
	unitByteRate     = "B/s"
	unitRate         = "1/s"
	unitMicroseconds = "µs/s"
)

// The fleets that are measured. Each row varies one figure of the usual fleet.
const (
	usualProcesses = 30
	usualServers   = 100
	usualKeepers   = 3
	usualLease     = 2 * time.Second
	usualChange    = time.Second // between two changes, where servers vary
	settleTime     = 20 * time.Second
	windowTime     = 20 * time.Second
	largeFleet     = 2000 // from here on the window is half as long
	failureFleet   = 300
)

var (
	usualSizes    = []int{10, 30, 100, 300, 1000}
	serverSizes   = []int{10, 30, 100, 300, 1000, 3000}
	changePaces   = []time.Duration{10 * time.Second, 3 * time.Second, time.Second, 300 * time.Millisecond, 100 * time.Millisecond}
	failureCounts = []int{1, 3, 10, 30, 100}
)

// Measure plays fleets in calm and returns what each role spends: by processes without any change, by servers at one change a second,
// by changes a second, and by members that fail at once. It returns what it has with the first error.
func Measure(o Options) ([]capacity.Sample, error) {
	o = o.filled()
	m := measurement{log: o.Log}
	// Processor time is read per thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, seed := range o.Seeds {
		if err := m.seed(seed, o); err != nil {
			return m.samples, fmt.Errorf("hollow: seed %d: %w", seed, err)
		}
	}
	return m.samples, nil
}

// filled returns the options with the usual sizes where there are none.
func (o Options) filled() Options {
	if o.Processes == nil {
		o.Processes = usualSizes
	}
	if o.Servers == nil {
		o.Servers = serverSizes
	}
	if o.Paces == nil {
		o.Paces = changePaces
	}
	if o.Failures == nil {
		o.Failures = failureCounts
	}
	if o.Seeds == nil {
		o.Seeds = []uint64{1}
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	return o
}

// measurement collects samples.
type measurement struct {
	log     io.Writer
	samples []capacity.Sample
}

// point is one size of one driver.
type point struct {
	driver string
	size   float64
	seed   uint64
}

func (m *measurement) seed(seed uint64, o Options) error {
	usual := Config{Seed: seed, Processes: usualProcesses, Keepers: usualKeepers, Servers: usualServers, Lease: usualLease, Joined: true}
	for _, n := range o.Processes {
		c := usual
		c.Processes = n
		if err := m.calm(c, 0, point{driverProxies, float64(n), seed}); err != nil {
			return err
		}
	}
	for _, n := range o.Servers {
		c := usual
		c.Servers = n
		if err := m.calm(c, usualChange, point{driverServers, float64(n), seed}); err != nil {
			return err
		}
	}
	for _, pace := range o.Paces {
		if err := m.calm(usual, pace, point{driverChanges, 1 / pace.Seconds(), seed}); err != nil {
			return err
		}
	}
	for _, n := range o.Failures {
		c := usual
		c.Processes = failureFleet
		if err := m.failures(c, n, point{driverFailures, float64(n), seed}); err != nil {
			return err
		}
	}
	return nil
}

// calm measures a fleet in which nothing fails; the list changes at a pace, or not at all at 0.
func (m *measurement) calm(c Config, pace time.Duration, at point) error {
	before := heap()
	k, err := newCluster(c)
	if err != nil {
		return err
	}
	if pace > 0 {
		k.changeEvery(pace)
	}
	span := windowTime
	if c.Processes >= largeFleet {
		span /= 2
	}
	if err := k.world.Run(settleTime); err != nil {
		return err
	}
	w := k.open()
	// At least ten changes are in the window.
	if err := k.world.Run(max(span, 10*pace)); err != nil {
		return err
	}
	allocations := w.allocated()
	state := float64(int64(heap()-before)-int64(k.pathCount*pathBytes)) / float64(c.Processes)
	m.roles(k, w, at)
	m.add(at, roleProxy, costAllocations, unitRate, allocations)
	m.add(at, roleProxy, costState, unitBytes, state)
	runtime.KeepAlive(k)
	return nil
}

// pathBytes is what the virtual network itself keeps for two hosts that have spoken, in each direction.
const pathBytes = 140

// heap is what is reachable, in bytes.
func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

var errNoOwner = errors.New("nobody owns the duty of asking discovery")

// roles adds what each role spent in a window.
func (m *measurement) roles(k *cluster, w *window, at point) {
	var proxies, keepers, owners []Rates
	for i, r := range w.rates() {
		switch p := k.processes[i]; {
		case !p.host.Running():
		case p.keeper():
			keepers = append(keepers, r)
		case p.holds(duty.Discovery):
			owners = append(owners, r)
		default:
			proxies = append(proxies, r)
		}
	}
	for _, role := range []struct {
		name  string
		rates []Rates
	}{{roleProxy, proxies}, {roleKeeper, keepers}, {roleOwner, owners}} {
		if len(role.rates) == 0 {
			continue // a keeper may own the duty
		}
		r := mean(role.rates)
		m.add(at, role.name, costBytes, unitByteRate, r.Bytes)
		m.add(at, role.name, costBusiest, unitByteRate, busiest(role.rates))
		m.add(at, role.name, costReceived, unitByteRate, r.BytesReceived)
		m.add(at, role.name, costMessages, unitRate, r.Messages)
		m.add(at, role.name, costProcessor, unitMicroseconds, r.Processor)
	}
	answers, bytes := w.discovery()
	m.add(at, roleDiscovery, costMessages, unitRate, answers)
	m.add(at, roleDiscovery, costBytes, unitByteRate, bytes)
	proxy := mean(proxies)
	fmt.Fprintf(m.log, "%s %g, seed %d: a proxy %.0f B/s, %.1f datagrams/s, %.0f µs/s; a keeper %.0f B/s; discovery %.1f answers/s\n",
		at.driver, at.size, at.seed, proxy.Bytes, proxy.Messages, proxy.Processor, mean(keepers).Bytes, answers)
}

func (m *measurement) add(at point, role, cost, unit string, value float64) {
	m.samples = append(m.samples, capacity.Sample{
		Role: role, Cost: cost, Unit: unit, Driver: at.driver, Size: at.size, Value: value, Seed: at.seed,
	})
}

// failures measures a fleet of which some members, no keepers, fail at once: what the others spend in the time after it.
func (m *measurement) failures(c Config, count int, at point) error {
	k, err := newCluster(c)
	if err != nil {
		return err
	}
	if err := k.world.Run(settleTime); err != nil {
		return err
	}
	if k.owner() == nil {
		return errNoOwner
	}
	for _, p := range k.draw(count) {
		p.kill()
	}
	w := k.open()
	if err := k.world.Run(windowTime); err != nil {
		return err
	}
	m.roles(k, w, at)
	return nil
}
