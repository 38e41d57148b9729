package proxy

import (
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/settings"
)

const (
	// newClientPeriod is how long new connections may come after SIGTERM.
	newClientPeriod = 450 * time.Millisecond
	// maxCountedWait and killAfter give the time of SIGKILL: the longest wait of a client, counted as that at
	// the most, and what the platform adds.
	maxCountedWait = 3 * time.Second
	killDelay      = 700 * time.Millisecond
	// The last answers go out this long before SIGKILL, and then the program ends.
	finalAnswerLead = 750 * time.Millisecond
	exitLead        = 350 * time.Millisecond
	drainInterval   = 20 * time.Millisecond
	drainRetryAfter = time.Second
)

// drain is a planned stop: clients are asked to move, spread over the time that there is so that their return
// is no surge for the others, and those who wait are answered. Then the doors are shut: what the machine has accepted is accepted
// and answered, no other connection comes, and the program ends when the last one has ended or time is over.
type drain struct {
	started    bool
	refusing   bool // nothing is taken any more: a request is refused as soon as it is read
	startedAt  time.Time
	killAt     time.Time
	timer      poll.Timer
	moveCredit float64 // part of a move that is due
	onDone     func()
}

// StopTimeout is the time from SIGTERM to SIGKILL, by the platform's rule.
func StopTimeout(set *settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, w := range set.Waits {
		longest = max(longest, min(w, maxCountedWait))
	}
	return longest + killDelay
}

// Drain begins a planned stop; done is called when no client is left, or time is.
func (f *LineFrontend) Drain(done func()) {
	if f.drain.started {
		return
	}
	now := f.loop.Now()
	f.drain = drain{started: true, startedAt: now, killAt: now.Add(StopTimeout(f.settings)), onDone: done}
	f.drain.timer.Fire = f.drainStep
	f.log.Printf("stopping: %d sessions", len(f.sessions))
	f.loop.After(&f.drain.timer, drainInterval)
}

func (f *LineFrontend) drainStep() {
	d := &f.drain
	now := f.loop.Now()
	if now.After(d.killAt.Add(-finalAnswerLead)) {
		f.engine.Shutdown(f.engine.RetryAfter(drainRetryAfter))
	}
	f.moveDueClients(now)
	if !d.refusing && (now.Sub(d.startedAt) > newClientPeriod && f.idle() || now.After(d.stopAcceptingBy())) {
		f.stopAccepting()
	}
	if d.refusing && !f.listener.Closed() {
		f.closeListener()
	}
	if over := now.After(d.killAt.Add(-exitLead)); over || d.refusing && f.listener.Closed() && len(f.sessions) == 0 {
		f.listener.Close()
		f.closeRemaining()
		d.onDone()
		return
	}
	f.loop.After(&d.timer, drainInterval)
}

// stopAcceptingBy is when nothing is taken any more, whoever still waits: with the last answers, but where clients' waits are short not
// while new connections may still come.
func (d *drain) stopAcceptingBy() time.Time {
	by := d.killAt.Add(-finalAnswerLead)
	if late := d.startedAt.Add(newClientPeriod); by.Before(late) {
		by = late
	}
	if most := d.killAt.Add(-exitLead - 2*drainInterval); by.After(most) {
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

// stopAccepting takes nothing any more: each request that is there is read and refused, and one that is still on its way finds its refusal.
func (f *LineFrontend) stopAccepting() {
	f.drain.refusing = true
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
			s.closeAfter(busy(f.engine.RetryAfter(drainRetryAfter)))
		}
	}
}

// closeRemaining closes what is left when time is over. What has arrived is read first, so that no last line is lost to a reset.
func (f *LineFrontend) closeRemaining() {
	for _, s := range slices.Clone(f.sessions) {
		s.link.discard(f.scratch, maxDiscard)
		s.close()
	}
}

// moveDueClients moves as many standing connections as keeps their number falling evenly. While new clients may still
// come nobody is moved: who was sent away then would come back here, and be moved again.
func (f *LineFrontend) moveDueClients(now time.Time) {
	t := &f.engine.tuning
	if now.Sub(f.drain.startedAt) < newClientPeriod || now.Before(f.drain.killAt.Add(-t.MovesDone-t.MovesSpan)) {
		return
	}
	var stand []*session
	for _, s := range f.sessions {
		if s.state == established && !s.clientEOF {
			stand = append(stand, s)
		}
	}
	n := len(stand)
	left := f.drain.killAt.Add(-t.MovesDone).Sub(now)
	if left > drainInterval {
		f.drain.moveCredit += float64(n) * float64(drainInterval) / float64(left)
		n = int(f.drain.moveCredit)
		f.drain.moveCredit -= float64(n)
	}
	for _, s := range stand[:n] {
		f.counters.Moves++
		s.Move()
		s.exchange.Ended(balance.Cancelled, noReport)
	}
}
