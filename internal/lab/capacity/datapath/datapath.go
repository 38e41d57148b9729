// Package datapath measures what the program costs for each connection that stands and each line that passes: a real process
// on loopback, with targets, discovery and clients in the measuring process.
package datapath

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"ospreyspan/internal/lab/capacity"
)

// Options say what is measured. Zero values stand for the defaults.
type Options struct {
	Program     string    // default bin/ospreyspan
	Connections []int     // standing connections, from few to many; those beyond the limit of descriptors are left out
	Lines       []float64 // delivered a second over as many connections as lineConnections
	Seeds       []uint64  // a run for each; what they number is only the runs, as the kernel draws no seeds
	Log         io.Writer // one line for each size; nil: none
}

const (
	// socketsEach is how many descriptors a standing connection takes at the proxy, and at its two ends together.
	socketsEach = 2
	// reservedSockets are left to probes, discovery, listeners and the runtime.
	reservedSockets = 512
	// lineConnections stand while lines are delivered.
	lineConnections = 900
	settle          = 3 * time.Second
	idleSpan        = 5 * time.Second
	lineSpan        = 4 * time.Second
	arriveWithin    = 2 * time.Second
	mostConnections = 30_000
	mostLines       = 50_000
)

// ErrOptions is returned for sizes that can't be measured.
var ErrOptions = errors.New("datapath: sizes")

// Defaults are sizes over two decades up to what usual limits of descriptors allow.
func Defaults() Options {
	return Options{
		Program: "bin/ospreyspan", Connections: []int{90, 300, 1000, 3000, 5000, 9000, 20000}, Lines: []float64{100, 300, 1000, 3000, 10000},
		Seeds: []uint64{1, 2, 3},
	}
}

// DescriptorLimit is how many descriptors a process may have here.
func DescriptorLimit() (int, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return int(min(limit.Cur, 1<<30)), err
}

// Fits is how many connections may stand under a limit of descriptors.
func Fits(descriptors int) int { return max((descriptors-reservedSockets)/socketsEach, 0) }

// Measure measures all sizes. Samples that were taken before an error are returned with it.
func Measure(o Options) ([]capacity.Sample, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	descriptors, err := DescriptorLimit()
	if err != nil {
		return nil, err
	}
	if len(o.Connections) > 0 && slices.Max(o.Connections) > mostConnections || len(o.Lines) > 0 && slices.Max(o.Lines) > mostLines {
		return nil, fmt.Errorf("%w: over %d connections or %d lines a second", ErrOptions, mostConnections, mostLines)
	}
	var all []capacity.Sample
	for _, seed := range o.Seeds {
		for _, n := range o.Connections {
			if n > Fits(descriptors) {
				fmt.Fprintf(o.Log, "%d connections are left out: %d descriptors let %d stand\n", n, descriptors, Fits(descriptors))
				continue
			}
			list, err := standing(o, seed, n)
			all = append(all, list...)
			if err != nil {
				return all, fmt.Errorf("%d connections: %w", n, err)
			}
		}
		if len(o.Lines) == 0 {
			continue
		}
		list, err := lines(o, seed)
		all = append(all, list...)
		if err != nil {
			return all, fmt.Errorf("lines: %w", err)
		}
	}
	return all, nil
}

// bench is one process with its ends.
type bench struct {
	ends  *ends
	child *child
	dir   string
	proxy string
}

