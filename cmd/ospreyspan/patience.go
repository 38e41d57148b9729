package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	// startPatience is how long what a start needs is tried again while the machine lacks it: a process that ends then has crashed,
	// though a moment later it could have served. The platform waits for longer.
	startPatience = 5 * time.Second
	retryPause    = 20 * time.Millisecond
)

// passing are the errors that may be gone a moment later though nobody does anything about them: the machine is out of files, memory
// or buffers, a disk reports a fault, or the address still belongs to a process that is ending.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR, syscall.EIO,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL,
}

// passes tells whether an error may be gone a moment later.
func passes(err error) bool {
	for _, p := range passing {
		if errors.Is(err, p) {
			return true
		}
	}
	return false
}

// patiently tries something until it is done, it fails for good, or startPatience is over. It is for the start: nothing else goes on
// meanwhile.
func patiently(try func() error) error {
	for begin := time.Now(); ; time.Sleep(retryPause) {
		err := try()
		if err == nil || !passes(err) || time.Since(begin) >= startPatience {
			return err
		}
	}
}
