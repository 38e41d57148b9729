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

// freshness says that the state at a number was the source's no earlier than a time.
type freshness struct {
	number uint64
	at     time.Time
}

// request is the one that is out.
type request struct {
	sequence uint64
	to       MemberID
	sentAt   time.Time
	flags    uint8
}

// Replica is one process's copy of the state, its source or not. It belongs to one goroutine.
type Replica struct {
	cfg              Config
	rng              *rand.Rand
	tree             *Tree
	budget           *Budget
	state            *State
	number           uint64
	log              Log
	fence            uint64    // highest epoch heard of: what is of a lower one is refused
	fenceRaisedAt    time.Time // when it was heard of first
	stateEpoch       uint64    // epoch that the state is known to belong to
	epochBase        uint64    // number at which that epoch began
	isSource         bool
	targetNumber     uint64    // highest number heard of in the fence's epoch
	asOf             time.Time // the state was the source's then, or later
	lastAppliedAt    time.Time // when the state changed last
	pendingFreshness freshness // counts once the state is there
	children         leases    // changes are pushed to them
	snapshotClients  leases    // the snapshot is served to them
	pushRotation     int       // of the children

	flushedNumber uint64    // number up to which a source's changes are pushed
	nextFlushAt   time.Time // before then it pushes no more
	lastFlushAt   time.Time

	lastSequence     uint64
	pending          *request
	nextRequestAt    time.Time
	attempt          int       // whom to ask: see Tree.Neighbour
	returnToParentAt time.Time // to the parent
	failedRepairs    int       // repairs in a row that brought nothing
	tooOldResponses  int       // answers in a row by logs that don't reach back
	staleRotation    int
	nextAuditBucket  int
	snapshot         *snapshotFetch

	outgoing        []Outgoing
	applied         []AppliedRange
	update          *Update
	changedKeys     map[string]struct{} // keys that the consumer does not know the value of
	publishedNumber uint64
	heldSince       time.Time // changes are held back since then; zero: they are not
	Counters        Counters
}

// New returns a replica with an empty state.
func New(now time.Time, c Config) *Replica {
	r := &Replica{
		cfg: c, rng: rand.New(rand.NewPCG(c.Seed, c.Session)), budget: NewBudget(now, c.BytesPerSecond, c.BurstBytes), state: NewState(),
		lastSequence: c.Session >> 2, changedKeys: make(map[string]struct{}),
	}
	r.nextRequestAt = now.Add(r.randomUpTo(c.PullInterval / 4))
	return r
}

// randomUpTo draws evenly from none to d.
func (r *Replica) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d) + 1))
}

// State is the state as far as it is applied, to be read only. What the consumer was told of may be older: see TakeInForce.
func (r *Replica) State() *State { return r.state }

// Position returns the epoch that the state belongs to and the number of its latest change.
func (r *Replica) Position() (epoch, number uint64) { return r.stateEpoch, r.number }

// Fence returns the highest epoch heard of.
func (r *Replica) Fence() uint64 { return r.fence }

// IsSource tells whether this is the source.
func (r *Replica) IsSource() bool { return r.isSource }

// isAligned tells whether the state is known to belong to the present epoch.
func (r *Replica) isAligned() bool { return r.stateEpoch == r.fence && r.fence > 0 }

// isBehind tells whether there is something to repair.
func (r *Replica) isBehind() bool { return !r.isAligned() || r.number < r.targetNumber }

// AsOf returns a time by this process's clock at which its state was the source's, counted from before it was asked; ok is false if nobody
// vouched for it yet.
func (r *Replica) AsOf() (at time.Time, ok bool) { return r.asOf, !r.asOf.IsZero() }

// RaiseFence refuses all epochs below one that is known from elsewhere.
func (r *Replica) RaiseFence(now time.Time, epoch uint64) { r.observeEpoch(now, epoch) }

// observeEpoch takes note of an epoch. A higher one ends this process's own lead.
func (r *Replica) observeEpoch(now time.Time, epoch uint64) {
	if epoch <= r.fence {
		return
	}
	r.fence, r.targetNumber, r.fenceRaisedAt = epoch, 0, now
	r.asOf, r.pendingFreshness = time.Time{}, freshness{} // what a former source vouched for says nothing of the present one's state
	r.isSource = false
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
		r.requestBy(now.Add(r.randomUpTo(r.cfg.PullInterval / 4)))
	}
}

func (r *Replica) requestBy(at time.Time) {
	if at.Before(r.nextRequestAt) {
		r.nextRequestAt = at
	}
}

// Due is when Tick has something to do.
func (r *Replica) Due() time.Time {
	due := r.nextRequestAt
	if r.pending != nil {
		due = r.pending.sentAt.Add(r.cfg.PullTimeout)
	}
	if r.isSource && r.flushedNumber < r.number && r.nextFlushAt.Before(due) {
		due = r.nextFlushAt
	}
	return due
}

// Tick does what is due.
func (r *Replica) Tick(now time.Time) {
	if r.pending != nil && !now.Before(r.pending.sentAt.Add(r.cfg.PullTimeout)) {
		r.handleTimeout(now)
	}
	if r.pending == nil && !now.Before(r.nextRequestAt) {
		r.sendNextRequest(now)
	}
	r.flush(now)
	r.publish(now)
}

