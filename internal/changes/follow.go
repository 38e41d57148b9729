package changes

import "time"

const (
	// repairDelay is how long a gap may remain before it is repaired, since the missing message may
	// only be late. A random time of up to the same length is added.
	repairDelay = 40 * time.Millisecond
	// repairBackoff is the wait after an unsuccessful repair. It doubles with each further failure,
	// up to maxBackoffDoublings times, and a random time of up to the same length is added.
	repairBackoff       = 200 * time.Millisecond
	maxBackoffDoublings = 3
	// maxBudgetWait bounds the wait for bytes of the budget.
	maxBudgetWait = 2 * time.Second
	// parentRetryInterval is how long a member other than the parent is asked before the parent is
	// tried again.
	parentRetryInterval = 10 * time.Second
	// immediateRetries is the number of consecutive requests without a response that are each
	// followed by another request at once.
	immediateRetries = 3
	// bucketsPerAudit is the number of buckets whose digests are recomputed with each request.
	bucketsPerAudit = 8
	// maxTooOldResponses is the number of consecutive responses from logs that do not reach back
	// far enough after which a snapshot is fetched.
	maxTooOldResponses = 3
	// firstStaleAttempt and staleAttemptCount give the range of attempts that are tried in turn
	// while the state is stale: all but the parent, the grandparent and the source.
	firstStaleAttempt = 2
	staleAttemptCount = sourceAttempt - firstStaleAttempt
)

// sendNextRequest sends the request that is due.
func (r *Replica) sendNextRequest(now time.Time) {
	r.auditBuckets(now)
	// A source that the tree no longer names sends requests too, so that it learns its successor's
	// epoch.
	if r.tree == nil || r.isSource && r.tree.Source() == r.cfg.Self {
		r.nextRequestAt = now.Add(r.cfg.PullInterval)
		return
	}
	if r.attempt != 0 && now.After(r.returnToParentAt) && !r.isBehind() && r.snapshot == nil {
		r.attempt, r.returnToParentAt = 0, now.Add(parentRetryInterval)
	}
	if r.snapshot != nil {
		r.sendSnapshotRequest(now)
		return
	}
	if !r.isBehind() {
		r.sendRequest(now, &Message{Kind: KindPull, Flags: flagSubscribe})
		return
	}
	if r.deferForBudget(now, ClassRepair) {
		return
	}
	r.Counters.Repairs++
	m := &Message{Kind: KindPull, Flags: flagRepair}
	if r.attempt == 0 {
		m.Flags |= flagSubscribe
	}
	r.sendRequest(now, m)
}

// deferForBudget reports whether a class has no bytes left. If so, it postpones the next request
// until bytes are available.
func (r *Replica) deferForBudget(now time.Time, class Class) bool {
	if r.cfg.Flaws.BudgetExceeded {
		return false
	}
	wait := r.budget.WaitTime(now, class)
	if wait == 0 {
		return false
	}
	r.nextRequestAt = now.Add(min(wait, maxBudgetWait))
	return true
}

// sendRequest sends a request to the member that the current attempt selects.
func (r *Replica) sendRequest(now time.Time, m *Message) {
	to, ok := r.tree.RequestTarget(r.cfg.Self, r.attempt, r.rng)
	if r.snapshot != nil && r.snapshot.server != 0 {
		to = r.snapshot.server
	}
	if !ok || to == r.cfg.Self {
		r.nextRequestAt = now.Add(r.cfg.PullInterval)
		return
	}
	if to == r.tree.Source() && m.Flags&flagRepair != 0 {
		r.Counters.RepairsAtSource++
	}
	r.lastSequence++
	m.Sequence = r.lastSequence
	r.pending = &request{sequence: r.lastSequence, to: to, sentAt: now, flags: m.Flags}
	r.send(now, to, m)
}

// schedulePull schedules the next request after the usual pull interval.
func (r *Replica) schedulePull(now time.Time) {
	r.nextRequestAt = now.Add(r.cfg.PullInterval*3/4 + r.randomUpTo(r.cfg.PullInterval/2))
}

// backOff schedules the next request after a wait that grows with the number of failures, and
// directs it to another member.
func (r *Replica) backOff(now time.Time) {
	r.nextAttempt(now)
	if r.cfg.Flaws.BudgetExceeded {
		r.nextRequestAt = now
		return
	}
	wait := repairBackoff << min(r.failedRepairs, maxBackoffDoublings)
	r.failedRepairs++
	r.nextRequestAt = now.Add(wait + r.randomUpTo(wait))
}

func (r *Replica) nextAttempt(now time.Time) {
	if r.attempt == 0 {
		r.returnToParentAt = now.Add(parentRetryInterval)
	}
	r.attempt++
}

