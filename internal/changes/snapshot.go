package changes

import (
	"math"
	"time"
)

// snapshot brings a copy of the state to another process's. Buckets with equal digests are kept; the entries of the others are asked
// for in pieces, from whoever has bytes to spare, while the state goes on changing: each piece is labelled with the number at which it was
// read. Then the changes after the lowest label are applied to what is older than they are. The digest at the highest label decides
// whether all fits together; until then the replica's own state stands.
type snapshot struct {
	state     *State
	epoch     uint64 // of all that was taken so far; 0: nothing was
	page      uint64 // of digests, next to be compared
	wanted    [buckets]bool
	next      uint64 // place up to which entries are there
	fetched   bool
	labels    []label
	highest   uint64 // label
	digest    uint64 // at the highest label
	replaying bool
	number    uint64 // of the latest change that was replayed

	server  MemberID // served the last question; 0: somebody else is to be found
	refused int      // questions in a row that it had no bytes for
}

// refusedAtMost is how many questions in a row a server may have no bytes for until another one is looked for.
const refusedAtMost = 10

// label says that the entries from place start to place end are as of a number.
type label struct {
	start, end uint64
	number     uint64
}

// beginSnapshot brings the state in line with the others' as a whole.
func (r *Replica) beginSnapshot(now time.Time) {
	if r.snapshot != nil || r.leading {
		return
	}
	r.tooOld = 0
	r.snapshot = &snapshot{state: r.state.clone()}
	r.snapshot.restart()
	r.askAt = now.Add(r.draw(repairSoon))
}

// restart begins with the comparison again; entries that are there already are kept if they agree.
func (s *snapshot) restart() {
	*s = snapshot{state: s.state}
	if s.state.Len() == 0 { // nothing to compare
		s.page = buckets / digestsPerPage
		for bucket := range buckets {
			s.wanted[bucket] = true
		}
	}
}

func (s *snapshot) comparing() bool { return s.page < buckets/digestsPerPage }

// run returns the next places that are wanted, with small gaps between them included: a question costs as much as a few entries. ok is
// false if none are left.
func (s *snapshot) run() (start, end uint64, ok bool) {
	if s.fetched {
		return 0, 0, false
	}
	first := bucketOf(s.next)
	for first < buckets && !s.wanted[first] {
		first++
	}
	if first == buckets {
		return 0, 0, false
	}
	gap := payload / 2 * buckets / (s.state.Bytes() + 1)
	last := first
	for next := first + 1; next < buckets && next <= last+1+gap; next++ {
		if s.wanted[next] {
			last = next
		}
	}
	return max(s.next, uint64(first)<<bucketShift), lastPlace(last), true
}

func lastPlace(bucket int) uint64 { return uint64(bucket)<<bucketShift | (1<<bucketShift - 1) }

// note keeps a label and the digest at the highest one.
func (s *snapshot) note(start, end uint64, m *Message) {
	s.labels = append(s.labels, label{start, end, m.Number})
	if m.Number >= s.highest {
		s.highest, s.digest = m.Number, m.Digest
	}
}

// labelOf returns the number as of which a place's entry is.
func (s *snapshot) labelOf(place uint64) uint64 {
	for _, l := range s.labels {
		if l.start <= place && place <= l.end {
			return l.number
		}
	}
	return 0
}

func (r *Replica) askSnapshot(now time.Time) {
	s := r.snapshot
	m := &Message{Kind: AskDigests, Page: s.page}
	if !s.comparing() {
		start, end, ok := s.run()
		m = &Message{Kind: AskEntries, Start: start, End: end}
		if !ok {
			s.beginReplay()
			m = &Message{Kind: Pull, Flags: flagReplay | flagRepair}
		}
	}
	if r.waits(now, m.class()) {
		return
	}
	r.question(now, m)
}

func (s *snapshot) beginReplay() {
	if s.replaying {
		return
	}
	s.replaying, s.number = true, math.MaxUint64
	for _, l := range s.labels {
		s.number = min(s.number, l.number)
	}
}

