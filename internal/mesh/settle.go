package mesh

import (
	"time"

	"ospreyspan/internal/peers"
)

// tick does what is due, of all parts.
func (n *Node) tick() {
	if n.closed {
		return
	}
	now := n.loop.Now()
	n.peers.Tick(now)
	if n.core != nil {
		n.core.Tick(now)
	}
	if !now.Before(n.pulls.nextAt) {
		n.sendPull(now)
	}
	n.sendRequests(now)
	n.settle()
}

// settle carries out what the pure parts want, and arms the timer for what is due next. What they cause at once is taken
// up in the same call.
func (n *Node) settle() {
	if n.closed {
		return
	}
	if n.core != nil {
		n.carryOut(n.core.Take())
	}
	sends, events := n.peers.Take()
	for i := range sends {
		n.send(sends[i].To, &envelope{Peers: &sends[i].Packet})
	}
	for _, e := range events {
		n.tellMember(e)
	}
	n.tellMembers()
	n.tellLeases(n.loop.Now())
	n.loop.Arm(&n.timer, n.nextDue())
}

// nextDue is when something is due next.
func (n *Node) nextDue() time.Time {
	next := earlier(n.peers.Due(), n.pulls.nextAt)
	if n.core != nil {
		next = earlier(next, n.core.Due())
	}
	if n.leases == nil {
		return next
	}
	next = earlier(next, n.leases.Due())
	if n.fence.Closed() {
		next = earlier(next, n.client.floorsAt)
	}
	for _, lease := range n.cfg.Duties {
		if until, ok := n.leases.Until(n.loop.Now(), lease); ok {
			next = earlier(next, until) // the end of a lease is a change of its own
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

// tellLeases tells of leases that were won or lost since the last call.
func (n *Node) tellLeases(now time.Time) {
	if n.leases == nil {
		return
	}
	for _, lease := range n.cfg.Duties {
		token, holds := n.leases.Holds(now, lease)
		before := n.held[lease]
		if before == token {
			continue // also if neither is there: no token is 0
		}
		if before != 0 {
			delete(n.held, lease)
			n.tell(Event{What: "lost", Lease: lease, Token: before})
		}
		if holds {
			n.held[lease] = token
			n.tell(Event{What: "own", Lease: lease, Token: token})
		}
	}
}

// tellMember tells of what changed of one member.
func (n *Node) tellMember(e peers.Event) {
	what := "member-" + e.Member.State.String()
	if e.New {
		what = "member-new"
	}
	n.tell(Event{What: what, Member: &e.Member})
	if e.NameConflict {
		n.tell(Event{What: "member-twin", Member: &e.Member})
	}
}

// tellMembers tells whoever follows the list of members that it has changed.
func (n *Node) tellMembers() {
	if n.cfg.Members == nil || n.membersSeen == n.peers.ChangeCount()+1 {
		return
	}
	n.membersSeen = n.peers.ChangeCount() + 1
	n.cfg.Members(n.peers.Members())
}

func (n *Node) tell(e Event) {
	if n.cfg.Tell != nil {
		n.cfg.Tell(e)
	}
}
