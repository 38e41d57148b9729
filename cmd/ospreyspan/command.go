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

// Exit codes: 1 if the program could not start or had to end because of an error, 2 if the command
// line, the operator file or a checked file is invalid.
const (
	exitFailed       = 1
	exitInvalidInput = 2
)

// app holds what all commands of the program share.
type app struct {
	env          func(string) string
	out, errOut  io.Writer
	operatorFile string
}

// execute runs the command that args name and returns the exit code. Without arguments, as the
// platform starts the program, it serves and does not build the command tree.
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

// inputError marks an error in the command line, or in a file that the command line names, for
// which the program exits with exitInvalidInput.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

func (a *app) rootCommand() *cobra.Command {
	serve := func(*cobra.Command, []string) error { return run(a.env, a.operatorFile, a.errOut) }
	root := &cobra.Command{
		Use: "ospreyspan", Short: "A proxy for long-lived connections; without a command it serves",
		SilenceUsage: true, SilenceErrors: true, Args: noArgs, RunE: serve,
	}
	root.PersistentFlags().StringVar(&a.operatorFile, "operator", a.operatorFile, "the operator file; the default is taken from OSPREYSPAN_OPERATOR")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return inputError{err} })
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve; the default if no command is given", Args: noArgs, RunE: serve},
		&cobra.Command{Use: "check", Short: "Check the file that EDGE_CONFIG names, if it is set, and the operator file", Args: noArgs, RunE: a.check},
		&cobra.Command{Use: "version", Short: "Print the source revision and the Go version of this build", Args: noArgs, RunE: a.version},
		a.viewCommand("peers", "Show the fleet's members as a running process sees them", a.printPeers),
		a.viewCommand("duties", "Show the duties and their owners as a running process sees them", a.printDuties),
		a.viewCommand("verdicts", "Show the targets that the fleet judges unsound, as a running process sees them", a.printShared("verdict", "TARGET\tVERDICT\tAGE\tBY", "%d targets; all others are sound")),
		a.viewCommand("limits", "Show the limits that all proxies share, and their known use", a.printShared("limit", "LIMIT\tSTATE\tAGE\tUSE AND BOUND", "%d limits")),
		a.keepersCommand(),
	)
	return root
}

// noArgs rejects any positional argument.
func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return inputError{fmt.Errorf("%s: takes no arguments, got %q", c.Name(), args)}
	}
	return nil
}

// check validates the files that are configured, without serving.
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
	fmt.Fprintf(a.out, "files checked: %d, no errors found\n", checked)
	return nil
}

func (a *app) version(*cobra.Command, []string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("version: the program was built without build information")
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

// queryEndpoint returns the cluster and the address that a query is sent to: the address given as
// process (the flag --of) or, if that is empty, the listen address of the operator file.
func (a *app) queryEndpoint(process string) (cluster string, addr netip.AddrPort, err error) {
	if a.operatorFile == "" {
		return "", addr, inputError{errors.New("--operator: not set; the operator file names the fleet's cluster")}
	}
	config, err := operator.Read(a.operatorFile)
	if err != nil {
		return "", addr, err
	}
	if !config.Fleet.Enabled {
		return "", addr, inputError{fmt.Errorf("%s: section [fleet] is missing", a.operatorFile)}
	}
	addr = config.Fleet.Listen.AddrPort
	if process != "" {
		if addr, err = netip.ParseAddrPort(process); err != nil {
			return "", addr, inputError{fmt.Errorf("--of: %w", err)}
		}
	}
	return config.Fleet.Cluster, addr, nil
}

// queryTimeout bounds a whole query to a running process, from sending it to its answer.
const queryTimeout = 3 * time.Second

// viewCommand returns a command that queries a running process for its view of the fleet and shows
// it.
func (a *app) viewCommand(use, short string, show func(*mesh.View) error) *cobra.Command {
	var process string
	c := &cobra.Command{Use: use, Short: short, Args: noArgs, RunE: func(*cobra.Command, []string) error {
		cluster, addr, err := a.queryEndpoint(process)
		if err != nil {
			return err
		}
		view, err := mesh.FetchView(cluster, addr, queryTimeout)
		if err != nil {
			return err
		}
		return show(view)
	}}
	c.Flags().StringVar(&process, "of", "", "the process to query, HOST:PORT; by default the address in the operator file")
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

// printShared returns a function that prints a table of one kind of shared state that has no owner:
// "verdict" or "limit". summary is the format of the last line, which gets the number of rows.
func (a *app) printShared(kind, header, summary string) func(*mesh.View) error {
	return func(view *mesh.View) error {
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, header)
		count := 0
		for _, entry := range view.Shared {
			if entry.Topic == kind {
				count++
				fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", entry.Name, entry.State, time.Duration(entry.AgeMS)*time.Millisecond, entry.Text)
			}
		}
		fmt.Fprintf(w, summary+"\n", count)
		return w.Flush()
	}
}

// keepersCommand returns the commands that set up keepers and change which keepers vote.
func (a *app) keepersCommand() *cobra.Command {
	c := &cobra.Command{Use: "keepers", Short: "Set up, add and remove keepers"}
	initCommand := &cobra.Command{Use: "init", Short: "Create this keeper's log; only once, when its fleet is first set up", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			if a.operatorFile == "" {
				return inputError{errors.New("keepers init: --operator is not set")}
			}
			config, err := operator.Read(a.operatorFile)
			if err != nil {
				return err
			}
			if config.KeeperID == 0 {
				return inputError{fmt.Errorf("%s: [fleet] listen: not the address of any keeper in [keepers] members", a.operatorFile)}
			}
			id, err := randomSessionID()
			if err != nil {
				return err
			}
			if err := keeper.Create(config.Keepers.LogDir, id); err != nil {
				return err
			}
			fmt.Fprintf(a.out, "keeper %d: log created in %s\n", config.KeeperID, config.Keepers.LogDir)
			return nil
		}}
	c.AddCommand(initCommand)
	for _, add := range []bool{true, false} {
		use, short := "remove ID", "Remove a voter, through the leader; one change at a time"
		if add {
			use, short = "add ID", "Add a voter, through the leader; one change at a time"
		}
		var process string
		changeCommand := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil || id == 0 {
				return inputError{fmt.Errorf("%s: %q is not a keeper ID, a whole number from 1 to 4294967295", strings.Fields(use)[0], args[0])}
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
		changeCommand.Flags().StringVar(&process, "of", "", "the keeper that leads, HOST:PORT")
		c.AddCommand(changeCommand)
	}
	return c
}
