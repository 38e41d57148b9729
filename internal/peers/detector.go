package peers

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// The stages of a probe.
const (
	noProbe       = iota
	directProbe   // the member was pinged
	indirectProbe // others were asked to ping it
)

// indirectProbeTimeout is longer than any period, whose end decides on an indirect probe.
const indirectProbeTimeout = time.Hour

// probe is the ping of a member that is out.
type probe struct {
	target   uint64 // session
	sequence uint64
	stage    uint8
	deadline time.Time // of the stage
}

// relay is a ping that was made for another member.
type relay struct {
	requester       netip.AddrPort
	requestSequence uint64 // of the other member's request
	expiresAt       time.Time
}

// detector is the state of the search for failures.
type detector struct {
	lastSequence uint64 // of the last ping
	probe        probe
	round        probeRound
	relays       map[uint64]relay // by the sequence of the ping
}

func newDetector() detector { return detector{relays: make(map[uint64]relay)} }

// nextSequence numbers a ping.
func (d *detector) nextSequence() uint64 {
	d.lastSequence++
	return d.lastSequence
}

// expireRelays forgets the pings for others that were not answered.
func (d *detector) expireRelays(now time.Time) {
	for sequence, r := range d.relays {
		if now.After(r.expiresAt) {
			delete(d.relays, sequence)
		}
	}
}

// probeRound is the sessions that are still to be probed in this round. Each member is probed once in a round, so that a death is
// seen by somebody within a bounded time.
type probeRound []uint64

// next takes a session off the round; ok is false if none is left.
func (r *probeRound) next() (session uint64, ok bool) {
	last := len(*r) - 1
	if last < 0 {
		return 0, false
	}
	session = (*r)[last]
	*r = (*r)[:last]
	return session, true
}

// insert adds a new member at a drawn place.
func (r *probeRound) insert(session uint64, rng *rand.Rand) {
	*r = append(*r, session)
	if last := len(*r) - 1; last > 0 {
		r.swap(rng.IntN(last+1), last)
	}
}

// fill begins a round of all that live, in a drawn order.
func (r *probeRound) fill(members []*member, rng *rand.Rand) {
	for _, m := range members {
		if m.live() {
			*r = append(*r, m.Session)
		}
	}
	rng.Shuffle(len(*r), r.swap)
}

func (r *probeRound) swap(i, j int) { (*r)[i], (*r)[j] = (*r)[j], (*r)[i] }

// nextProbeTarget takes the next member that lives off the round, nil if none is left.
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

// startProbe pings the next member of the round, and of the next round if this one is over.
func (p *Peers) startProbe(now time.Time) {
	m := p.nextProbeTarget()
	if m == nil {
		p.detector.round.fill(p.members.others, p.rng)
		m = p.nextProbeTarget()
	}
	if m == nil {
		return // nobody else lives
	}
	sequence := p.detector.nextSequence()
	p.detector.probe = probe{target: m.Session, sequence: sequence, stage: directProbe, deadline: now.Add(p.probeTimeout())}
	p.Counters.Pings++
	p.send(m.Addr, Packet{Kind: Ping, Seq: sequence, Target: m.Session})
}

// probeTimeout is how long a direct probe waits for its answer.
func (p *Peers) probeTimeout() time.Duration {
	return min(p.cfg.Timeout*p.health.multiplier(), p.cfg.Period*2/3)
}

// checkDirectProbe has others ping in this one's place if the direct probe was not answered: the way between the two may be at fault.
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

// failProbe suspects the member whose probe nobody has answered within the period.
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

// handlePingReq pings a member in another one's place.
func (p *Peers) handlePingReq(now time.Time, from netip.AddrPort, packet *Packet) {
	target := p.members.find(packet.Target)
	if target == nil || len(p.detector.relays) >= maxRelays {
		return
	}
	sequence := p.detector.nextSequence()
	p.detector.relays[sequence] = relay{requester: from, requestSequence: packet.Seq, expiresAt: now.Add(2 * p.cfg.Period)}
	p.send(target.Addr, Packet{Kind: Ping, Seq: sequence, Target: packet.Target})
}

// handleAck takes the answer to a ping: one that was made for another member, or this one's probe.
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
		// Another process answers at that address: the one that was meant has ended, whatever its suspicion.
		p.setState(now, target, Dead)
	}
}
