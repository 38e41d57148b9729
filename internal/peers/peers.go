// Package peers keeps the list of the fleet's members: SWIM (Das, Gupta and Motivala, DSN 2002) with suspicion,
// indirect probes and incarnations, and Lifeguard's local health (Dadgar, Phillips and Currey, 2018): a process whose
// probes fail suspects its own network first. It is pure: events come with their time, what to send is taken off it, random choices
// come from a seed.
//
// A member is one life of a process, known by a session that is drawn at its start; its name is what operators call it. A
// restart is another member of the same name, and two that live at once under one name are both seen, and reported.
package peers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Event is a change of one member.
type Event struct {
	Member       Member
	Previous     State // before
	New          bool  // it was not known before
	NameConflict bool  // another one of its name lives
}

// Counters count what a process's view did.
type Counters struct {
	Pings, PingReqs uint64 // direct probes, and requests for indirect ones, that were sent
	Suspected       uint64 // members that did not answer this process
	Refuted         uint64 // suspicions of this process
	Died            uint64 // members that were taken for dead
	NameConflicts   uint64 // members that had the name of another live one
	Dropped         uint64 // packets and records that broke the bounds
}

// Peers is one process's view of the members.
type Peers struct {
	cfg          Config
	rng          *rand.Rand
	self         *member
	left         bool // it has told others that it goes
	members      memberTable
	updates      updateQueue
	detector     detector
	health       localHealth
	nextPeriodAt time.Time // the next period begins then
	sync         syncState
	sends        []Send
	events       []Event
	changeCount  uint64
	Counters     Counters
}

// New returns the view of a process that knows its seeds, and the members that the configuration names.
func New(now time.Time, config Config) *Peers {
	if config.MaxMembers <= 0 {
		config.MaxMembers = mostMembers
	}
	self := &member{Member: Member{Session: config.Session, Name: config.Name, Zone: config.Zone, Addr: config.Addr, EncodedAddr: addrBytes(config.Addr)}, stateSince: now}
	p := &Peers{
		cfg: config, rng: rand.New(rand.NewPCG(config.Seed, config.Session)), self: self, members: newMemberTable(self), detector: newDetector(),
	}
	p.cfg.Known = nil // the table holds them from here on
	p.nextPeriodAt = now.Add(p.randomDuration(config.Period))
	p.sync.nextAt = now.Add(p.randomDuration(initialSyncInterval))
	if len(config.Known) > 0 {
		p.restore(now, config.Known)
	} else {
		p.join(now)
	}
	return p
}

// randomDuration returns a random time from 0 to d.
func (p *Peers) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(limit) + 1))
}

// Take returns what is to be sent, and what changed, since the last call.
func (p *Peers) Take() ([]Send, []Event) {
	sends, events := p.sends, p.events
	p.sends, p.events = nil, nil
	return sends, events
}

// Due tells when Tick is to be called next.
func (p *Peers) Due() time.Time {
	due := p.nextPeriodAt
	if probe := &p.detector.probe; probe.stage != noProbe && probe.deadline.Before(due) {
		due = probe.deadline
	}
	if p.sync.joinAt.Before(due) && p.needsJoin() {
		due = p.sync.joinAt
	}
	return due
}

// Self returns this process's own record.
func (p *Peers) Self() Member { return p.self.Member }

// ChangeCount counts the changes of who lives: equal figures mean an unchanged list.
func (p *Peers) ChangeCount() uint64 { return p.changeCount }

// Members returns those that live, this process among them, by name and session; suspects are among them.
func (p *Peers) Members() []Member {
	return p.members.liveMembers()
}

// Count is how many members live, this one among them.
func (p *Peers) Count() int { return 1 + p.members.liveOthers }

// AddrOf is the address of another member that lives and is not suspected.
func (p *Peers) AddrOf(session uint64) (netip.AddrPort, bool) {
	if m := p.members.find(session); m != nil && m.State == Alive {
		return m.Addr, true
	}
	return netip.AddrPort{}, false
}

// IsLive tells whether a member that is known lives.
func (p *Peers) IsLive(session uint64) bool {
	m := p.members.find(session)
	return m != nil && m.live()
}

// RandomMembers returns up to n random members other than this one that live and are not suspected.
func (p *Peers) RandomMembers(n int) []Member {
	var alive []Member
	for _, m := range p.members.others {
		if m.State == Alive {
			alive = append(alive, m.Member)
		}
	}
	p.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// SetSeeds replaces the addresses at which members are looked for.
func (p *Peers) SetSeeds(seeds []netip.AddrPort) { p.cfg.Seeds = slices.Clone(seeds) }

// Leave tells some members that this one leaves; nothing is sent after that but responses.
func (p *Peers) Leave(now time.Time) {
	p.self.Incarnation++
	p.setState(now, p.self, Left)
	p.left = true
	p.detector.probe = probe{}
	for _, m := range p.RandomMembers(2 * indirectProbes) {
		p.send(m.Addr, Packet{Kind: Ping, Target: m.Session})
	}
}

// Tick does what is due; it may be called at any time.
func (p *Peers) Tick(now time.Time) {
	if p.left {
		p.nextPeriodAt = now.Add(p.cfg.Period)
		return
	}
	p.expireSuspects(now)
	p.forgetDead(now)
	p.detector.expireRelays(now)
	p.checkDirectProbe(now)
	if p.needsJoin() && !now.Before(p.sync.joinAt) {
		p.join(now)
	}
	if !now.Before(p.nextPeriodAt) {
		p.beginPeriod(now)
	}
}

// beginPeriod ends the last period's probe and does what each period does.
func (p *Peers) beginPeriod(now time.Time) {
	p.nextPeriodAt = now.Add(p.cfg.Period)
	p.failProbe(now)
	p.startProbe(now)
	p.pingSuspects()
	if !now.Before(p.sync.nextAt) {
		p.syncWithOthers(now)
	}
}

// Handle takes a packet from an address.
func (p *Peers) Handle(now time.Time, from netip.AddrPort, packet *Packet) {
	if packet.Session == 0 || packet.Session == p.self.Session || len(packet.Members) > maxPacketRecords {
		p.Counters.Dropped++
		return
	}
	for i := range packet.Members {
		p.merge(now, &packet.Members[i])
	}
	p.noteSender(now, packet)
	switch packet.Kind {
	case Ping:
		p.send(from, Packet{Kind: Ack, Seq: packet.Seq, Target: packet.Target})
	case Ack:
		p.handleAck(now, from, packet)
	case PingReq:
		p.handlePingReq(now, from, packet)
	case Sync:
		p.sendMembers(from, SyncAck)
	case SyncAck:
	default:
		p.Counters.Dropped++
	}
}
