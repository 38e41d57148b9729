package mesh

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
)

// Request rates, per lease duration.
const (
	idleRequestsPerLease   = 30 // lease requests of all processes together that hold no lease
	floorsRequestsPerLease = 4  // floors requests of one process
	redirectsPerLease      = 8  // limit of redirects that one process follows immediately
)

// keeperClient holds the state of this process's requests to the keepers: which keeper is queried
// and which responses are outstanding.
type keeperClient struct {
	keepers             []KeeperAddress
	current             int                 // index in keepers of the one to query
	lastRequest         *owner.LeaseRequest // most recently sent lease request
	awaitingResponse    bool                // lastRequest has no response yet
	redirected          bool                // redirected since the last response or lease request
	redirectedAt        time.Time           // when a redirect was last followed immediately
	nextFloorsRequestAt time.Time           // when to send the next floors request
	floorsSeq           uint64              // sequence number of the last floors request
	floors              floorCollector
}

// newKeeperClient returns a client that starts with a random keeper.
func newKeeperClient(keepers []KeeperAddress, rng *rand.Rand) keeperClient {
	c := keeperClient{keepers: keepers}
	if len(keepers) > 0 {
		c.current = rng.IntN(len(keepers))
	}
	return c
}

// currentKeeper returns the keeper to query.
func (c *keeperClient) currentKeeper() KeeperAddress { return c.keepers[c.current] }

// indexOf returns the index of the keeper with that id, or -1 if there is none.
func (c *keeperClient) indexOf(id uint64) int {
	return slices.IndexFunc(c.keepers, func(k KeeperAddress) bool { return k.ID == id })
}

// switchTo directs the next request to the keeper with that id. It returns false if the keeper is
// unknown or already the current one.
func (c *keeperClient) switchTo(id uint64) bool {
	i := c.indexOf(id)
	if i < 0 || i == c.current {
		return false
	}
	c.current = i
	return true
}

// switchToNext directs the next request to the following keeper in the list.
func (c *keeperClient) switchToNext() { c.current = (c.current + 1) % len(c.keepers) }

// allowImmediateRetry reports whether a redirect may be followed immediately, and records that it
// is. During an election, two keepers may redirect a client to each other, and duplicated replies
// would each cause another request. Therefore only one redirect per eighth of a lease duration is
// followed immediately; after other redirects the request is sent at its regular time.
func (c *keeperClient) allowImmediateRetry(now time.Time, lease time.Duration) bool {
	if c.redirected || now.Sub(c.redirectedAt) < lease/redirectsPerLease {
		return false
	}
	c.redirected, c.redirectedAt = true, now
	return true
}

// floorCollector combines the fragments of the response to one floors request.
type floorCollector struct {
	seq      uint64
	received map[int]bool      // indexes of the fragments
	tokens   map[string]uint64 // by lease
}

// add stores a fragment and reports whether the response is complete.
func (c *floorCollector) add(f *floorsFragment) bool {
	if c.seq != f.Seq {
		*c = floorCollector{seq: f.Seq, received: make(map[int]bool), tokens: make(map[string]uint64)}
	}
	c.received[f.Index] = true
	for lease, token := range f.Tokens {
		c.tokens[lease] = token
	}
	return len(c.received) == f.Count
}

// isLocal reports whether a keeper runs in this process.
func (n *Node) isLocal(k KeeperAddress) bool { return n.keeperCore != nil && k.ID == n.cfg.Keeper.ID }

// tryAnotherKeeper directs the next request to another keeper: to the leader known to the local
// keeper, if any, else to the next one in the list. The local keeper's view of the leader may be
// outdated while it receives nothing from the others, so the current keeper is not chosen again
// because of it.
func (n *Node) tryAnotherKeeper() {
	if n.keeperCore != nil && n.keeperClient.switchTo(n.keeperCore.Leader()) {
		return
	}
	n.keeperClient.switchToNext()
}

// sendRequests sends the lease request and the floors request if they are due.
func (n *Node) sendRequests(now time.Time) {
	if n.leaseClient == nil {
		return
	}
	if request := n.leaseClient.NextRequest(now); request != nil {
		n.sendLeaseRequest(request)
	}
	if n.fence.Closed() && !now.Before(n.keeperClient.nextFloorsRequestAt) {
		n.requestFloors(now)
	}
}

