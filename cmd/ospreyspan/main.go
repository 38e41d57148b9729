// Command ospreyspan is a proxy for long-lived connections. It accepts clients' connections, asks
// the decision module (package balance) for a target for each of them, and forwards lines between
// the client and the target.
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

func main() { os.Exit(execute(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// loopSystemCalls are the system calls that the event loop uses. Tests replace them to inject
// failures.
var loopSystemCalls = poll.LinuxCalls()

// run serves until a planned stop has been completed. operatorFile is the path of the operator
// file; it is empty if there is none. Log lines and counters are written to out.
func run(env func(string) string, operatorFile string, out io.Writer) error {
	sig := catchSignals()
	var cfg *config
	err := retryTransient(func() (err error) {
		cfg, err = loadConfig(env)
		return err
	})
	if err != nil {
		return err
	}
	var features *operatorFeatures
	if operatorFile != "" {
		if features, err = loadOperatorFeatures(operatorFile, out); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(1) // the process has one core; a second running Go thread only adds switches
	limitMemory(cfg)
	logger := log.New(features.logWriter(out), "", 0)
	configReloader := &reloader{env: env, log: logger, config: cfg}
	var proxy *instance.Instance
	wake := func() {
		if sig.printRequested.Swap(false) {
			proxy.Count.Print(out)
			features.printCounters(proxy, out)
		}
		if sig.reloadRequested.Swap(false) {
			configReloader.reload(proxy)
			features.reload(proxy, logger)
		}
		if sig.stopRequested.Swap(false) {
			proxy.Drain()
		}
	}
	err = retryTransient(func() (err error) {
		configReloader.loop, err = poll.NewWithCalls(loopSystemCalls, wake)
		return err
	})
	if err != nil {
		return err
	}
	loop := configReloader.loop
	defer loop.Close()
	sig.forward(loop)
	fleet, err := features.fleetConfig(cfg, loop, logger)
	if err != nil {
		return err
	}
	defer features.close()
	proxy, err = instance.New(loop, instance.Config{
		Fleet: fleet, Name: cfg.Name, Listen: cfg.Listen, Discovery: cfg.Discovery, Seed: uint64(cfg.RandomSeed), MaxDescriptors: cfg.Limits.Sockets, MemoryLimit: cfg.Limits.memoryBytes(),
		KnownList: &cfg.Known, Settings: cfg.settings, Log: logger, Retry: retryTransient,
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
	features.printCounters(proxy, out)
	return nil
}

// limitMemory sets the memory limit of the Go runtime to three quarters of the memory that the
// process may use.
func limitMemory(c *config) {
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(c.Limits.memoryBytes() / 4 * 3)
	}
}
