// Package changes keeps one keyed state alike in many processes by passing on what changed in place of the whole. One process, the
// source, numbers each change; the others apply them in that order, along a tree that all compute alike, and repair what they missed from
// their neighbours. The design is in docs/changes.md.
//
// It is pure: events come with their time, what to send is taken off it, draws come from a seed.
package changes

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Flaws plant mistakes, for tests of the tests.
type Flaws struct {
	GapIgnored         bool // changes are applied though earlier ones are missing
	DigestIgnored      bool // no digest is compared
	StaleEpochAccepted bool // a former source's changes are applied
	BudgetExceeded     bool // repair waits for nothing
}

// Config is what a Replica needs.
type Config struct {
	Self    MemberID
	Session uint64 // drawn for this life; questions are numbered from it on
	Seed    uint64
	// PullInterval is the mean time between two pulls, PullTimeout how long one waits for its answer.
	PullInterval, PullTimeout time.Duration
	// MinPushInterval is the least time between two pushes of a source's; changes that come meanwhile share one.
	MinPushInterval time.Duration
	// ChildLease is how long changes are pushed to a member after it pulled.
	ChildLease time.Duration
	// StaleAfter is the age of the state over which others than the parent are asked too.
	StaleAfter time.Duration
	// HoldThreshold is how many changes have to be missing for the others to be held back until all are there, HoldAtMost for how long.
	HoldThreshold int
	MaxHold       time.Duration
	// MaxChildren is to how many members changes are pushed.
	MaxChildren int
	// BytesPerSecond bounds what is sent and received, BurstBytes how much of it may come at once.
	BytesPerSecond, BurstBytes float64
	// LogChanges bounds the log; in bytes it is bounded by the state's size and LogBytes, whichever is larger.
	LogChanges, LogBytes int
	Flaws                Flaws
}

// DefaultConfig has the figures that docs/changes.md measures.
func DefaultConfig() Config {
	return Config{
		PullInterval: time.Second, PullTimeout: 400 * time.Millisecond, MinPushInterval: 200 * time.Millisecond, ChildLease: 3500 * time.Millisecond, StaleAfter: 4 * time.Second,
		HoldThreshold: 100, MaxHold: 2 * time.Minute, MaxChildren: 16, BytesPerSecond: 4000, BurstBytes: 10000, LogChanges: 8192, LogBytes: 1 << 18,
	}
}

// DatagramOverhead is what each message costs next to its own bytes: IP and UDP headers and the carrier's envelope.
const DatagramOverhead = 64

// Outgoing is a message to a member.
type Outgoing struct {
	To   MemberID
	Data []byte
}

// AppliedRange is a step of a replica's state, for judges: the changes after From up to To, of a source's epoch.
type AppliedRange struct {
	Epoch, From, To uint64
	Snapshot        bool // it took the state itself
	RolledBack      bool // it took a former source's changes after To back
}

// Update is what changed for the consumer since the last one. Changes has each key once, in the order of keys.
type Update struct {
	Epoch, Number uint64
	Digest        uint64
	Changes       []Change
}

// Counters tell what happened.
type Counters struct {
	Sent, Received, BytesSent, BytesReceived uint64
	Damaged                                  uint64 // messages that can't be read
	StaleEpoch                               uint64 // messages of a former source's, refused
	Duplicates                               uint64 // batches without news
	Gaps                                     uint64 // batches ahead of the state
	Mismatches                               uint64 // digests that were wrong
	Repairs                                  uint64 // repair questions
	RepairsAtSource                          uint64 // of them to the source
	Unanswered                               uint64 // questions
	RefusedBusy                              uint64 // questions that were refused for want of bytes or places
	RolledBack                               uint64 // changes of former sources
	Snapshots, SnapshotsFailed               uint64
	PushesSkipped                            uint64 // for want of bytes
	Ignored                                  uint64 // questions that were not answered for want of bytes
}

// vouch says that the state at a number was the source's no earlier than a time.
type vouch struct {
	number uint64
	at     time.Time
}

// question is the one that is out.
type question struct {
	sequence uint64
	to       MemberID
	sent     time.Time
	flags    uint8
}

