package changes

import "time"

const (
	// repairSoon is how long a gap may close by itself, by a message that was only late; as long again is drawn.
	repairSoon = 40 * time.Millisecond
	// repairPause is the wait after a repair that brought nothing; it doubles with each up to pauseDoublings times, and as long again is
	// drawn.
	repairPause    = 200 * time.Millisecond
	pauseDoublings = 3
	// longestWait bounds a wait for the budget.
	longestWait = 2 * time.Second
	// awayAtMost is how long another than the parent is followed before the parent is tried again.
	awayAtMost = 10 * time.Second
	// promptRetries is how many questions in a row that had no answer are followed by another one at once.
	promptRetries = 3
	// bucketsPerAudit is how many buckets are counted anew with each question.
	bucketsPerAudit = 8
	// tooOldAtMost is how many logs in a row may not reach back until a snapshot is taken.
	tooOldAtMost = 3
	// firstStale and staleTurns are the attempts that are tried in turn while the state is stale: all but the source.
	firstStale = 2
	staleTurns = sourceAfter - firstStale
)

// ask sends the next question.
func (r *Replica) ask(now time.Time) {
	r.audit(now)
	// A source that the tree does not name any more asks too, so that it hears of its successor's epoch.
	if r.tree == nil || r.leading && r.tree.Source() == r.cfg.Self {
		r.askAt = now.Add(r.cfg.PullInterval)
		return
	}
	if r.attempt != 0 && now.After(r.returnAt) && !r.behind() && r.snapshot == nil {
		r.attempt, r.returnAt = 0, now.Add(awayAtMost)
	}
	if r.snapshot != nil {
		r.askSnapshot(now)
		return
	}
	if !r.behind() {
		r.question(now, &Message{Kind: Pull, Flags: flagChild})
		return
	}
	if r.waits(now, ClassRepair) {
		return
	}
	r.Counters.Repairs++
	m := &Message{Kind: Pull, Flags: flagRepair}
	if r.attempt == 0 {
		m.Flags |= flagChild
	}
	r.question(now, m)
}

// waits tells whether a class has no bytes left, and has the next question wait for them.
func (r *Replica) waits(now time.Time, class Class) bool {
	if r.cfg.Flaws.BudgetExceeded {
		return false
	}
	wait := r.budget.Wait(now, class)
	if wait == 0 {
		return false
	}
	r.askAt = now.Add(min(wait, longestWait))
	return true
}

// question sends a question to whom the attempts so far lead to.
func (r *Replica) question(now time.Time, m *Message) {
	to, ok := r.tree.Neighbour(r.cfg.Self, r.attempt, r.rng)
	if r.snapshot != nil && r.snapshot.server != 0 {
		to = r.snapshot.server
	}
	if !ok || to == r.cfg.Self {
		r.askAt = now.Add(r.cfg.PullInterval)
		return
	}
	if to == r.tree.Source() && m.Flags&flagRepair != 0 {
		r.Counters.RepairsAtSource++
	}
	r.sequence++
	m.Sequence = r.sequence
	r.asked = &question{sequence: r.sequence, to: to, sent: now, flags: m.Flags}
	r.send(now, to, m)
}

// regular has the next question go out at the usual time.
func (r *Replica) regular(now time.Time) {
	r.askAt = now.Add(r.cfg.PullInterval*3/4 + r.draw(r.cfg.PullInterval/2))
}

// pause has the next question wait for a time that grows with the number of failures, and go to somebody else.
func (r *Replica) pause(now time.Time) {
	r.another(now)
	if r.cfg.Flaws.BudgetExceeded {
		r.askAt = now
		return
	}
	wait := repairPause << min(r.fails, pauseDoublings)
	r.fails++
	r.askAt = now.Add(wait + r.draw(wait))
}

func (r *Replica) another(now time.Time) {
	if r.attempt == 0 {
		r.returnAt = now.Add(awayAtMost)
	}
	r.attempt++
}

