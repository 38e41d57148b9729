package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab"
)

func (a *app) compareCommand() *cobra.Command {
	var (
		seeds   int
		first   uint64
		set     []string
		setBoth []string
		out     string
		build   string
	)
	c := &cobra.Command{
		Use:   "compare SCENARIO [SCENARIO]",
		Short: "Play two scenarios with the same seeds and report the difference with its confidence interval",
		Long: "Plays two scenarios, or one of them with and without --set, with the same seeds, and reports the mean difference of each\n" +
			"figure with its 95 % interval (Student's, of the pairs). With --out, results, tables and a forest plot are written there.",
		Example: "  ospreylab compare lab/silent-relays.ini --set proxies.silent_after=400ms --seeds 20",
		Args:    fileArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 1 && len(set) == 0 && build == "" {
				return usageError{errors.New("compare: two scenarios, or one and --set, or one and --build")}
			}
			if build != "" {
				if _, err := os.Stat(build); err != nil {
					return usageError{err}
				}
			}
			if seeds < 2 || seeds > 10000 {
				return usageError{fmt.Errorf("--seeds: %d is not from 2 to 10000", seeds)}
			}
			x, err := readScenario(args[0], setBoth)
			if err != nil {
				return err
			}
			y, err := readScenario(args[len(args)-1], append(append([]string{}, setBoth...), set...))
			if err != nil {
				return err
			}
			second := y.Name
			if len(set) > 0 {
				second += " with " + strings.Join(set, ", ")
			}
			if build != "" {
				second += " by " + build
			}
			list := make([]uint64, seeds)
			for i := range list {
				list[i] = first + uint64(i)
			}
			n := 0
			show := isTerminal(a.errs)
			res, err := lab.RunPairs(lab.Side{Name: x.Name, Scenario: x}, lab.Side{Name: second, Scenario: y, Program: build}, list, func() {
				if n++; show {
					fmt.Fprintf(a.errs, "\r%d of %d days ", n, 2*seeds)
				}
			})
			if show {
				fmt.Fprint(a.errs, "\r\033[K")
			}
			if err != nil {
				return err
			}
			if err := res.Markdown(a.out); err != nil {
				return err
			}
			if out == "" {
				return nil
			}
			return res.Save(out)
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 20, "pairs of days")
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().StringArrayVar(&set, "set", nil, "section.key=value for the second scenario; may be repeated")
	c.Flags().StringArrayVar(&setBoth, "set-both", nil, "section.key=value for both scenarios; may be repeated")
	c.Flags().StringVar(&build, "build", "", "another build of ospreylab that plays the second side, to compare two versions")
	c.Flags().StringVar(&out, "out", "", "directory for results, tables and the plot")
	return c
}
