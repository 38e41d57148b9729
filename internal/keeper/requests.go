package keeper

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxPendingRequests limits the requests that await their response.
const maxPendingRequests = 4096

// requestKey identifies a request.
type requestKey struct {
	floors       bool // a floors request; otherwise a lease request
	session, seq uint64
}

// pendingRequests holds the client address of each request that awaits its response.
type pendingRequests map[requestKey]netip.AddrPort

// take removes a request and returns the address for its response. ok is false if the request is
// not pending on this keeper.
func (p pendingRequests) take(key requestKey) (to netip.AddrPort, ok bool) {
	to, ok = p[key]
	delete(p, key)
	return to, ok
}

// key returns the key of the request in a command.
func (c *Command) key() requestKey {
	if c.Floors != nil {
		return requestKey{true, c.Floors.Session, c.Floors.Seq}
	}
	return requestKey{false, c.Request.Session, c.Request.Seq}
}

// propose proposes a request for the log. Its response goes to the address that sent it last.
func (k *Core) propose(now time.Time, c *Command, from netip.AddrPort) error {
	if !k.Leading() {
		return ErrNotLeader
	}
	key := c.key()
	if _, again := k.requests[key]; again {
		k.requests[key] = from
		return nil // the request has been proposed already
	}
	if len(k.requests) >= maxPendingRequests {
		return fmt.Errorf("keeper: too many pending requests: %d", len(k.requests))
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	if err := k.raft.Propose(data); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	k.requests[key] = from
	k.processReady(now)
	return nil
}