// unanswered gives the question up that is out.
func (r *Replica) unanswered(now time.Time) {
	r.Counters.Unanswered++
	r.asked = nil
	if r.snapshot != nil {
		r.snapshot.server = 0
	}
	switch {
	case r.attempt < promptRetries:
		r.another(now)
		r.askAt = now
	case r.behind() || r.snapshot != nil:
		r.pause(now)
	default:
		r.another(now)
		r.regular(now)
	}
}

// settleQuestion ends the question that is out if a message answers it that must not be used.
func (r *Replica) settleQuestion(from MemberID, m *Message) {
	if r.asked != nil && m.Sequence == r.asked.sequence && from == r.asked.to {
		r.asked = nil
		r.attempt++
	}
}

// answered takes an answer to the question that is out.
func (r *Replica) answered(now time.Time, from MemberID, m *Message) {
	q := r.asked
	if q == nil || m.Sequence != q.sequence || from != q.to {
		return
	}
	r.asked = nil
	if r.snapshot != nil {
		r.answeredSnapshot(now, q, m)
		return
	}
	if m.Kind != Answer || r.leading {
		r.regular(now)
		return
	}
	switch m.Status {
	case Same, Newer:
		r.tooOld = 0
		r.learn(now, q, m)
	case TooOld:
		r.tooOld++
		if r.tooOld >= tooOldAtMost || r.number == 0 {
			r.beginSnapshot(now)
			return
		}
		r.pause(now)
	case Diverged:
		r.realign(now, m)
	case Busy:
		r.pause(now)
	default:
		if r.behind() {
			r.pause(now)
			return
		}
		r.followOn(now)
	}
}

// learn takes an answer that says how the own state stands to the answerer's.
func (r *Replica) learn(now time.Time, q *question, m *Message) {
	r.target = max(r.target, m.Number, m.Known)
	if m.Batch != nil {
		r.take(now, q.to, m)
	} else if m.Status == Same {
		r.meet(now, q.to, m)
	}
	if m.AgeMS != AgeUnknown {
		r.confirm(vouch{m.Number, q.sent.Add(-time.Duration(m.AgeMS) * time.Millisecond)})
	}
	if r.snapshot != nil {
		return
	}
	if r.behind() {
		if m.Batch == nil && m.Number == r.number {
			r.await(now)
			return
		}
		r.fails, r.askAt = 0, now
		return
	}
	r.fails = 0
	if q.flags&flagChild == 0 {
		r.attempt = 0
		r.askAt = now.Add(r.draw(r.cfg.PullInterval / 4)) // to be pushed to again
		return
	}
	r.followOn(now)
}

// await has the next question go at the usual time to the same one, which is as far as this process and tells it when it has more; if that
// brought nothing for long, to another one.
func (r *Replica) await(now time.Time) {
	if now.Sub(r.steppedAt) > r.cfg.StaleAfter {
		r.pause(now)
		return
	}
	r.regular(now)
}

// followOn chooses whom to ask next time: the same one, unless the state is stale. Then others are tried in turn with the parent.
func (r *Replica) followOn(now time.Time) {
	r.regular(now)
	if now.Sub(r.asOf) <= r.cfg.StaleAfter || now.Sub(r.observedAt) <= r.cfg.StaleAfter {
		return
	}
	if r.attempt != 0 {
		r.attempt = 0
		return
	}
	r.another(now)
	r.attempt = firstStale + r.staleTurn%staleTurns
	r.staleTurn++
}

// pushed takes changes that came unasked, or a position.
func (r *Replica) pushed(now time.Time, from MemberID, m *Message) {
	if m.Batch != nil && m.Batch.To() > m.Number {
		r.Counters.Damaged++
		return
	}
	news := m.Number > r.target
	r.target = max(r.target, m.Number, m.Known)
	if r.snapshot != nil || r.leading {
		return
	}
	if m.Batch != nil {
		r.take(now, from, m)
	} else {
		r.meet(now, from, m)
	}
	if news && r.behind() {
		r.askBy(now.Add(repairSoon + r.draw(repairSoon)))
	}
}

