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
		seeds int
		first uint64
		set   []string
		both  []string
		out   string
		other string
	)
	c := &cobra.Command{
		Use:   "compare SCENARIO [SCENARIO]",
		Short: "Play two scenarios for the same seeds and tell the difference with its error",
		Long: "Plays two scenarios, or one of them with and without --set, for the same seeds, and tells the mean difference of each\n" +
			"figure with its 95 % interval (Student's, of the pairs). With --out, results, tables and a forest plot are written there.",
		Example: "  ospreylab compare lab/silent-relays.ini --set proxies.silent_after=400ms --seeds 20",
		Args:    files(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 1 && len(set) == 0 && other == "" {
				return wrong{errors.New("compare: two scenarios, or one and --set, or one and --build")}
			}
			if other != "" {
				if _, err := os.Stat(other); err != nil {
					return wrong{err}
				}
			}
			if seeds < 2 || seeds > 10000 {
				return wrong{fmt.Errorf("--seeds: %d is not from 2 to 10000", seeds)}
			}
			x, err := read(args[0], both)
			if err != nil {
				return err
			}
			y, err := read(args[len(args)-1], append(append([]string{}, both...), set...))
			if err != nil {
				return err
			}
			second := y.Name
			if len(set) > 0 {
				second += " with " + strings.Join(set, ", ")
			}
			if other != "" {
				second += " by " + other
			}
			list := make([]uint64, seeds)
			for i := range list {
				list[i] = first + uint64(i)
			}
			n := 0
			show := terminal(a.errs)
			res, err := lab.RunPairs(lab.Side{Name: x.Name, Scenario: x}, lab.Side{Name: second, Scenario: y, Program: other}, list, func() {
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
	c.Flags().StringArrayVar(&set, "set", nil, "section.key=value for the second; may be given again")
	c.Flags().StringArrayVar(&both, "set-both", nil, "section.key=value for both; may be given again")
	c.Flags().StringVar(&other, "build", "", "another build of ospreylab, which plays the second side: two versions are compared")
	c.Flags().StringVar(&out, "out", "", "folder for results, tables and the plot")
	return c
}
