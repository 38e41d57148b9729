// Command ospreyspan is one proxy: it accepts clients' long-lived connections, asks the decision module where
// each goes and passes its lines between the client and the egress target.
package main

import (
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
type signals struct{ stop, print atomic.Bool }

func (s *signals) watch(loop *poll.Loop) {
	c := make(chan os.Signal, 8)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
	go func() {
		for sig := range c {
			if sig == syscall.SIGUSR1 {
				s.print.Store(true)
			} else {
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
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(c.Limits.MemoryMB << 20 / 4 * 3)
	}
	logger := log.New(out, "", 0)
	count := &stats.Counters{}
	var (
		sig   signals
		front *proxy.Lines
		done  bool
	)
	loop, err := poll.New(func() {
		if sig.print.Swap(false) {
			count.Print(out)
		}
		if sig.stop.Swap(false) {
			front.Drain(func() { done = true })
		}
	})
	if err != nil {
		return err
	}
	defer loop.Close()
	engine, err := proxy.NewEngine(proxy.EngineConfig{
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
	sig.watch(loop)
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