// handleTimeout gives up the pending request and schedules the next one.
func (r *Replica) handleTimeout(now time.Time) {
	r.Counters.Unanswered++
	r.pending = nil
	if r.snapshot != nil {
		r.snapshot.server = 0
	}
	switch {
	case r.attempt < immediateRetries:
		r.nextAttempt(now)
		r.nextRequestAt = now
	case r.isBehind() || r.snapshot != nil:
		r.backOff(now)
	default:
		r.nextAttempt(now)
		r.schedulePull(now)
	}
}

// abandonRequest ends the pending request if the message is its response but must not be used.
func (r *Replica) abandonRequest(from MemberID, m *Message) {
	if r.pending != nil && m.Sequence == r.pending.sequence && from == r.pending.to {
		r.pending = nil
		r.attempt++
	}
}

// handleResponse processes a response to the pending request.
func (r *Replica) handleResponse(now time.Time, from MemberID, m *Message) {
	req := r.pending
	if req == nil || m.Sequence != req.sequence || from != req.to {
		return
	}
	r.pending = nil
	if r.snapshot != nil {
		r.handleSnapshotResponse(now, req, m)
		return
	}
	if m.Kind != KindPullResponse || r.isSource {
		r.schedulePull(now)
		return
	}
	switch m.Status {
	case StatusSame, StatusNewer:
		r.tooOldResponses = 0
		r.handlePositionResponse(now, req, m)
	case StatusTooOld:
		r.tooOldResponses++
		if r.tooOldResponses >= maxTooOldResponses || r.number == 0 {
			r.beginSnapshot(now)
			return
		}
		r.backOff(now)
	case StatusDiverged:
		r.reconcile(now, m)
	case StatusBusy:
		r.backOff(now)
	default:
		if r.isBehind() {
			r.backOff(now)
			return
		}
		r.choosePullTarget(now)
	}
}

// handlePositionResponse processes a response that states how the local state compares with the
// responder's.
func (r *Replica) handlePositionResponse(now time.Time, req *request, m *Message) {
	r.targetNumber = max(r.targetNumber, m.Number, m.HighestKnown)
	if m.Batch != nil {
		r.applyBatch(now, req.to, m)
	} else if m.Status == StatusSame {
		r.comparePosition(now, req.to, m)
	}
	if m.AgeMS != AgeUnknown {
		r.recordFreshness(freshness{m.Number, req.sentAt.Add(-time.Duration(m.AgeMS) * time.Millisecond)})
	}
	if r.snapshot != nil {
		return
	}
	if r.isBehind() {
		if m.Batch == nil && m.Number == r.number {
			r.retrySamePeer(now)
			return
		}
		r.failedRepairs, r.nextRequestAt = 0, now
		return
	}
	r.failedRepairs = 0
	if req.flags&flagSubscribe == 0 {
		r.attempt = 0
		// The parent is asked soon, to be subscribed to its pushes again.
		r.nextRequestAt = now.Add(r.randomUpTo(r.cfg.PullInterval / 4))
		return
	}
	r.choosePullTarget(now)
}

// retrySamePeer schedules the next request to the same member, at the usual interval. That member
// is at the same number and pushes further changes as soon as it has them. If nothing has been
// applied for longer than StaleAfter, another member is asked.
func (r *Replica) retrySamePeer(now time.Time) {
	if now.Sub(r.lastAppliedAt) > r.cfg.StaleAfter {
		r.backOff(now)
		return
	}
	r.schedulePull(now)
}

// choosePullTarget chooses the member to ask next: the same one, unless the state is stale. While
// it is stale, other members and the parent are asked alternately.
func (r *Replica) choosePullTarget(now time.Time) {
	r.schedulePull(now)
	if now.Sub(r.asOf) <= r.cfg.StaleAfter || now.Sub(r.fenceRaisedAt) <= r.cfg.StaleAfter {
		return
	}
	if r.attempt != 0 {
		r.attempt = 0
		return
	}
	r.nextAttempt(now)
	r.attempt = firstStaleAttempt + r.staleRotation%staleAttemptCount
	r.staleRotation++
}

// handlePush processes a push, which carries changes or only the sender's position.
func (r *Replica) handlePush(now time.Time, from MemberID, m *Message) {
	if m.Batch != nil && m.Batch.To() > m.Number {
		r.Counters.Damaged++
		return
	}
	advanced := m.Number > r.targetNumber
	r.targetNumber = max(r.targetNumber, m.Number, m.HighestKnown)
	if r.snapshot != nil || r.isSource {
		return
	}
	if m.Batch != nil {
		r.applyBatch(now, from, m)
	} else {
		r.comparePosition(now, from, m)
	}
	if advanced && r.isBehind() {
		r.requestBy(now.Add(repairDelay + r.randomUpTo(repairDelay)))
	}
}

