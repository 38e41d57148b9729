package changes

import (
	"slices"
	"time"
)

const (
	// mostGuests is to how many members a process serves its snapshot at a time. Few that have all of it soon serve others; many that have a
	// part each don't.
	mostGuests = 2
	// guestLease is how long one that does not ask keeps its place.
	guestLease = 2 * time.Second
)

// lease is a member's place among those that are served, up to a time.
type lease struct {
	id    MemberID
	until time.Time
}

// leases are a bounded number of places.
type leases []lease

// take gives a member a place, or has it keep its own, up to a time; false: there is none left.
func (l *leases) take(now time.Time, id MemberID, until time.Time, most int) bool {
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

// push passes changes on, or with none the position alone, to all who pulled lately but one. Nobody is waited for: who misses it pulls.
func (r *Replica) push(now time.Time, but MemberID, b *Batch) {
	r.turn++
	for i := range r.children {
		c := r.children[(i+r.turn)%len(r.children)]
		if c.id == but || !now.Before(c.until) {
			continue
		}
		if !r.budget.Allows(now, ClassChange) {
			r.Counters.PushesSkipped++
			continue
		}
		r.send(now, c.id, &Message{Kind: Push, Batch: b})
	}
}

func (r *Replica) ageMS(now time.Time) uint64 {
	if r.asOf.IsZero() {
		return AgeUnknown
	}
	return uint64(max(now.Sub(r.asOf).Milliseconds(), 0)) + 1 // older does no harm, younger does
}

// servePull answers a pull with as many changes as fit one message.
func (r *Replica) servePull(now time.Time, from MemberID, m *Message) {
	answer := &Message{Kind: Answer, Sequence: m.Sequence, AgeMS: r.ageMS(now)}
	answer.Status, answer.Batch = r.compare(m)
	if m.Flags&flagChild != 0 && !r.children.take(now, from, now.Add(r.cfg.ChildLease), r.cfg.MaxChildren) {
		answer.Status, answer.Batch = Busy, nil
	}
	if answer.Batch != nil && !r.cfg.Flaws.BudgetExceeded && !r.budget.Allows(now, ClassRepair) {
		answer.Status, answer.Batch = Busy, nil
	}
	if answer.Status == Busy {
		r.Counters.RefusedBusy++
	}
	r.send(now, from, answer)
}

// compare tells what the sender of a pull lacks.
func (r *Replica) compare(m *Message) (Status, *Batch) {
	replay := m.Flags&flagReplay != 0
	switch {
	case !r.aligned():
		return Behind, nil
	case m.Number > r.number && (r.leading || m.Epoch < r.line && m.Number > r.base):
		return Diverged, nil // it has changes of a former source that this one does not go on from
	case m.Number > r.number:
		return Behind, nil
	}
	digest, ok := r.log.digestAt(m.Number)
	switch {
	case !ok:
		return TooOld, nil
	case digest != m.Digest && !replay && !r.cfg.Flaws.DigestIgnored:
		return Diverged, nil
	case m.Number == r.number:
		return Same, nil
	}
	return Newer, r.log.after(m.Number, payload)
}

// serves tells whether this process may serve a part of a snapshot now, and answers the question if not.
func (r *Replica) serves(now time.Time, from MemberID, answer *Message) bool {
	switch {
	case !r.aligned() || r.snapshot != nil:
		answer.Status = Behind
	case !r.guests.take(now, from, now.Add(guestLease), mostGuests), !r.cfg.Flaws.BudgetExceeded && !r.budget.Allows(now, ClassSnapshot):
		answer.Status = Busy
		r.Counters.RefusedBusy++
	default:
		answer.Status = Newer
		return true
	}
	r.send(now, from, answer)
	return false
}

func (r *Replica) serveDigests(now time.Time, from MemberID, m *Message) {
	answer := &Message{Kind: Digests, Sequence: m.Sequence, Page: m.Page}
	if m.Page >= buckets/digestsPerPage || !r.serves(now, from, answer) {
		return
	}
	first := int(m.Page) * digestsPerPage
	answer.Digests = r.state.parts[first : first+digestsPerPage]
	r.send(now, from, answer)
}

func (r *Replica) serveEntries(now time.Time, from MemberID, m *Message) {
	answer := &Message{Kind: Entries, Sequence: m.Sequence, Start: m.Start, End: m.End}
	if m.Start > m.End || !r.serves(now, from, answer) {
		return
	}
	entries, next, done := r.state.between(m.Start, m.End, payload)
	answer.Entries = entries
	if !done {
		answer.End = next - 1
	}
	r.send(now, from, answer)
}
