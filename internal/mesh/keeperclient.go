package mesh

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
)

// Rates of requests to the keepers, in a lease's length.
const (
	idleRequestsPerLease = 30 // requests of all processes together that hold nothing
	floorsPerLease       = 4  // requests for the floors
	redirectPerLease     = 8  // redirects that are followed at once, at the most
)

// keeperClient keeps the state of this process's requests to the keepers: which one is asked, and what is still to be answered.
type keeperClient struct {
	keepers      []KeeperAddress
	current      int                 // index of the keeper that is asked
	lastRequest  *owner.LeaseRequest // sent last
	awaiting     bool                // the response to lastRequest
	redirected   bool                // since the last response or change of keeper by time-out
	redirectedAt time.Time           // when a redirect was followed last
	floorsAt     time.Time           // when the floors are to be requested next
	floorsSeq    uint64              // of the last request for them
	floors       floorCollector
}

// newKeeperClient returns a client that asks a random keeper first.
func newKeeperClient(keepers []KeeperAddress, rng *rand.Rand) keeperClient {
	c := keeperClient{keepers: keepers}
	if len(keepers) > 0 {
		c.current = rng.IntN(len(keepers))
	}
	return c
}

// keeper is the one that is asked now.
func (c *keeperClient) keeper() KeeperAddress { return c.keepers[c.current] }

// indexOf is the index of a keeper, -1 if there is none of that id.
func (c *keeperClient) indexOf(id uint64) int {
	return slices.IndexFunc(c.keepers, func(k KeeperAddress) bool { return k.ID == id })
}

// switchTo has the next request go to a keeper; it is false if that one is unknown or the one that is asked already.
func (c *keeperClient) switchTo(id uint64) bool {
	i := c.indexOf(id)
	if i < 0 || i == c.current {
		return false
	}
	c.current = i
	return true
}

// next has the next request go to the keeper that follows in the list.
func (c *keeperClient) next() { c.current = (c.current + 1) % len(c.keepers) }

// mayRetryAtOnce tells whether a redirect is to be followed at once, and notes that it is. Two keepers may send a client from one
// to the other while they elect, and copies of their replies would each cause another request: only one redirect in an eighth
// of a lease is followed at once, later ones at the usual time.
func (c *keeperClient) mayRetryAtOnce(now time.Time, lease time.Duration) bool {
	if c.redirected || now.Sub(c.redirectedAt) < lease/redirectPerLease {
		return false
	}
	c.redirected, c.redirectedAt = true, now
	return true
}

// floorCollector puts the fragments of the response to one floors request together.
type floorCollector struct {
	seq    uint64
	pieces map[int]bool
	tokens map[string]uint64 // by lease
}

// add takes a fragment and tells whether the response is whole.
func (c *floorCollector) add(f *floorsFragment) bool {
	if c.seq != f.Seq {
		*c = floorCollector{seq: f.Seq, pieces: make(map[int]bool), tokens: make(map[string]uint64)}
	}
	c.pieces[f.Index] = true
	for lease, token := range f.Tokens {
		c.tokens[lease] = token
	}
	return len(c.pieces) == f.Count
}

// isLocal tells whether a keeper is the one of this process.
func (n *Node) isLocal(k KeeperAddress) bool { return n.core != nil && k.ID == n.cfg.Keeper.ID }

// tryAnotherKeeper has the next request go to another keeper: to the leader if the own keeper knows it. That may be wrong for as
// long as it hears nothing, so the same one is not asked twice in a row for its sake.
func (n *Node) tryAnotherKeeper() {
	if n.core != nil && n.client.switchTo(n.core.Leader()) {
		return
	}
	n.client.next()
}

// sendRequests sends the lease request and the floors request that are due.
func (n *Node) sendRequests(now time.Time) {
	if n.leases == nil {
		return
	}
	if request := n.leases.NextRequest(now); request != nil {
		n.sendLeaseRequest(request)
	}
	if n.fence.Closed() && !now.Before(n.client.floorsAt) {
		n.requestFloors(now)
	}
}

