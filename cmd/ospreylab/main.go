// Command ospreylab simulates days of a fleet: it runs the code of the real proxies on a virtual
// network, in virtual time, from one seed.
//
// Exit codes: 0, success; 1, an operation failed; 2, a scenario or the command line is invalid, and
// nothing was written; 3, a rule was broken.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"ospreyspan/internal/inifile"
	"ospreyspan/internal/vnet"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
	exitBroken = 3
)

// usageError marks an error of the command line or of a file that it names.
type usageError struct{ error }

func (w usageError) Unwrap() error { return w.error }

// ruleError marks a broken rule, for which the exit code is 3.
type ruleError struct{ error }

func (b ruleError) Unwrap() error { return b.error }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	a := &app{out: out, errs: errs}
	root := a.command()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var (
		failure  *vnet.Failure
		problems inifile.Problems
		usage    usageError
		rule     ruleError
	)
	switch {
	case err == nil:
		return 0
	case errors.As(err, &failure):
		fmt.Fprintln(errs, "broken:", failure)
		for _, e := range failure.Last[max(len(failure.Last)-24, 0):] {
			fmt.Fprintln(errs, "  ", e)
		}
		return exitBroken
	case errors.As(err, &rule):
		fmt.Fprintln(errs, "broken:", err)
		return exitBroken
	case errors.As(err, &problems):
		fmt.Fprintln(errs, err)
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(errs, "ospreylab:", err)
		return exitUsage
	}
	fmt.Fprintln(errs, "ospreylab:", err)
	return exitFailed
}

// app holds what all commands share: output streams and logger.
type app struct {
	out, errs io.Writer
	json      bool
	level     string
	log       zerolog.Logger
}

func (a *app) command() *cobra.Command {
	root := &cobra.Command{
		Use:           "ospreylab",
		Short:         "Simulates days of a fleet with the real proxies, on a virtual network",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			level, err := zerolog.ParseLevel(a.level)
			if err != nil || a.level == "" {
				return usageError{fmt.Errorf("--log-level: %q is none of debug, info, warn, error", a.level)}
			}
			var w io.Writer = a.errs
			if !a.json {
				w = zerolog.ConsoleWriter{Out: a.errs, NoColor: !isTerminal(a.errs), TimeFormat: "15:04:05"}
			}
			a.log = zerolog.New(w).Level(level).With().Timestamp().Logger()
			// Simulations allocate many short-lived objects, and memory is not scarce.
			debug.SetGCPercent(200)
			return nil
		},
	}
	root.PersistentFlags().BoolVar(&a.json, "log-json", false, "log as JSON, a line for each event")
	root.PersistentFlags().StringVar(&a.level, "log-level", "info", "debug, info, warn or error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(a.runCommand(), a.compareCommand(), a.fuzzCommand(), a.decisionsCommand(), a.growthCommand(), a.ownerCommand(), a.sharedCommand(), a.pressureCommand(), a.changesCommand(), a.capacityCommand(), a.listCommand(), a.checkCommand(), a.siteCommand())
	return root
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// fileArgs checks the number of file arguments. A wrong number is a usage error.
func fileArgs(minFiles, maxFiles int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) < minFiles || len(args) > maxFiles {
			return usageError{fmt.Errorf("%s: takes %d to %d files, got %d", strings.Fields(c.Use)[0], minFiles, maxFiles, len(args))}
		}
		return nil
	}
}
