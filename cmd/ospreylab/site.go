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
		Short: "Make a site file of another customer for the bench from one of the bench's own",
		Long: "Applies a difference file, such as those in deploy/sites, to a site file of the bench, and writes the result and what the\n" +
			"bench needs with it (real.json, wire.json, unlock.txt) into a directory that git ignores. Prints the new file's path.",
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
	c.Flags().StringVar(&of, "of", "", "site file to which the differences are applied")
	c.Flags().StringVar(&out, "out", "sites", "directory for the new files")
	return c
}
