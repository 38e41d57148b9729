package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	// startRetryTimeout is how long what a start needs is tried again while the machine lacks it: a process that ends then has crashed,
	// though a moment later it could have served. The platform waits for longer.
	startRetryTimeout = 5 * time.Second
	retryInterval     = 20 * time.Millisecond
)

// transientErrors are the errors that may be gone a moment later though nobody does anything about them: the machine is out of files, memory
// or buffers, a disk reports a fault, or the address still belongs to a process that is ending.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR, syscall.EIO,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL,
}

// isTransient tells whether an error may be gone a moment later.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// retryTransient tries something until it is done, it fails for good, or startPatience is over. It is for the start: nothing else goes on
// meanwhile.
func retryTransient(attempt func() error) error {
	for begin := time.Now(); ; time.Sleep(retryInterval) {
		err := attempt()
		if err == nil || !isTransient(err) || time.Since(begin) >= startRetryTimeout {
			return err
		}
	}
}
