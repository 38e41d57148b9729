package evidence

import (
	"slices"
	"time"
)

// Gossip says when to ask whom, and keeps what was asked: a question counts from before it was sent, and an answer's changes
// count only where none before them is missing. Peers are known by session. It is pure, like the Store.
type Gossip struct {
	store        *Store
	interval     time.Duration
	seq          uint64
	pending      map[uint64]pendingQuery // by the question's number
	receivedUpTo map[uint64]uint64
	nextQuery    time.Time
	urgentUpTo   uint64 // change up to which hot news was passed on
	Lost         uint64 // questions without an answer
	Merged       uint64 // messages that were news
}

type pendingQuery struct {
	peer     uint64
	sentAt   time.Time
	answered bool
	parts    map[uint64]uint64 // what came of the answer, from and up to which change: its parts may be out of order
}

// NewGossip returns the gossip of a store that asks one other process about every so often.
func NewGossip(s *Store, every time.Duration) *Gossip {
	// Questions are numbered from the session on: a late answer to one of a former life must not pass for that to one of this life.
	return &Gossip{store: s, interval: every, seq: s.self.Session, pending: make(map[uint64]pendingQuery), receivedUpTo: make(map[uint64]uint64)}
}

// answerTimeout is how long a question may be out; a later answer vouches for nothing that would still count.
const answerTimeout = 3 * time.Second

// Due tells whether it is time to ask, and when to look again.
func (g *Gossip) Due(now time.Time) (ask bool, next time.Time) {
	return !now.Before(g.nextQuery), g.nextQuery
}

// Query returns a question to a peer.
func (g *Gossip) Query(now time.Time, peer uint64) *Message {
	g.nextQuery = now.Add(g.interval)
	g.seq++
	for n, a := range g.pending { // whichever order
		if now.Sub(a.sentAt) > answerTimeout {
			delete(g.pending, n)
			if !a.answered {
				g.Lost++
				delete(g.receivedUpTo, a.peer) // it may hold less than it did
			}
		}
	}
	g.pending[g.seq] = pendingQuery{peer: peer, sentAt: now}
	return &Message{IsQuery: true, Seq: g.seq, Since: g.receivedUpTo[peer], UnknownAge: g.store.WritersOfUnknownAge()}
}

// Receive merges a message that is no question. An answer to a question that is not out counts as unasked.
func (g *Gossip) Receive(m *Message) {
	a, out := g.pending[m.Seq]
	if !out {
		a = pendingQuery{}
	}
	if g.store.Merge(a.sentAt, m) {
		g.Merged++
	}
	if out {
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

// Partners are the processes that one asks, of all sessions that live: those at distances of 1, 4, 16 and so on around the ring
// of sessions. Who asks the same few again is told what changed since; who asked anybody would be told everything each time.
func Partners(me uint64, sessions []uint64) []uint64 {
	ring := slices.Clone(sessions)
	if !slices.Contains(ring, me) {
		ring = append(ring, me)
	}
	slices.Sort(ring)
	at, _ := slices.BinarySearch(ring, me)
	var out []uint64
	for d := 1; d < len(ring); d *= 4 {
		if p := ring[(at+d)%len(ring)]; p != me && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// Forget drops what is kept of a peer that is gone.
func (g *Gossip) Forget(peer uint64) { delete(g.receivedUpTo, peer) }

// UrgentUpdate returns bad news that came since the last call, to be passed on at once; nil: there is none.
func (g *Gossip) UrgentUpdate(now time.Time) *Message {
	m := g.store.UrgentUpdate(now, g.urgentUpTo)
	g.urgentUpTo = g.store.Seq()
	return m
}
