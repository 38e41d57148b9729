package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/inifile"
	"ospreyspan/internal/lab"
)

// readScenario reads a scenario. A file that cannot be read is a usage error.
func readScenario(path string, set []string) (*lab.Scenario, error) {
	s, err := lab.Read(path, set...)
	var problems inifile.Problems
	if err != nil && !errors.As(err, &problems) {
		return nil, usageError{err}
	}
	return s, err
}

func (a *app) runCommand() *cobra.Command {
	var (
		seed       uint64
		out        string
		set        []string
		proxyLog   bool
		cpuProfile string

		real    bool
		program string
	)
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play one day and show its results",
		Long: "Plays the scenario's day with a seed. The code of the real proxies runs on a virtual network; each rule is checked at every\n" +
			"step. With --out, results.json, table.md, table.csv and charts as SVG are written there; the same seed gives the same bytes.",
		Args: fileArgs(1, 1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := readScenario(args[0], set)
			if err != nil {
				return err
			}
			a.log.Debug().Str("scenario", s.String()).Uint64("seed", seed).Msg("playing")
			o := lab.Options{Progress: a.progress(s.Name)}
			if proxyLog {
				o.Log = a.errs
			}
			if cpuProfile != "" {
				f, err := os.Create(cpuProfile)
				if err != nil {
					return usageError{err}
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			begin := time.Now()
			var r *lab.Result
			if real {
				r, err = a.playReal(s, seed, program, out, o)
			} else {
				r, err = lab.Play(s, seed, o)
			}
			took := time.Since(begin)
			if r != nil {
				a.logSpeed(r, took)
			}
			if err != nil {
				return err
			}
			if err := r.Markdown(a.out); err != nil {
				return err
			}
			if out == "" {
				return nil
			}
			if err := r.Save(out); err != nil {
				return err
			}
			a.log.Info().Str("folder", out).Msg("wrote results and charts")
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day's random draws")
	c.Flags().StringVar(&out, "out", "", "directory for results, tables and charts")
	c.Flags().StringArrayVar(&set, "set", nil, "section.key=value that replaces a value of the scenario; may be repeated")
	c.Flags().BoolVar(&proxyLog, "proxy-log", false, "show the logs of the proxies, with the virtual time")
	c.Flags().StringVar(&cpuProfile, "cpu-profile", "", "write a CPU profile to this file")
	c.Flags().BoolVar(&real, "real", false, "play on real loopback sockets, in real time, against the program")
	c.Flags().StringVar(&program, "program", "bin/ospreyspan", "the program, with --real")
	return c
}

// maxRealDay bounds the length of a day on real sockets.
const maxRealDay = 10 * time.Minute

// playReal plays a day on real sockets. The proxies' configurations and logs go into the directory
// out, or into a temporary one if out is empty.
func (a *app) playReal(s *lab.Scenario, seed uint64, program, out string, o lab.Options) (*lab.Result, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, usageError{err}
	}
	dir := out
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "ospreylab"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r, err := lab.PlayReal(s, seed, program, dir, maxRealDay, o)
	if r == nil && err != nil {
		return nil, usageError{err}
	}
	return r, err
}

// logSpeed logs the day's virtual time, the real time and the memory that it took.
func (a *app) logSpeed(r *lab.Result, took time.Duration) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	virtual := time.Duration((r.Length + r.WarmUp) * float64(time.Second))
	a.log.Info().Str("virtual", virtual.String()).Str("took", took.Round(time.Millisecond).String()).
		Str("times", fmt.Sprintf("%.1f", virtual.Seconds()/took.Seconds())).
		Uint64("events", r.Events).Str("memory", fmt.Sprintf("%d MiB", m.Sys>>20)).Msg("played")
}

// progress returns a function that shows the progress of a day, or nil if the output is not a
// terminal.
func (a *app) progress(name string) func(at, total time.Duration) {
	if !isTerminal(a.errs) {
		return nil
	}
	return func(at, total time.Duration) {
		fmt.Fprintf(a.errs, "\r%s: %v of %v ", name, at, total)
		if at >= total {
			fmt.Fprint(a.errs, "\r\033[K")
		}
	}
}

func (a *app) listCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{
		Use:   "list",
		Short: "List the scenarios in a directory",
		Args:  fileArgs(0, 0),
		RunE: func(*cobra.Command, []string) error {
			found, err := filepath.Glob(filepath.Join(dir, "*.ini"))
			if err != nil {
				return usageError{err}
			}
			if len(found) == 0 {
				if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
					return usageError{err}
				}
			}
			for _, path := range found {
				s, err := lab.Read(path)
				if err != nil {
					fmt.Fprintf(a.out, "%-28s cannot be read: see ospreylab check %s\n", filepath.Base(path), path)
					continue
				}
				fmt.Fprintf(a.out, "%-28s %s\n", filepath.Base(path), s.Run.About)
			}
			return nil
		},
	}
	c.Flags().StringVar(&dir, "dir", "lab", "directory with scenarios")
	return c
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCENARIO...",
		Short: "Check scenarios and report all mistakes with their lines",
		Args:  fileArgs(1, 1000),
		RunE: func(_ *cobra.Command, args []string) error {
			var all inifile.Problems
			for _, path := range args {
				s, err := readScenario(path, nil)
				var problems inifile.Problems
				switch {
				case errors.As(err, &problems):
					all = append(all, problems...)
				case err != nil:
					return err
				default:
					fmt.Fprintf(a.out, "%s: fine\n", s)
				}
			}
			if len(all) > 0 {
				return all
			}
			return nil
		},
	}
}