// Replica is one process's copy of the state, its source or not. It belongs to one goroutine.
type Replica struct {
	cfg        Config
	rng        *rand.Rand
	tree       *Tree
	budget     *Budget
	state      *State
	number     uint64
	log        Log
	fence      uint64    // highest epoch heard of: what is of a lower one is refused
	observedAt time.Time // when it was heard of first
	line       uint64    // epoch that the state is known to belong to
	base       uint64    // number at which that epoch began
	leading    bool
	target     uint64    // highest number heard of in the fence's epoch
	asOf       time.Time // the state was the source's then, or later
	steppedAt  time.Time // when the state changed last
	promised   vouch     // counts once the state is there
	children   leases    // changes are pushed to them
	guests     leases    // the snapshot is served to them
	turn       int       // of the children

	flushed   uint64    // number up to which a source's changes are pushed
	flushAt   time.Time // before then it pushes no more
	flushedAt time.Time

	sequence  uint64
	asked     *question
	askAt     time.Time
	attempt   int       // whom to ask: see Tree.Neighbour
	returnAt  time.Time // to the parent
	fails     int       // repairs in a row that brought nothing
	tooOld    int       // answers in a row by logs that don't reach back
	staleTurn int
	auditNext int
	snapshot  *snapshot

	sends     []Outgoing
	applied   []AppliedRange
	inForce   *Update
	changed   map[string]struct{} // keys that the consumer does not know the value of
	published uint64
	heldSince time.Time // changes are held back since then; zero: they are not
	Counters  Counters
}

// New returns a replica with an empty state.
func New(now time.Time, c Config) *Replica {
	r := &Replica{
		cfg: c, rng: rand.New(rand.NewPCG(c.Seed, c.Session)), budget: NewBudget(now, c.BytesPerSecond, c.BurstBytes), state: NewState(),
		sequence: c.Session >> 2, changed: make(map[string]struct{}),
	}
	r.askAt = now.Add(r.draw(c.PullInterval / 4))
	return r
}

// draw draws evenly from none to d.
func (r *Replica) draw(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d) + 1))
}

// State is the state as far as it is applied, to be read only. What the consumer was told of may be older: see TakeInForce.
func (r *Replica) State() *State { return r.state }

// Position returns the epoch that the state belongs to and the number of its latest change.
func (r *Replica) Position() (epoch, number uint64) { return r.line, r.number }

// Fence returns the highest epoch heard of.
func (r *Replica) Fence() uint64 { return r.fence }

// IsSource tells whether this is the source.
func (r *Replica) IsSource() bool { return r.leading }

// aligned tells whether the state is known to belong to the present epoch.
func (r *Replica) aligned() bool { return r.line == r.fence && r.fence > 0 }

// behind tells whether there is something to repair.
func (r *Replica) behind() bool { return !r.aligned() || r.number < r.target }

// AsOf returns a time by this process's clock at which its state was the source's, counted from before it was asked; ok is false if nobody
// vouched for it yet.
func (r *Replica) AsOf() (at time.Time, ok bool) { return r.asOf, !r.asOf.IsZero() }

// RaiseFence refuses all epochs below one that is known from elsewhere.
func (r *Replica) RaiseFence(now time.Time, epoch uint64) { r.observe(now, epoch) }

// observe takes note of an epoch. A higher one ends this process's own lead.
func (r *Replica) observe(now time.Time, epoch uint64) {
	if epoch <= r.fence {
		return
	}
	r.fence, r.target, r.observedAt = epoch, 0, now
	r.asOf, r.promised = time.Time{}, vouch{} // what a former source vouched for says nothing of the present one's state
	r.leading = false
	if r.snapshot != nil {
		r.snapshot.restart()
	}
}

// SetTree takes a tree that was computed from the present members. A new parent is asked soon.
func (r *Replica) SetTree(now time.Time, t *Tree) {
	var old, parent MemberID
	if r.tree != nil {
		old, _ = r.tree.Parent(r.cfg.Self)
	}
	r.tree = t
	if parent, _ = t.Parent(r.cfg.Self); parent != old {
		r.attempt = 0
		r.askBy(now.Add(r.draw(r.cfg.PullInterval / 4)))
	}
}

func (r *Replica) askBy(at time.Time) {
	if at.Before(r.askAt) {
		r.askAt = at
	}
}

// Due is when Tick has something to do.
func (r *Replica) Due() time.Time {
	due := r.askAt
	if r.asked != nil {
		due = r.asked.sent.Add(r.cfg.PullTimeout)
	}
	if r.leading && r.flushed < r.number && r.flushAt.Before(due) {
		due = r.flushAt
	}
	return due
}

// Tick does what is due.
func (r *Replica) Tick(now time.Time) {
	if r.asked != nil && !now.Before(r.asked.sent.Add(r.cfg.PullTimeout)) {
		r.unanswered(now)
	}
	if r.asked == nil && !now.Before(r.askAt) {
		r.ask(now)
	}
	r.flush(now)
	r.publish(now)
}

