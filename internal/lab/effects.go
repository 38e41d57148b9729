package lab

import "time"

// The rules on effects, as the judge knows them: from the protocol's page, and from nothing of the proxy.

const (
	// leftGrace is how long a request may still be sent on whose client has left.
	departedClientGrace = 100 * time.Millisecond
	// windowSlack is by how much each limit of time is longer on sockets.
	repeatWindowSlack = 50 * time.Millisecond
)

// ran is the first attempt that may have run: all of it was written, and the relay did not refuse it. nil: none may have.
func (r *request) firstPossibleRun() *tappedConn {
	for _, w := range r.attempts {
		if !w.refused {
			return w
		}
	}
	return nil
}

// mayRepeat tells whether a request that may have run may be sent to a relay.
func (j *judge) mayRepeat(r *request, ran *tappedConn, now time.Time, relay string) bool {
	switch c := r.class; {
	case c == nil || c.repeat() == "free":
		return true
	case c.repeat() == "single_shot" || now.Sub(ran.sentAt) > c.Window+repeatWindowSlack+j.maxClockLag[r.proxy]:
		return false
	case c.scope() == "zone":
		return j.sites[ran.relay] == j.sites[relay]
	case c.scope() == "cell":
		return j.blocks[ran.relay] == j.blocks[relay]
	}
	return true
}

// refuses looks at a refusal, after which the client comes again, perhaps after the advice.
func (j *judge) checkRefusal(r *request, advice time.Duration) {
	ran := r.firstPossibleRun()
	if ran == nil || r.class == nil || r.class.repeat() == "free" {
		return
	}
	if since := j.world.Now().Sub(ran.sentAt) + advice; r.class.repeat() == "single_shot" || r.class.scope() != "all" || since > r.class.Window+repeatWindowSlack+j.maxClockLag[r.proxy] {
		j.reportViolation("repeat-invited", "%s refuses request %s of class %s, which may have run at %s %v before, with advice of %v", r.proxy.Name(), r.id,
			r.class.Name, ran.relay, since-advice, advice)
	}
}
