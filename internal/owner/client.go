package owner

import (
	"slices"
	"time"
)

// Intervals of a client, as parts of the lease.
const (
	renewDivisor      = 3 // a lease is renewed after a third of it
	firstRetryDivisor = 8 // a request without a response is sent again after an eighth of a lease
	maxRetryDivisor   = 2 // and later after twice the time each, up to half of a lease
	maxDoublings      = 8
)

// LeaseClient keeps a process's leases: it says what to request and whether a lease is held now.
type LeaseClient struct {
	terms          Terms
	session        uint64
	name           string
	flaws          Flaws
	seq            uint64        // of the last request
	leases         []*leaseState // in the order in which they were wanted
	pending        *LeaseRequest // sent and not answered
	firstSentAt    time.Time     // when pending was first sent
	nextSendAt     time.Time     // when pending is to be sent again, or the next request
	attempts       int           // sendings since the last response
	idleInterval   time.Duration // between two requests of a client that holds nothing; 0: as if it held something
	lastResponseAt time.Time     // when the keepers answered last
}

// leaseState is what a client knows of one lease.
type leaseState struct {
	name        string
	wanted      bool
	token       uint64    // of the own grant; 0: none
	heldUntil   time.Time // by the client's clock; zero: not held
	latestToken uint64    // whoever holds it
	holder      string    // by name
}

// held tells whether the process may act under the lease.
func (l *leaseState) held(now time.Time) bool { return l.wanted && now.Before(l.heldUntil) }

// NewLeaseClient returns a client that wants no leases. session must differ from that of all other lives of all processes.
func NewLeaseClient(t Terms, session uint64, name string, f Flaws) *LeaseClient {
	return &LeaseClient{terms: t, session: session, name: name, flaws: f}
}

// Session is that of this life of the process.
func (c *LeaseClient) Session() uint64 { return c.session }

// find returns a lease, nil if it is neither wanted nor held.
func (c *LeaseClient) findLease(name string) *leaseState {
	for _, l := range c.leases {
		if l.name == name {
			return l
		}
	}
	return nil
}

// SetLeases says which leases to hold from now on, at most MostLeases of them; others are released with the next request.
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

// Holds returns the token with which the process may act under a lease now; ok is false if it may not.
func (c *LeaseClient) Holds(now time.Time, lease string) (token uint64, ok bool) {
	l := c.findLease(lease)
	if l == nil || !l.held(now) {
		return 0, false
	}
	return l.token, true
}

// HeldUntil returns when a lease that is held now ends; ok is false if it is not held.
func (c *LeaseClient) HeldUntil(now time.Time, lease string) (until time.Time, ok bool) {
	l := c.findLease(lease)
	if l == nil || !l.held(now) {
		return time.Time{}, false
	}
	return l.heldUntil, true
}

// Owner is the holder of a lease by name, empty for nobody, and its latest token, as the keepers last told.
func (c *LeaseClient) Owner(lease string) (holder string, token uint64) {
	if l := c.findLease(lease); l != nil {
		return l.holder, l.latestToken
	}
	return "", 0
}

// HasOwner tells whether a lease has a holder as far as the keepers told within the last two leases.
func (c *LeaseClient) HasOwner(now time.Time, lease string) bool {
	l := c.findLease(lease)
	return l != nil && l.holder != "" && now.Sub(c.lastResponseAt) < 2*c.terms.Lease+c.idleInterval
}

// Due tells when NextRequest is to be called next.
func (c *LeaseClient) Due() time.Time { return c.nextSendAt }

// NextRequest returns what to send to a keeper now, nil for nothing. A request without a response is sent again as it was, at
// growing intervals: its grant counts from when it was first sent, and so is replaced when that is too long ago to be of use.
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

// retryInterval is how long the next sending waits for its response.
func (c *LeaseClient) retryInterval() time.Duration {
	doubled := c.terms.Lease / firstRetryDivisor << min(c.attempts, maxDoublings)
	return min(doubled, c.terms.Lease/maxRetryDivisor)
}

// newRequest returns a request for all that is wanted or to be released, nil if there is nothing.
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

// HandleResponse takes a keeper's response and tells whether it counts: one to another request than the last changes nothing.
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

// update takes what the keepers told of one lease; a grant counts from the given time.
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

// holdsAny tells whether it has a grant.
func (c *LeaseClient) holdsAny() bool {
	return slices.ContainsFunc(c.leases, func(l *leaseState) bool { return l.token != 0 })
}

// SetIdleInterval sets the time between two requests of a client that holds nothing. Where hundreds wait for a lease, each may
// ask seldom: the first one to ask after it became free has it. 0: as if it held something.
func (c *LeaseClient) SetIdleInterval(d time.Duration) { c.idleInterval = d }

// RequestNow has the next request go out at once, as after a redirect to another keeper.
func (c *LeaseClient) RequestNow(now time.Time) { c.nextSendAt = now }