// Handle takes a message from a member. Each may be lost, late, repeated or out of order.
func (r *Replica) Handle(now time.Time, from MemberID, text []byte) {
	r.Counters.Received++
	r.Counters.BytesReceived += uint64(len(text) + DatagramOverhead)
	m, err := Decode(text)
	if err != nil {
		r.Counters.Damaged++
		r.budget.Spend(now, ClassChange, len(text)+DatagramOverhead)
		return
	}
	r.budget.Spend(now, m.class(), len(text)+DatagramOverhead)
	if m.Epoch < r.fence && !m.question() && !r.cfg.Flaws.StaleEpochAccepted {
		r.Counters.StaleEpoch++
		r.settleQuestion(from, m)
		return
	}
	r.observe(now, m.Epoch)
	if m.question() && r.budget.Exhausted(now, m.class()) && !r.cfg.Flaws.BudgetExceeded {
		r.Counters.Ignored++
		return
	}
	switch m.Kind {
	case Push:
		r.pushed(now, from, m)
	case Pull:
		r.servePull(now, from, m)
	case AskDigests:
		r.serveDigests(now, from, m)
	case AskEntries:
		r.serveEntries(now, from, m)
	default:
		r.answered(now, from, m)
	}
	r.publish(now)
}

// question tells whether a message asks for an answer.
func (m *Message) question() bool {
	return m.Kind == Pull || m.Kind == AskDigests || m.Kind == AskEntries
}

// class is what a message's bytes count as.
func (m *Message) class() Class {
	switch {
	case m.Kind == Answer && m.Batch != nil, m.Kind == Pull && m.Flags&flagRepair != 0:
		return ClassRepair
	case m.Kind >= AskDigests:
		return ClassSnapshot
	}
	return ClassChange
}

// send fills a message's header in and sends it.
func (r *Replica) send(now time.Time, to MemberID, m *Message) {
	m.Epoch, m.Base, m.Number, m.Digest = r.fence, r.base, r.number, r.state.Digest()
	if m.Kind == Push || m.Kind == Answer {
		m.Known = r.target
	}
	if m.Kind == Pull {
		m.Epoch = r.line
		if m.Flags&flagReplay != 0 {
			m.Number = r.snapshot.number
		}
	}
	text := m.Encode()
	r.budget.Spend(now, m.class(), len(text)+DatagramOverhead)
	r.Counters.Sent++
	r.Counters.BytesSent += uint64(len(text) + DatagramOverhead)
	r.sends = append(r.sends, Outgoing{to, text})
}

// TakeMessages returns what is to be sent since the last call.
func (r *Replica) TakeMessages() []Outgoing {
	sends := r.sends
	r.sends = nil
	return sends
}

// TakeApplied returns the steps of the state since the last call.
func (r *Replica) TakeApplied() []AppliedRange {
	applied := r.applied
	r.applied = nil
	return applied
}

// TakeUpdate returns what the consumer is to bring into force since the last call, nil if there is nothing. What was missed comes in one
// piece, once all of it is there.
func (r *Replica) TakeUpdate() *Update {
	f := r.inForce
	r.inForce = nil
	return f
}

// step takes note of changes that were applied to the state.
func (r *Replica) step(now time.Time, a AppliedRange) {
	r.steppedAt = now
	r.applied = append(r.applied, a)
	r.log.compact(r.cfg.LogChanges, max(r.cfg.LogBytes, r.state.Bytes()))
}

// hold decides whether changes are held back: from when many are known to be missing, or the state is not known to be the source's, until
// all is there, or for HoldAtMost.
func (r *Replica) hold(now time.Time) bool {
	switch {
	case !r.behind() && r.snapshot == nil:
		r.heldSince = time.Time{}
	case !r.heldSince.IsZero():
	case !r.aligned(), r.snapshot != nil, r.target > r.number+uint64(r.cfg.HoldThreshold):
		r.heldSince = now
	}
	if r.heldSince.IsZero() {
		return false
	}
	if now.Sub(r.heldSince) < r.cfg.MaxHold {
		return true
	}
	r.heldSince = now
	return false
}

// publish hands changes to the consumer, unless they are held back.
func (r *Replica) publish(now time.Time) {
	if r.hold(now) || r.number == r.published && len(r.changed) == 0 {
		return
	}
	keys := make([]string, 0, len(r.changed))
	if r.inForce != nil { // not taken yet
		for _, c := range r.inForce.Changes {
			r.changed[c.Key] = struct{}{}
		}
	}
	for key := range r.changed { // sorted below
		keys = append(keys, key)
	}
	slices.Sort(keys)
	f := &Update{Epoch: r.line, Number: r.number, Digest: r.state.Digest()}
	for _, key := range keys {
		value, ok := r.state.Get(key)
		f.Changes = append(f.Changes, Change{Key: key, Value: value, Delete: !ok})
	}
	clear(r.changed)
	r.inForce, r.published = f, r.number
}

// confirm takes an age that was vouched for, or keeps it until the state is there.
func (r *Replica) confirm(v vouch) {
	if v.at.After(r.promised.at) {
		r.promised = v
	}
	r.confirmPromised()
}

func (r *Replica) confirmPromised() {
	if r.aligned() && r.number >= r.promised.number && r.promised.at.After(r.asOf) {
		r.asOf = r.promised.at
	}
}
