package changes

import (
	"errors"
	"fmt"
	"time"
)

// Errors returned to a process that acts as the source but may not.
var (
	ErrNotSource  = errors.New("changes: this process is not the source")
	ErrStaleEpoch = errors.New("changes: epoch is not higher than all known epochs")
)

// BecomeSource makes this process the source under an epoch, which must be higher than all before
// it; the owner's fencing token meets this. The source continues from its state and number. Other
// members roll back the changes of a former source beyond that number.
func (r *Replica) BecomeSource(now time.Time, epoch uint64) error {
	if epoch <= r.fence && !(epoch == r.fence && r.stateEpoch < epoch) {
		return fmt.Errorf("%w: got %d, highest known is %d", ErrStaleEpoch, epoch, r.fence)
	}
	r.observeEpoch(now, epoch)
	r.isSource, r.stateEpoch, r.epochBase, r.targetNumber = true, epoch, r.number, r.number
	r.snapshot, r.pending = nil, nil
	r.asOf, r.pendingFreshness, r.flushedNumber = now, freshness{r.number, now}, r.number
	r.rebuildDigest()
	r.pushToChildren(now, 0, nil)
	r.publish(now)
	return nil
}

// rebuildDigest recomputes the digest, in case memory was corrupted: the source's changes have to
// match its digest. The other members then compare their states with it.
func (r *Replica) rebuildDigest() {
	rebuilt := r.state.clone()
	if rebuilt.Digest() == r.state.Digest() || r.cfg.Flaws.DigestIgnored {
		return
	}
	r.Counters.Mismatches++
	r.state = rebuilt
	r.log.Reset(r.number, rebuilt.Digest())
}

// Resign ends this process's role as the source. The state is kept.
func (r *Replica) Resign() { r.isSource = false }

// ConfirmCurrent states that the state is authoritative as of now. It has no effect unless this
// process is the source.
func (r *Replica) ConfirmCurrent(now time.Time) {
	if r.isSource {
		r.asOf = now
	}
}

// Propose numbers changes and sends them to the other members. Changes that have no effect are left
// out.
func (r *Replica) Propose(now time.Time, proposed []Change) error {
	if !r.isSource {
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
		r.changedKeys[c.Key] = struct{}{}
	}
	r.targetNumber, r.asOf = r.number, now
	if r.number > from {
		r.recordApplied(now, AppliedRange{Epoch: r.stateEpoch, From: from, To: r.number})
	}
	r.flush(now)
	r.publish(now)
	return nil
}

// maxFlushDelay is how long changes wait at the source for bytes of the budget at most.
const maxFlushDelay = 2 * time.Second

// flush pushes the changes proposed since the last push. It waits if that push was less than
// MinPushInterval ago or the budget does not suffice for all children. Changes proposed in the
// meantime then share the push, which saves headers.
func (r *Replica) flush(now time.Time) {
	if !r.isSource || r.flushedNumber >= r.number || now.Before(r.nextFlushAt) {
		return
	}
	r.nextFlushAt = now.Add(r.cfg.MinPushInterval)
	bytes := len(r.children) * r.log.changesAfter(r.flushedNumber, maxPayload).estimatedSize()
	if now.Sub(r.lastFlushAt) < maxFlushDelay && !r.budget.CanSpend(now, ClassChange, bytes) {
		return
	}
	r.lastFlushAt = now
	for r.flushedNumber < r.number {
		b := r.log.changesAfter(r.flushedNumber, maxPayload)
		// Without changes if the log no longer reaches back: members that miss them pull.
		r.pushToChildren(now, 0, b)
		if b == nil {
			r.flushedNumber = r.number
			return
		}
		r.flushedNumber = b.To()
	}
}

// Replace proposes the changes that turn the state into a complete list of entries.
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
