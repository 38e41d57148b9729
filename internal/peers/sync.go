package peers

import (
	"net/netip"
	"time"
)

// syncState schedules the exchange of complete member lists.
type syncState struct {
	nextAt  time.Time // time of the next Sync
	started int       // number of Sync intervals begun so far
	joinAt  time.Time // time of the next attempt to join while no other member is known
}

// needsJoin reports whether no other live member is known although there are seeds.
func (p *Peers) needsJoin() bool {
	return p.members.liveOthers == 0 && len(p.cfg.Seeds) > 0 && !p.left
}

// join announces this process to all seeds.
func (p *Peers) join(now time.Time) {
	p.sync.joinAt = now.Add(joinInterval/2 + p.randomDuration(joinInterval))
	for _, seed := range p.cfg.Seeds {
		p.announceTo(seed)
	}
}

// announceTo sends this process's record to a seed. The seed answers with its list of members.
func (p *Peers) announceTo(seed netip.AddrPort) {
	if seed != p.cfg.Addr {
		p.send(seed, Packet{Kind: Sync, Members: []Member{p.self.Member}})
	}
}

// syncWithOthers exchanges lists with a random member and a random seed.
func (p *Peers) syncWithOthers(now time.Time) {
	interval := p.syncInterval()
	p.sync.nextAt = now.Add(interval/2 + p.randomDuration(interval))
	if random := p.RandomMembers(1); len(random) > 0 {
		p.sendMembers(random[0].Addr, Sync)
	}
	p.syncWithSeed()
}

// syncInterval counts a Sync and returns the mean time until the next one.
func (p *Peers) syncInterval() time.Duration {
	p.sync.started++
	if p.sync.started <= initialSyncs {
		return initialSyncInterval
	}
	return max(steadySyncInterval, syncIntervalPerMember*time.Duration(len(p.members.others)))
}

// syncWithSeed announces this process to a random seed even if other members are known. Otherwise
// the two sides of a partition that declared each other dead would not find each other again.
func (p *Peers) syncWithSeed() {
	if len(p.cfg.Seeds) > 0 {
		p.announceTo(p.cfg.Seeds[p.rng.IntN(len(p.cfg.Seeds))])
	}
}

// sendMembers sends all live members in as many packets as necessary.
func (p *Peers) sendMembers(to netip.AddrPort, kind Kind) {
	rest := p.Members()
	for len(rest) > 0 {
		count := min(len(rest), maxPacketRecords)
		p.sends = append(p.sends, Send{to, Packet{Kind: kind, Session: p.self.Session, Members: rest[:count]}})
		rest, kind = rest[count:], SyncAck // only the first packet asks for an answer
	}
}
