package evidence

import (
	"slices"
	"time"
)

// Gossip says when to ask whom, and keeps what was asked: a question counts from before it was sent, and an answer's changes
// count only where none before them is missing. Peers are known by session. It is pure, like the Store.
type Gossip struct {
	store  *Store
	every  time.Duration
	seq    uint64
	asked  map[uint64]asked // by the question's number
	upto   map[uint64]uint64
	next   time.Time
	told   uint64 // change up to which hot news was passed on
	Lost   uint64 // questions without an answer
	Merged uint64 // messages that were news
}

type asked struct {
	of       uint64
	at       time.Time
	answered bool
	parts    map[uint64]uint64 // what came of the answer, from and up to which change: its parts may be out of order
}

// NewGossip returns the gossip of a store that asks one other process about every so often.
func NewGossip(s *Store, every time.Duration) *Gossip {
	// Questions are numbered from the session on: a late answer to one of a former life must not pass for that to one of this life.
	return &Gossip{store: s, every: every, seq: s.self.Session, asked: make(map[uint64]asked), upto: make(map[uint64]uint64)}
}

// answerWithin is how long a question may be out; a later answer vouches for nothing that would still count.
const answerWithin = 3 * time.Second

// Due tells whether it is time to ask, and when to look again.
func (g *Gossip) Due(now time.Time) (ask bool, next time.Time) {
	return !now.Before(g.next), g.next
}

// Query returns a question to a peer.
func (g *Gossip) Query(now time.Time, peer uint64) *Message {
	g.next = now.Add(g.every)
	g.seq++
	for n, a := range g.asked { // whichever order
		if now.Sub(a.at) > answerWithin {
			delete(g.asked, n)
			if !a.answered {
				g.Lost++
				delete(g.upto, a.of) // it may hold less than it did
			}
		}
	}
	g.asked[g.seq] = asked{of: peer, at: now}
	return &Message{IsQuery: true, Seq: g.seq, Since: g.upto[peer], UnknownAge: g.store.WritersOfUnknownAge()}
}

// Receive merges a message that is no question. An answer to a question that is not out counts as unasked.
func (g *Gossip) Receive(m *Message) {
	a, out := g.asked[m.Seq]
	if !out {
		a = asked{}
	}
	if g.store.Merge(a.at, m) {
		g.Merged++
	}
	if out {
		if a.parts == nil {
			a.parts = make(map[uint64]uint64)
		}
		if len(a.parts) < 2*mostParts {
			a.parts[m.From] = max(a.parts[m.From], m.UpTo)
		}
		a.answered = true
		g.asked[m.Seq] = a
		for next, ok := a.parts[g.upto[a.of]]; ok && next > g.upto[a.of]; next, ok = a.parts[g.upto[a.of]] {
			g.upto[a.of] = next
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
func (g *Gossip) Forget(peer uint64) { delete(g.upto, peer) }

// UrgentUpdate returns bad news that came since the last call, to be passed on at once; nil: there is none.
func (g *Gossip) UrgentUpdate(now time.Time) *Message {
	m := g.store.UrgentUpdate(now, g.told)
	g.told = g.store.Seq()
	return m
}
