package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab"
	"ospreyspan/internal/lab/owners"
	"ospreyspan/internal/lab/shared"
)

func (a *app) sharedCommand() *cobra.Command {
	var (
		seeds int
		first uint64
		o     shared.Options
		real  bool
		n     int
		span  time.Duration
		prog  string
	)
	c := &cobra.Command{
		Use:   "shared",
		Short: "Simulate verdicts and limits that a fleet shares, under stalls, kills, partitions and clock faults",
		Long: "Simulates evidence, verdicts, soft and strict limits of 5 to 12 processes on a virtual network, one run for each seed, under the faults\n" +
			"of `ospreylab owner`. A judge that knows the true state checks the age and the witnesses of each verdict, and each limit's excess\n" +
			"against its bound, every 50 ms. Ends with one line of counts; exit code 3 with the seed if a bound was exceeded.",
		Args: fileArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			if real {
				return a.realShared(first, n, span, prog)
			}
			if seeds < 1 {
				return usageError{fmt.Errorf("--seeds %d: not above 0", seeds)}
			}
			faults, all, err := playShared(first, seeds, o)
			fmt.Fprintf(a.out, "%s; faults: stalls %d, kills %d, mass kills %d, cuts %d, one way %d, in thirds %d, datagrams late %d, repeated %d, dropped %d, "+
				"clocks jumped %d; %s\n", fmt.Sprintf("seeds %d", all.Seeds), faults.Stalls, faults.Kills, faults.MassKills, faults.Cuts, faults.CutsOneWay, faults.Thirds,
				faults.Late, faults.Repeated, faults.Dropped, faults.ClockJumps, all)
			return err
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 200, "runs")
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().StringVar(&o.Plant, "plant", "", fmt.Sprintf("a planted mistake that must be found: one of %v", shared.Plants))
	c.Flags().BoolVar(&real, "real", false, "real processes on loopback under a strict limit, over lossy links, most of them killed half-way; connections are counted at the relays")
	c.Flags().IntVar(&n, "processes", 12, "with --real: 5 to 200")
	c.Flags().DurationVar(&span, "for", 20*time.Second, "with --real: measured time, 10s to 5m")
	c.Flags().StringVar(&prog, "program", "bin/ospreyspan", "with --real: the program")
	c.Flags().BoolVar(&o.Calm, "calm", false, "no faults among the processes")
	return c
}

// handoverSlack is the number of connections by which the count of the relays may exceed the limit:
// the end of one connection and the start of the next arrive on different sockets.
const handoverSlack = 3

// realShared runs real processes under a strict limit. The exit code is 3 if the relays count more
// connections than the limit and handoverSlack.
func (a *app) realShared(seed uint64, processes int, span time.Duration, program string) error {
	if processes < 5 || processes > 200 || span < 10*time.Second || span > 5*time.Minute {
		return usageError{fmt.Errorf("--processes %d --for %v: 5 to 200, 10s to 5m", processes, span)}
	}
	text := fmt.Sprintf("[run]\nlength = %v\nwarm_up = 10s\n[proxies]\ncount = %d\nsockets = 384\nkeepers = 3\nlimit = %d\nlimit_kind = strict\nverdicts = true\nbad_links = true\n"+
		"[relays]\ncount = %d\n[traffic]\nrate = %d\n[trouble kill]\nkind = proxy-kill\nat = %v\ncount = %d\nevery = 2ms\naway = 500ms\n",
		span, processes, 5*processes, max(processes/2, 5), max(processes/2, 5), span/2, processes*7/10)
	s, err := lab.Parse("shared-real", text)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "ospreylab-shared-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r, err := lab.PlayReal(s, seed, program, dir, 6*time.Minute, lab.Options{MaxRealProxies: 200})
	if err != nil {
		return err
	}
	w := r.Links
	fmt.Fprintf(a.out, "processes %d, killed %d; links: datagrams %d, dropped %d, late %d, repeated %d, processes deaf %d, mute %d, cut away %d; strict limit %d: most standing by the relays' count %d, over by %d, %.1f in the mean; clients up %d, refused %d, cut off %d\n",
		processes, processes*7/10, w.Datagrams, w.Dropped, w.Delayed, w.Duplicated, w.InboundCuts, w.OutboundCuts, w.DroppedByCut, 5*processes, r.Shared.PeakConnections, max(r.Shared.PeakConnections-5*processes, 0), r.Shared.ConnectionSeconds/r.Length, r.Clients.Up, r.Clients.Refused, r.Clients.Cut)
	if r.Shared.PeakConnections > 5*processes+handoverSlack {
		return ruleError{fmt.Errorf("seed %d: %d connections were open under a strict limit of %d", seed, r.Shared.PeakConnections, 5*processes)}
	}
	return nil
}

// playShared plays the seeds on all cores. The error is that of the lowest seed that failed.
func playShared(first uint64, seeds int, o shared.Options) (faults owners.Counts, all shared.Counts, err error) {
	type day struct {
		faults owners.Counts
		shared shared.Counts
	}
	err = playSeeds(first, seeds, func(seed uint64) (d day, err error) {
		d.faults, d.shared, err = shared.Play(seed, o)
		return d, err
	}, func(d day) {
		faults.Add(d.faults)
		all.Add(d.shared)
	})
	return faults, all, err
}
