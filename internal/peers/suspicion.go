package peers

import (
	"math"
	"time"
)

// localHealth is Lifeguard's local health score: 0 is healthy, and each step up to maxLocalHealth
// (8) makes this process wait longer before it suspects others or declares them dead.
type localHealth int

func (h *localHealth) worsen()  { *h = min(*h+1, maxLocalHealth) }
func (h *localHealth) improve() { *h = max(*h-1, 0) }

// multiplier returns the factor by which timeouts are longer than in a healthy process.
func (h *localHealth) multiplier() time.Duration { return time.Duration(1 + *h) }

// suspicionTimeout returns how long a suspected member has to refute the suspicion. It grows with
// the number of members, since gossip must reach the suspect and its refutation must reach all
// members.
func (p *Peers) suspicionTimeout() time.Duration {
	periods := max(3, math.Log2(float64(len(p.members.others)+2)))
	return time.Duration(float64(p.cfg.Period) * periods * float64(p.health.multiplier()))
}

// expireSuspects declares suspects dead whose suspicion timeout has passed.
func (p *Peers) expireSuspects(now time.Time) {
	for _, m := range p.members.others {
		if m.State == Suspect && !now.Before(m.suspicionDeadline) {
			p.setState(now, m, Dead)
		}
	}
}

// forgetEnded removes members that have been dead or left for more than endedRetention (1 minute).
func (p *Peers) forgetEnded(now time.Time) {
	p.members.forget(func(m *member) bool {
		return !m.live() && now.Sub(m.stateSince) > endedRetention && !m.queued
	})
}

// pingSuspects pings suspected members with a packet that tells them of the suspicion, so that
// their answer carries the refutation (Lifeguard's buddy system). Gossip alone may lose the
// refutation on links that lose datagrams.
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

// noteSender handles a packet as a sign that its sender is running. A sender that is suspected, or
// was declared dead during a partition, is notified so that it refutes this: only the member itself
// may raise its incarnation.
func (p *Peers) noteSender(now time.Time, packet *Packet) {
	m := p.members.find(packet.Session)
	if m != nil && (m.State == Suspect || m.State == Dead) && packet.Kind != Ack {
		p.notify(now, m)
	}
}

// notify sends a member the record that this process has of it, at most once per period.
func (p *Peers) notify(now time.Time, m *member) {
	if now.Sub(m.notifiedAt) < p.cfg.Period {
		return
	}
	m.notifiedAt = now
	p.sends = append(p.sends, Send{m.Addr, Packet{Kind: Ack, Session: p.self.Session, Members: []Member{m.Member}}})
}
