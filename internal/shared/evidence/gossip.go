package evidence

import (
	"slices"
	"time"
)

// Gossip decides when a process queries which peer, and keeps the state of its queries. The age of
// what an answer tells counts from before its query was sent. The changes in an answer count as
// received only if no earlier change is missing. Peers are identified by session. Like Store,
// Gossip uses no clock and no I/O.
type Gossip struct {
	store    *Store
	interval time.Duration           // time between two queries
	seq      uint64                  // Message.Seq of the last query
	pending  map[uint64]pendingQuery // queries in progress, by Message.Seq
	// receivedUpTo is the number of the last change received without a gap, by peer.
	receivedUpTo map[uint64]uint64
	nextQuery    time.Time // when the next query is due
	urgentUpTo   uint64    // last change that UrgentUpdate has covered
	Lost         uint64    // queries without an answer
	Merged       uint64    // messages that changed the store
}

type pendingQuery struct {
	peer     uint64
	sentAt   time.Time
	answered bool
	// parts maps the number before the first change of each received part of the answer to that of
	// its last. Parts may arrive out of order.
	parts map[uint64]uint64
}

// NewGossip returns the gossip of a store that sends a query to one other process about once per
// interval.
func NewGossip(s *Store, interval time.Duration) *Gossip {
	// Queries are numbered from the session on, so that a late answer to a query from before a
	// restart is not taken for an answer to a query of this process.
	return &Gossip{store: s, interval: interval, seq: s.self.Session, pending: make(map[uint64]pendingQuery), receivedUpTo: make(map[uint64]uint64)}
}

// answerTimeout is the time after which a query counts as lost. What a later answer tells of ages
// would be too old to be of use.
const answerTimeout = 3 * time.Second

// Due reports whether a query is due, and when the next one is.
func (g *Gossip) Due(now time.Time) (due bool, next time.Time) {
	return !now.Before(g.nextQuery), g.nextQuery
}

// Query returns a query to a peer. It drops the queries that have timed out.
func (g *Gossip) Query(now time.Time, peer uint64) *Message {
	g.nextQuery = now.Add(g.interval)
	g.seq++
	for n, a := range g.pending { // in any order
		if now.Sub(a.sentAt) > answerTimeout {
			delete(g.pending, n)
			if !a.answered {
				g.Lost++
				delete(g.receivedUpTo, a.peer) // the peer may have restarted with fewer changes
			}
		}
	}
	g.pending[g.seq] = pendingQuery{peer: peer, sentAt: now}
	return &Message{IsQuery: true, Seq: g.seq, Since: g.receivedUpTo[peer], UnknownAge: g.store.WritersOfUnknownAge()}
}

// Receive merges a message that is not a query. An answer to a query that is no longer pending is
// treated as unsolicited.
func (g *Gossip) Receive(m *Message) {
	a, known := g.pending[m.Seq]
	if !known {
		a = pendingQuery{}
	}
	if g.store.Merge(a.sentAt, m) {
		g.Merged++
	}
	if known {
		if a.parts == nil {
			a.parts = make(map[uint64]uint64)
		}
		if len(a.parts) < 2*maxParts {
			a.parts[m.From] = max(a.parts[m.From], m.UpTo)
		}
		a.answered = true
		g.pending[m.Seq] = a
		for next, ok := a.parts[g.receivedUpTo[a.peer]]; ok && next > g.receivedUpTo[a.peer]; next, ok = a.parts[g.receivedUpTo[a.peer]] {
			g.receivedUpTo[a.peer] = next
		}
	}
}

// Partners returns the processes that a process queries, out of the sessions of all live ones:
// those at the distances 1, 4, 16 and so on around the ring of sorted sessions. A process that
// queries the same few again receives only the changes since its last query. Queries to random
// processes would each be answered with everything.
func Partners(self uint64, sessions []uint64) []uint64 {
	ring := slices.Clone(sessions)
	if !slices.Contains(ring, self) {
		ring = append(ring, self)
	}
	slices.Sort(ring)
	at, _ := slices.BinarySearch(ring, self)
	var partners []uint64
	for d := 1; d < len(ring); d *= 4 {
		if p := ring[(at+d)%len(ring)]; p != self && !slices.Contains(partners, p) {
			partners = append(partners, p)
		}
	}
	return partners
}

// Forget drops the record of what was received from a peer that has left. If the peer is queried
// again, it is asked for everything.
func (g *Gossip) Forget(peer uint64) { delete(g.receivedUpTo, peer) }

// UrgentUpdate returns the failures that are new since the last call, to be forwarded at once, or
// nil if there are none.
func (g *Gossip) UrgentUpdate(now time.Time) *Message {
	m := g.store.UrgentUpdate(now, g.urgentUpTo)
	g.urgentUpTo = g.store.Seq()
	return m
}
