package routes

import "time"

const (
	// newsDelay is how long after a server's start discovery's list usually tells of it at the latest: the list is seconds late.
	newsDelay = 6 * time.Second
	// mostBirths bounds the starts that are remembered of servers which have left the table.
	mostBirths = 8192
)

// StartTimes sets the starts of servers, which discovery tells in Unix time, against the loop's clock, on which a server's age is a span of
// real time. This machine's wall clock is read once, at the start: it may be stepped at any time, and may be wrong then. What this
// process saw itself bounds a start: it was before it was told, and one that a change of the list tells of is not much older than
// the list that did not have it. Where the wall clock disagrees these hold: a server that is taken for older than it is would be
// sent too much, one that is taken for younger only serves less for a while.
type StartTimes struct {
	loop time.Time // of the loop's clock...
	wall time.Time // ...when the wall clock showed that
	told map[string]birth
}

// birth is a start that was told of a server.
type birth struct {
	unixMS int64
	at     time.Time
}

// NewStartTimes returns a Births for a process whose loop and wall clocks show these times at its start.
func NewStartTimes(loop, wall time.Time) *StartTimes {
	return &StartTimes{loop: loop, wall: wall.Round(0), told: make(map[string]birth)}
}

// SetStarts sets Boot of a list's targets. now is when the list came, complete as of when the table before it had all that discovery had;
// zero: that is not known.
func (b *StartTimes) SetStarts(l *List, now, complete time.Time) {
	for _, h := range l.Hosts {
		h.StartedAt = b.boot(h, now, complete)
	}
}

func (b *StartTimes) boot(t *Target, now, complete time.Time) time.Time {
	if t.StartUnixMS <= 0 {
		delete(b.told, t.ID)
		return time.Time{} // long ago
	}
	known, ok := b.told[t.ID]
	if ok && known.unixMS == t.StartUnixMS {
		return known.at
	}
	at := b.loop.Add(time.UnixMilli(t.StartUnixMS).Sub(b.wall))
	if !complete.IsZero() && at.Before(complete.Add(-newsDelay)) {
		at = complete // by the wall clock it is older than news can be
	}
	if at.After(now) {
		at = now
	}
	if len(b.told) >= mostBirths {
		clear(b.told)
	}
	b.told[t.ID] = birth{t.StartUnixMS, at}
	return at
}
