package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Stages of a probe.
const (
	noProbe       = iota
	directProbe   // this process has pinged the member
	indirectProbe // other members have been asked to ping the member
)

// indirectProbeTimeout is longer than any period: an indirect probe has no timeout of its own, but
// fails at the end of the period.
const indirectProbeTimeout = time.Hour

// probe is the probe in progress.
type probe struct {
	target   uint64    // session of the probed member
	sequence uint64    // sequence number of the ping
	stage    uint8     // noProbe, directProbe or indirectProbe
	deadline time.Time // end of the stage
}

// relay is a ping that this process sent on behalf of another member.
type relay struct {
	requester       netip.AddrPort
	requestSequence uint64 // sequence number of the requester's PingReq
	expiresAt       time.Time
}

// detector is the state of the SWIM failure detector.
type detector struct {
	lastSequence uint64 // sequence number of the last ping
	probe        probe
	round        probeRound
	relays       map[uint64]relay // by sequence number of the ping
}

func newDetector() detector { return detector{relays: make(map[uint64]relay)} }

// nextSequence returns a new sequence number for a ping.
func (d *detector) nextSequence() uint64 {
	d.lastSequence++
	return d.lastSequence
}

// expireRelays removes the relays whose ping was not answered in time.
func (d *detector) expireRelays(now time.Time) {
	for sequence, r := range d.relays {
		if now.After(r.expiresAt) {
			delete(d.relays, sequence)
		}
	}
}

// probeRound holds the sessions that are still to be probed in the current round. Each member is
// probed once per round, so that a failure is detected within a bounded time.
type probeRound []uint64

// next removes a session from the round and returns it. The result ok is false if none is left.
func (r *probeRound) next() (session uint64, ok bool) {
	last := len(*r) - 1
	if last < 0 {
		return 0, false
	}
	session = (*r)[last]
	*r = (*r)[:last]
	return session, true
}

// insert adds a session at a random position.
func (r *probeRound) insert(session uint64, rng *rand.Rand) {
	*r = append(*r, session)
	if last := len(*r) - 1; last > 0 {
		r.swap(rng.IntN(last+1), last)
	}
}

// fill adds all live members in random order.
func (r *probeRound) fill(members []*member, rng *rand.Rand) {
	for _, m := range members {
		if m.live() {
			*r = append(*r, m.Session)
		}
	}
	rng.Shuffle(len(*r), r.swap)
}

func (r *probeRound) swap(i, j int) { (*r)[i], (*r)[j] = (*r)[j], (*r)[i] }

// nextProbeTarget removes sessions from the round up to that of a live member and returns the
// member, or nil if none is left.
func (p *Peers) nextProbeTarget() *member {
	for {
		session, ok := p.detector.round.next()
		if !ok {
			return nil
		}
		if m := p.members.find(session); m != nil && m.live() {
			return m
		}
	}
}

// startProbe pings the next member of the round. If the round is over, it starts a new one.
func (p *Peers) startProbe(now time.Time) {
	m := p.nextProbeTarget()
	if m == nil {
		p.detector.round.fill(p.members.others, p.rng)
		m = p.nextProbeTarget()
	}
	if m == nil {
		return // no other member is live
	}
	sequence := p.detector.nextSequence()
	p.detector.probe = probe{target: m.Session, sequence: sequence, stage: directProbe, deadline: now.Add(p.probeTimeout())}
	p.Counters.Pings++
	p.send(m.Addr, Packet{Kind: Ping, Seq: sequence, Target: m.Session})
}

// probeTimeout returns how long a direct probe waits for an Ack: the configured timeout times the
// local health multiplier, at most two thirds of the period.
func (p *Peers) probeTimeout() time.Duration {
	return min(p.cfg.Timeout*p.health.multiplier(), p.cfg.Period*2/3)
}

// checkDirectProbe starts an indirect probe if the direct probe has timed out. The target may be
// unreachable from this process only, so other members are asked to ping it.
func (p *Peers) checkDirectProbe(now time.Time) {
	current := &p.detector.probe
	if current.stage != directProbe || now.Before(current.deadline) {
		return
	}
	current.stage, current.deadline = indirectProbe, now.Add(indirectProbeTimeout)
	target := p.members.find(current.target)
	if target == nil {
		p.detector.probe = probe{}
		return
	}
	asked := 0
	for _, helper := range p.RandomMembers(indirectProbes + 1) {
		if helper.Session != target.Session && asked < indirectProbes {
			asked++
			p.Counters.PingReqs++
			request := Packet{Kind: PingReq, Seq: current.sequence, Target: target.Session, Members: []Member{target.Member}}
			p.send(helper.Addr, request)
		}
	}
}

// failProbe suspects the target of a probe that was not answered by the end of the period.
func (p *Peers) failProbe(now time.Time) {
	if p.detector.probe.stage == noProbe {
		return
	}
	target := p.members.find(p.detector.probe.target)
	p.detector.probe = probe{}
	p.health.worsen()
	if target != nil && target.State == Alive {
		p.Counters.Suspected++
		p.setState(now, target, Suspect)
	}
}

// handlePingReq pings a member on behalf of the sender.
func (p *Peers) handlePingReq(now time.Time, from netip.AddrPort, packet *Packet) {
	target := p.members.find(packet.Target)
	if target == nil || len(p.detector.relays) >= maxRelays {
		return
	}
	sequence := p.detector.nextSequence()
	p.detector.relays[sequence] = relay{requester: from, requestSequence: packet.Seq, expiresAt: now.Add(2 * p.cfg.Period)}
	p.send(target.Addr, Packet{Kind: Ping, Seq: sequence, Target: packet.Target})
}

// handleAck handles the answer to a relayed ping or to the current probe.
func (p *Peers) handleAck(now time.Time, from netip.AddrPort, packet *Packet) {
	if r, ok := p.detector.relays[packet.Seq]; ok {
		delete(p.detector.relays, packet.Seq)
		if packet.Session == packet.Target {
			p.sends = append(p.sends, Send{r.requester, Packet{Kind: Ack, Seq: r.requestSequence, Session: packet.Session, Target: packet.Target}})
		}
		return
	}
	if p.detector.probe.stage == noProbe || packet.Seq != p.detector.probe.sequence {
		return
	}
	target := p.members.find(p.detector.probe.target)
	p.detector.probe = probe{}
	p.health.improve()
	if target != nil && packet.Session != target.Session && from == target.Addr && target.live() {
		// Another process answers at the target's address: the target has ended, and the suspicion
		// timeout need not be awaited.
		p.setState(now, target, Dead)
	}
}
