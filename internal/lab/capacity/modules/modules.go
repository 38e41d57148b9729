// Package modules measures parts of a process alone, without sockets: reading and merging lists, words of lists, decisions,
// and what the keepers remember.
package modules

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"ospreyspan/internal/duty"
	"ospreyspan/internal/keeper"
	"ospreyspan/internal/lab"
	"ospreyspan/internal/lab/capacity"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/routes"
)

// Options say what is measured.
type Options struct {
	Servers []int         // how many a list names
	Duties  []int         // how many the keepers grant
	Groups  []int         // entries that the keepers' log takes in one write
	Seeds   []uint64      // a run for each
	Span    time.Duration // of real time for each measured cost
	Dir     string        // where the log is written
	Log     io.Writer     // one line for each size; nil: none
}

// Defaults are sizes over two decades or more. The keepers' state has at most 256 duties.
func Defaults() Options {
	return Options{
		Servers: []int{10, 30, 100, 300, 1000, 3000, 10000}, Duties: []int{2, 8, 24, 80, 240}, Groups: []int{1, 3, 10, 30, 100},
		Seeds: []uint64{1, 2, 3}, Span: 300 * time.Millisecond,
	}
}

// Names of the roles and drivers of this package's samples.
const (
	proxyRole     = "proxy"
	keeperRole    = "keeper"
	ownerRole     = "duty owner"
	serversDriver = "servers"
	dutiesDriver  = "duties"
	entriesDriver = "entries in a write"
	microseconds  = "µs"
	perList       = " a whole list"
	perWord       = " a word of the list"
	perRequest    = " a decision"
	perRenewal    = " a renewal of all duties"
	perDurable    = " a durable write"
)

var discoveryAddr = netip.MustParseAddrPort("127.0.0.1:9")

// run is one run over all sizes.
type run struct {
	options Options
	seed    uint64
	samples []capacity.Sample
}

func (r *run) add(role, cost, unit, driver string, size int, value float64) {
	r.samples = append(r.samples, capacity.Sample{
		Role: role, Cost: cost, Unit: unit, Driver: driver, Size: float64(size), Value: value, Seed: r.seed,
	})
}

// Measure measures all sizes. Samples that were taken before an error are returned with it.
func Measure(o Options) ([]capacity.Sample, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	var all []capacity.Sample
	for _, seed := range o.Seeds {
		r := &run{options: o, seed: seed}
		err := r.all()
		all = append(all, r.samples...)
		if err != nil {
			return all, err
		}
		fmt.Fprintf(o.Log, "run %d: %d samples\n", seed, len(r.samples))
	}
	return all, nil
}

func (r *run) all() error {
	for _, n := range r.options.Servers {
		if err := r.lists(n); err != nil {
			return fmt.Errorf("%d servers: %w", n, err)
		}
		if err := r.decisions(n); err != nil {
			return fmt.Errorf("%d servers: %w", n, err)
		}
	}
	for _, n := range r.options.Duties {
		if err := r.duties(n); err != nil {
			return fmt.Errorf("%d duties: %w", n, err)
		}
	}
	return r.keeperLog()
}

// cost is what one call takes, in the mean over a time.
type cost struct {
	processor   float64 // µs of the whole process, with what the collector does for it
	elapsed     float64 // µs that passed
	allocations float64
}

