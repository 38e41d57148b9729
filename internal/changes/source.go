package changes

import (
	"errors"
	"fmt"
	"time"
)

// Errors of a source.
var (
	ErrNotSource  = errors.New("changes: this is not the source")
	ErrStaleEpoch = errors.New("changes: an epoch that is not above those heard of")
)

// BecomeSource makes this process the source under an epoch, which must be above all before it: an owner's token is. It goes on from its state
// and number; what others had of a former source beyond that they take back.
func (r *Replica) BecomeSource(now time.Time, epoch uint64) error {
	if epoch <= r.fence && !(epoch == r.fence && r.line < epoch) {
		return fmt.Errorf("%w: %d, heard of %d", ErrStaleEpoch, epoch, r.fence)
	}
	r.observe(now, epoch)
	r.leading, r.line, r.base, r.target = true, epoch, r.number, r.number
	r.snapshot, r.asked = nil, nil
	r.asOf, r.promised, r.flushed = now, vouch{r.number, now}, r.number
	r.recount()
	r.push(now, 0, nil)
	r.publish(now)
	return nil
}

// recount counts the digest anew if memory was damaged: what a source says has to agree with its digest. Others then compare their states
// with it.
func (r *Replica) recount() {
	counted := r.state.clone()
	if counted.Digest() == r.state.Digest() || r.cfg.Flaws.DigestIgnored {
		return
	}
	r.Counters.Mismatches++
	r.state = counted
	r.log.Reset(r.number, counted.Digest())
}

// Resign ends the lead; the state stays.
func (r *Replica) Resign() { r.leading = false }

// ConfirmCurrent says that the state is the truth as of now.
func (r *Replica) ConfirmCurrent(now time.Time) {
	if r.leading {
		r.asOf = now
	}
}

// Propose numbers changes and passes them on. Those that change nothing are left out.
func (r *Replica) Propose(now time.Time, proposed []Change) error {
	if !r.leading {
		return ErrNotSource
	}
	for _, c := range proposed {
		if err := c.check(); err != nil {
			return err
		}
	}
	from := r.number
	for _, c := range proposed {
		if old, had := r.state.Get(c.Key); had && !c.Delete && old == c.Value || !had && c.Delete {
			continue
		}
		undo := r.state.apply(c)
		r.number++
		r.log.append(c, undo, r.state.Digest())
		r.changed[c.Key] = struct{}{}
	}
	r.target, r.asOf = r.number, now
	if r.number > from {
		r.step(now, AppliedRange{Epoch: r.line, From: from, To: r.number})
	}
	r.flush(now)
	r.publish(now)
	return nil
}

// longestFlush is how long changes wait at the source at the most.
const longestFlush = 2 * time.Second

// flush pushes what was proposed since the last push, unless that was a moment ago or there are not the bytes to push it to all children:
// then what comes meanwhile goes with it, which saves headers.
func (r *Replica) flush(now time.Time) {
	if !r.leading || r.flushed >= r.number || now.Before(r.flushAt) {
		return
	}
	r.flushAt = now.Add(r.cfg.MinPushInterval)
	bytes := len(r.children) * r.log.after(r.flushed, payload).size()
	if now.Sub(r.flushedAt) < longestFlush && !r.budget.Has(now, ClassChange, bytes) {
		return
	}
	r.flushedAt = now
	for r.flushed < r.number {
		b := r.log.after(r.flushed, payload)
		r.push(now, 0, b) // without changes if the log does not reach back any more: who misses them pulls
		if b == nil {
			r.flushed = r.number
			return
		}
		r.flushed = b.To()
	}
}

// Replace proposes what leads from the state to a whole list of entries.
func (r *Replica) Replace(now time.Time, entries []Entry) error {
	var proposed []Change
	wanted := make(map[string]struct{}, len(entries))
	for _, e := range entries {
		wanted[e.Key] = struct{}{}
		proposed = append(proposed, Change{Key: e.Key, Value: e.Value})
	}
	for _, e := range r.state.Entries() {
		if _, ok := wanted[e.Key]; !ok {
			proposed = append(proposed, Change{Key: e.Key, Delete: true})
		}
	}
	return r.Propose(now, proposed)
}