// Handle takes a message from a member. Each may be lost, late, repeated or out of order.
func (r *Replica) Handle(now time.Time, from MemberID, data []byte) {
	r.Counters.Received++
	r.Counters.BytesReceived += uint64(len(data) + DatagramOverhead)
	m, err := Decode(data)
	if err != nil {
		r.Counters.Damaged++
		r.budget.Spend(now, ClassChange, len(data)+DatagramOverhead)
		return
	}
	r.budget.Spend(now, m.class(), len(data)+DatagramOverhead)
	if m.Epoch < r.fence && !m.isRequest() && !r.cfg.Flaws.StaleEpochAccepted {
		r.Counters.StaleEpoch++
		r.abandonRequest(from, m)
		return
	}
	r.observeEpoch(now, m.Epoch)
	if m.isRequest() && r.budget.Exhausted(now, m.class()) && !r.cfg.Flaws.BudgetExceeded {
		r.Counters.Ignored++
		return
	}
	switch m.Kind {
	case KindPush:
		r.handlePush(now, from, m)
	case KindPull:
		r.servePull(now, from, m)
	case KindDigestsRequest:
		r.serveDigests(now, from, m)
	case KindEntriesRequest:
		r.serveEntries(now, from, m)
	default:
		r.handleResponse(now, from, m)
	}
	r.publish(now)
}

// isRequest tells whether a message asks for an answer.
func (m *Message) isRequest() bool {
	return m.Kind == KindPull || m.Kind == KindDigestsRequest || m.Kind == KindEntriesRequest
}

// class is what a message's bytes count as.
func (m *Message) class() Class {
	switch {
	case m.Kind == KindPullResponse && m.Batch != nil, m.Kind == KindPull && m.Flags&flagRepair != 0:
		return ClassRepair
	case m.Kind >= KindDigestsRequest:
		return ClassSnapshot
	}
	return ClassChange
}

// send fills a message's header in and sends it.
func (r *Replica) send(now time.Time, to MemberID, m *Message) {
	m.Epoch, m.EpochBase, m.Number, m.Digest = r.fence, r.epochBase, r.number, r.state.Digest()
	if m.Kind == KindPush || m.Kind == KindPullResponse {
		m.HighestKnown = r.targetNumber
	}
	if m.Kind == KindPull {
		m.Epoch = r.stateEpoch
		if m.Flags&flagReplay != 0 {
			m.Number = r.snapshot.replayedNumber
		}
	}
	data := m.Encode()
	r.budget.Spend(now, m.class(), len(data)+DatagramOverhead)
	r.Counters.Sent++
	r.Counters.BytesSent += uint64(len(data) + DatagramOverhead)
	r.outgoing = append(r.outgoing, Outgoing{to, data})
}

// TakeMessages returns what is to be sent since the last call.
func (r *Replica) TakeMessages() []Outgoing {
	sends := r.outgoing
	r.outgoing = nil
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
	f := r.update
	r.update = nil
	return f
}

// recordApplied takes note of changes that were applied to the state.
func (r *Replica) recordApplied(now time.Time, a AppliedRange) {
	r.lastAppliedAt = now
	r.applied = append(r.applied, a)
	r.log.compact(r.cfg.LogChanges, max(r.cfg.LogBytes, r.state.Bytes()))
}

// shouldHold decides whether changes are held back: from when many are known to be missing, or the state is not known to be the source's, until
// all is there, or for HoldAtMost.
func (r *Replica) shouldHold(now time.Time) bool {
	switch {
	case !r.isBehind() && r.snapshot == nil:
		r.heldSince = time.Time{}
	case !r.heldSince.IsZero():
	case !r.isAligned(), r.snapshot != nil, r.targetNumber > r.number+uint64(r.cfg.HoldThreshold):
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
	if r.shouldHold(now) || r.number == r.publishedNumber && len(r.changedKeys) == 0 {
		return
	}
	keys := make([]string, 0, len(r.changedKeys))
	if r.update != nil { // not taken yet
		for _, c := range r.update.Changes {
			r.changedKeys[c.Key] = struct{}{}
		}
	}
	for key := range r.changedKeys { // sorted below
		keys = append(keys, key)
	}
	slices.Sort(keys)
	f := &Update{Epoch: r.stateEpoch, Number: r.number, Digest: r.state.Digest()}
	for _, key := range keys {
		value, ok := r.state.Get(key)
		f.Changes = append(f.Changes, Change{Key: key, Value: value, Delete: !ok})
	}
	clear(r.changedKeys)
	r.update, r.publishedNumber = f, r.number
}

// recordFreshness takes an age that was vouched for, or keeps it until the state is there.
func (r *Replica) recordFreshness(v freshness) {
	if v.at.After(r.pendingFreshness.at) {
		r.pendingFreshness = v
	}
	r.applyPendingFreshness()
}

func (r *Replica) applyPendingFreshness() {
	if r.isAligned() && r.number >= r.pendingFreshness.number && r.pendingFreshness.at.After(r.asOf) {
		r.asOf = r.pendingFreshness.at
	}
}
