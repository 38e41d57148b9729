package peers

import (
	"math"
	"time"
)

// localHealth is how far this process doubts itself: 0 is sound, and each step up to worstHealth makes it slower to accuse others.
// (Lifeguard's local health multiplier.)
type localHealth int

func (h *localHealth) worsen()  { *h = min(*h+1, maxLocalHealth) }
func (h *localHealth) improve() { *h = max(*h-1, 0) }

// multiplier is by how much longer it waits than when it is sound.
func (h *localHealth) multiplier() time.Duration { return time.Duration(1 + *h) }

// suspicionTimeout is how long a suspect has to speak up: gossip must reach it and its answer everybody.
func (p *Peers) suspicionTimeout() time.Duration {
	periods := max(3, math.Log2(float64(len(p.members.others)+2)))
	return time.Duration(float64(p.cfg.Period) * periods * float64(p.health.multiplier()))
}

// expireSuspects takes suspects for dead that had their time.
func (p *Peers) expireSuspects(now time.Time) {
	for _, m := range p.members.others {
		if m.State == Suspect && !now.Before(m.suspicionDeadline) {
			p.setState(now, m, Dead)
		}
	}
}

// forgetDead forgets those that are dead for long.
func (p *Peers) forgetDead(now time.Time) {
	p.members.forget(func(m *member) bool {
		return !m.live() && now.Sub(m.stateSince) > endedRetention && !m.queued
	})
}

// pingSuspects tells those who are suspected so, and their answer carries what they have to say to it: Lifeguard's buddy system.
// Gossip alone may lose the refutation on links that lose datagrams.
func (p *Peers) pingSuspects() {
	pinged := 0
	for _, m := range p.members.others {
		if m.State == Suspect && pinged < indirectProbes {
			pinged++
			p.sends = append(p.sends, Send{m.Addr, Packet{
				Kind: Ping, Session: p.self.Session, Target: m.Session, Members: []Member{m.Member},
			}})
		}
	}
}

// noteSender takes a packet as a sign of life. Who is suspected, or taken for dead since a partition, is told so, and speaks up:
// only it may raise its incarnation.
func (p *Peers) noteSender(now time.Time, packet *Packet) {
	m := p.members.find(packet.Session)
	if m != nil && (m.State == Suspect || m.State == Dead) && packet.Kind != Ack {
		p.notify(now, m)
	}
}

// notify tells a member what is held of it, once in a period at the most.
func (p *Peers) notify(now time.Time, m *member) {
	if now.Sub(m.notifiedAt) < p.cfg.Period {
		return
	}
	m.notifiedAt = now
	p.sends = append(p.sends, Send{m.Addr, Packet{Kind: Ack, Session: p.self.Session, Members: []Member{m.Member}}})
}
