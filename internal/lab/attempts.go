package lab

import (
	"bytes"
	"time"

	"ospreyspan/internal/line"
	"ospreyspan/internal/vnet"
)

// onAttempt handles the complete first line that a proxy sends to a relay.
func (j *judge) onAttempt(c *vnet.Conn, attempt *tappedConn) {
	o, err := line.ParseOpen(line.TrimLineEnd(attempt.firstLine))
	isOpen := bytes.HasPrefix(attempt.firstLine, openPrefix)
	attempt.firstLine = nil
	if !isOpen {
		return // a probe
	}
	proxy, id := c.Dialler, j.relayID[c.Listener]
	if err != nil {
		j.reportViolation("syntax", "%s sends %s a malformed first line", proxy.Name(), id)
		return
	}
	j.Attempts++
	now := j.world.Now()
	if o.CurrentTarget != "" {
		j.checkStandingAttempt(proxy.Name(), id, &o)
	} else {
		j.checkNewWork(proxy, id, &o)
	}
	r := j.requests[o.ID]
	if r == nil {
		j.reportViolation("one-final-answer", "%s sends %s a request %s that no client has made", proxy.Name(), id, o.ID)
		return
	}
	attempt.request, attempt.relay, attempt.sentAt = r, id, now
	if late := now.Sub(r.clientLeftAt); !r.clientLeftAt.IsZero() && late > departedClientGrace {
		j.reportViolation("sent-after-leaving", "%s sends request %s to %s %v after its client left", proxy.Name(), o.ID, id, late)
	}
	if earlier := r.firstPossibleRun(); earlier != nil && !j.mayRepeat(r, earlier, now, id) {
		j.reportViolation("effect-twice", "%s sends request %s of class %s to %s, which may have run at %s %v before", proxy.Name(), o.ID, r.class.Name,
			id, earlier.relay, now.Sub(earlier.sentAt))
	}
	r.attempts = append(r.attempts, attempt)
	if r.current != nil {
		j.reportViolation("two-attempts", "%s sends request %s to %s while another attempt is open", proxy.Name(), o.ID, id)
	}
	if r.answered && !r.clientEnded {
		j.reportViolation("one-final-answer", "%s sends request %s to %s after its answer", proxy.Name(), o.ID, id)
	}
	r.current, r.lastAttempt = attempt, attempt
}

// checkNewWork checks that a relay may be sent a new request.
func (j *judge) checkNewWork(proxy *vnet.Host, id string, o *line.Open) {
	now := j.world.Now()
	if since, told := j.ledger.NotServingSince(proxy.Addr(), id); told && now.Sub(since) > j.rules.DrainGrace {
		j.reportViolation("drain-grace", "%s sends request %s to %s %v after it was told that this one takes no new work",
			proxy.Name(), o.ID, id, now.Sub(since))
	}
	if since, told := j.changeClock.unavailableSince(proxy.Addr(), id); told && j.staleFor(proxy, since) > j.rules.DrainGrace {
		j.reportViolation("stale-list", "%s sends request %s to %s %v after it is deemed to know that this one takes no new work",
			proxy.Name(), o.ID, id, now.Sub(since))
	}
	j.checkColdBudget(proxy.Addr(), proxy.Name(), id, o.Class)
}

// checkStandingAttempt checks the request of a connection that stood before the day. It is no new
// work for the relay that holds it, and goes to no other.
func (j *judge) checkStandingAttempt(proxy, id string, o *line.Open) {
	if o.CurrentTarget != id {
		j.reportViolation("standing-elsewhere", "%s sends %s the connection %s, which %s holds", proxy, id, o.ID, o.CurrentTarget)
	}
}

// checkAskAgain checks that a proxy whose discovery call failed calls again before the changes it
// has missed are deemed known. Proxies that share discovery's answers are exempt, since another one
// may call in their place.
func (j *judge) checkAskAgain(proxy *vnet.Host) {
	limit := j.rules.AskAgain
	if limit <= 0 || j.ledger.ListShared || j.world.Now().Before(j.excusedUntil[proxy]) {
		return
	}
	if idle := j.changeClock.idleAfterFailure(proxy.Addr()); idle > limit+clockSlack+j.maxClockLag[proxy] {
		j.reportViolation("ask-again", "%s has not called discovery again for %v after a failed call", proxy.Name(), idle)
	}
}

// staleFor returns for how long a proxy that could run has been deemed to know a change.
func (j *judge) staleFor(proxy *vnet.Host, since time.Time) time.Duration {
	if until, ok := j.excusedUntil[proxy]; ok {
		since = later(since, until)
	}
	return j.world.Now().Sub(since) - clockSlack - j.maxClockLag[proxy]
}
