package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab/site"
)

func (a *app) siteCommand() *cobra.Command {
	var of, out string
	c := &cobra.Command{
		Use:   "site DIFFERENCE",
		Short: "Make another customer's site file for the bench, out of one of its own",
		Long: "Applies a difference file, such as those in deploy/sites, to a site file of the bench, and writes the result and what the\n" +
			"bench wants beside it (real.json, wire.json, unlock.txt) into a folder that git ignores. Prints the new file's path.",
		Example: "  ospreylab site deploy/sites/pushed.toml --of SITE.toml",
		Args:    fileArgs(1, 1),
		RunE: func(_ *cobra.Command, args []string) error {
			if of == "" {
				return usageError{errors.New("site: --of is missing: the site file of the bench")}
			}
			path, err := site.Make(args[0], of, out)
			var problems site.Problems
			if errors.As(err, &problems) {
				return usageError{err}
			}
			if err == nil {
				fmt.Fprintln(a.out, path)
			}
			return err
		},
	}
	c.Flags().StringVar(&of, "of", "", "the site file to which the differences apply")
	c.Flags().StringVar(&out, "out", "sites", "where to write")
	return c
}
