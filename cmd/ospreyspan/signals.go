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
	stop, print, reload    atomic.Bool
	stops, prints, reloads chan os.Signal
}

// catchSignals is the first thing that the program does: a signal that comes before would end the process. What comes before watch
// waits. Each matter has a channel of its own, since one that is full drops what comes: however many signals of one kind wait, none
// of another is lost.
func catchSignals() *signals {
	s := &signals{
		stops:   caught(syscall.SIGTERM, syscall.SIGINT),
		prints:  caught(syscall.SIGUSR1),
		reloads: caught(syscall.SIGHUP),
	}
	// A log that nobody reads any more is no reason to end, nor is a file that may not grow: writes tell both by an error.
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	return s
}

func caught(of ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, of...)
	return c
}

// watch passes on what was caught, and what is from now on.
func (s *signals) watch(loop *poll.Loop) {
	go func() {
		for {
			select {
			case <-s.stops:
				s.stop.Store(true)
			case <-s.prints:
				s.print.Store(true)
			case <-s.reloads:
				s.reload.Store(true)
			}
			loop.Wake()
		}
	}()
}
