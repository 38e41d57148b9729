package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	// startRetryTimeout bounds how long a step of the start is retried while the machine lacks a
	// resource for it. A process that ended at the first failure would count as crashed, although
	// it could have served a moment later. The platform waits longer than this for the start.
	startRetryTimeout = 5 * time.Second
	retryInterval     = 20 * time.Millisecond
)

// transientErrors are the errors that may disappear shortly without intervention: the machine is
// out of descriptors, memory or buffers, a disk reports an I/O error, or the address still belongs
// to a process that is ending.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR, syscall.EIO,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL,
}

// isTransient reports whether an error is one of transientErrors.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// retryTransient calls attempt until it succeeds, fails with an error that is not transient, or
// startRetryTimeout has passed. It blocks, so it is only for the start.
func retryTransient(attempt func() error) error {
	for begin := time.Now(); ; time.Sleep(retryInterval) {
		err := attempt()
		if err == nil || !isTransient(err) || time.Since(begin) >= startRetryTimeout {
			return err
		}
	}
}
