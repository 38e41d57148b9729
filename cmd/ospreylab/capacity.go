package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"ospreyspan/internal/lab/capacity"
	"ospreyspan/internal/lab/capacity/datapath"
	"ospreyspan/internal/lab/capacity/modules"
	"ospreyspan/internal/lab/hollow"
)

// maxCapacitySeeds bounds how long a measurement takes.
const maxCapacitySeeds = 20

// capacityOptions holds the flags of the capacity command.
type capacityOptions struct {
	seeds         int
	first         uint64
	data, modules bool
	control       bool
	program       string
	samples       string
	command       string
	slopes        string
	page          string
	out           string
}

func (a *app) capacityCommand() *cobra.Command {
	var o capacityOptions
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the cost of each role by the quantities that grow, and fit lines to it",
		Long: "Measures costs at several sizes, fits a line to each with its 95 % interval, warns where the points are not on a line, and\n" +
			"computes the costs at the planned size. Without --data, --modules, --control and --samples it measures everything.",
		Args: fileArgs(0, 0),
		RunE: func(*cobra.Command, []string) error { return a.capacity(&o) },
	}
	c.Flags().IntVar(&o.seeds, "seeds", 3, "runs")
	c.Flags().Uint64Var(&o.first, "first", 1, "the first seed")
	c.Flags().BoolVar(&o.data, "data", false, "the data path: a real process with standing connections and lines, on loopback")
	c.Flags().BoolVar(&o.modules, "modules", false, "parts of a process alone: lists, announcements, decisions, the keepers' state and log")
	c.Flags().BoolVar(&o.control, "control", false, "the control plane: emulated fleets by members, servers, changes and failures")
	c.Flags().StringVar(&o.program, "program", "bin/ospreyspan", "with --data: the program")
	c.Flags().StringVar(&o.samples, "samples", "", "file of samples of an earlier measurement, which are used instead of measuring")
	c.Flags().StringVar(&o.command, "command", "", "with --samples: the command that produced them")
	c.Flags().StringVar(&o.slopes, "slopes", "", "file of slopes to update with the measured ones; other slopes in it are kept")
	c.Flags().StringVar(&o.page, "page", "", "page whose marked tables are rewritten from the slopes")
	c.Flags().StringVar(&o.out, "out", "", "folder for slopes.json, slopes.md, the samples of each part and a chart for each role and driver")
	return c
}

func (a *app) capacity(o *capacityOptions) error {
	if o.seeds < 1 || o.seeds > maxCapacitySeeds {
		return usageError{fmt.Errorf("--seeds %d: not from 1 to %d", o.seeds, maxCapacitySeeds)}
	}
	if (o.samples == "") != (o.command == "") {
		return usageError{errors.New("--samples and --command go together")}
	}
	stop, err := capacity.GuardMemory(func() {
		fmt.Fprintln(a.errs, "ospreylab: capacity: ended because it used half of the machine's memory")
		os.Exit(exitFailed) // child processes are killed with their parent
	})
	if err != nil {
		return err
	}
	defer stop()
	all := &capacity.Slopes{}
	if o.slopes != "" {
		if all, err = capacity.ReadSlopes(o.slopes); err != nil {
			return usageError{err}
		}
	}
	samples, err := a.capacitySamples(o, all)
	if err != nil {
		return err
	}
	if err := all.Markdown(a.out); err != nil {
		return err
	}
	if o.page != "" {
		if err := capacity.RewritePage(o.page, all); err != nil {
			return err
		}
	}
	if o.out == "" {
		return nil
	}
	return all.Save(o.out, samples)
}

// capacitySamples runs the requested measurements, adds their slopes to all and returns the samples
// of each part.
func (a *app) capacitySamples(o *capacityOptions, all *capacity.Slopes) (map[string][]capacity.Sample, error) {
	if o.samples != "" {
		list, err := capacity.ReadSamples(o.samples)
		if err != nil {
			return nil, usageError{err}
		}
		a.addSlopes(all, list, o.command)
	}
	measureAll := !o.data && !o.modules && !o.control && o.samples == "" && o.page == ""
	samples := make(map[string][]capacity.Sample)
	for _, part := range []struct {
		name    string
		wanted  bool
		measure func(*capacityOptions) ([]capacity.Sample, error)
	}{{"modules", o.modules, a.moduleSamples}, {"data", o.data, a.dataSamples}, {"control", o.control, a.controlSamples}} {
		if !part.wanted && !measureAll {
			continue
		}
		list, err := part.measure(o)
		if err != nil {
			return nil, err
		}
		samples[part.name] = list
		a.addSlopes(all, list, fmt.Sprintf("bin/ospreylab capacity --%s --seeds %d", part.name, o.seeds))
	}
	return samples, nil
}

// addSlopes fits lines to samples and replaces their slopes in all.
func (a *app) addSlopes(all *capacity.Slopes, samples []capacity.Sample, command string) {
	slopes, unfitted := capacity.Group(samples, command)
	all.Replace(slopes)
	for _, key := range unfitted {
		a.log.Warn().Msgf("%v: no slope: fewer than three sizes were measured", key)
	}
}

func (o *capacityOptions) seedList() []uint64 {
	list := make([]uint64, o.seeds)
	for i := range list {
		list[i] = o.first + uint64(i)
	}
	return list
}

func (a *app) moduleSamples(o *capacityOptions) ([]capacity.Sample, error) {
	dir, err := os.MkdirTemp("", "ospreylab-capacity-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	m := modules.Defaults()
	m.Seeds, m.Dir, m.Log = o.seedList(), dir, a.errs
	return modules.Measure(m)
}

func (a *app) dataSamples(o *capacityOptions) ([]capacity.Sample, error) {
	m := datapath.Defaults()
	m.Program, m.Seeds, m.Log = o.program, o.seedList(), a.errs
	return datapath.Measure(m)
}

func (a *app) controlSamples(o *capacityOptions) ([]capacity.Sample, error) {
	return hollow.Measure(hollow.Options{Seeds: o.seedList(), Log: a.errs})
}
