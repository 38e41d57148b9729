package changes

import (
	"slices"
	"time"
)

const (
	// maxSnapshotRequesters is the number of members to which a process serves its snapshot at the
	// same time. A few members that finish early can then serve others; many members that each have
	// a part cannot.
	maxSnapshotRequesters = 2
	// snapshotRequesterLease is how long a member that sends no request keeps its slot.
	snapshotRequesterLease = 2 * time.Second
)

// lease is the slot of a member that is served, with the time at which it expires.
type lease struct {
	id    MemberID
	until time.Time
}

// leases are a bounded number of slots.
type leases []lease

// acquire gives a member a slot, or renews the one it has, until the given time. It returns false
// if no slot is free.
func (l *leases) acquire(now time.Time, id MemberID, until time.Time, maxSlots int) bool {
	*l = slices.DeleteFunc(*l, func(e lease) bool { return !now.Before(e.until) })
	at := slices.IndexFunc(*l, func(e lease) bool { return e.id == id })
	if at < 0 {
		if len(*l) >= maxSlots {
			return false
		}
		at = len(*l)
		*l = append(*l, lease{id: id})
	}
	(*l)[at].until = until
	return true
}

// pushToChildren sends a batch, or with nil the position alone, to all members that pulled
// recently, except one. Pushes are not acknowledged: a member that misses one pulls.
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
	// Overstating the age is harmless, understating it is not.
	return uint64(max(now.Sub(r.asOf).Milliseconds(), 0)) + 1
}

// servePull responds to a pull with as many changes as fit one message.
func (r *Replica) servePull(now time.Time, from MemberID, m *Message) {
	response := &Message{Kind: KindPullResponse, Sequence: m.Sequence, AgeMS: r.stateAgeMS(now)}
	response.Status, response.Batch = r.compareRequester(m)
	if m.Flags&flagSubscribe != 0 && !r.children.acquire(now, from, now.Add(r.cfg.ChildLease), r.cfg.MaxChildren) {
		response.Status, response.Batch = StatusBusy, nil
	}
	if response.Batch != nil && !r.cfg.Flaws.BudgetExceeded && !r.budget.CanSpendAny(now, ClassRepair) {
		response.Status, response.Batch = StatusBusy, nil
	}
	if response.Status == StatusBusy {
		r.Counters.RefusedBusy++
	}
	r.send(now, from, response)
}

// compareRequester determines what the sender of a pull lacks.
func (r *Replica) compareRequester(m *Message) (Status, *Batch) {
	replay := m.Flags&flagReplay != 0
	switch {
	case !r.isAligned():
		return StatusBehind, nil
	case m.Number > r.number && (r.isSource || m.Epoch < r.stateEpoch && m.Number > r.epochBase):
		// The requester has changes of a former source that the local state does not build on.
		return StatusDiverged, nil
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

// admitSnapshotRequest reports whether this process may serve a part of a snapshot now. If not, it
// sends the refusal.
func (r *Replica) admitSnapshotRequest(now time.Time, from MemberID, response *Message) bool {
	switch {
	case !r.isAligned() || r.snapshot != nil:
		response.Status = StatusBehind
	case !r.snapshotRequesters.acquire(now, from, now.Add(snapshotRequesterLease), maxSnapshotRequesters), !r.cfg.Flaws.BudgetExceeded && !r.budget.CanSpendAny(now, ClassSnapshot):
		response.Status = StatusBusy
		r.Counters.RefusedBusy++
	default:
		response.Status = StatusNewer
		return true
	}
	r.send(now, from, response)
	return false
}

func (r *Replica) serveDigests(now time.Time, from MemberID, m *Message) {
	response := &Message{Kind: KindDigestsResponse, Sequence: m.Sequence, Page: m.Page}
	if m.Page >= buckets/digestsPerPage || !r.admitSnapshotRequest(now, from, response) {
		return
	}
	first := int(m.Page) * digestsPerPage
	response.Digests = r.state.bucketDigests[first : first+digestsPerPage]
	r.send(now, from, response)
}

func (r *Replica) serveEntries(now time.Time, from MemberID, m *Message) {
	response := &Message{Kind: KindEntriesResponse, Sequence: m.Sequence, Start: m.Start, End: m.End}
	if m.Start > m.End || !r.admitSnapshotRequest(now, from, response) {
		return
	}
	entries, next, done := r.state.entriesBetween(m.Start, m.End, maxPayload)
	response.Entries = entries
	if !done {
		response.End = next - 1
	}
	r.send(now, from, response)
}
