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
	exitFailed = 1
	exitWrong  = 2
)

// app is what the commands share.
type app struct {
	env       func(string) string
	out, errs io.Writer
	operator  string
}

// command carries out a command line and returns the exit code. Without arguments it serves, as the platform starts it,
// and nothing of the command line is made ready for that.
func command(args []string, env func(string) string, out, errs io.Writer) int {
	a := &app{env: env, out: out, errs: errs, operator: env("OSPREYSPAN_OPERATOR")}
	var err error
	if len(args) == 0 {
		err = run(env, a.operator, errs)
	} else {
		root := a.root()
		root.SetArgs(args)
		root.SetOut(out)
		root.SetErr(errs)
		err = root.Execute()
	}
	var (
		problems inifile.Problems
		bad      wrong
	)
	switch {
	case err == nil:
		return 0
	case errors.As(err, &problems):
		fmt.Fprintln(errs, err)
		return exitWrong
	case errors.As(err, &bad):
		fmt.Fprintln(errs, "ospreyspan:", err)
		return exitWrong
	}
	fmt.Fprintln(errs, "ospreyspan:", err)
	return exitFailed
}

// wrong marks a mistake of the command line.
type wrong struct{ error }

func (w wrong) Unwrap() error { return w.error }

func (a *app) root() *cobra.Command {
	serve := func(*cobra.Command, []string) error { return run(a.env, a.operator, a.errs) }
	root := &cobra.Command{
		Use: "ospreyspan", Short: "A proxy for long-lived connections; alone, it serves",
		SilenceUsage: true, SilenceErrors: true, Args: noArgs, RunE: serve,
	}
	root.PersistentFlags().StringVar(&a.operator, "operator", a.operator, "the operator's own file; also OSPREYSPAN_OPERATOR")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return wrong{err} })
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve, as without a command", Args: noArgs, RunE: serve},
		&cobra.Command{Use: "check", Short: "Check EDGE_CONFIG, where it is set, and the operator's file", Args: noArgs, RunE: a.check},
		&cobra.Command{Use: "version", Short: "Print what this was built from", Args: noArgs, RunE: a.version},
		a.viewCommand("peers", "Show the members as a running process sees them", a.printPeers),
		a.viewCommand("duties", "Show duties and owners as a running process sees them", a.printDuties),
		a.viewCommand("verdicts", "Show which targets the fleet holds to be bad, as a running process sees it", a.printShared("verdict", "TARGET\tVERDICT\tAGE\tBY", "%d targets; all others are sound")),
		a.viewCommand("limits", "Show what all proxies together may take, and what is known of its use", a.printShared("limit", "LIMIT\tSTATE\tAGE\tUSE AND BOUND", "%d limits")),
		a.keepers(),
	)
	return root
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return wrong{fmt.Errorf("%s: takes no arguments, got %q", c.Name(), args)}
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
	if a.operator != "" {
		checked++
		_, err := operator.Read(a.operator)
		errs = append(errs, err)
	}
	if checked == 0 {
		return wrong{errors.New("check: neither EDGE_CONFIG nor --operator names a file")}
	}
	if err := errors.Join(errs...); err != nil {
		return wrong{err}
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

// asked is where a question goes: --of, else the operator's file's own address.
func (a *app) asked(of string) (cluster string, at netip.AddrPort, err error) {
	if a.operator == "" {
		return "", at, wrong{errors.New("--operator: names the file that has the fleet's cluster")}
	}
	c, err := operator.Read(a.operator)
	if err != nil {
		return "", at, err
	}
	if !c.Fleet.Enabled {
		return "", at, wrong{fmt.Errorf("%s: has no section [fleet]", a.operator)}
	}
	at = c.Fleet.Listen.AddrPort
	if of != "" {
		if at, err = netip.ParseAddrPort(of); err != nil {
			return "", at, wrong{fmt.Errorf("--of: %w", err)}
		}
	}
	return c.Fleet.Cluster, at, nil
}

// askWait is how long a question may take in all.
const askWait = 3 * time.Second

func (a *app) viewCommand(use, short string, show func(*mesh.View) error) *cobra.Command {
	var of string
	c := &cobra.Command{Use: use, Short: short, Args: noArgs, RunE: func(*cobra.Command, []string) error {
		cluster, at, err := a.asked(of)
		if err != nil {
			return err
		}
		v, err := mesh.Ask(cluster, at, askWait)
		if err != nil {
			return err
		}
		return show(v)
	}}
	c.Flags().StringVar(&of, "of", "", "the process that is asked, HOST:PORT; otherwise that of the operator's file")
	return c
}

func (a *app) printPeers(v *mesh.View) error {
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tADDRESS\tZONE\tSTATE\tINCARNATION\tSESSION")
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%x\n", m.Name, m.Addr, m.Zone, m.State, m.Incarnation, m.Session)
	}
	fmt.Fprintf(w, "%d members\n", len(v.Members))
	return w.Flush()
}