// meet compares the own state with a position of the present epoch.
func (r *Replica) meet(now time.Time, from MemberID, m *Message) {
	ignored := r.cfg.Flaws.DigestIgnored
	switch {
	case m.Number == r.number && (m.Digest == r.state.Digest() || ignored):
		if r.line < m.Epoch {
			r.line, r.base = m.Epoch, m.Base
			r.confirmPromised()
			r.push(now, from, nil)
		}
	case m.Number == r.number, r.line < m.Epoch && r.number > m.Base:
		r.realign(now, m)
	}
}

// realign brings a state that is not the source's in line with it. What a former source said after the number at which the present one
// began is taken back, if the log reaches back so far; then, or if that was not the cause, the state is compared as a whole.
func (r *Replica) realign(now time.Time, m *Message) {
	if r.snapshot != nil || r.leading {
		return
	}
	from := r.number
	if r.line < m.Epoch && r.number > m.Base {
		if undo, ok := r.log.back(m.Base); ok {
			for _, c := range undo {
				r.state.apply(c)
				r.changed[c.Key] = struct{}{}
			}
			r.number = m.Base
			r.Counters.RolledBack += uint64(len(undo))
			r.step(now, AppliedRange{Epoch: r.line, From: from, To: r.number, RolledBack: true})
			r.askAt = now
			return
		}
	}
	r.beginSnapshot(now)
}

// take applies a batch if it goes on from the state, and passes it on.
func (r *Replica) take(now time.Time, from MemberID, m *Message) {
	b := m.Batch
	flaws := r.cfg.Flaws
	if b.To() <= r.number {
		r.Counters.Duplicates++
		if digest, ok := r.log.digestAt(b.To()); ok && digest != b.After && !flaws.DigestIgnored {
			r.realign(now, m)
		}
		return
	}
	gap := b.From > r.number
	if gap && !flaws.GapIgnored {
		r.Counters.Gaps++
		r.askBy(now.Add(repairSoon + r.draw(repairSoon)))
		return
	}
	if b.From == r.number && b.Before != r.state.Digest() && !flaws.DigestIgnored {
		r.Counters.Mismatches++
		r.realign(now, m)
		return
	}
	rest := b.Changes
	if !gap {
		rest = b.Changes[r.number-b.From:]
	}
	if !r.apply(rest, b.After, gap || flaws.DigestIgnored) {
		r.Counters.Mismatches++
		r.beginSnapshot(now)
		return
	}
	step := AppliedRange{Epoch: m.Epoch, From: r.number, To: b.To()}
	if gap {
		step.From = b.From
		r.log.Reset(b.To(), r.state.Digest())
	}
	r.number, r.line, r.base = b.To(), m.Epoch, m.Base
	r.target = max(r.target, r.number)
	r.step(now, step)
	r.confirmPromised()
	if !r.behind() {
		r.push(now, from, b)
	}
}

// apply applies changes if they lead to a digest; else the state stays as it was. unchecked has any digest pass.
func (r *Replica) apply(changes []Change, after uint64, unchecked bool) bool {
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
		r.changed[c.Key] = struct{}{}
	}
	return true
}

// audit counts the digests of some buckets anew, in turn, so that a state that was damaged in memory is found before long.
func (r *Replica) audit(now time.Time) {
	if r.snapshot != nil || r.cfg.Flaws.DigestIgnored {
		return
	}
	sound := true
	for range bucketsPerAudit {
		r.auditNext = (r.auditNext + 1) % buckets
		sound = sound && r.state.audit(r.auditNext)
	}
	switch {
	case sound:
	case r.leading:
		r.recount()
	default:
		r.Counters.Mismatches++
		r.beginSnapshot(now)
	}
}