// answeredSnapshot takes an answer to a question of a snapshot's.
func (r *Replica) answeredSnapshot(now time.Time, q *question, m *Message) {
	s := r.snapshot
	if m.Status == Busy && q.to == s.server && s.refused < refusedAtMost {
		s.refused++
		r.askAt = now.Add(repairPause + r.draw(repairPause))
		return
	}
	if m.Status == Busy || m.Status == Behind {
		s.server = 0
		r.pause(now)
		return
	}
	s.server, s.refused = q.to, 0
	if s.epoch != 0 && s.epoch != m.Epoch {
		s.restart()
		r.askAt = now
		return
	}
	s.epoch = m.Epoch
	taken := false
	switch {
	case m.Kind == Digests && s.comparing():
		taken = s.takeDigests(m)
	case m.Kind == Entries && !s.comparing() && !s.replaying:
		taken = s.takeEntries(m)
	case m.Kind == Answer && s.replaying:
		taken = s.replay(m)
	}
	if !taken {
		r.failSnapshot(now)
		return
	}
	r.fails, r.askAt = 0, now
	if _, _, more := s.run(); s.comparing() || more {
		return
	}
	s.beginReplay()
	if s.number < s.highest {
		return
	}
	if s.state.Digest() != s.digest && !r.cfg.Flaws.DigestIgnored {
		r.failSnapshot(now)
		return
	}
	r.finishSnapshot(now, q, m)
}

func (s *snapshot) takeDigests(m *Message) bool {
	if m.Page != s.page || len(m.Digests) != digestsPerPage {
		return false
	}
	for i, digest := range m.Digests {
		bucket := int(m.Page)*digestsPerPage + i
		s.wanted[bucket] = s.state.parts[bucket] != digest || !s.state.audit(bucket)
		if !s.wanted[bucket] {
			s.note(uint64(bucket)<<bucketShift, lastPlace(bucket), m)
		}
	}
	s.page++
	return true
}

func (s *snapshot) takeEntries(m *Message) bool {
	start, end, ok := s.run()
	if !ok || m.Start != start || m.End > end || m.End < start {
		return false
	}
	for _, e := range m.Entries {
		if at := place(e.Key); e.check() != nil || at < m.Start || at > m.End {
			return false
		}
	}
	s.state.clear(m.Start, m.End)
	for _, e := range m.Entries {
		s.state.put(e)
	}
	s.note(m.Start, m.End, m)
	s.next = m.End + 1
	s.fetched = m.End == math.MaxUint64
	return true
}

// replay applies changes to the entries that are older than they are.
func (s *snapshot) replay(m *Message) bool {
	b := m.Batch
	if m.Status != Newer || b == nil || b.From != s.number {
		return false
	}
	for i, c := range b.Changes {
		if s.labelOf(place(c.Key)) < b.From+uint64(i)+1 {
			s.state.apply(c)
		}
	}
	s.number = b.To()
	if s.number >= s.highest {
		s.highest, s.digest = s.number, b.After
	}
	return true
}

func (r *Replica) failSnapshot(now time.Time) {
	r.Counters.SnapshotsFailed++
	r.snapshot.restart()
	r.pause(now)
}

// finishSnapshot has the copy take the state's place.
func (r *Replica) finishSnapshot(now time.Time, q *question, m *Message) {
	s := r.snapshot
	r.Counters.Snapshots++
	for key, value := range s.state.entries { // any order: keys are only noted
		if old, ok := r.state.Get(key); !ok || old != value {
			r.changed[key] = struct{}{}
		}
	}
	for key := range r.state.entries { // likewise
		if _, ok := s.state.Get(key); !ok {
			r.changed[key] = struct{}{}
		}
	}
	from := r.number
	r.state, r.number, r.line, r.base = s.state, s.number, s.epoch, m.Base
	r.log.Reset(r.number, r.state.Digest())
	r.snapshot = nil
	if r.number < from {
		r.asOf = time.Time{} // it was vouched for at a later number
	}
	r.target = max(r.target, m.Number)
	r.step(now, AppliedRange{Epoch: r.line, From: from, To: r.number, Snapshot: true})
	r.confirmPromised()
	r.push(now, q.to, nil)
	r.attempt = 0
	r.askAt = now
}
