// Package carrier exchanges evidence between the processes of a fleet, as datagrams of this
// process's mesh.Node. It decides only when to send. Packages evidence, verdict and limit merge and
// judge what is exchanged.
package carrier

import (
	"net/netip"
	"slices"
	"time"

	"ospreyspan/internal/mesh"
	"ospreyspan/internal/peers"
	"ospreyspan/internal/shared/evidence"
)

const (
	// Topic is the name under which evidence is sent in mesh.Shared messages.
	Topic = "evidence"
	// TickInterval is the time between two calls of Carrier.Tick.
	TickInterval = 200 * time.Millisecond
	// QueryInterval is the approximate time between two queries of this process.
	QueryInterval = 500 * time.Millisecond
	// urgentFanout is the number of members that are told of new failures at once. Each member to
	// which they are new forwards them to as many.
	urgentFanout = 3
)

// Carrier exchanges the evidence of one process. It must be used only from the goroutine of its
// event loop.
type Carrier struct {
	node        *mesh.Node
	store       *evidence.Store
	gossip      *evidence.Gossip
	nextPartner int // counter that selects the partner of the next query
}

// New returns a carrier with a store of its own. See Bind for what must be called when.
func New(now time.Time, self evidence.Writer, c evidence.Config, f evidence.Flaws) *Carrier {
	s := evidence.New(now, self, c, f)
	return &Carrier{store: s, gossip: evidence.NewGossip(s, QueryInterval)}
}

// Bind sets the node through which the carrier sends. Call it once the node exists and before Tick.
// Until then Receive ignores all messages; Store can be called at any time.
func (c *Carrier) Bind(n *mesh.Node) { c.node = n }

// Store returns the evidence store of this process.
func (c *Carrier) Store() *evidence.Store { return c.store }

// Receive handles a message from another process. Messages of other topics and messages that cannot
// be decoded are ignored.
func (c *Carrier) Receive(now time.Time, from netip.AddrPort, s *mesh.SharedMessage) {
	if s.Topic != Topic || c.node == nil {
		return
	}
	m, err := evidence.Decode(s.Data)
	if err != nil {
		return
	}
	if m.IsQuery {
		for _, part := range c.store.Answer(now, m) {
			c.send(from, part)
		}
		return
	}
	c.gossip.Receive(m)
	if m.Seq == 0 && len(c.store.WritersOfUnknownAge()) > 0 {
		// The sender knows the age of this evidence or will know it soon. Without this query the
		// evidence would not count here until the next periodic one.
		c.send(from, c.gossip.Query(now, s.Session))
	}
}

func (c *Carrier) send(to netip.AddrPort, m *evidence.Message) {
	if text, err := m.Encode(); err == nil {
		c.node.SendShared(to, Topic, text)
	}
}

// Tick sends new failures to other members, sends a query if one is due, and drops expired
// evidence.
func (c *Carrier) Tick(now time.Time) {
	if update := c.gossip.UrgentUpdate(now); update != nil {
		for _, m := range c.node.RandomMembers(urgentFanout) {
			c.send(m.Addr, update)
		}
	}
	if due, _ := c.gossip.Due(now); due {
		c.queryNextPartner(now)
	}
	c.store.Expire(now)
}

// queryNextPartner sends a query to the partners in turn.
func (c *Carrier) queryNextPartner(now time.Time) {
	members := c.node.Members()
	sessions := make([]uint64, len(members))
	for i := range members {
		sessions[i] = members[i].Session
	}
	partners := evidence.Partners(c.store.Self().Session, sessions)
	if len(partners) == 0 {
		return
	}
	c.nextPartner++
	partner := partners[c.nextPartner%len(partners)]
	i := slices.IndexFunc(members, func(m peers.Member) bool { return m.Session == partner })
	c.send(members[i].Addr, c.gossip.Query(now, partner))
}
