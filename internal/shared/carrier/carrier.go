// Package carrier takes a process's evidence to the other processes of its fleet and theirs to it, as datagrams of its
// mesh.Node. It decides nothing but when to speak: what is merged and judged is in evidence, verdict and limit.
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
	// Topic names the evidence among what processes tell each other.
	Topic = "evidence"
	// TickInterval is the time between two calls of Look, AskEvery about that between two questions.
	TickInterval  = 200 * time.Millisecond
	QueryInterval = 500 * time.Millisecond
	// urgentFanout is to how many members trouble is told at once; each that had not heard of it tells as many.
	urgentFanout = 3
)

// Carrier carries one process's evidence. It belongs to its loop's goroutine.
type Carrier struct {
	node        *mesh.Node
	store       *evidence.Store
	gossip      *evidence.Gossip
	nextPartner int // of the partners
}

// New returns a carrier with a store of its own; Bind comes before all else.
func New(now time.Time, me evidence.Writer, c evidence.Config, f evidence.Flaws) *Carrier {
	s := evidence.New(now, me, c, f)
	return &Carrier{store: s, gossip: evidence.NewGossip(s, QueryInterval)}
}

// Bind tells by which node it speaks.
func (c *Carrier) Bind(n *mesh.Node) { c.node = n }

// Store is the evidence.
func (c *Carrier) Store() *evidence.Store { return c.store }

// Receive takes what another process says; what is of another matter, or can't be read, changes nothing.
func (c *Carrier) Receive(now time.Time, from netip.AddrPort, s *mesh.Shared) {
	if s.Matter != Topic || c.node == nil {
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
		// Whoever told it knows how old that is, or will before long; else it would not count here until the next question.
		c.send(from, c.gossip.Query(now, s.Session))
	}
}

func (c *Carrier) send(to netip.AddrPort, m *evidence.Message) {
	if text, err := m.Encode(); err == nil {
		c.node.Share(to, Topic, text)
	}
}

// Tick tells others what is new, asks one of them if it is time, and drops what is old.
func (c *Carrier) Tick(now time.Time) {
	if hot := c.gossip.UrgentUpdate(now); hot != nil {
		for _, m := range c.node.RandomMembers(urgentFanout) {
			c.send(m.Addr, hot)
		}
	}
	if ask, _ := c.gossip.Due(now); ask {
		c.queryNextPartner(now)
	}
	c.store.Expire(now)
}

// queryNextPartner asks the next of the partners.
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
	of := partners[c.nextPartner%len(partners)]
	i := slices.IndexFunc(members, func(m peers.Member) bool { return m.Session == of })
	c.send(members[i].Addr, c.gossip.Query(now, of))
}
