package mesh

import (
	"time"

	"ospreyspan/internal/peers"
)

// tick runs the timed work that is due.
func (n *Node) tick() {
	if n.closed {
		return
	}
	now := n.loop.Now()
	n.peers.Tick(now)
	if n.keeperCore != nil {
		n.keeperCore.Tick(now)
	}
	if !now.Before(n.puller.nextAt) {
		n.sendPull(now)
	}
	n.sendRequests(now)
	n.flush()
}

// flush performs the pending output of the keeper and of the membership protocol, reports changes,
// and arms the timer for the next work that is due. Immediate consequences, such as the local
// keeper's response to this process, are handled in the same call.
func (n *Node) flush() {
	if n.closed {
		return
	}
	if n.keeperCore != nil {
		n.applyKeeperOutput(n.keeperCore.Take())
	}
	sends, events := n.peers.Take()
	for i := range sends {
		n.send(sends[i].To, &envelope{Peers: &sends[i].Packet})
	}
	for _, e := range events {
		n.reportMember(e)
	}
	n.reportMembers()
	n.reportLeases(n.loop.Now())
	n.loop.Arm(&n.timer, n.nextDue())
}

// nextDue returns the time at which the next work is due.
func (n *Node) nextDue() time.Time {
	next := earlier(n.peers.Due(), n.puller.nextAt)
	if n.keeperCore != nil {
		next = earlier(next, n.keeperCore.Due())
	}
	if n.leaseClient == nil {
		return next
	}
	next = earlier(next, n.leaseClient.Due())
	if n.fence.Closed() {
		next = earlier(next, n.keeperClient.nextFloorsRequestAt)
	}
	for _, lease := range n.cfg.Duties {
		if until, ok := n.leaseClient.HeldUntil(n.loop.Now(), lease); ok {
			next = earlier(next, until) // the expiry of a lease must be reported when it happens
		}
	}
	return next
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// reportLeases reports the leases that were acquired or lost since the last call.
func (n *Node) reportLeases(now time.Time) {
	if n.leaseClient == nil {
		return
	}
	for _, lease := range n.cfg.Duties {
		token, holds := n.leaseClient.Holds(now, lease)
		before := n.heldTokens[lease]
		if before == token {
			continue // also if the lease was and is not held: tokens are above 0
		}
		if before != 0 {
			delete(n.heldTokens, lease)
			n.emit(Event{Kind: "lost", Lease: lease, Token: before})
		}
		if holds {
			n.heldTokens[lease] = token
			n.emit(Event{Kind: "own", Lease: lease, Token: token})
		}
	}
}

// reportMember reports a change of one member.
func (n *Node) reportMember(e peers.Event) {
	kind := "member-" + e.Member.State.String()
	if e.New {
		kind = "member-new"
	}
	n.emit(Event{Kind: kind, Member: &e.Member})
	if e.NameConflict {
		n.emit(Event{Kind: "member-twin", Member: &e.Member})
	}
}

// reportMembers calls Config.OnMembersChanged if the list of members has changed since the last
// call.
func (n *Node) reportMembers() {
	if n.cfg.OnMembersChanged == nil || n.reportedMembersVersion == n.peers.ChangeCount()+1 {
		return
	}
	n.reportedMembersVersion = n.peers.ChangeCount() + 1
	n.cfg.OnMembersChanged(n.peers.Members())
}

func (n *Node) emit(e Event) {
	if n.cfg.OnEvent != nil {
		n.cfg.OnEvent(e)
	}
}
