package lab

import "time"

// The rules on repeats follow the specification of the protocol alone and share no code with the
// proxy.

const (
	// departedClientGrace is how long a request may still be sent to a relay after its client left.
	departedClientGrace = 100 * time.Millisecond
	// repeatWindowSlack is added to each repeat window for delays on sockets.
	repeatWindowSlack = 50 * time.Millisecond
)

// firstPossibleRun returns the first attempt that may have run, which was written completely and
// not refused by the relay, or nil.
func (r *request) firstPossibleRun() *tappedConn {
	for _, attempt := range r.attempts {
		if !attempt.refused {
			return attempt
		}
	}
	return nil
}

// mayRepeat reports whether a request that may have run may be sent to a relay again.
func (j *judge) mayRepeat(r *request, earlier *tappedConn, now time.Time, relay string) bool {
	switch c := r.class; {
	case c == nil || c.repeat() == "free":
		return true
	case c.repeat() == "single_shot" || now.Sub(earlier.sentAt) > c.Window+repeatWindowSlack+j.maxClockLag[r.proxy]:
		return false
	case c.scope() == "zone":
		return j.sites[earlier.relay] == j.sites[relay]
	case c.scope() == "cell":
		return j.blocks[earlier.relay] == j.blocks[relay]
	}
	return true
}

// checkRefusal checks a refusal, after which the client may repeat the request once the advised
// wait has passed.
func (j *judge) checkRefusal(r *request, advice time.Duration) {
	earlier := r.firstPossibleRun()
	if earlier == nil || r.class == nil || r.class.repeat() == "free" {
		return
	}
	if since := j.world.Now().Sub(earlier.sentAt) + advice; r.class.repeat() == "single_shot" || r.class.scope() != "all" || since > r.class.Window+repeatWindowSlack+j.maxClockLag[r.proxy] {
		j.reportViolation("repeat-invited", "%s refuses request %s of class %s, which may have run at %s %v before, with advice of %v", r.proxy.Name(), r.id,
			r.class.Name, earlier.relay, since-advice, advice)
	}
}
