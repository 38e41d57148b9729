package owner

import (
	"slices"
	"time"
)

// Intervals of a client, as divisors of the lease duration.
const (
	renewDivisor      = 3 // a lease is renewed after a third of its duration
	firstRetryDivisor = 8 // a request without a response is first repeated after an eighth of it
	maxRetryDivisor   = 2 // the retry interval doubles up to half of the duration
	maxDoublings      = 8 // of the retry interval; keeps the shift from overflowing
)

// LeaseClient manages the leases of a process: it decides what to request and whether a lease is
// held now.
type LeaseClient struct {
	terms          LeaseTerms
	session        uint64
	name           string
	flaws          Flaws
	seq            uint64        // sequence number of the last request
	leases         []*leaseState // in the order in which SetLeases added them
	pending        *LeaseRequest // request without a response; nil: none
	firstSentAt    time.Time     // when pending was first sent
	nextSendAt     time.Time     // when to send pending again, or the next request
	attempts       int           // number of requests sent since the last response
	idleInterval   time.Duration // see SetIdleInterval
	lastResponseAt time.Time     // when the last response of the keepers was received
}

// leaseState is what a client knows about one lease.
type leaseState struct {
	name        string
	wanted      bool
	token       uint64    // of this client's grant; 0: none
	heldUntil   time.Time // end of the grant by the client's clock; zero: not held
	latestToken uint64    // latest token of any holder; 0: none yet
	holder      string    // name of the holder; empty: nobody
}

// held reports whether the process may act under the lease.
func (l *leaseState) held(now time.Time) bool { return l.wanted && now.Before(l.heldUntil) }

// NewLeaseClient returns a client that wants no leases. session must differ from the session of
// every other run of every process.
func NewLeaseClient(t LeaseTerms, session uint64, name string, f Flaws) *LeaseClient {
	return &LeaseClient{terms: t, session: session, name: name, flaws: f}
}

// Session returns the session id of this run of the process.
func (c *LeaseClient) Session() uint64 { return c.session }

// findLease returns a lease, nil if it is neither wanted nor held.
func (c *LeaseClient) findLease(name string) *leaseState {
	for _, l := range c.leases {
		if l.name == name {
			return l
		}
	}
	return nil
}

// SetLeases sets the leases to hold from now on, at most MaxLeases of them. Other leases are
// released with the next request.
func (c *LeaseClient) SetLeases(names []string) {
	for _, l := range c.leases {
		l.wanted = slices.Contains(names, l.name)
	}
	for _, name := range names {
		if c.findLease(name) == nil && len(c.leases) < MaxLeases {
			c.leases = append(c.leases, &leaseState{name: name, wanted: true})
		}
	}
}

// Holds returns the token with which the process may act under a lease now. ok is false if it may
// not.
func (c *LeaseClient) Holds(now time.Time, lease string) (token uint64, ok bool) {
	l := c.findLease(lease)
	if l == nil || !l.held(now) {
		return 0, false
	}
	return l.token, true
}

// HeldUntil returns when the grant of a lease ends. ok is false if the lease is not held now.
func (c *LeaseClient) HeldUntil(now time.Time, lease string) (until time.Time, ok bool) {
	l := c.findLease(lease)
	if l == nil || !l.held(now) {
		return time.Time{}, false
	}
	return l.heldUntil, true
}

// Owner returns the name of the holder of a lease, empty for nobody, and the latest token of the
// lease, both as of the keepers' last response.
func (c *LeaseClient) Owner(lease string) (holder string, token uint64) {
	if l := c.findLease(lease); l != nil {
		return l.holder, l.latestToken
	}
	return "", 0
}

// HasOwner reports whether a lease has a holder by the keepers' last response, if that is not older
// than two lease durations plus the idle interval.
func (c *LeaseClient) HasOwner(now time.Time, lease string) bool {
	l := c.findLease(lease)
	return l != nil && l.holder != "" && now.Sub(c.lastResponseAt) < 2*c.terms.Lease+c.idleInterval
}

// Due returns when NextRequest is to be called next.
func (c *LeaseClient) Due() time.Time { return c.nextSendAt }

