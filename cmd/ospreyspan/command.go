package main

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ospreyspan/internal/inifile"
	"ospreyspan/internal/keeper"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/operator"
)

// The exit codes: 1, it could not start or go on; 2, the command line or a file is wrong.
const (
	exitFailed       = 1
	exitInvalidInput = 2
)

// app is what the commands share.
type app struct {
	env          func(string) string
	out, errOut  io.Writer
	operatorFile string
}

// execute carries out a execute line and returns the exit code. Without arguments it serves, as the platform starts it,
// and nothing of the execute line is made ready for that.
func execute(args []string, env func(string) string, out, errOut io.Writer) int {
	a := &app{env: env, out: out, errOut: errOut, operatorFile: env("OSPREYSPAN_OPERATOR")}
	var err error
	if len(args) == 0 {
		err = run(env, a.operatorFile, errOut)
	} else {
		root := a.rootCommand()
		root.SetArgs(args)
		root.SetOut(out)
		root.SetErr(errOut)
		err = root.Execute()
	}
	var (
		problems inifile.Problems
		invalid  inputError
	)
	switch {
	case err == nil:
		return 0
	case errors.As(err, &problems):
		fmt.Fprintln(errOut, err)
		return exitInvalidInput
	case errors.As(err, &invalid):
		fmt.Fprintln(errOut, "ospreyspan:", err)
		return exitInvalidInput
	}
	fmt.Fprintln(errOut, "ospreyspan:", err)
	return exitFailed
}

// inputError marks a mistake of the command line.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

func (a *app) rootCommand() *cobra.Command {
	serve := func(*cobra.Command, []string) error { return run(a.env, a.operatorFile, a.errOut) }
	root := &cobra.Command{
		Use: "ospreyspan", Short: "A proxy for long-lived connections; alone, it serves",
		SilenceUsage: true, SilenceErrors: true, Args: noArgs, RunE: serve,
	}
	root.PersistentFlags().StringVar(&a.operatorFile, "operator", a.operatorFile, "the operator's own file; also OSPREYSPAN_OPERATOR")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return inputError{err} })
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve, as without a command", Args: noArgs, RunE: serve},
		&cobra.Command{Use: "check", Short: "Check EDGE_CONFIG, where it is set, and the operator's file", Args: noArgs, RunE: a.check},
		&cobra.Command{Use: "version", Short: "Print what this was built from", Args: noArgs, RunE: a.version},
		a.viewCommand("peers", "Show the members as a running process sees them", a.printPeers),
		a.viewCommand("duties", "Show duties and owners as a running process sees them", a.printDuties),
		a.viewCommand("verdicts", "Show which targets the fleet holds to be bad, as a running process sees it", a.printShared("verdict", "TARGET\tVERDICT\tAGE\tBY", "%d targets; all others are sound")),
		a.viewCommand("limits", "Show what all proxies together may take, and what is known of its use", a.printShared("limit", "LIMIT\tSTATE\tAGE\tUSE AND BOUND", "%d limits")),
		a.keepersCommand(),
	)
	return root
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return inputError{fmt.Errorf("%s: takes no arguments, got %q", c.Name(), args)}
	}
	return nil
}

func (a *app) check(*cobra.Command, []string) error {
	var errs []error
	checked := 0
	if a.env("EDGE_CONFIG") != "" {
		checked++
		_, err := loadConfig(a.env)
		errs = append(errs, err)
	}
	if a.operatorFile != "" {
		checked++
		_, err := operator.Read(a.operatorFile)
		errs = append(errs, err)
	}
	if checked == 0 {
		return inputError{errors.New("check: neither EDGE_CONFIG nor --operator names a file")}
	}
	if err := errors.Join(errs...); err != nil {
		return inputError{err}
	}
	fmt.Fprintf(a.out, "files checked: %d, nothing is wrong\n", checked)
	return nil
}

func (a *app) version(*cobra.Command, []string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("version: not known")
	}
	revision := "unknown revision"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Fprintf(a.out, "ospreyspan, %s, %s\n", revision, info.GoVersion)
	return nil
}

// queryEndpoint is where a question goes: --of, else the operator's file's own address.
func (a *app) queryEndpoint(process string) (cluster string, addr netip.AddrPort, err error) {
	if a.operatorFile == "" {
		return "", addr, inputError{errors.New("--operator: names the file that has the fleet's cluster")}
	}
	config, err := operator.Read(a.operatorFile)
	if err != nil {
		return "", addr, err
	}
	if !config.Fleet.On {
		return "", addr, inputError{fmt.Errorf("%s: has no section [fleet]", a.operatorFile)}
	}
	addr = config.Fleet.Listen.AddrPort
	if process != "" {
		if addr, err = netip.ParseAddrPort(process); err != nil {
			return "", addr, inputError{fmt.Errorf("--of: %w", err)}
		}
	}
	return config.Fleet.Cluster, addr, nil
}

