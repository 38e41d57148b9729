package peers

import (
	"slices"
	"time"
)

// restore takes members that were known before this life into the table. They are no updates: nothing of them is told to others, and
// the Syncs by which a process that starts with an empty table joins and catches up are left out.
func (p *Peers) restore(now time.Time, known []Member) {
	first := p.rng.IntN(len(known)) // where not all have room, each process keeps others
	for i := range known {
		record := known[(first+i)%len(known)]
		if record.Session == p.self.Session || p.members.find(record.Session) != nil {
			continue
		}
		if len(p.members.list) >= p.cfg.MaxMembers {
			break
		}
		p.members.append(&member{Member: record, since: now})
	}
	p.members.sort()
	p.detector.round.fill(p.members.list, p.rng)
	p.changed++
	p.sync.joinAt = now
	p.sync.count = firstSyncs
	p.sync.nextAt = now.Add(p.draw(p.syncInterval()))
}

// append adds a member that lives, out of order; sort is to follow.
func (t *memberTable) append(m *member) {
	t.list = append(t.list, m)
	t.byName = append(t.byName, m)
	t.bySession[m.Session] = m
	t.alive++
}

// sort restores the orders after append.
func (t *memberTable) sort() {
	slices.SortFunc(t.list, compareSessions)
	slices.SortFunc(t.byName, compareNames)
}
