package changes

import (
	"slices"
	"time"
)

const (
	// maxSnapshotClients is to how many members a process serves its snapshot at a time. Few that have all of it soon serve others; many that have a
	// part each don't.
	maxSnapshotClients = 2
	// snapshotClientLease is how long one that does not ask keeps its place.
	snapshotClientLease = 2 * time.Second
)

// lease is a member's place among those that are served, up to a time.
type lease struct {
	id    MemberID
	until time.Time
}

// leases are a bounded number of places.
type leases []lease

// acquire gives a member a place, or has it keep its own, up to a time; false: there is none left.
func (l *leases) acquire(now time.Time, id MemberID, until time.Time, most int) bool {
	*l = slices.DeleteFunc(*l, func(e lease) bool { return !now.Before(e.until) })
	at := slices.IndexFunc(*l, func(e lease) bool { return e.id == id })
	if at < 0 {
		if len(*l) >= most {
			return false
		}
		at = len(*l)
		*l = append(*l, lease{id: id})
	}
	(*l)[at].until = until
	return true
}

// pushToChildren passes changes on, or with none the position alone, to all who pulled lately but one. Nobody is waited for: who misses it pulls.
func (r *Replica) pushToChildren(now time.Time, except MemberID, b *Batch) {
	r.pushRotation++
	for i := range r.children {
		c := r.children[(i+r.pushRotation)%len(r.children)]
		if c.id == except || !now.Before(c.until) {
			continue
		}
		if !r.budget.CanSpendAny(now, ClassChange) {
			r.Counters.PushesSkipped++
			continue
		}
		r.send(now, c.id, &Message{Kind: KindPush, Batch: b})
	}
}

func (r *Replica) stateAgeMS(now time.Time) uint64 {
	if r.asOf.IsZero() {
		return AgeUnknown
	}
	return uint64(max(now.Sub(r.asOf).Milliseconds(), 0)) + 1 // older does no harm, younger does
}

// servePull answers a pull with as many changes as fit one message.
func (r *Replica) servePull(now time.Time, from MemberID, m *Message) {
	answer := &Message{Kind: KindPullResponse, Sequence: m.Sequence, AgeMS: r.stateAgeMS(now)}
	answer.Status, answer.Batch = r.compareRequester(m)
	if m.Flags&flagSubscribe != 0 && !r.children.acquire(now, from, now.Add(r.cfg.ChildLease), r.cfg.MaxChildren) {
		answer.Status, answer.Batch = StatusBusy, nil
	}
	if answer.Batch != nil && !r.cfg.Flaws.BudgetExceeded && !r.budget.CanSpendAny(now, ClassRepair) {
		answer.Status, answer.Batch = StatusBusy, nil
	}
	if answer.Status == StatusBusy {
		r.Counters.RefusedBusy++
	}
	r.send(now, from, answer)
}

// compareRequester tells what the sender of a pull lacks.
func (r *Replica) compareRequester(m *Message) (Status, *Batch) {
	replay := m.Flags&flagReplay != 0
	switch {
	case !r.isAligned():
		return StatusBehind, nil
	case m.Number > r.number && (r.isSource || m.Epoch < r.stateEpoch && m.Number > r.epochBase):
		return StatusDiverged, nil // it has changes of a former source that this one does not go on from
	case m.Number > r.number:
		return StatusBehind, nil
	}
	digest, ok := r.log.digestAt(m.Number)
	switch {
	case !ok:
		return StatusTooOld, nil
	case digest != m.Digest && !replay && !r.cfg.Flaws.DigestIgnored:
		return StatusDiverged, nil
	case m.Number == r.number:
		return StatusSame, nil
	}
	return StatusNewer, r.log.changesAfter(m.Number, maxPayload)
}

// admitSnapshotRequest tells whether this process may serve a part of a snapshot now, and answers the question if not.
func (r *Replica) admitSnapshotRequest(now time.Time, from MemberID, answer *Message) bool {
	switch {
	case !r.isAligned() || r.snapshot != nil:
		answer.Status = StatusBehind
	case !r.snapshotClients.acquire(now, from, now.Add(snapshotClientLease), maxSnapshotClients), !r.cfg.Flaws.BudgetExceeded && !r.budget.CanSpendAny(now, ClassSnapshot):
		answer.Status = StatusBusy
		r.Counters.RefusedBusy++
	default:
		answer.Status = StatusNewer
		return true
	}
	r.send(now, from, answer)
	return false
}

func (r *Replica) serveDigests(now time.Time, from MemberID, m *Message) {
	answer := &Message{Kind: KindDigestsResponse, Sequence: m.Sequence, Page: m.Page}
	if m.Page >= buckets/digestsPerPage || !r.admitSnapshotRequest(now, from, answer) {
		return
	}
	first := int(m.Page) * digestsPerPage
	answer.Digests = r.state.bucketDigests[first : first+digestsPerPage]
	r.send(now, from, answer)
}

func (r *Replica) serveEntries(now time.Time, from MemberID, m *Message) {
	answer := &Message{Kind: KindEntriesResponse, Sequence: m.Sequence, Start: m.Start, End: m.End}
	if m.Start > m.End || !r.admitSnapshotRequest(now, from, answer) {
		return
	}
	entries, next, done := r.state.entriesBetween(m.Start, m.End, maxPayload)
	answer.Entries = entries
	if !done {
		answer.End = next - 1
	}
	r.send(now, from, answer)
}
