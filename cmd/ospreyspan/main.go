// Command ospreyspan is one proxy: it accepts clients' long-lived connections, asks the decision module where
// each goes and passes its lines between the client and the egress target.
package main

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"ospreyspan/internal/poll"
	"ospreyspan/internal/proxy"
	"ospreyspan/internal/stats"
)

func main() {
	if err := run(os.Getenv, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "ospreyspan:", err)
		os.Exit(1)
	}
}

// signals passes the process's signals to the loop.
type signals struct{ stop, print, reload atomic.Bool }

func (s *signals) watch(loop *poll.Loop) {
	c := make(chan os.Signal, 8)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
	go func() {
		for sig := range c {
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

// run serves until a planned stop is over.
func run(env func(string) string, out io.Writer) error {
	c, err := loadConfig(env)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // one core is all there is; a second thread of Go's would only be switched to
	limitMemory(c)
	logger := log.New(out, "", 0)
	count := &stats.Counters{}
	var (
		sig    signals
		engine *proxy.Engine
		front  *proxy.Lines
		done   bool
	)
	loop, err := poll.New(func() {
		if sig.print.Swap(false) {
			count.Print(out)
		}
		if sig.reload.Swap(false) {
			c = reload(c, env, engine, front, logger)
		}
		if sig.stop.Swap(false) {
			front.Drain(func() { done = true })
		}
	})
	if err != nil {
		return err
	}
	defer loop.Close()
	sig.watch(loop) // before clients are taken: a signal that came earlier would end the process
	engine, err = proxy.NewEngine(proxy.EngineConfig{
		Loop: loop, Settings: c.settings, Known: &c.Known, Discovery: c.Discovery, Seed: uint64(c.Seed),
		Count: count, Log: logger,
	})
	if err != nil {
		return err
	}
	front = proxy.NewLines(engine, c.Limits.Sockets)
	if err := front.Listen(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logger.Printf("%s: serving at %s", c.Name, c.Listen)
	for !done {
		engine.Deliver()
		if err := loop.Turn(!engine.Pending()); err != nil {
			return err
		}
	}
	count.Print(out)
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
func reload(old *config, env func(string) string, e *proxy.Engine, f *proxy.Lines, logger *log.Logger) *config {
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
	f.SetSockets(c.Limits.Sockets)
	e.SetDiscovery(c.Discovery)
	logger.Printf("reload: discovery at %s", c.Discovery)
	return c
}
