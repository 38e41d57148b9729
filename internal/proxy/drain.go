package proxy

import (
	"slices"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/poll"
	"ospreyspan/internal/settings"
)

const (
	// newClientPeriod is how long after SIGTERM new connections may arrive.
	newClientPeriod = 450 * time.Millisecond
	// maxCountedWait and killDelay determine the time of SIGKILL: the longest wait of any class,
	// counted up to maxCountedWait, plus the delay that the platform adds.
	maxCountedWait = 3 * time.Second
	killDelay      = 700 * time.Millisecond
	// finalAnswerLead and exitLead are times before SIGKILL: from the first on all unanswered
	// clients get their final answers, from the second on the program ends.
	finalAnswerLead = 750 * time.Millisecond
	exitLead        = 350 * time.Millisecond
	drainInterval   = 20 * time.Millisecond
	drainRetryAfter = time.Second
)

// drain is the state of a planned stop. Established clients are asked to move, spread over the
// available time so that their reconnects do not overload the other proxies, and waiting clients
// are answered. Then the frontend stops accepting: connections in the kernel's queue are accepted
// and answered, no others are taken, and the program ends when the last one has ended or time is
// over.
type drain struct {
	started    bool
	refusing   bool // each request is refused as soon as it is read
	startedAt  time.Time
	killAt     time.Time
	timer      poll.Timer
	moveCredit float64 // fraction of a move that is due
	onDone     func()
}

// StopTimeout returns the time from SIGTERM to SIGKILL by the platform's rule.
func StopTimeout(set *settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, w := range set.MaxWaitByClass {
		longest = max(longest, min(w, maxCountedWait))
	}
	return longest + killDelay
}

// Drain begins a planned stop. It calls done when no client is left or time is over.
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

// drainStep does what is due of a planned stop, every drainInterval.
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

// stopAcceptingBy returns the time from which on every request is refused even while clients are
// waiting: the time of the final answers, or, where the clients' waits are short, the end of
// newClientPeriod if that is later; in any case two drain intervals before the program ends.
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

// idle reports whether no client is waiting for an answer or has an established connection.
func (f *LineFrontend) idle() bool {
	for _, s := range f.sessions {
		if s.state == waiting || s.state == established {
			return false
		}
	}
	return true
}

// stopAccepting has every request refused from now on: one that has arrived is read and refused,
// and one that arrives later finds its refusal.
func (f *LineFrontend) stopAccepting() {
	f.drain.refusing = true
	f.closeListener()
}

// closeListener accepts the queued connections, closes the listener and ends the connections
// without a request. A request counts as accepted once its last byte is written to a connection
// that the kernel has accepted. The listener stays open while there are no descriptors, or no
// memory, for connections that may still be queued.
func (f *LineFrontend) closeListener() {
	if f.listener.AcceptAll() {
		f.listener.Close()
	}
	for _, s := range slices.Clone(f.sessions) { // ending sessions are removed from f.sessions
		if s.state == opening {
			s.read()
		}
		if s.state == opening {
			s.closeAfter(busy(f.engine.RetryAfter(drainRetryAfter)))
		}
	}
}

// closeRemaining closes the remaining connections when time is over. What has arrived is read
// first, so that no last line is lost to a reset.
func (f *LineFrontend) closeRemaining() {
	for _, s := range slices.Clone(f.sessions) {
		s.link.discard(f.scratch, maxDiscard)
		s.close()
	}
}

// moveDueClients moves as many established connections as keeps their number falling evenly. Nobody
// is moved while new clients may still arrive, since a moved client could return to this process
// and be moved again.
func (f *LineFrontend) moveDueClients(now time.Time) {
	t := &f.engine.tuning
	if now.Sub(f.drain.startedAt) < newClientPeriod || now.Before(f.drain.killAt.Add(-t.MovesDone-t.MovesSpan)) {
		return
	}
	var movable []*session
	for _, s := range f.sessions {
		if s.state == established && !s.clientEOF {
			movable = append(movable, s)
		}
	}
	n := len(movable)
	left := f.drain.killAt.Add(-t.MovesDone).Sub(now)
	if left > drainInterval {
		f.drain.moveCredit += float64(n) * float64(drainInterval) / float64(left)
		n = int(f.drain.moveCredit)
		f.drain.moveCredit -= float64(n)
	}
	for _, s := range movable[:n] {
		f.counters.Moves++
		s.Move()
		s.exchange.Ended(balance.Cancelled, noReport)
	}
}
