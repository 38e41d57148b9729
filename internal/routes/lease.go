package routes

import "time"

const (
	// ListLease is a duration: how long a change of the list may stay unknown to a proxy. By the
	// rules of the protocol a change counts as delivered that long after discovery had it and was
	// reachable, whatever became of the requests in between.
	ListLease = 6 * time.Second
	// watchGrace is how long after the end of its wait an open watch may leave a change
	// undelivered: a watch that has stopped answering is excused until then.
	watchGrace = 2 * time.Second
)

// Lease computes the time until which one list of servers may be used without a further answer from
// discovery: ListLease, a fixed duration, after the last answer or proof that discovery was
// unreachable, or later while a watch is open. It depends only on the outcomes of requests and has
// no clock of its own. Where lists are pushed, a change counts as delivered as soon as discovery
// has it, unless a watch is open or discovery is unreachable.
type Lease struct {
	pushed       bool
	currentAsOf  time.Time // latest time at which the list was complete or discovery unreachable
	excusedUntil time.Time // what an open watch misses is excused until then; zero: none is open
}

// NewLease returns the lease of the list that a process has when it starts.
func NewLease(start time.Time, pushed bool) Lease { return Lease{pushed: pushed, currentAsOf: start} }

// Answered records an answer that was complete as of the given time.
func (l *Lease) Answered(at time.Time) {
	l.currentAsOf, l.excusedUntil = later(l.currentAsOf, at), time.Time{}
}

// Watching records a request, made at the given time, that discovery may hold for wait and that
// continues a watch: changes after that time are delivered by the watch.
func (l *Lease) Watching(at time.Time, wait time.Duration) {
	l.excusedUntil = later(at.Add(ListLease), at.Add(wait+watchGrace))
}

// Failed records a request that ended without an answer. Changes that its watch may have missed
// since it began are no longer excused.
func (l *Lease) Failed() { l.excusedUntil = time.Time{} }

// Unreachable records proof that discovery was unreachable at the given time: changes count only
// from its return.
func (l *Lease) Unreachable(at time.Time) { l.currentAsOf = later(l.currentAsOf, at) }

// Expiry returns the time from which a change that is missing from the list may count as delivered.
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