// sendLeaseRequest sends a request to the current keeper. It switches to another keeper first if
// the previous request got no response.
func (n *Node) sendLeaseRequest(request *owner.LeaseRequest) {
	n.Counters.LeaseRequests++
	c := &n.keeperClient
	if c.awaitingResponse && !c.redirected {
		// No response to the previous request, whether it is repeated or replaced by this one.
		n.tryAnotherKeeper()
	}
	c.redirected, c.awaitingResponse = false, true
	if request != c.lastRequest && n.cfg.OnRequest != nil {
		n.cfg.OnRequest(request)
	}
	c.lastRequest = request
	k := c.currentKeeper()
	if !n.isLocal(k) {
		n.send(k.Addr, &envelope{LeaseRequest: request})
		return
	}
	if err := n.keeperCore.HandleLeaseRequest(n.loop.Now(), n.Addr(), request); errors.Is(err, keeper.ErrNotLeader) {
		n.tryAnotherKeeper()
	}
}

// requestFloors requests the lowest token to be accepted for each lease. The fence stays closed
// until the floors are known.
func (n *Node) requestFloors(now time.Time) {
	c := &n.keeperClient
	c.nextFloorsRequestAt = now.Add(n.cfg.Terms.Lease / floorsRequestsPerLease)
	c.floorsSeq++
	n.Counters.FloorsRequests++
	request := &keeper.FloorsRequest{Session: n.cfg.Session, Seq: c.floorsSeq}
	k := c.currentKeeper()
	if !n.isLocal(k) {
		n.send(k.Addr, &envelope{FloorsRequest: request})
		return
	}
	if n.keeperCore.HandleFloorsRequest(now, n.Addr(), request) != nil {
		n.tryAnotherKeeper()
	}
}

// handleKeeperReply processes a keeper's response to a lease request, or its redirect to the
// leader.
func (n *Node) handleKeeperReply(now time.Time, reply *keeperReply) {
	switch {
	case n.leaseClient == nil:
	case reply.Response != nil:
		n.handleLeaseResponse(now, reply.Response)
	case reply.NotLeader && reply.Leader != 0 && n.keeperClient.currentKeeper().ID == reply.Keeper:
		n.followRedirect(now, reply.Leader)
	}
}

// followRedirect directs the next request to the leader, and sends it immediately if allowed.
func (n *Node) followRedirect(now time.Time, leader uint64) {
	if n.keeperClient.switchTo(leader) && n.keeperClient.allowImmediateRetry(now, n.cfg.Terms.Lease) {
		n.leaseClient.RequestNow(now)
		n.keeperClient.nextFloorsRequestAt = now
	}
}

// handleLeaseResponse processes the response to a lease request.
func (n *Node) handleLeaseResponse(now time.Time, r *owner.LeaseResponse) {
	n.leaseClient.SetIdleInterval(n.idleInterval())
	if !n.leaseClient.HandleResponse(now, r) {
		return
	}
	n.keeperClient.redirected, n.keeperClient.awaitingResponse = false, false
	if n.cfg.OnResponse != nil {
		n.cfg.OnResponse(r)
	}
}

// idleInterval returns a random interval between the requests of a client that holds no lease. It
// grows with the number of members, so that hundreds of idle clients do not overload the keepers.
// In a small fleet it is 0, which means the interval of a client that holds a lease.
func (n *Node) idleInterval() time.Duration {
	mean := n.cfg.Terms.Lease * time.Duration(n.peers.Count()) / idleRequestsPerLease
	if mean <= n.cfg.Terms.Lease/3 {
		return 0
	}
	return mean/2 + time.Duration(n.rng.Int64N(int64(mean)))
}

// handleFloors processes a fragment of the response to the last floors request, and opens the fence
// once the response is complete.
func (n *Node) handleFloors(f *floorsFragment) {
	current := f.Session == n.cfg.Session && f.Seq == n.keeperClient.floorsSeq
	valid := f.Seq > 0 && f.Count >= 1 && f.Count <= maxFragments && f.Index >= 0 && f.Index < f.Count
	if !current || !valid || !n.fence.Closed() {
		return
	}
	if n.keeperClient.floors.add(f) {
		n.fence.Open(n.keeperClient.floors.tokens)
		n.emit(Event{Kind: "fence-open"})
	}
}
