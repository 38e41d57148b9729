// Package duty implements the duties, tasks that one process performs for the whole fleet while it
// holds the corresponding lease: watching discovery, pacing moves and probing targets. It encodes
// the messages of a lease's owner and decodes them for the other processes.
//
// The package performs no I/O and reads no clock: callers pass in events together with their time.
package duty
