package main

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"ospreyspan/internal/poll"
)

// signals passes the process's signals to the loop.
type signals struct {
	stopRequested, printRequested, reloadRequested atomic.Bool
	stopSignals, printSignals, reloadSignals       chan os.Signal
}

// catchSignals is the first thing that the program does: a signal that comes before would end the process. What comes before watch
// waits. Each matter has a channel of its own, since one that is full drops what comes: however many signals of one kind wait, none
// of another is lost.
func catchSignals() *signals {
	s := &signals{
		stopSignals:   notifyChannel(syscall.SIGTERM, syscall.SIGINT),
		printSignals:  notifyChannel(syscall.SIGUSR1),
		reloadSignals: notifyChannel(syscall.SIGHUP),
	}
	// A log that nobody reads any more is no reason to end, nor is a file that may not grow: writes tell both by an error.
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	return s
}

func notifyChannel(signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// forward passes on what was caught, and what is from now on.
func (s *signals) forward(loop *poll.Loop) {
	go func() {
		for {
			select {
			case <-s.stopSignals:
				s.stopRequested.Store(true)
			case <-s.printSignals:
				s.printRequested.Store(true)
			case <-s.reloadSignals:
				s.reloadRequested.Store(true)
			}
			loop.Wake()
		}
	}()
}
