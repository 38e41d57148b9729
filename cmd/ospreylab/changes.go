package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab/changes"
)

func (a *app) changesCommand() *cobra.Command {
	var (
		seeds int
		first uint64
		plant string
		lists []int
		sized bool
		o     = changes.SizedOptions()
	)
	c := &cobra.Command{
		Use:   "changes",
		Short: "Simulate the distribution of changes instead of whole lists, or measure the cost of either",
		Long: "Simulates replicas that forward numbered changes along a tree, in virtual time, one run for each seed. Messages are lost, duplicated,\n" +
			"delayed and reordered, processes are killed, regions cut off, memory corrupted, sources replaced without notice. A judge that knows the\n" +
			"true state checks each step, each reported age, the bytes of each second, and that all replicas converge. Exit code 3 with the seed if a\n" +
			"check fails. --whole-lists measures whole lists instead, --sized a large fleet with only the requested faults.",
		Args: fileArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			switch {
			case len(lists) > 0:
				return a.wholeLists(first, lists)
			case sized:
				return a.sizedChanges(first, o)
			case seeds < 1:
				return usageError{fmt.Errorf("--seeds %d: not above 0", seeds)}
			}
			return a.playChanges(first, seeds, plant)
		},
	}
	f := c.Flags()
	f.IntVar(&seeds, "seeds", 200, "runs")
	f.Uint64Var(&first, "first", 1, "the first seed")
	f.StringVar(&plant, "plant", "", fmt.Sprintf("a planted mistake that must be found: one of %v", changes.Plants))
	f.IntSliceVar(&lists, "whole-lists", nil, "numbers of servers: measure the cost of a whole list of them for a receiver, with the real mesh")
	f.BoolVar(&sized, "sized", false, "measure one fleet of a given size")
	f.IntVar(&o.Members, "members", o.Members, "with --sized: processes")
	f.IntVar(&o.Keys, "servers", o.Keys, "with --sized: entries of the state")
	f.Float64Var(&o.Rate, "rate", o.Rate, "with --sized: changes a second")
	f.DurationVar(&o.Trouble, "for", o.Trouble, "with --sized: measured virtual time")
	f.DurationVar(&o.Calm, "calm", o.Calm, "with --sized: virtual time after that until all replicas must be equal")
	f.DurationVar(&o.Cut, "cut", 0, "with --sized: time for which one region is cut off")
	f.Float64Var(&o.Kills, "kills", 0, "with --sized: processes a second that are killed and replaced")
	f.Float64Var(&o.Loss, "loss", o.Loss, "with --sized: fraction of the messages that are lost")
	f.Float64Var(&o.Late, "late", o.Late, "with --sized: fraction of the messages that are up to 10 s late")
	f.IntVar(&o.FanOut, "fan-out", o.FanOut, "with --sized: children of a process in its zone")
	return c
}

// playChanges plays the seeds on all cores. The exit code is 3 if one fails.
func (a *app) playChanges(first uint64, seeds int, plant string) error {
	o := changes.DefaultOptions()
	o.Plant = plant
	var all changes.Counts
	err := playSeeds(first, seeds, func(seed uint64) (changes.Result, error) { return changes.Play(seed, o) },
		func(r changes.Result) { all.Add(r.Counts) })
	fmt.Fprintln(a.out, all)
	if err != nil {
		return ruleError{err}
	}
	return nil
}

// wholeLists measures the distribution of discovery's list as a whole, at each number of servers.
func (a *app) wholeLists(seed uint64, lists []int) error {
	fmt.Fprintln(a.out, "| servers | bytes of the list | received for a change | for a change and server |")
	fmt.Fprintln(a.out, "| --- | --- | --- | --- |")
	for _, servers := range lists {
		if servers < 1 {
			return usageError{fmt.Errorf("--whole-lists %d: not above 0", servers)}
		}
		w, err := changes.MeasureWholeList(seed, servers)
		if err != nil {
			return err
		}
		if w.TooLong {
			fmt.Fprintf(a.out, "| %d | %d | not passed on: too long | - |\n", servers, w.Encoded)
			continue
		}
		fmt.Fprintf(a.out, "| %d | %d | %.0f | %.0f |\n", servers, w.Encoded, w.BytesPerChange, w.PerServer)
	}
	return nil
}

// sizedChanges measures one fleet of the given size.
func (a *app) sizedChanges(seed uint64, o changes.Options) error {
	start := time.Now()
	r, err := changes.Play(seed, o)
	fmt.Fprintf(a.out, "members %d, servers %d, %.2f changes a second for %v: %s\n", o.Members, o.Keys, o.Rate, o.Trouble, r)
	a.log.Info().Dur("took", time.Since(start)).Msg("played")
	if err != nil {
		return ruleError{err}
	}
	return nil
}
