package proxy

import (
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/settings"
)

const (
	// lateClients is how long new connections may come after SIGTERM.
	lateClients = 450 * time.Millisecond
	// longestCounted and killAfter give the time of SIGKILL: the longest wait of a client, counted as that at
	// the most, and what the platform adds.
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond
	// The last answers go out this long before SIGKILL, and then the program ends.
	answersDone = 750 * time.Millisecond
	ends        = 350 * time.Millisecond
	drainStep   = 20 * time.Millisecond
	drainAdvice = time.Second
)

// drain is a planned stop: clients are asked to move, spread over the time that there is so that their return
// is no surge for the others, and those who wait are answered.
type drain struct {
	on    bool
	begin time.Time
	kill  time.Time
	timer poll.Timer
	share float64 // part of a move that is due
	done  func()
}

// Longest is the time from SIGTERM to SIGKILL, by the platform's rule.
func Longest(set *settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, w := range set.Waits {
		longest = max(longest, min(w, longestCounted))
	}
	return longest + killAfter
}

// Drain begins a planned stop; done is called when no client is left, or time is.
func (f *Lines) Drain(done func()) {
	if f.drain.on {
		return
	}
	now := f.loop.Now()
	f.drain = drain{on: true, begin: now, kill: now.Add(Longest(f.set)), done: done}
	f.drain.timer.Fire = f.drainStep
	f.log.Printf("stopping: %d sessions", len(f.sessions))
	f.loop.After(&f.drain.timer, drainStep)
}

func (f *Lines) drainStep() {
	d := &f.drain
	now := f.loop.Now()
	if now.After(d.kill.Add(-answersDone)) {
		f.engine.Shutdown(drainAdvice)
	}
	f.moveSome(now)
	if now.Sub(d.begin) > lateClients && f.idle() || now.After(d.kill.Add(-ends)) {
		f.listener.Close()
		d.done()
		return
	}
	f.loop.After(&d.timer, drainStep)
}

// idle tells whether nobody is left but connections that have asked for nothing.
func (f *Lines) idle() bool {
	for _, s := range f.sessions {
		if s.state != opening {
			return false
		}
	}
	return true
}

// moveSome moves as many standing connections as keeps their number falling evenly. While new clients may still
// come nobody is moved: who was sent away then would come back here, and be moved again.
func (f *Lines) moveSome(now time.Time) {
	t := &f.engine.tuning
	if now.Sub(f.drain.begin) < lateClients || now.Before(f.drain.kill.Add(-t.MovesDone-t.MovesSpan)) {
		return
	}
	var stand []*session
	for _, s := range f.sessions {
		if s.state == standing && !s.gone {
			stand = append(stand, s)
		}
	}
	n := len(stand)
	left := f.drain.kill.Add(-t.MovesDone).Sub(now)
	if left > drainStep {
		f.drain.share += float64(n) * float64(drainStep) / float64(left)
		n = int(f.drain.share)
		f.drain.share -= float64(n)
	}
	for _, s := range stand[:n] {
		f.count.Moves++
		s.Move()
		s.x.Ended(balance.Cancelled, noReport)
	}
}
