package routes

import "time"

const (
	// maxListDelay is the usual upper bound on the time from a server's start until discovery's
	// list contains it. The list lags by seconds.
	maxListDelay = 6 * time.Second
	// maxRememberedStarts bounds the number of remembered start times, which include those of
	// servers that have left the table.
	maxRememberedStarts = 8192
)

// StartTimes converts the start times of servers, which discovery reports in Unix time, to the
// clock of the event loop, on which a server's age is a span of real time. This machine's wall
// clock is read once, when the process starts: it may be wrong at that time and may be stepped at
// any time. The process's own observations bound a start time: a server started before it was
// reported, and a server that a change of the list reports is not much older than the last list
// without it. These bounds override the wall clock: a server that is taken to be older than it is
// would receive too much load, whereas one that is taken to be younger only serves less for a
// while.
type StartTimes struct {
	loopStart time.Time                // loop clock when the process started
	wallStart time.Time                // wall clock at loopStart
	starts    map[string]reportedStart // by target ID
}

// reportedStart is a server's start time as discovery reported it and as converted.
type reportedStart struct {
	unixMS    int64
	startedAt time.Time
}

// NewStartTimes returns a StartTimes for a process whose loop clock and wall clock show the given
// times when it starts.
func NewStartTimes(loop, wall time.Time) *StartTimes {
	return &StartTimes{loopStart: loop, wallStart: wall.Round(0), starts: make(map[string]reportedStart)}
}

// SetStarts sets StartedAt of a list's targets. The list arrived at now, and complete is the time
// as of which the previous table was complete; a zero complete means that this time is unknown.
func (s *StartTimes) SetStarts(l *List, now, complete time.Time) {
	for _, target := range l.Hosts {
		target.StartedAt = s.startedAt(target, now, complete)
	}
}

func (s *StartTimes) startedAt(t *Target, now, complete time.Time) time.Time {
	if t.StartUnixMS <= 0 {
		delete(s.starts, t.ID)
		return time.Time{} // long ago
	}
	known, ok := s.starts[t.ID]
	if ok && known.unixMS == t.StartUnixMS {
		return known.startedAt
	}
	at := s.loopStart.Add(time.UnixMilli(t.StartUnixMS).Sub(s.wallStart))
	if !complete.IsZero() && at.Before(complete.Add(-maxListDelay)) {
		at = complete // the wall clock makes it older than a newly reported server can be
	}
	if at.After(now) {
		at = now
	}
	if len(s.starts) >= maxRememberedStarts {
		clear(s.starts)
	}
	s.starts[t.ID] = reportedStart{t.StartUnixMS, at}
	return at
}
