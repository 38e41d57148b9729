package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab/owners"
	"ospreyspan/internal/rig"
)

func (a *app) ownerCommand() *cobra.Command {
	var (
		seeds int
		first uint64
		o     owners.Options
		real  bool
		mass  bool
		span  time.Duration
		ro    rig.Options
		scale []int
	)
	c := &cobra.Command{
		Use:   "owner",
		Short: "Simulate processes that own duties of the fleet, under stalls, kills, partitions and disk faults",
		Long: "Simulates membership, keepers, leases and fences of 5 to 12 processes on a virtual network, one run for each seed, and checks\n" +
			"their invariants. Ends with one line of counts; exit code 3 with the seed if an invariant was violated.",
		Args: fileArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			if len(scale) > 0 {
				return a.scaleOwners(first, scale)
			}
			if real {
				ro.Seed = first
				return a.realOwners(ro, span, mass)
			}
			if seeds < 1 {
				return usageError{fmt.Errorf("--seeds %d: not above 0", seeds)}
			}
			all, err := playOwners(first, seeds, o)
			fmt.Fprintln(a.out, all)
			return err
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 200, "runs")
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().StringVar(&o.Plant, "plant", "", fmt.Sprintf("a planted mistake that must be found: one of %v", owners.Plants))
	c.Flags().StringSliceVar(&o.OnlyFaults, "only", nil, "only these faults: stall, stall-before-send, kill, leader-kill, mass-kill, cut, thirds, one-way, wipe, sync, clock")
	c.Flags().DurationVar(&o.FaultDuration, "trouble", 0, "virtual time with faults; 0s: 30 s")
	c.Flags().IntSliceVar(&scale, "scale", nil, "numbers of members: measure their cost and how fast they detect deaths, without other faults")
	c.Flags().BoolVar(&real, "real", false, "real processes on loopback instead of the virtual network")
	c.Flags().IntVar(&ro.Processes, "processes", 12, "with --real: processes, 3 to 250")
	c.Flags().IntVar(&ro.Keepers, "keepers", 5, "with --real: how many of them are keepers, 3 or 5")
	c.Flags().DurationVar(&ro.Lease, "lease", 800*time.Millisecond, "with --real: the lease")
	c.Flags().StringVar(&ro.Program, "program", "bin/ospreyspan", "with --real: the program")
	c.Flags().DurationVar(&span, "for", 20*time.Second, "with --real: time with faults")
	c.Flags().BoolVar(&mass, "mass", false, "with --real: kill 70 % of them once, and measure how long the others take to agree")
	return c
}

// realOwners runs real processes. The exit code is 3 if two owned a duty at the same time or a
// stale announcement was accepted.
func (a *app) realOwners(o rig.Options, span time.Duration, mass bool) error {
	dir, err := os.MkdirTemp("", "ospreylab-owner-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o.Dir = dir
	r, err := rig.New(o)
	if err != nil {
		return usageError{err}
	}
	defer r.Close()
	if mass {
		m, err := r.MassKill(0.7, 2*time.Minute)
		fmt.Fprintln(a.out, m)
		return err
	}
	err = r.InjectFaults(span)
	fmt.Fprintln(a.out, r.Counts)
	if err != nil && r.Counts.StaleAccepted+r.Counts.Overlaps > 0 {
		return ruleError{fmt.Errorf("seed %d: %w", o.Seed, err)}
	}
	return err
}

// playOwners plays the seeds on all cores. The error is that of the lowest seed that failed.
func playOwners(first uint64, seeds int, o owners.Options) (all owners.Counts, err error) {
	err = playSeeds(first, seeds, func(seed uint64) (owners.Counts, error) { return owners.Play(seed, o) }, func(c owners.Counts) { all.Add(c) })
	return all, err
}

// playSeeds plays the seeds on all cores until one fails, and passes the result of each to add. The
// error is that of the lowest seed that failed.
func playSeeds[C any](first uint64, seeds int, play func(seed uint64) (C, error), add func(C)) error {
	var (
		next, limit atomic.Int64
		wait        sync.WaitGroup
		mu          sync.Mutex
		failed      error
		failedAt    = int64(seeds)
	)
	limit.Store(int64(seeds))
	for range min(runtime.GOMAXPROCS(0), seeds) {
		wait.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= limit.Load() {
					return
				}
				c, err := play(first + uint64(i))
				mu.Lock()
				add(c)
				if err != nil && i < failedAt {
					failedAt, failed = i, err
					limit.Store(min(limit.Load(), i))
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return failed
}

// scaleOwners prints the cost of fleets of several sizes, and by lease for how long a duty has no
// owner after its owner died.
func (a *app) scaleOwners(seed uint64, sizes []int) error {
	fmt.Fprintln(a.out, "| members | lease | datagrams/s each | bytes/s each | death known to all, median | longest | no owner, median | p99 |")
	fmt.Fprintln(a.out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range sizes {
		if n < 5 || n > 1000 {
			return usageError{fmt.Errorf("--scale: %d is not from 5 to 1000", n)}
		}
		leases := []time.Duration{2 * time.Second}
		if n == sizes[0] {
			leases = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}
		}
		for _, lease := range leases {
			kills := 100
			if n > 100 {
				kills = 5 // large fleets take long, and the gaps depend on the lease
			}
			s, err := owners.MeasureScale(seed, n, lease, 3, kills)
			if err != nil {
				return err
			}
			ms := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
			fmt.Fprintf(a.out, "| %d | %v | %.1f | %.0f | %v | %v | %v | %v |\n", n, lease, s.DatagramsPerSecond, s.BytesPerSecond,
				ms(owners.Quantile(s.DetectionTimes, 0.5)), ms(owners.Quantile(s.DetectionTimes, 1)), ms(owners.Quantile(s.OwnerGaps, 0.5)), ms(owners.Quantile(s.OwnerGaps, 0.99)))
		}
	}
	return nil
}
