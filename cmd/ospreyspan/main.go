// Command ospreyspan is one proxy: it accepts clients' long-lived connections, asks the decision module where
// each goes and passes its lines between the client and the egress target.
package main

import (
	"bytes"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
)

func main() { os.Exit(command(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// signals passes the process's signals to the loop.
type signals struct {
	stop, print, reload atomic.Bool
	caught              chan os.Signal
}

// catch is the first thing that the program does: a signal that comes before would end the process. What comes before watch waits.
func (s *signals) catch() {
	s.caught = make(chan os.Signal, 8)
	signal.Notify(s.caught, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
}

func (s *signals) watch(loop *poll.Loop) {
	go func() {
		for sig := range s.caught {
			switch sig {
			case syscall.SIGUSR1:
				s.print.Store(true)
			case syscall.SIGHUP:
				s.reload.Store(true)
			default:
				s.stop.Store(true)
			}
			loop.Wake()
		}
	}()
}

// systemCalls are those that the loop makes; a test has them fail.
var systemCalls = poll.LinuxCalls()

// run serves until a planned stop is over. own is the operator's file, empty for none.
func run(env func(string) string, own string, out io.Writer) error {
	var sig signals
	sig.catch()
	var c *config
	err := patiently(func() (err error) {
		c, err = loadConfig(env)
		return err
	})
	if err != nil {
		return err
	}
	var shared *sharing
	if own != "" {
		if shared, err = loadSharing(own, out); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(1) // one core is all there is; a second thread of Go's would only be switched to
	limitMemory(c)
	logger := log.New(shared.writer(out), "", 0)
	var proxy *instance.Instance
	wake := func() {
		if sig.print.Swap(false) {
			proxy.Count.Print(out)
			shared.print(proxy, out)
		}
		if sig.reload.Swap(false) {
			c = reload(c, env, proxy, logger)
			shared.reload(proxy, logger)
		}
		if sig.stop.Swap(false) {
			proxy.Drain()
		}
	}
	var loop *poll.Loop
	err = patiently(func() (err error) {
		loop, err = poll.NewWithCalls(systemCalls, wake)
		return err
	})
	if err != nil {
		return err
	}
	defer loop.Close()
	sig.watch(loop)
	fleet, err := shared.fleet(c, loop, logger)
	if err != nil {
		return err
	}
	defer shared.close()
	proxy, err = instance.New(loop, instance.Config{
		Fleet: fleet, Name: c.Name, Listen: c.Listen, Discovery: c.Discovery, Seed: uint64(c.Seed), Sockets: c.Limits.Sockets,
		Known: &c.Known, Settings: c.settings, Log: logger, Retry: patiently,
	})
	if err != nil {
		return err
	}
	for !proxy.Done() {
		if err := proxy.Turn(); err != nil {
			return err
		}
	}
	proxy.Count.Print(out)
	shared.print(proxy, out)
	return nil
}

// limitMemory has the garbage collector keep well under what the process may use.
func limitMemory(c *config) {
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(c.Limits.MemoryMB << 20 / 4 * 3)
	}
}

// reload takes what a replaced configuration may change while the program serves, and returns the one in force.
// One that can't be used changes nothing at all. Connections, whatever their state, go on.
func reload(old *config, env func(string) string, i *instance.Instance, logger *log.Logger) *config {
	c, err := reloadConfig(env)
	if err != nil {
		logger.Printf("reload: the old configuration stays: %v", err)
		return old
	}
	for _, kept := range []struct {
		what string
		same bool
	}{
		{"name", c.Name == old.Name}, {"listen", c.Listen == old.Listen},
		{"settings", bytes.Equal(c.Settings, old.Settings)},
	} {
		if !kept.same {
			logger.Printf("reload: %s: has changed, which takes a new start", kept.what)
		}
	}
	// What a later reload is compared with is what runs, not what the file said in between.
	c.Name, c.Listen, c.Settings, c.settings = old.Name, old.Listen, old.Settings, old.settings
	limitMemory(c)
	i.Reload(c.Discovery, c.Limits.Sockets)
	logger.Printf("reload: discovery at %s", c.Discovery)
	return c
}
