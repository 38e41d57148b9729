package peers

import (
	"net/netip"
	"slices"
	"time"
)

// syncState schedules the exchange of complete member lists.
type syncState struct {
	nextAt  time.Time // time of the next Sync
	started int       // number of Sync intervals begun so far
	joinAt  time.Time // time of the next attempt to join while no other member is known
	answers syncAnswers
}

// syncAnswers bounds what answers to Syncs cost. With thousands of members an answer takes hundreds
// of packets, and many processes may ask at once, for instance after a restart of a whole rack: they
// are answered one after another.
type syncAnswers struct {
	waiting   []netip.AddrPort // processes that are still to be answered, oldest first; no address twice
	paidUntil time.Time        // the answers so far use up the rate until then
}

const (
	// timePerSyncRecord is the mean time between two records in answers to Syncs.
	timePerSyncRecord = 25 * time.Microsecond
	// syncBurst is how far answers may be ahead of that rate.
	syncBurst = 100 * time.Millisecond
	// maxWaitingSyncs is the number of processes that may wait for an answer. A process that finds
	// no place asks again at its next Sync.
	maxWaitingSyncs = 1024
)

// due returns when the next answer may be sent. ok is false if no process waits for one.
func (a *syncAnswers) due() (at time.Time, ok bool) {
	return a.paidUntil.Add(-syncBurst), len(a.waiting) > 0
}

// queueSyncAnswer has a process answered that has sent a Sync.
func (p *Peers) queueSyncAnswer(now time.Time, to netip.AddrPort) {
	a := &p.sync.answers
	switch {
	case slices.Contains(a.waiting, to):
		return // it gets the list as it is when its turn comes
	case len(a.waiting) >= maxWaitingSyncs:
		p.Counters.SyncsUnanswered++
		return
	}
	a.waiting = append(a.waiting, to)
	p.answerSyncs(now)
}

// answerSyncs answers the processes whose turn has come.
func (p *Peers) answerSyncs(now time.Time) {
	a := &p.sync.answers
	for {
		at, ok := a.due()
		if !ok || now.Before(at) {
			return
		}
		records := p.sendMembers(a.waiting[0], SyncAck)
		a.waiting = slices.Delete(a.waiting, 0, 1)
		if a.paidUntil.Before(now) {
			a.paidUntil = now
		}
		a.paidUntil = a.paidUntil.Add(time.Duration(records) * timePerSyncRecord)
	}
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

// sendMembers sends all live members in as many packets as necessary, and returns their number.
func (p *Peers) sendMembers(to netip.AddrPort, kind Kind) (records int) {
	rest := p.Members()
	records = len(rest)
	for len(rest) > 0 {
		count := min(len(rest), maxPacketRecords)
		p.sends = append(p.sends, Send{to, Packet{Kind: kind, Session: p.self.Session, Members: rest[:count]}})
		rest, kind = rest[count:], SyncAck // only the first packet asks for an answer
	}
	return records
}
