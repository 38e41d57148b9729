package main

import (
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"ospreyspan/internal/poll"
)

// signals delivers the signals of the process to the event loop, as flags that the loop reads and
// clears.
type signals struct {
	stopRequested, printRequested, reloadRequested atomic.Bool
	stopSignals, printSignals, reloadSignals       chan os.Signal
}

// catchSignals registers for the signals. The program calls it first of all, since a signal that
// arrives earlier ends the process. Signals that arrive before forward is called stay in their
// channels. Each purpose has a channel of its own, because a full channel drops signals: however
// many signals of one kind are pending, none of another kind is lost.
func catchSignals() *signals {
	s := &signals{
		stopSignals:   notifyChannel(syscall.SIGTERM, syscall.SIGINT),
		printSignals:  notifyChannel(syscall.SIGUSR1),
		reloadSignals: notifyChannel(syscall.SIGHUP),
	}
	// Neither a log whose reader is gone nor a file that has reached its size limit may end the
	// process. Writes report both as errors.
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	return s
}

// notifyChannel returns a channel, with room for one signal, on which the given signals arrive.
func notifyChannel(signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// forward starts passing signals to the loop: those already caught and all that arrive later.
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
