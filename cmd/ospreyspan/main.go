// Command ospreyspan is one proxy: it accepts clients' long-lived connections, asks the decision module where
// each goes and passes its lines between the client and the egress target.
package main

import (
	"io"
	"log"
	"os"
	"runtime"
	"runtime/debug"

	"ospreyspan/internal/instance"
	"ospreyspan/internal/poll"
)

func main() { os.Exit(command(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// systemCalls are those that the loop makes; a test has them fail.
var systemCalls = poll.LinuxCalls()

// run serves until a planned stop is over. own is the operator's file, empty for none.
func run(env func(string) string, own string, out io.Writer) error {
	sig := catchSignals()
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
	reloads := &reloader{env: env, log: logger, config: c}
	var proxy *instance.Instance
	wake := func() {
		if sig.print.Swap(false) {
			proxy.Count.Print(out)
			shared.print(proxy, out)
		}
		if sig.reload.Swap(false) {
			reloads.reload(proxy)
			shared.reload(proxy, logger)
		}
		if sig.stop.Swap(false) {
			proxy.Drain()
		}
	}
	err = patiently(func() (err error) {
		reloads.loop, err = poll.NewWithCalls(systemCalls, wake)
		return err
	})
	if err != nil {
		return err
	}
	loop := reloads.loop
	defer loop.Close()
	sig.watch(loop)
	fleet, err := shared.fleet(c, loop, logger)
	if err != nil {
		return err
	}
	defer shared.close()
	proxy, err = instance.New(loop, instance.Config{
		Fleet: fleet, Name: c.Name, Listen: c.Listen, Discovery: c.Discovery, Seed: uint64(c.Seed), MaxDescriptors: c.Limits.Sockets,
		KnownList: &c.Known, Settings: c.settings, Log: logger, Retry: patiently,
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
