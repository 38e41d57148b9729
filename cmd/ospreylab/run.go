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

// read reads a scenario; one that is not there is a mistake of the command line.
func read(path string, set []string) (*lab.Scenario, error) {
	s, err := lab.Read(path, set...)
	var problems inifile.Problems
	if err != nil && !errors.As(err, &problems) {
		return nil, wrong{err}
	}
	return s, err
}

func (a *app) runCommand() *cobra.Command {
	var (
		seed  uint64
		out   string
		set   []string
		trace bool
		prof  string

		real    bool
		program string
	)
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play one day and show what came of it",
		Long: "Plays the scenario's day for a seed. The proxies' own code runs on a virtual network; each rule is checked at every\n" +
			"step. With --out, results.json, table.md, table.csv and charts as SVG are written there; the same seed gives the same bytes.",
		Args: files(1, 1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := read(args[0], set)
			if err != nil {
				return err
			}
			a.log.Debug().Str("scenario", s.String()).Uint64("seed", seed).Msg("playing")
			o := lab.Options{Progress: a.progress(s.Name)}
			if trace {
				o.Log = a.errs
			}
			if prof != "" {
				f, err := os.Create(prof)
				if err != nil {
					return wrong{err}
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
				a.speed(r, took)
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
			a.log.Info().Str("folder", out).Msg("results and charts are written")
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "what the day is drawn from")
	c.Flags().StringVar(&out, "out", "", "folder for results, tables and charts")
	c.Flags().StringArrayVar(&set, "set", nil, "section.key=value, in place of what the scenario says; may be given again")
	c.Flags().BoolVar(&trace, "proxy-log", false, "show the proxies' own logs, with the virtual time")
	c.Flags().StringVar(&prof, "cpu-profile", "", "write a profile of the processor's time to this file")
	c.Flags().BoolVar(&real, "real", false, "play on real loopback sockets, in real time, against the program")
	c.Flags().StringVar(&program, "program", "bin/ospreyspan", "the program, with --real")
	return c
}

// mostReal bounds a day on real sockets.
const mostReal = 10 * time.Minute

// playReal plays on real sockets. The proxies' configurations and logs go into the folder for results, or a temporary one.
func (a *app) playReal(s *lab.Scenario, seed uint64, program, out string, o lab.Options) (*lab.Result, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, wrong{err}
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
	r, err := lab.PlayReal(s, seed, program, dir, mostReal, o)
	if r == nil && err != nil {
		return nil, wrong{err}
	}
	return r, err
}

// speed logs how fast the day went by, and what it took.
func (a *app) speed(r *lab.Result, took time.Duration) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	virtual := time.Duration((r.Length + r.WarmUp) * float64(time.Second))
	a.log.Info().Str("virtual", virtual.String()).Str("took", took.Round(time.Millisecond).String()).
		Str("times", fmt.Sprintf("%.1f", virtual.Seconds()/took.Seconds())).
		Uint64("events", r.Events).Str("memory", fmt.Sprintf("%d MiB", m.Sys>>20)).Msg("played")
}

// progress shows on a terminal how far a day is.
func (a *app) progress(name string) func(at, total time.Duration) {
	if !terminal(a.errs) {
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
		Short: "List the scenarios of a folder",
		Args:  files(0, 0),
		RunE: func(*cobra.Command, []string) error {
			found, err := filepath.Glob(filepath.Join(dir, "*.ini"))
			if err != nil {
				return wrong{err}
			}
			if len(found) == 0 {
				if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
					return wrong{err}
				}
			}
			for _, path := range found {
				s, err := lab.Read(path)
				if err != nil {
					fmt.Fprintf(a.out, "%-28s can't be read: see ospreylab check %s\n", filepath.Base(path), path)
					continue
				}
				fmt.Fprintf(a.out, "%-28s %s\n", filepath.Base(path), s.Run.About)
			}
			return nil
		},
	}
	c.Flags().StringVar(&dir, "dir", "lab", "folder with scenarios")
	return c
}

func (a *app) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check SCENARIO...",
		Short: "Look for mistakes in scenarios: all of them, with their lines",
		Args:  files(1, 1000),
		RunE: func(_ *cobra.Command, args []string) error {
			var all inifile.Problems
			for _, path := range args {
				s, err := read(path, nil)
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
