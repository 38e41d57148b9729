package instance

import (
	"net/netip"
	"time"

	"ospreyspan/balance"
	"ospreyspan/internal/duty"
	"ospreyspan/internal/mesh"
	"ospreyspan/internal/poll"
)

// moves delays moves off draining targets until the times that the owner of the duty assigns.
type moves struct {
	fleet      *fleet
	pacer      duty.MovePacer
	lastSeq    uint64
	unanswered map[uint64]*pacedMove            // not answered yet, by the request's seq
	waiting    map[balance.RequestID]*pacedMove // all delayed moves
}

// pacedMove is a move that waits for the owner's answer and then for its assigned time.
type pacedMove struct {
	id      balance.RequestID
	seq     uint64 // sequence number of the request; 0: none
	askedAt time.Time
	timer   poll.Timer
}

func newMoves(f *fleet, rate float64) *moves {
	m := &moves{fleet: f, lastSeq: f.session, pacer: duty.MovePacer{Rate: rate}, unanswered: make(map[uint64]*pacedMove), waiting: make(map[balance.RequestID]*pacedMove)}
	f.instance.engine.PaceMoves(m.pace)
	return m
}

// pace schedules a move that the module requests. It returns false if the move is to be made at
// once, as without an owner.
func (m *moves) pace(id balance.RequestID) bool {
	if p := m.waiting[id]; p != nil {
		// The module requests the move again because its target is about to stop. A client that
		// waited longer would be cut off.
		m.fleet.loop.Disarm(&p.timer)
		delete(m.waiting, id)
		delete(m.unanswered, p.seq)
		return false
	}
	now := m.fleet.loop.Now()
	if _, ok := m.fleet.node.Holds(duty.Moves); ok {
		wait := m.pacer.Schedule(now)
		if wait == 0 {
			return false
		}
		m.schedule(&pacedMove{id: id}, wait)
		return true
	}
	at, ok := m.fleet.node.OwnerAddr(duty.Moves)
	if !ok {
		return false
	}
	m.lastSeq++
	p, seq := &pacedMove{id: id, seq: m.lastSeq, askedAt: now}, m.lastSeq
	m.unanswered[seq] = p
	m.fleet.node.SendOwnerRequest(at, mesh.OwnerMessage{Lease: duty.Moves, Seq: seq})
	m.schedule(p, duty.MoveResponseTimeout)
	fire := p.timer.Fire
	p.timer.Fire = func() { delete(m.unanswered, seq); fire() }
	return true
}

// schedule makes a move after a delay.
func (m *moves) schedule(p *pacedMove, d time.Duration) {
	m.waiting[p.id] = p
	p.timer.Fire = func() {
		delete(m.waiting, p.id)
		m.fleet.instance.engine.MoveNow(p.id)
	}
	m.fleet.loop.After(&p.timer, d)
}

// handleDirect handles a request to this process as the owner, or the owner's answer to a request
// of this process.
func (m *moves) handleDirect(from netip.AddrPort, d *mesh.OwnerMessage) {
	now := m.fleet.loop.Now()
	if !d.IsResponse {
		if _, ok := m.fleet.node.Holds(duty.Moves); ok {
			if text, err := duty.EncodeMoveDelay(m.pacer.Schedule(now)); err == nil {
				m.fleet.node.SendOwnerResponse(from, mesh.OwnerMessage{Lease: duty.Moves, Seq: d.Seq, Data: text})
			}
		}
		return
	}
	p := m.unanswered[d.Seq]
	if p == nil {
		return
	}
	if wait, err := duty.DecodeMoveDelay(d.Data, now.Sub(p.askedAt)); err == nil {
		m.fleet.loop.After(&p.timer, wait)
	}
}