// comparePosition compares the local state with a position of the current epoch.
func (r *Replica) comparePosition(now time.Time, from MemberID, m *Message) {
	digestIgnored := r.cfg.Flaws.DigestIgnored
	switch {
	case m.Number == r.number && (m.Digest == r.state.Digest() || digestIgnored):
		if r.stateEpoch < m.Epoch {
			r.stateEpoch, r.epochBase = m.Epoch, m.EpochBase
			r.applyPendingFreshness()
			r.pushToChildren(now, from, nil)
		}
	case m.Number == r.number, r.stateEpoch < m.Epoch && r.number > m.EpochBase:
		r.reconcile(now, m)
	}
}

// reconcile brings a state that differs from the source's into line with it. Changes of a former
// source above the number at which the current epoch began are rolled back, if the log reaches back
// that far. Otherwise, or if those changes were not the cause, a snapshot is fetched.
func (r *Replica) reconcile(now time.Time, m *Message) {
	if r.snapshot != nil || r.isSource {
		return
	}
	from := r.number
	if r.stateEpoch < m.Epoch && r.number > m.EpochBase {
		if undo, ok := r.log.rollBack(m.EpochBase); ok {
			for _, c := range undo {
				r.state.apply(c)
				r.changedKeys[c.Key] = struct{}{}
			}
			r.number = m.EpochBase
			r.Counters.RolledBack += uint64(len(undo))
			r.recordApplied(now, AppliedRange{Epoch: r.stateEpoch, From: from, To: r.number, RolledBack: true})
			r.nextRequestAt = now
			return
		}
	}
	r.beginSnapshot(now)
}

// applyBatch applies a batch if it continues the local state, and pushes it on to the children.
func (r *Replica) applyBatch(now time.Time, from MemberID, m *Message) {
	b := m.Batch
	flaws := r.cfg.Flaws
	if b.To() <= r.number {
		r.Counters.Duplicates++
		if digest, ok := r.log.digestAt(b.To()); ok && digest != b.After && !flaws.DigestIgnored {
			r.reconcile(now, m)
		}
		return
	}
	gap := b.From > r.number
	if gap && !flaws.GapIgnored {
		r.Counters.Gaps++
		r.requestBy(now.Add(repairDelay + r.randomUpTo(repairDelay)))
		return
	}
	if b.From == r.number && b.Before != r.state.Digest() && !flaws.DigestIgnored {
		r.Counters.Mismatches++
		r.reconcile(now, m)
		return
	}
	newChanges := b.Changes
	if !gap {
		newChanges = b.Changes[r.number-b.From:]
	}
	if !r.applyChanges(newChanges, b.After, gap || flaws.DigestIgnored) {
		r.Counters.Mismatches++
		r.beginSnapshot(now)
		return
	}
	step := AppliedRange{Epoch: m.Epoch, From: r.number, To: b.To()}
	if gap {
		step.From = b.From
		r.log.Reset(b.To(), r.state.Digest())
	}
	r.number, r.stateEpoch, r.epochBase = b.To(), m.Epoch, m.EpochBase
	r.targetNumber = max(r.targetNumber, r.number)
	r.recordApplied(now, step)
	r.applyPendingFreshness()
	if !r.isBehind() {
		r.pushToChildren(now, from, b)
	}
}

// applyChanges applies changes if the resulting digest equals after; otherwise it leaves the state
// unchanged. With unchecked set, any digest is accepted.
func (r *Replica) applyChanges(changes []Change, after uint64, unchecked bool) bool {
	undo := make([]Change, 0, len(changes))
	digests := make([]uint64, 0, len(changes))
	for _, c := range changes {
		undo = append(undo, r.state.apply(c))
		digests = append(digests, r.state.Digest())
	}
	if r.state.Digest() != after && !unchecked {
		for i := len(undo) - 1; i >= 0; i-- {
			r.state.apply(undo[i])
		}
		return false
	}
	for i, c := range changes {
		r.log.append(c, undo[i], digests[i])
		r.changedKeys[c.Key] = struct{}{}
	}
	return true
}

// auditBuckets recomputes the digests of a few buckets, in rotation, so that memory corruption of
// the state is detected early.
func (r *Replica) auditBuckets(now time.Time) {
	if r.snapshot != nil || r.cfg.Flaws.DigestIgnored {
		return
	}
	intact := true
	for range bucketsPerAudit {
		r.nextAuditBucket = (r.nextAuditBucket + 1) % buckets
		intact = intact && r.state.isBucketIntact(r.nextAuditBucket)
	}
	switch {
	case intact:
	case r.isSource:
		r.rebuildDigest()
	default:
		r.Counters.Mismatches++
		r.beginSnapshot(now)
	}
}