// sendLeaseRequest sends a request to the current keeper, and has the next one go elsewhere if no response comes.
func (n *Node) sendLeaseRequest(request *owner.LeaseRequest) {
	n.Counters.LeaseRequests++
	c := &n.client
	if c.awaiting && !c.redirected {
		n.tryAnotherKeeper() // no response to the last one, be it this one or one that was replaced by it
	}
	c.redirected, c.awaiting = false, true
	if request != c.lastRequest && n.cfg.OnRequest != nil {
		n.cfg.OnRequest(request)
	}
	c.lastRequest = request
	k := c.keeper()
	if !n.isLocal(k) {
		n.send(k.Addr, &envelope{Request: request})
		return
	}
	if err := n.core.RequestLeases(n.loop.Now(), n.Addr(), request); errors.Is(err, keeper.ErrNotLeader) {
		n.tryAnotherKeeper()
	}
}

// requestFloors asks for the least tokens that may be accepted; until they are known the fence is closed.
func (n *Node) requestFloors(now time.Time) {
	c := &n.client
	c.floorsAt = now.Add(n.cfg.Terms.Lease / floorsPerLease)
	c.floorsSeq++
	n.Counters.FloorsRequests++
	request := &keeper.FloorsRequest{Session: n.cfg.Session, Seq: c.floorsSeq}
	k := c.keeper()
	if !n.isLocal(k) {
		n.send(k.Addr, &envelope{FloorsRequest: request})
		return
	}
	if n.core.RequestFloors(now, n.Addr(), request) != nil {
		n.tryAnotherKeeper()
	}
}

// handleKeeperReply takes a keeper's response to a lease request, or its redirect to the leader.
func (n *Node) handleKeeperReply(now time.Time, t *keeperReply) {
	switch {
	case n.leases == nil:
	case t.Response != nil:
		n.handleLeaseResponse(now, t.Response)
	case t.NotLeader && t.Leader != 0 && n.client.keeper().ID == t.Keeper:
		n.followRedirect(now, t.Leader)
	}
}

// followRedirect has the next request go to the leader, at once if that is not too often.
func (n *Node) followRedirect(now time.Time, leader uint64) {
	if n.client.switchTo(leader) && n.client.mayRetryAtOnce(now, n.cfg.Terms.Lease) {
		n.leases.RequestNow(now)
		n.client.floorsAt = now
	}
}

// handleLeaseResponse takes the response to a lease request.
func (n *Node) handleLeaseResponse(now time.Time, r *owner.LeaseResponse) {
	n.leases.SetIdleInterval(n.idleInterval())
	if !n.leases.HandleResponse(now, r) {
		return
	}
	n.client.redirected, n.client.awaiting = false, false
	if n.cfg.OnResponse != nil {
		n.cfg.OnResponse(r)
	}
}

// idleInterval returns a random time for which a client that holds nothing waits: of hundreds each may ask seldom. 0: as if it held
// something.
func (n *Node) idleInterval() time.Duration {
	mean := n.cfg.Terms.Lease * time.Duration(n.peers.Count()) / idleRequestsPerLease
	if mean <= n.cfg.Terms.Lease/3 {
		return 0
	}
	return mean/2 + time.Duration(n.rng.Int64N(int64(mean)))
}

// handleFloors takes a fragment of the response to the last floors request, and opens the fence once it is whole.
func (n *Node) handleFloors(f *floorsFragment) {
	current := f.Session == n.cfg.Session && f.Seq == n.client.floorsSeq
	valid := f.Seq > 0 && f.Count >= 1 && f.Count <= mostFragments && f.Index >= 0 && f.Index < f.Count
	if !current || !valid || !n.fence.Closed() {
		return
	}
	if n.client.floors.add(f) {
		n.fence.Open(n.client.floors.tokens)
		n.tell(Event{Kind: "fence-open"})
	}
}
