package routes

import "time"

const (
	// ListLease is how long a change may stay unknown: by the protocol whatever discovery has to tell counts as told that long
	// after it had it and could be reached, whatever became of the calls in between.
	ListLease = 6 * time.Second
	// watchGrace is the same for a watch that stands, counted from the end of its wait: one that fell silent is excused until then.
	watchGrace = 2 * time.Second
)

// Lease tells until when a list of servers may be acted upon without news of discovery. It is computed from what became of the
// calls alone; it has no clock of its own. Where lists are pushed, a change counts as told as soon as discovery has it, unless a
// watch stands or discovery can't be reached.
type Lease struct {
	pushed       bool
	currentAsOf  time.Time // as of when the list is known to be complete, or discovery to be out of reach
	excusedUntil time.Time // a watch stands, and what it misses is excused until then; zero: none stands
}

// NewLease returns the lease of the list that a process has at its start.
func NewLease(start time.Time, pushed bool) Lease { return Lease{pushed: pushed, currentAsOf: start} }

// Answered takes an answer that was complete as of a time.
func (l *Lease) Answered(at time.Time) {
	l.currentAsOf, l.excusedUntil = later(l.currentAsOf, at), time.Time{}
}

// Watching takes a call that was made at a time and that discovery may answer only after a wait, in an order of calls that makes it
// a watch: what changes from then on is told.
func (l *Lease) Watching(at time.Time, wait time.Duration) {
	l.excusedUntil = later(at.Add(ListLease), at.Add(wait+watchGrace))
}

// Failed takes the end of a call without an answer. What a watch may have missed since it began is not excused any more.
func (l *Lease) Failed() { l.excusedUntil = time.Time{} }

// Unreachable takes a proof that discovery could not be reached at a time: changes count from its return.
func (l *Lease) Unreachable(at time.Time) { l.currentAsOf = later(l.currentAsOf, at) }

// Expiry returns the time from which on a change that is not in the list may count as told.
func (l *Lease) Expiry() time.Time {
	if l.pushed {
		return later(l.currentAsOf, l.excusedUntil)
	}
	return later(l.currentAsOf.Add(ListLease), l.excusedUntil)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
