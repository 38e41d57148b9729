package peers

import (
	"slices"
	"time"
)

// restore fills the table with members that were known before the process restarted. They are not
// queued for dissemination, and the Syncs by which a process with an empty table joins and catches
// up are skipped.
func (p *Peers) restore(now time.Time, known []Member) {
	offset := p.rng.IntN(len(known)) // if not all fit, each process keeps different members
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

// appendUnsorted adds a live member without keeping the order. The caller must call sort
// afterwards.
func (t *memberTable) appendUnsorted(m *member) {
	t.others = append(t.others, m)
	t.byName = append(t.byName, m)
	t.bySession[m.Session] = m
	t.liveOthers++
}

// sort restores the order of the table after calls of appendUnsorted.
func (t *memberTable) sort() {
	slices.SortFunc(t.others, compareSessions)
	slices.SortFunc(t.byName, compareNames)
}
