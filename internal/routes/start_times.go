package routes

import "time"

const (
	// maxListDelay is how long after a server's start discovery's list usually tells of it at the latest: the list is seconds late.
	maxListDelay = 6 * time.Second
	// maxRememberedStarts bounds the starts that are remembered of servers which have left the table.
	maxRememberedStarts = 8192
)

// StartTimes sets the starts of servers, which discovery tells in Unix time, against the loop's clock, on which a server's age is a span of
// real time. This machine's wall clock is read once, at the start: it may be stepped at any time, and may be wrong then. What this
// process saw itself bounds a start: it was before it was told, and one that a change of the list tells of is not much older than
// the list that did not have it. Where the wall clock disagrees these hold: a server that is taken for older than it is would be
// sent too much, one that is taken for younger only serves less for a while.
type StartTimes struct {
	loopStart time.Time // of the loop's clock...
	wallStart time.Time // ...when the wall clock showed that
	starts    map[string]reportedStart
}

// reportedStart is a start that was told of a server.
type reportedStart struct {
	unixMS    int64
	startedAt time.Time
}

// NewStartTimes returns a Births for a process whose loop and wall clocks show these times at its start.
func NewStartTimes(loop, wall time.Time) *StartTimes {
	return &StartTimes{loopStart: loop, wallStart: wall.Round(0), starts: make(map[string]reportedStart)}
}

// SetStarts sets Boot of a list's targets. now is when the list came, complete as of when the table before it had all that discovery had;
// zero: that is not known.
func (b *StartTimes) SetStarts(l *List, now, complete time.Time) {
	for _, h := range l.Hosts {
		h.StartedAt = b.startedAt(h, now, complete)
	}
}

func (b *StartTimes) startedAt(t *Target, now, complete time.Time) time.Time {
	if t.StartUnixMS <= 0 {
		delete(b.starts, t.ID)
		return time.Time{} // long ago
	}
	known, ok := b.starts[t.ID]
	if ok && known.unixMS == t.StartUnixMS {
		return known.startedAt
	}
	at := b.loopStart.Add(time.UnixMilli(t.StartUnixMS).Sub(b.wallStart))
	if !complete.IsZero() && at.Before(complete.Add(-maxListDelay)) {
		at = complete // by the wall clock it is older than news can be
	}
	if at.After(now) {
		at = now
	}
	if len(b.starts) >= maxRememberedStarts {
		clear(b.starts)
	}
	b.starts[t.ID] = reportedStart{t.StartUnixMS, at}
	return at
}
