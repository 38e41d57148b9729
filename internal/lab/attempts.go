package lab

import (
	"bytes"
	"time"

	"ospreyspan/internal/line"
	"ospreyspan/internal/vnet"
)

// attempt sees a proxy ask a relay.
func (j *judge) attempt(c *vnet.Conn, w *tapped) {
	o, err := line.ParseOpen(line.TrimLineEnd(w.first))
	asks := bytes.HasPrefix(w.first, openWord)
	w.first = nil
	if !asks {
		return // a probe
	}
	proxy, id := c.Dialler, j.relayID[c.Listener]
	if err != nil {
		j.broken("syntax", "%s sends %s a first line that is none", proxy.Name(), id)
		return
	}
	j.Attempts++
	now := j.world.Now()
	if since, told := j.ledger.NotServingSince(proxy.Addr(), id); told && now.Sub(since) > j.rules.DrainGrace {
		j.broken("drain-grace", "%s sends request %s to %s %v after it was told that this one takes no new work",
			proxy.Name(), o.ID, id, now.Sub(since))
	}
	if since, told := j.clock.goneSince(proxy.Addr(), id); told && j.staleFor(proxy, since) > j.rules.DrainGrace {
		j.broken("stale-list", "%s sends request %s to %s %v after it counts as told that this one takes no new work",
			proxy.Name(), o.ID, id, now.Sub(since))
	}
	j.judgeCold(proxy.Addr(), proxy.Name(), id, o.Class)
	r := j.requests[o.ID]
	if r == nil {
		j.broken("one-final-answer", "%s sends %s a request %s that no client has made", proxy.Name(), id, o.ID)
		return
	}
	w.req, w.relay, w.sentAt = r, id, now
	if late := now.Sub(r.leftAt); !r.leftAt.IsZero() && late > leftGrace {
		j.broken("sent-after-leaving", "%s sends request %s to %s %v after its client left", proxy.Name(), o.ID, id, late)
	}
	if ran := r.ran(); ran != nil && !j.mayRepeat(r, ran, now, id) {
		j.broken("effect-twice", "%s sends request %s of class %s to %s, which may have run at %s %v before", proxy.Name(), o.ID, r.class.Name,
			id, ran.relay, now.Sub(ran.sentAt))
	}
	r.tries = append(r.tries, w)
	if r.out != nil {
		j.broken("two-attempts", "%s sends request %s to %s while another attempt is out", proxy.Name(), o.ID, id)
	}
	if r.answered && !r.left {
		j.broken("one-final-answer", "%s sends request %s to %s after its answer", proxy.Name(), o.ID, id)
	}
	r.out, r.last = w, w
}

// asksAgain looks whether a proxy whose call failed rests for so long that what it misses counts as told before it can hear of it.
// One that shares news with others is not held to it: another may ask in its place.
func (j *judge) asksAgain(proxy *vnet.Host) {
	most := j.rules.AskAgain
	if most <= 0 || j.ledger.ListShared || j.world.Now().Before(j.excused[proxy]) {
		return
	}
	if rest := j.clock.restsFor(proxy.Addr()); rest > most+clockSlack+j.lag[proxy] {
		j.broken("ask-again", "%s has not asked discovery for %v after a call that failed", proxy.Name(), rest)
	}
}

// staleFor is how long a proxy that could run has known what counts as told since then.
func (j *judge) staleFor(proxy *vnet.Host, since time.Time) time.Duration {
	if until, ok := j.excused[proxy]; ok {
		since = later(since, until)
	}
	return j.world.Now().Sub(since) - clockSlack - j.lag[proxy]
}