// NextRequest returns the request to send to a keeper now, nil for none. A request without a
// response is repeated unchanged at increasing intervals. Its grant would count from when it was
// first sent, so a new request replaces it after half of the holder's timeout.
func (c *LeaseClient) NextRequest(now time.Time) *LeaseRequest {
	if now.Before(c.nextSendAt) {
		return nil
	}
	if c.pending != nil && now.Sub(c.firstSentAt) >= c.terms.HolderTimeout()/2 {
		c.pending = nil
	}
	if c.pending == nil {
		c.pending = c.newRequest(now)
		if c.pending == nil {
			c.nextSendAt = now.Add(c.terms.Lease / renewDivisor)
			return nil
		}
		c.firstSentAt = now
	}
	c.nextSendAt = now.Add(c.retryInterval())
	c.attempts++
	return c.pending
}

// retryInterval returns how long to wait for a response before the request is sent again.
func (c *LeaseClient) retryInterval() time.Duration {
	doubled := c.terms.Lease / firstRetryDivisor << min(c.attempts, maxDoublings)
	return min(doubled, c.terms.Lease/maxRetryDivisor)
}

// newRequest returns a request for the leases that are wanted or to be released, nil if there are
// none.
func (c *LeaseClient) newRequest(now time.Time) *LeaseRequest {
	r := &LeaseRequest{Session: c.session, Seq: c.seq + 1, Name: c.name}
	for _, l := range c.leases {
		if !l.wanted && l.token == 0 {
			continue
		}
		claim := LeaseClaim{Lease: l.name, Drop: !l.wanted}
		if now.Before(l.heldUntil) || !l.wanted {
			claim.Token = l.token
		}
		r.Claims = append(r.Claims, claim)
	}
	if len(r.Claims) == 0 {
		return nil
	}
	c.seq++
	return r
}

// HandleResponse handles a response of a keeper. It returns true if the response answers the
// pending request, whether or not a lease was granted. A response to any other request is ignored.
func (c *LeaseClient) HandleResponse(now time.Time, r *LeaseResponse) bool {
	if c.pending == nil || r.Session != c.session || r.Seq != c.pending.Seq {
		return false
	}
	from := c.firstSentAt
	if c.flaws.LeaseFromResponse {
		from = now
	}
	for _, status := range r.Leases {
		c.applyStatus(from, status)
	}
	c.leases = slices.DeleteFunc(c.leases, func(l *leaseState) bool { return !l.wanted && l.token == 0 })
	c.pending, c.attempts, c.lastResponseAt = nil, 0, now
	c.nextSendAt = from.Add(c.terms.Lease / renewDivisor)
	if c.idleInterval > 0 && !c.holdsAny() {
		c.nextSendAt = now.Add(c.idleInterval)
	}
	return true
}

// applyStatus updates one lease from a response of the keepers. A grant counts from the given time.
func (c *LeaseClient) applyStatus(from time.Time, status LeaseStatus) {
	l := c.findLease(status.Lease)
	if l == nil {
		return
	}
	l.latestToken, l.holder = status.Token, status.Holder
	l.token, l.heldUntil = 0, time.Time{}
	if status.Mine {
		l.token, l.heldUntil = status.Token, from.Add(c.terms.HolderTimeout())
	}
}

// holdsAny reports whether the client has a grant of any lease.
func (c *LeaseClient) holdsAny() bool {
	return slices.ContainsFunc(c.leases, func(l *leaseState) bool { return l.token != 0 })
}

// SetIdleInterval sets the time between two requests of a client that holds no lease; 0 means the
// renewal interval. Where hundreds of clients wait for a lease, each may request it rarely, since
// the first request after the lease becomes free gets it.
func (c *LeaseClient) SetIdleInterval(d time.Duration) { c.idleInterval = d }

// RequestNow makes the next request due now, for example after a redirect to another keeper. It
// sends nothing: the next call of NextRequest returns the request, if there is one to send.
func (c *LeaseClient) RequestNow(now time.Time) { c.nextSendAt = now }
