package proxy

import (
	"slices"
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
// is no surge for the others, and those who wait are answered. Then the doors are shut: what the machine has accepted is accepted
// and answered, no other connection comes, and the program ends when the last one has ended or time is over.
type drain struct {
	on    bool
	shut  bool // nothing is taken any more: a request is refused as soon as it is read
	begin time.Time
	kill  time.Time
	timer poll.Timer
	share float64 // part of a move that is due
	done  func()
}

// StopTimeout is the time from SIGTERM to SIGKILL, by the platform's rule.
func StopTimeout(set *settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, w := range set.Waits {
		longest = max(longest, min(w, longestCounted))
	}
	return longest + killAfter
}

// Drain begins a planned stop; done is called when no client is left, or time is.
func (f *LineFrontend) Drain(done func()) {
	if f.drain.on {
		return
	}
	now := f.loop.Now()
	f.drain = drain{on: true, begin: now, kill: now.Add(StopTimeout(f.settings)), done: done}
	f.drain.timer.Fire = f.drainStep
	f.log.Printf("stopping: %d sessions", len(f.sessions))
	f.loop.After(&f.drain.timer, drainStep)
}

func (f *LineFrontend) drainStep() {
	d := &f.drain
	now := f.loop.Now()
	if now.After(d.kill.Add(-answersDone)) {
		f.engine.Shutdown(f.engine.RetryAfter(drainAdvice))
	}
	f.moveSome(now)
	if !d.shut && (now.Sub(d.begin) > lateClients && f.idle() || now.After(d.shutBy())) {
		f.shut()
	}
	if d.shut && !f.listener.Closed() {
		f.closeListener()
	}
	if over := now.After(d.kill.Add(-ends)); over || d.shut && f.listener.Closed() && len(f.sessions) == 0 {
		f.listener.Close()
		f.cutOff()
		d.done()
		return
	}
	f.loop.After(&d.timer, drainStep)
}

// shutBy is when nothing is taken any more, whoever still waits: with the last answers, but where clients' waits are short not
// while new connections may still come.
func (d *drain) shutBy() time.Time {
	by := d.kill.Add(-answersDone)
	if late := d.begin.Add(lateClients); by.Before(late) {
		by = late
	}
	if most := d.kill.Add(-ends - 2*drainStep); by.After(most) {
		by = most
	}
	return by
}

// idle tells whether nobody waits or stands.
func (f *LineFrontend) idle() bool {
	for _, s := range f.sessions {
		if s.state == waiting || s.state == established {
			return false
		}
	}
	return true
}

// shut takes nothing any more: each request that is there is read and refused, and one that is still on its way finds its refusal.
func (f *LineFrontend) shut() {
	f.drain.shut = true
	f.closeListener()
}

// closeListener takes what waits to be accepted, closes the listener and ends the connections that have not asked for anything. A
// request counts as taken once its last byte is written to a connection that the machine has accepted. The listener stays open
// while there are no descriptors, or no memory, for what may still wait there.
func (f *LineFrontend) closeListener() {
	if f.listener.AcceptAll() {
		f.listener.Close()
	}
	for _, s := range slices.Clone(f.sessions) { // those that end leave the table
		if s.state == opening {
			s.read()
		}
		if s.state == opening {
			s.closeAfter(busy(f.engine.RetryAfter(drainAdvice)))
		}
	}
}

// cutOff closes what is left when time is over. What has arrived is read first, so that no last line is lost to a reset.
func (f *LineFrontend) cutOff() {
	for _, s := range slices.Clone(f.sessions) {
		s.link.discard(f.scratch, maxDiscard)
		s.close()
	}
}

// moveSome moves as many standing connections as keeps their number falling evenly. While new clients may still
// come nobody is moved: who was sent away then would come back here, and be moved again.
func (f *LineFrontend) moveSome(now time.Time) {
	t := &f.engine.tuning
	if now.Sub(f.drain.begin) < lateClients || now.Before(f.drain.kill.Add(-t.MovesDone-t.MovesSpan)) {
		return
	}
	var stand []*session
	for _, s := range f.sessions {
		if s.state == established && !s.clientEOF {
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
		s.exchange.Ended(balance.Cancelled, noReport)
	}
}