// queryTimeout is how long a question may take in all.
const queryTimeout = 3 * time.Second

func (a *app) viewCommand(use, short string, show func(*mesh.View) error) *cobra.Command {
	var process string
	c := &cobra.Command{Use: use, Short: short, Args: noArgs, RunE: func(*cobra.Command, []string) error {
		cluster, addr, err := a.queryEndpoint(process)
		if err != nil {
			return err
		}
		view, err := mesh.Ask(cluster, addr, queryTimeout)
		if err != nil {
			return err
		}
		return show(view)
	}}
	c.Flags().StringVar(&process, "of", "", "the process that is asked, HOST:PORT; otherwise that of the operator's file")
	return c
}

func (a *app) printPeers(view *mesh.View) error {
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tADDRESS\tZONE\tSTATE\tINCARNATION\tSESSION")
	for _, m := range view.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%x\n", m.Name, m.Addr, m.Zone, m.State, m.Incarnation, m.Session)
	}
	fmt.Fprintf(w, "%d members\n", len(view.Members))
	return w.Flush()
}

func (a *app) printDuties(view *mesh.View) error {
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tOWNER\tTOKEN\tWORD\tAGE\tREFUSES BELOW\tHERE")
	for _, d := range view.Leases {
		age, owner := "unknown", d.Holder
		if d.AgeMS >= 0 {
			age = (time.Duration(d.AgeMS) * time.Millisecond).String()
		}
		if owner == "" {
			owner = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%v\n", d.Lease, owner, d.Token, d.Version, age, d.Floor, d.Mine)
	}
	if k := view.Keeper; k != nil {
		fmt.Fprintf(w, "keeper %d: leader %d, term %d, applied %d, voters %v, refused %d\n", k.ID, k.Leader, k.Term, k.Applied, k.Voters, k.Refused)
	} else {
		fmt.Fprintln(w, "not a keeper")
	}
	return w.Flush()
}

// printShared returns what prints the lines on one matter that has no owner.
func (a *app) printShared(kind, header, summary string) func(*mesh.View) error {
	return func(view *mesh.View) error {
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, header)
		count := 0
		for _, entry := range view.Shared {
			if entry.Matter == kind {
				count++
				fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", entry.Name, entry.State, time.Duration(entry.AgeMS)*time.Millisecond, entry.Text)
			}
		}
		fmt.Fprintf(w, summary+"\n", count)
		return w.Flush()
	}
}

func (a *app) keepersCommand() *cobra.Command {
	c := &cobra.Command{Use: "keepers", Short: "Set keepers up, add and remove them"}
	initCommand := &cobra.Command{Use: "init", Short: "Make this keeper's log, once, when its fleet is first set up", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			if a.operatorFile == "" {
				return inputError{errors.New("keepers init: --operator names no file")}
			}
			config, err := operator.Read(a.operatorFile)
			if err != nil {
				return err
			}
			if config.Self == 0 {
				return inputError{fmt.Errorf("%s: [fleet] listen is none of [keepers] members", a.operatorFile)}
			}
			id, err := randomSessionID()
			if err != nil {
				return err
			}
			if err := keeper.Create(config.Keepers.Dir, id); err != nil {
				return err
			}
			fmt.Fprintf(a.out, "keeper %d: log made in %s\n", config.Self, config.Keepers.Dir)
			return nil
		}}
	c.AddCommand(initCommand)
	for _, add := range []bool{true, false} {
		use, short := "remove ID", "Remove a voter; asks the leader, one change at a time"
		if add {
			use, short = "add ID", "Add a voter; asks the leader, one change at a time"
		}
		var process string
		changeCommand := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil || id == 0 {
				return inputError{fmt.Errorf("%s: %q is not a keeper's number", strings.Fields(use)[0], args[0])}
			}
			cluster, addr, err := a.queryEndpoint(process)
			if err != nil {
				return err
			}
			answer, err := mesh.ChangeVoters(cluster, addr, add, id, queryTimeout)
			if err != nil {
				return err
			}
			fmt.Fprintln(a.out, answer)
			return nil
		}}
		changeCommand.Flags().StringVar(&process, "of", "", "the leading keeper, HOST:PORT")
		c.AddCommand(changeCommand)
	}
	return c
}