func newBench(program string) (*bench, error) {
	dir, err := os.MkdirTemp("", "ospreylab-datapath-")
	if err != nil {
		return nil, err
	}
	b := &bench{dir: dir}
	if b.ends, err = newEnds(); err == nil {
		b.proxy, err = freeAddr()
	}
	if err == nil {
		b.child, err = startChild(program, dir, b.proxy, b.ends.discovery, b.ends.hosts)
	}
	if err != nil {
		b.close()
		return nil, err
	}
	time.Sleep(settle)
	return b, nil
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (b *bench) close() {
	if b.child != nil {
		b.child.kill()
	}
	if b.ends != nil {
		b.ends.close()
	}
	os.RemoveAll(b.dir)
}

// standing measures a process at some number of connections: what opening them takes, and what they cost while they stand.
func standing(o Options, seed uint64, count int) ([]capacity.Sample, error) {
	b, err := newBench(o.Program)
	if err != nil {
		return nil, err
	}
	defer b.close()
	slabBefore, err := kernelMemory()
	if err != nil {
		return nil, err
	}
	before, err := b.child.usage()
	if err != nil {
		return nil, err
	}
	if err := b.ends.open(b.proxy, 0, count); err != nil {
		return nil, fmt.Errorf("%w; the proxy says: %s", err, b.child.logged())
	}
	opened, err := b.child.usage()
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	begin, err := b.child.usage()
	if err != nil {
		return nil, err
	}
	slabAfter, err := kernelMemory()
	if err != nil {
		return nil, err
	}
	time.Sleep(idleSpan)
	end, err := b.child.usage()
	if err != nil {
		return nil, err
	}
	// A connection that has passed a line may keep more than one that never did.
	if err := b.passLines(float64(count) / lineSpan.Seconds()); err != nil {
		return nil, err
	}
	used, err := b.child.usage()
	if err != nil {
		return nil, err
	}
	idle := float64(end.processor-begin.processor) / 1e3 / end.at.Sub(begin.at).Seconds()
	opening := float64(opened.processor-before.processor) / 1e3
	fmt.Fprintf(o.Log, "run %d: %d connections: resident %.1f MB, before %.1f MB; opened within %.1f s; idle %.0f µs/s\n",
		seed, count, used.resident/1e6, before.resident/1e6, opened.at.Sub(before.at).Seconds(), idle)
	sample := func(cost, unit, driver string, value float64) capacity.Sample {
		return capacity.Sample{Role: Role, Cost: cost, Unit: unit, Driver: driver, Size: float64(count), Value: value, Seed: seed}
	}
	return []capacity.Sample{
		sample("memory", "B", "connections", end.resident),
		sample("memory after a line each", "B", "connections", used.resident),
		sample("kernel memory of all four ends", "B", "connections", max(slabAfter-slabBefore, 0)),
		sample("processor while idle", "µs/s", "connections", idle),
		sample("processor to open", "µs", "connections opened", opening),
	}, nil
}

// Role is who pays the costs of this package.
const Role = "proxy"

// kernelMemory is what the whole machine's kernel has in slabs, sockets among it, in bytes.
func kernelMemory() (float64, error) { return capacity.ProcBytes("/proc/meminfo", "Slab:") }

// lines measures deliveries at each rate over the same connections.
func lines(o Options, seed uint64) ([]capacity.Sample, error) {
	b, err := newBench(o.Program)
	if err != nil {
		return nil, err
	}
	defer b.close()
	if err := b.ends.open(b.proxy, 0, lineConnections); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	var all []capacity.Sample
	for _, rate := range o.Lines {
		begin, err := b.child.usage()
		if err != nil {
			return all, err
		}
		if err := b.passLines(rate); err != nil {
			return all, err
		}
		end, err := b.child.usage()
		if err != nil {
			return all, err
		}
		cost := float64(end.processor-begin.processor) / 1e3 / lineSpan.Seconds()
		fmt.Fprintf(o.Log, "run %d: %.0f lines a second: %.0f µs/s\n", seed, rate, cost)
		all = append(all, capacity.Sample{
			Role: Role, Cost: "processor", Unit: "µs/s", Driver: "lines a second", Size: rate, Value: cost, Seed: seed,
		})
	}
	return all, nil
}

// passLines has lines delivered at a rate for lineSpan, and waits until all have arrived.
func (b *bench) passLines(rate float64) error {
	before := b.ends.delivered.Load()
	sent, err := b.ends.deliver(rate, lineSpan)
	if err != nil {
		return err
	}
	for begin := time.Now(); b.ends.delivered.Load()-before < sent; time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > arriveWithin {
			return fmt.Errorf("%d of %d lines were delivered", b.ends.delivered.Load()-before, sent)
		}
	}
	return nil
}
