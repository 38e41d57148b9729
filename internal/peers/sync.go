package peers

import (
	"net/netip"
	"time"
)

// syncState are when the list of members is to be compared with others'.
type syncState struct {
	nextAt  time.Time // the next Sync
	started int       // Syncs so far
	joinAt  time.Time // the next attempt to join, of one that knows nobody
}

// needsJoin tells whether no other member is known to live although there are seeds.
func (p *Peers) needsJoin() bool {
	return p.members.liveOthers == 0 && len(p.cfg.Seeds) > 0 && !p.left
}

// join says to all seeds that this process is there.
func (p *Peers) join(now time.Time) {
	p.sync.joinAt = now.Add(joinInterval/2 + p.randomDuration(joinInterval))
	for _, seed := range p.cfg.Seeds {
		p.announceTo(seed)
	}
}

// announceTo sends a seed this process's own record; it answers with its list.
func (p *Peers) announceTo(seed netip.AddrPort) {
	if seed != p.cfg.Addr {
		p.send(seed, Packet{Kind: Sync, Members: []Member{p.self.Member}})
	}
}

// syncWithOthers compares lists with a member that is drawn, and with a seed.
func (p *Peers) syncWithOthers(now time.Time) {
	interval := p.syncInterval()
	p.sync.nextAt = now.Add(interval/2 + p.randomDuration(interval))
	if random := p.RandomMembers(1); len(random) > 0 {
		p.sendMembers(random[0].Addr, Sync)
	}
	p.syncWithSeed()
}

// syncInterval is the mean time until the next Sync.
func (p *Peers) syncInterval() time.Duration {
	p.sync.started++
	if p.sync.started <= initialSyncs {
		return initialSyncInterval
	}
	return max(steadySyncInterval, syncIntervalPerMember*time.Duration(len(p.members.others)))
}

// syncWithSeed speaks to a seed although members are known: two halves that took each other for dead would not find each other
// again.
func (p *Peers) syncWithSeed() {
	if len(p.cfg.Seeds) > 0 {
		p.announceTo(p.cfg.Seeds[p.rng.IntN(len(p.cfg.Seeds))])
	}
}

// sendMembers sends all that live, in as many packets as it takes.
func (p *Peers) sendMembers(to netip.AddrPort, kind Kind) {
	rest := p.Members()
	for len(rest) > 0 {
		count := min(len(rest), maxPacketRecords)
		p.sends = append(p.sends, Send{to, Packet{Kind: kind, Session: p.self.Session, Members: rest[:count]}})
		rest, kind = rest[count:], SyncAck // only the first one asks for an answer
	}
}
