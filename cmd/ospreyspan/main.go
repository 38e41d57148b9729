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

func main() { os.Exit(execute(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

// systemCalls are those that the loop makes; a test has them fail.
var systemCalls = poll.LinuxCalls()

// run serves until a planned stop is over. own is the operator's file, empty for none.
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
	runtime.GOMAXPROCS(1) // one core is all there is; a second thread of Go's would only be switched to
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
		configReloader.loop, err = poll.NewWithCalls(systemCalls, wake)
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
		Fleet: fleet, Name: cfg.Name, Listen: cfg.Listen, Discovery: cfg.Discovery, Seed: uint64(cfg.Seed), MaxDescriptors: cfg.Limits.Sockets,
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

// limitMemory has the garbage collector keep well under what the process may use.
func limitMemory(c *config) {
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(c.Limits.MemoryMB << 20 / 4 * 3)
	}
}