func (a *app) printDuties(v *mesh.View) error {
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tOWNER\tTOKEN\tWORD\tAGE\tREFUSES BELOW\tHERE")
	for _, d := range v.Leases {
		age, owner := "unknown", d.Holder
		if d.AgeMS >= 0 {
			age = (time.Duration(d.AgeMS) * time.Millisecond).String()
		}
		if owner == "" {
			owner = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%v\n", d.Lease, owner, d.Token, d.Version, age, d.Floor, d.Mine)
	}
	if k := v.Keeper; k != nil {
		fmt.Fprintf(w, "keeper %d: leader %d, term %d, applied %d, voters %v, refused %d\n", k.ID, k.Leader, k.Term, k.Applied, k.Voters, k.Refused)
	} else {
		fmt.Fprintln(w, "not a keeper")
	}
	return w.Flush()
}

// printShared returns what prints the lines on one matter that has no owner.
func (a *app) printShared(matter, head, end string) func(*mesh.View) error {
	return func(v *mesh.View) error {
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, head)
		n := 0
		for _, x := range v.Shared {
			if x.Matter == matter {
				n++
				fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", x.Name, x.State, time.Duration(x.AgeMS)*time.Millisecond, x.Text)
			}
		}
		fmt.Fprintf(w, end+"\n", n)
		return w.Flush()
	}
}

func (a *app) keepers() *cobra.Command {
	c := &cobra.Command{Use: "keepers", Short: "Set keepers up, add and remove them"}
	init := &cobra.Command{Use: "init", Short: "Make this keeper's log, once, when its fleet is first set up", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			if a.operator == "" {
				return wrong{errors.New("keepers init: --operator names no file")}
			}
			conf, err := operator.Read(a.operator)
			if err != nil {
				return err
			}
			if conf.KeeperID == 0 {
				return wrong{fmt.Errorf("%s: [fleet] listen is none of [keepers] members", a.operator)}
			}
			id, err := drawSession()
			if err != nil {
				return err
			}
			if err := keeper.Create(conf.Keepers.Dir, id); err != nil {
				return err
			}
			fmt.Fprintf(a.out, "keeper %d: log made in %s\n", conf.KeeperID, conf.Keepers.Dir)
			return nil
		}}
	c.AddCommand(init)
	for _, add := range []bool{true, false} {
		use, short := "remove ID", "Remove a voter; asks the leader, one change at a time"
		if add {
			use, short = "add ID", "Add a voter; asks the leader, one change at a time"
		}
		var of string
		change := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			id, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil || id == 0 {
				return wrong{fmt.Errorf("%s: %q is not a keeper's number", strings.Fields(use)[0], args[0])}
			}
			cluster, at, err := a.asked(of)
			if err != nil {
				return err
			}
			answer, err := mesh.ChangeVoters(cluster, at, add, id, askWait)
			if err != nil {
				return err
			}
			fmt.Fprintln(a.out, answer)
			return nil
		}}
		change.Flags().StringVar(&of, "of", "", "the leading keeper, HOST:PORT")
		c.AddCommand(change)
	}
	return c
}
