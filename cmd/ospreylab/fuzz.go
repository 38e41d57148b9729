package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab"
)

func (a *app) fuzzCommand() *cobra.Command {
	var (
		seeds   int
		minutes float64
		first   uint64
		shrink  time.Duration
		out     string
		days    string
		set     []string
	)
	c := &cobra.Command{
		Use:   "fuzz",
		Short: "Play random scenarios until one breaks a rule, and reduce that one",
		Long: "Plays scenarios that are generated from seeds, several at a time. At the first broken rule it writes the scenario to --out,\n" +
			"prints the command that repeats it, then reduces the scenario and writes and prints the result too. Exit code 3.",
		Args: fileArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			if seeds < 1 || minutes <= 0 {
				return usageError{fmt.Errorf("--seeds %d, --minutes %g: not above 0", seeds, minutes)}
			}
			generate := lab.ScenarioGenerators()[days]
			if generate == nil {
				return usageError{fmt.Errorf("--days %s: none of any, cut-output, standing and throng", days)}
			}
			until := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
			showProgress := isTerminal(a.errs)
			found, played, err := lab.Fuzz(lab.FuzzConfig{Generate: generate, Overrides: set}, first, seeds, until, func(seed uint64) {
				if showProgress {
					fmt.Fprintf(a.errs, "\rseed %d ", seed)
				}
			})
			if showProgress {
				fmt.Fprint(a.errs, "\r\033[K")
			}
			if err != nil {
				return err
			}
			if found == nil {
				fmt.Fprintf(a.out, "%d scenarios from seed %d on: no rule broken\n", played, first)
				return nil
			}
			fmt.Fprintf(a.out, "seed %d breaks %s, after %d scenarios\n", found.Seed, found.Rule, played)
			if err := a.saveScenario(out, fmt.Sprintf("fuzz-%d.ini", found.Seed), found.Scenario, found.Seed); err != nil {
				return err
			}
			found.Shrink(time.Now().Add(shrink))
			fmt.Fprintf(a.out, "%d smaller scenarios tried; the smallest has %d troubles, %d proxies, %d relays, %v:\n",
				found.Tried, len(found.Minimized.Faults), found.Minimized.Proxies.Count, found.Minimized.Relays.Count, found.Minimized.Run.Length)
			if err := a.saveScenario(out, fmt.Sprintf("fuzz-%d-small.ini", found.Seed), found.Minimized, found.Seed); err != nil {
				return err
			}
			return found.Err
		},
	}
	c.Flags().StringVar(&days, "days", "any", "kind of generated scenarios: any, cut-output, standing or throng")
	c.Flags().StringArrayVar(&set, "set", nil, "section.key=value that replaces a generated value; may be repeated")
	c.Flags().IntVar(&seeds, "seeds", 1000, "maximum number of scenarios")
	c.Flags().Float64Var(&minutes, "minutes", 5, "maximum time in minutes")
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().DurationVar(&shrink, "shrink", time.Minute, "time for reducing a found scenario; 0s: it is not reduced")
	c.Flags().StringVar(&out, "out", ".", "directory for found scenarios")
	return c
}

// saveScenario writes a scenario and prints the command that repeats the run.
func (a *app) saveScenario(dir, name string, s *lab.Scenario, seed uint64) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(s.Text()), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "  ospreylab run %s --seed %d\n", path, seed)
	return nil
}
