// Package peers maintains the list of the fleet's members by gossip. It implements SWIM (Das, Gupta
// and Motivala, DSN 2002) with suspicion, indirect probes and incarnations, and the local health of
// Lifeguard (Dadgar, Phillips and Currey, 2018): a process whose probes fail takes its own network
// to be a possible cause and waits longer before it suspects others.
//
// The package performs no I/O and reads no clock: callers pass in packets and the time, collect the
// packets to send with Peers.Take, and set the seed of all random choices.
//
// A member is one run of a process, identified by a session that is chosen at random when the
// process starts. Its name is for operators. A process that restarts is a new member of the same
// name. Two live members of the same name at different addresses are both listed, and reported as a
// conflict.
package peers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Event is a change of a member that the caller may want to report.
type Event struct {
	Member       Member
	Previous     State // state before the change; unset if New
	New          bool  // the member was not known before
	NameConflict bool  // with New: another live member has the same name at a different address
}

// Counters holds the event counts of a Peers since its start.
type Counters struct {
	Pings, PingReqs uint64 // sent by this process: direct probes, requests for indirect probes
	Suspected       uint64 // members suspected because they did not answer this process
	Refuted         uint64 // false records of this process, held by others, that it refuted
	Died            uint64 // members declared dead
	NameConflicts   uint64 // members found to have the name of another live member
	Dropped         uint64 // invalid packets and records that it received and dropped
	SyncsUnanswered uint64 // Syncs that found too many others waiting for their answer
}

// Peers is one process's view of the members. It is not safe for concurrent use.
type Peers struct {
	cfg          Config
	rng          *rand.Rand
	self         *member
	left         bool // Leave was called
	members      memberTable
	updates      updateQueue
	detector     detector
	health       localHealth
	nextPeriodAt time.Time // start of the next period
	sync         syncState
	sends        []Send  // packets to be returned by Take
	events       []Event // events to be returned by Take
	changeCount  uint64  // see ChangeCount
	Counters     Counters
}

// New returns the view of a process that starts at the given time. If config.Known is empty, it
// queues packets to the seeds in order to join; otherwise it starts with the known members.
func New(now time.Time, config Config) *Peers {
	if config.MaxMembers <= 0 {
		config.MaxMembers = mostMembers
	}
	self := &member{Member: Member{Session: config.Session, Name: config.Name, Zone: config.Zone, Addr: config.Addr, EncodedAddr: addrBytes(config.Addr)}, stateSince: now}
	p := &Peers{
		cfg: config, rng: rand.New(rand.NewPCG(config.Seed, config.Session)), self: self, members: newMemberTable(self), detector: newDetector(),
	}
	p.cfg.Known = nil // from now on, the member table holds them
	p.nextPeriodAt = now.Add(p.randomDuration(config.Period))
	p.sync.nextAt = now.Add(p.randomDuration(initialSyncInterval))
	if len(config.Known) > 0 {
		p.restore(now, config.Known)
	} else {
		p.join(now)
	}
	return p
}

// randomDuration returns a random duration from 0 to limit, both included.
func (p *Peers) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(limit) + 1))
}

// Take returns the packets to send and the events since the last call.
func (p *Peers) Take() ([]Send, []Event) {
	sends, events := p.sends, p.events
	p.sends, p.events = nil, nil
	return sends, events
}

// Due returns the time at which Tick must be called next.
func (p *Peers) Due() time.Time {
	due := p.nextPeriodAt
	if probe := &p.detector.probe; probe.stage != noProbe && probe.deadline.Before(due) {
		due = probe.deadline
	}
	if p.sync.joinAt.Before(due) && p.needsJoin() {
		due = p.sync.joinAt
	}
	if at, ok := p.sync.answers.due(); ok && at.Before(due) {
		due = at
	}
	return due
}

// Self returns the record of this process.
func (p *Peers) Self() Member { return p.self.Member }

// ChangeCount returns the number of changes of the set of live members. If it is unchanged, so is
// the set.
func (p *Peers) ChangeCount() uint64 { return p.changeCount }

// Members returns the live members ordered by name and session. It includes this process and
// suspected members.
func (p *Peers) Members() []Member {
	return p.members.liveMembers()
}

// Count returns the number of live members. It includes this process and suspected members.
func (p *Peers) Count() int { return 1 + p.members.liveOthers }

// AddrOf returns the address of the member with the given session. The result is false if the
// member is not known, is not alive, is suspected, or is this process.
func (p *Peers) AddrOf(session uint64) (netip.AddrPort, bool) {
	if m := p.members.find(session); m != nil && m.State == Alive {
		return m.Addr, true
	}
	return netip.AddrPort{}, false
}

// IsLive reports whether another member with the given session is known and live. A suspected
// member is live. For this process's own session the result is false.
func (p *Peers) IsLive(session uint64) bool {
	m := p.members.find(session)
	return m != nil && m.live()
}

// RandomMembers returns up to n random members that are alive and not suspected, without this
// process.
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

// SetSeeds replaces the addresses of the seeds.
func (p *Peers) SetSeeds(seeds []netip.AddrPort) { p.cfg.Seeds = slices.Clone(seeds) }

// Leave notifies some random members that this process leaves. After that, only responses to other
// members' packets are sent.
func (p *Peers) Leave(now time.Time) {
	p.self.Incarnation++
	p.setState(now, p.self, Left)
	p.left = true
	p.detector.probe = probe{}
	for _, m := range p.RandomMembers(2 * indirectProbes) {
		p.send(m.Addr, Packet{Kind: Ping, Target: m.Session})
	}
}

// Tick performs the periodic work that is due. It may be called at any time.
func (p *Peers) Tick(now time.Time) {
	p.answerSyncs(now)
	if p.left {
		p.nextPeriodAt = now.Add(p.cfg.Period)
		return
	}
	p.expireSuspects(now)
	p.forgetEnded(now)
	p.detector.expireRelays(now)
	p.checkDirectProbe(now)
	if p.needsJoin() && !now.Before(p.sync.joinAt) {
		p.join(now)
	}
	if !now.Before(p.nextPeriodAt) {
		p.beginPeriod(now)
	}
}

// beginPeriod ends the probe of the last period and performs the work of each period.
func (p *Peers) beginPeriod(now time.Time) {
	p.nextPeriodAt = now.Add(p.cfg.Period)
	p.failProbe(now)
	p.startProbe(now)
	p.pingSuspects()
	if !now.Before(p.sync.nextAt) {
		p.syncWithOthers(now)
	}
}

// Handle processes a packet that was received from an address.
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
		p.queueSyncAnswer(now, from)
	case SyncAck:
	default:
		p.Counters.Dropped++
	}
}