func (r *run) measure(call func() error) (cost, error) {
	if err := call(); err != nil { // the first one makes what later ones use again
		return cost{}, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	calls := 0.0
	begin, used := time.Now(), processorTime()
	for time.Since(begin) < r.options.Span {
		if err := call(); err != nil {
			return cost{}, err
		}
		calls++
	}
	elapsed, processor := time.Since(begin), processorTime()-used
	runtime.ReadMemStats(&after)
	return cost{
		processor: microsecondsOf(processor) / calls, elapsed: microsecondsOf(elapsed) / calls,
		allocations: float64(after.Mallocs-before.Mallocs) / calls,
	}, nil
}

func microsecondsOf(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// processorTime is what this process has used of processors, so that a busy machine does not count.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // it fails for a wrong argument only
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// target is an entry as discovery answers it; routes.Target only reads that form.
type target struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// listText is a whole list of so many servers.
func listText(servers int) ([]byte, error) {
	hosts := make([]target, servers)
	for i := range hosts {
		hosts[i] = target{
			fmt.Sprintf("s-%08x", i), fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250), "a", "m2", i / 8, "SERVING", 1, 1_790_000_000_000 + int64(i),
		}
	}
	return json.Marshal(map[string]any{"seq": 7, "whole": true, "hosts": hosts})
}

// lists measures a whole list of discovery, and the owner's word of it.
func (r *run) lists(servers int) error {
	text, err := listText(servers)
	if err != nil {
		return err
	}
	r.add(proxyRole, "bytes", "B"+perList, serversDriver, servers, float64(len(text)))
	var table routes.Table
	c, err := r.measure(func() error {
		l, err := routes.Decode(text)
		if err == nil {
			table.Merge(l)
		}
		return err
	})
	if err != nil {
		return err
	}
	r.add(proxyRole, "processor", microseconds+perList, serversDriver, servers, c.processor)
	r.add(proxyRole, "allocations", "allocations"+perList, serversDriver, servers, c.allocations)
	return r.words(servers, &table)
}

func (r *run) words(servers int, table *routes.Table) error {
	var word []byte
	c, err := r.measure(func() (err error) {
		word, err = duty.EncodeList(discoveryAddr, 7, table.All())
		return err
	})
	if err != nil {
		return err
	}
	r.add(ownerRole, "processor", microseconds+perWord, serversDriver, servers, c.processor)
	r.add(ownerRole, "bytes", "B"+perWord, serversDriver, servers, float64(len(word)))
	var heard routes.Table
	c, err = r.measure(func() error {
		h, err := duty.DecodeList(word, discoveryAddr, 0, true, heard.Find)
		if err == nil {
			heard.Merge(h.List)
		}
		return err
	})
	if err != nil {
		return err
	}
	r.add(proxyRole, "processor", microseconds+perWord, serversDriver, servers, c.processor)
	r.add(proxyRole, "allocations", "allocations"+perWord, serversDriver, servers, c.allocations)
	return r.tableState(servers, word)
}

// tableState measures what a route table holds: the heap after a collection, with it and without it.
func (r *run) tableState(servers int, word []byte) error {
	const tables = 8 // at a time: a small one alone is lost in what else the heap holds
	kept := make([]*routes.Table, tables)
	before := heap()
	for i := range kept {
		kept[i] = new(routes.Table)
		h, err := duty.DecodeList(word, discoveryAddr, 0, true, kept[i].Find)
		if err != nil {
			return err
		}
		kept[i].Merge(h.List)
	}
	after := heap()
	runtime.KeepAlive(kept)
	r.add(proxyRole, "state", "B of route table", serversDriver, servers, max(after-before, 0)/tables)
	return nil
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // what the first one has only marked to be freed
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// decisions measures a request's way through the decision module, at so many servers.
func (r *run) decisions(servers int) error {
	decider, err := lab.NewDecisionHarness(servers)
	if err != nil {
		return err
	}
	c, err := r.measure(func() error {
		decider.Request()
		return nil
	})
	if err != nil {
		return err
	}
	if decider.OpenConnections() == 0 {
		return errNoDecision
	}
	r.add(proxyRole, "processor", microseconds+perRequest, serversDriver, servers, c.processor)
	return nil
}

var errNoDecision = errors.New("modules: the decision module places no request")

// duties measures the replicated state: every duty has a holder of its own, who renews it.
func (r *run) duties(count int) error {
	var state keeper.State
	index, seq := uint64(0), uint64(0)
	tokens := make([]uint64, count)
	renew := func() error {
		seq++
		for i := range tokens {
			index++
			ask := &owner.LeaseRequest{
				Session: uint64(i + 1), Name: fmt.Sprintf("process-%04d", i), Seq: seq,
				Claims: []owner.LeaseClaim{{Lease: fmt.Sprintf("duty-%04d", i), Token: tokens[i]}},
			}
			reply := state.Apply(index, &keeper.Command{Request: ask})
			if reply == nil || len(reply.Leases) != 1 || !reply.Leases[0].Mine {
				return fmt.Errorf("duty %d is not granted", i)
			}
			tokens[i] = reply.Leases[0].Token
		}
		return nil
	}
	c, err := r.measure(renew)
	if err != nil {
		return err
	}
	text, err := state.Encode()
	if err != nil {
		return err
	}
	r.add(keeperRole, "processor", microseconds+perRenewal, dutiesDriver, count, c.processor)
	r.add(keeperRole, "allocations", "allocations"+perRenewal, dutiesDriver, count, c.allocations)
	r.add(keeperRole, "state", "B of snapshot", dutiesDriver, count, float64(len(text)))
	return nil
}

// entryBytes is about what an entry with one renewal takes in the log.
const entryBytes = 96

// keeperLog measures how long a write takes until it is durable, by the entries in it.
func (r *run) keeperLog() error {
	dir := filepath.Join(r.options.Dir, fmt.Sprintf("keeper-%d", r.seed))
	if err := keeper.Create(dir, r.seed+1); err != nil {
		return err
	}
	posted := make(chan func(), 1)
	file, _, err := keeper.OpenFile(dir, func(f func()) { posted <- f })
	if err != nil {
		return err
	}
	defer file.Close()
	for _, n := range r.options.Groups {
		group := make([]byte, n*entryBytes)
		c, err := r.measure(func() (failed error) {
			file.Append(group, func(err error) { failed = err })
			(<-posted)()
			return failed
		})
		if err != nil {
			return err
		}
		r.add(keeperRole, "time", microseconds+perDurable, entriesDriver, n, c.elapsed)
	}
	return nil
}
