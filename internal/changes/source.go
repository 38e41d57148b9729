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
	if epoch <= r.fence && !(epoch == r.fence && r.stateEpoch < epoch) {
		return fmt.Errorf("%w: %d, heard of %d", ErrStaleEpoch, epoch, r.fence)
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

// rebuildDigest counts the digest anew if memory was damaged: what a source says has to agree with its digest. Others then compare their states
// with it.
func (r *Replica) rebuildDigest() {
	rebuilt := r.state.clone()
	if rebuilt.Digest() == r.state.Digest() || r.cfg.Flaws.DigestIgnored {
		return
	}
	r.Counters.Mismatches++
	r.state = rebuilt
	r.log.Reset(r.number, rebuilt.Digest())
}

// Resign ends the lead; the state stays.
func (r *Replica) Resign() { r.isSource = false }

// ConfirmCurrent says that the state is the truth as of now.
func (r *Replica) ConfirmCurrent(now time.Time) {
	if r.isSource {
		r.asOf = now
	}
}

// Propose numbers changes and passes them on. Those that change nothing are left out.
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

// maxFlushDelay is how long changes wait at the source at the most.
const maxFlushDelay = 2 * time.Second

// flush pushes what was proposed since the last push, unless that was a moment ago or there are not the bytes to push it to all children:
// then what comes meanwhile goes with it, which saves headers.
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
		r.pushToChildren(now, 0, b) // without changes if the log does not reach back any more: who misses them pulls
		if b == nil {
			r.flushedNumber = r.number
			return
		}
		r.flushedNumber = b.To()
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
