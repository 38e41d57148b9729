package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab/pressure"
)

func (a *app) pressureCommand() *cobra.Command {
	var o pressure.Options
	names, abouts := pressure.Names()
	list := ""
	for i, name := range names {
		list += fmt.Sprintf("  %-20s %s\n", name, abouts[i])
	}
	c := &cobra.Command{
		Use:   "pressure [PICTURE ...]",
		Short: "Put one real process under clients, servers and neighbours that behave badly",
		Long: "Starts one real process of the program for each picture (all of them if none is named), with servers, discovery and ordinary clients on\n" +
			"loopback, and lets others behave badly beside these. Prints a line for each picture. It shows if the process exceeds its memory or ends, if an\n" +
			"ordinary client gets its answer late or never, if a request runs twice that must not, or if one is sent on for a client that has left: exit code 3.\n\n" +
			"Pictures:\n" + strings.TrimRight(list, "\n"),
		Args: func(_ *cobra.Command, args []string) error {
			for _, name := range args {
				if !slices.Contains(names, name) {
					return usageError{fmt.Errorf("no picture %q", name)}
				}
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			if o.For < time.Second || o.For > 5*time.Minute {
				return usageError{fmt.Errorf("--for %v: 1s to 5m", o.For)}
			}
			if len(args) == 0 {
				args = names
			}
			return a.playPictures(args, o)
		},
	}
	c.Flags().StringVar(&o.Program, "program", "bin/ospreyspan", "the program")
	c.Flags().DurationVar(&o.For, "for", 8*time.Second, "how long each picture lasts, 1s to 5m")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of the random draws")
	return c
}

// playPictures plays pictures one after another. The error names those that show.
func (a *app) playPictures(names []string, o pressure.Options) error {
	var shown []string
	for _, name := range names {
		r, err := pressure.Run(name, o)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		fmt.Fprintln(a.out, r)
		if r.Shown() {
			shown = append(shown, name)
		}
	}
	if len(shown) > 0 {
		return ruleError{fmt.Errorf("shown: %s", strings.Join(shown, ", "))}
	}
	return nil
}
