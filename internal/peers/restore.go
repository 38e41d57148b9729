package peers

import (
	"slices"
	"time"
)

// restore takes members that were known before this life into the table. They are no updates: nothing of them is told to others, and
// the Syncs by which a process that starts with an empty table joins and catches up are left out.
func (p *Peers) restore(now time.Time, known []Member) {
	offset := p.rng.IntN(len(known)) // where not all have room, each process keeps others
	for i := range known {
		record := known[(offset+i)%len(known)]
		if record.Session == p.self.Session || p.members.find(record.Session) != nil {
			continue
		}
		if len(p.members.others) >= p.cfg.MaxMembers {
			break
		}
		p.members.appendUnsorted(&member{Member: record, stateSince: now})
	}
	p.members.sort()
	p.detector.round.fill(p.members.others, p.rng)
	p.changeCount++
	p.sync.joinAt = now
	p.sync.started = initialSyncs
	p.sync.nextAt = now.Add(p.randomDuration(p.syncInterval()))
}

// appendUnsorted adds a member that lives, out of order; sort is to follow.
func (t *memberTable) appendUnsorted(m *member) {
	t.others = append(t.others, m)
	t.byName = append(t.byName, m)
	t.bySession[m.Session] = m
	t.liveOthers++
}

// sort restores the orders after append.
func (t *memberTable) sort() {
	slices.SortFunc(t.others, compareSessions)
	slices.SortFunc(t.byName, compareNames)
}
