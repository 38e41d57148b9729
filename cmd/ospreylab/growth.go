package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab"
)

func (a *app) growthCommand() *cobra.Command {
	var (
		sizes []int
		seed  uint64
		set   []string
		out   string
	)
	c := &cobra.Command{
		Use:   "growth SCENARIO",
		Short: "Play a scenario at several numbers of proxies and report how the cost of each proxy grows",
		Long: "Plays a scenario with one seed at several numbers of proxies, with relays, clients and faults in proportion, and reports\n" +
			"the load that the fleet puts on discovery and on its relays. With --out, a table and a chart are written there.",
		Example: "  ospreylab growth lab/replaced.ini --proxies 3,10,20,40,80,160",
		Args:    fileArgs(1, 1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, n := range sizes {
				if n < 1 || n > 1000 {
					return usageError{fmt.Errorf("--proxies: %d is not from 1 to 1000", n)}
				}
			}
			s, err := readScenario(args[0], set)
			if err != nil {
				return err
			}
			list, err := lab.MeasureGrowth(s, sizes, seed, lab.Options{})
			if err != nil {
				return err
			}
			if err := lab.GrowthTable(a.out, list); err != nil {
				return err
			}
			if out == "" {
				return nil
			}
			return lab.SaveGrowth(out, list)
		},
	}
	c.Flags().IntSliceVar(&sizes, "proxies", []int{3, 10, 20, 40, 80, 160}, "numbers of proxies, 1 to 1000")
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	c.Flags().StringArrayVar(&set, "set", nil, "section.key=value; may be repeated")
	c.Flags().StringVar(&out, "out", "", "directory for the table and the chart")
	return c
}
