package keeper

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxPendingRequests is how many responses may be pending.
const maxPendingRequests = 4096

// requestKey tells requests apart.
type requestKey struct {
	floors       bool // else it is a lease request
	session, seq uint64
}

// pendingRequests are the addresses to which responses are pending.
type pendingRequests map[requestKey]netip.AddrPort

// take returns where the response to a request goes, and forgets it; ok is false if none is pending here.
func (p pendingRequests) take(key requestKey) (to netip.AddrPort, ok bool) {
	to, ok = p[key]
	delete(p, key)
	return to, ok
}

// key is that of the request in a command.
func (c *Command) key() requestKey {
	if c.Floors != nil {
		return requestKey{true, c.Floors.Session, c.Floors.Seq}
	}
	return requestKey{false, c.Request.Session, c.Request.Seq}
}

// propose puts a request into the log; its response goes to the address that sent it last.
func (k *Core) propose(now time.Time, c *Command, from netip.AddrPort) error {
	if !k.Leading() {
		return ErrNotLeader
	}
	key := c.key()
	if _, again := k.requests[key]; again {
		k.requests[key] = from
		return nil // it is in the log already
	}
	if len(k.requests) >= maxPendingRequests {
		return fmt.Errorf("keeper: %d answers pending", len(k.requests))
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
