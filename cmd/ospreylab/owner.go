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
		Short: "Play processes that own duties of the fleet, under stalls, kills, partitions and bad disks",
		Long: "Plays membership, keepers, leases and fences of 5 to 12 processes on a virtual network, a run for each seed, and judges what\n" +
			"they do to each other. One closing line of counts; exit code 3 with the seed if something happened that must not.",
		Args: files(0, 0),
		RunE: func(*cobra.Command, []string) error {
			if len(scale) > 0 {
				return a.scaleOwners(first, scale)
			}
			if real {
				ro.Seed = first
				return a.realOwners(ro, span, mass)
			}
			if seeds < 1 {
				return wrong{fmt.Errorf("--seeds %d: not above 0", seeds)}
			}
			all, err := playOwners(first, seeds, o)
			fmt.Fprintln(a.out, all)
			return err
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 200, "runs")
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().StringVar(&o.Plant, "plant", "", fmt.Sprintf("a mistake to be found: one of %v", owners.Plants))
	c.Flags().StringSliceVar(&o.Only, "only", nil, "only these faults: stall, stall-before-send, kill, leader-kill, mass-kill, cut, thirds, one-way, wipe, sync, clock")
	c.Flags().DurationVar(&o.Trouble, "trouble", 0, "virtual time with faults; 0s: 30 s")
	c.Flags().IntSliceVar(&scale, "scale", nil, "numbers of members: tell what they cost and how fast they learn, without other faults")
	c.Flags().BoolVar(&real, "real", false, "real processes on loopback, in place of the virtual network")
	c.Flags().IntVar(&ro.Processes, "processes", 12, "with --real: processes, 3 to 250")
	c.Flags().IntVar(&ro.Keepers, "keepers", 5, "with --real: how many of them are keepers, 3 or 5")
	c.Flags().DurationVar(&ro.Lease, "lease", 800*time.Millisecond, "with --real: the lease")
	c.Flags().StringVar(&ro.Program, "program", "bin/ospreyspan", "with --real: the program")
	c.Flags().DurationVar(&span, "for", 20*time.Second, "with --real: time with faults")
	c.Flags().BoolVar(&mass, "mass", false, "with --real: kill 70 % of them once, and tell how long they take to agree")
	return c
}

// realOwners plays real processes; exit code 3 if something happened that must not.
func (a *app) realOwners(o rig.Options, span time.Duration, mass bool) error {
	dir, err := os.MkdirTemp("", "ospreylab-owner-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o.Dir = dir
	r, err := rig.New(o)
	if err != nil {
		return wrong{err}
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
		return broken{fmt.Errorf("seed %d: %w", o.Seed, err)}
	}
	return err
}

// playOwners plays seeds on all cores. The error is that of the lowest seed which failed.
func playOwners(first uint64, seeds int, o owners.Options) (all owners.Counts, err error) {
	err = playSeeds(first, seeds, func(seed uint64) (owners.Counts, error) { return owners.Play(seed, o) }, func(c owners.Counts) { all.Add(c) })
	return all, err
}

// playSeeds plays seeds on all cores, until one fails, and adds up what came of each. The error is that of the lowest seed which failed.
func playSeeds[C any](first uint64, seeds int, play func(seed uint64) (C, error), add func(C)) error {
	var (
		next, stop atomic.Int64
		wait       sync.WaitGroup
		mu         sync.Mutex
		failed     error
		at         = int64(seeds)
	)
	stop.Store(int64(seeds))
	for range min(runtime.GOMAXPROCS(0), seeds) {
		wait.Go(func() {
			for {
				i := next.Add(1) - 1
				if i >= stop.Load() {
					return
				}
				c, err := play(first + uint64(i))
				mu.Lock()
				add(c)
				if err != nil && i < at {
					at, failed = i, err
					stop.Store(min(stop.Load(), i))
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return failed
}

// scaleOwners prints what fleets of several sizes cost, and how long their duties are without an owner by the lease.
func (a *app) scaleOwners(seed uint64, sizes []int) error {
	fmt.Fprintln(a.out, "| members | lease | datagrams/s each | bytes/s each | death known to all, median | longest | no owner, median | p99 |")
	fmt.Fprintln(a.out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range sizes {
		if n < 5 || n > 1000 {
			return wrong{fmt.Errorf("--scale: %d is not from 5 to 1000", n)}
		}
		leases := []time.Duration{2 * time.Second}
		if n == sizes[0] {
			leases = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}
		}
		for _, lease := range leases {
			kills := 100
			if n > 100 {
				kills = 5 // they take long, and the lease decides
			}
			s, err := owners.Measure(seed, n, lease, 3, kills)
			if err != nil {
				return err
			}
			ms := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
			fmt.Fprintf(a.out, "| %d | %v | %.1f | %.0f | %v | %v | %v | %v |\n", n, lease, s.Datagrams, s.Bytes,
				ms(owners.At(s.Deaths, 0.5)), ms(owners.At(s.Deaths, 1)), ms(owners.At(s.Gaps, 0.5)), ms(owners.At(s.Gaps, 0.99)))
		}
	}
	return nil
}
