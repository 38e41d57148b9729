// Package changes replicates one keyed state to many processes by sending changes instead of the
// whole state. One process, the source, numbers each change. The others apply the changes in that
// order. Changes spread along a tree that all members compute alike, and each member repairs what
// it missed from its neighbours. The design is described in docs/changes.md.
//
// The package does no input or output and reads no clock: the caller passes in the time of each
// event and collects the messages to send, and random numbers come from a seed.
package changes

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Flaws are deliberate defects that tests enable to verify that the checks detect them. The zero
// value has none.
type Flaws struct {
	GapIgnored         bool // changes are applied although earlier ones are missing
	DigestIgnored      bool // no digest is compared
	StaleEpochAccepted bool // changes of a former source are applied
	BudgetExceeded     bool // repairs do not wait for the budget
}

// Config is the configuration of a Replica.
type Config struct {
	Self    MemberID
	Session uint64 // random for each process start; request sequence numbers derive from it
	Seed    uint64
	// PullInterval is the mean time between two pulls. PullTimeout is how long a response is
	// awaited.
	PullInterval, PullTimeout time.Duration
	// MinPushInterval is the minimum time between two pushes of the source. Changes that are
	// proposed within it share one push.
	MinPushInterval time.Duration
	// ChildLease is how long changes are pushed to a member after its last pull.
	ChildLease time.Duration
	// StaleAfter is the age of the state above which members other than the parent are asked too.
	StaleAfter time.Duration
	// HoldThreshold is a number of changes. If more than that are missing, no update is handed to
	// the consumer until all changes are there. MaxHold is how long updates are held back at most.
	HoldThreshold int
	MaxHold       time.Duration
	// MaxChildren is the maximum number of members to which changes are pushed.
	MaxChildren int
	// BytesPerSecond limits the traffic sent and received. BurstBytes is how much of it may occur
	// at once.
	BytesPerSecond, BurstBytes float64
	// LogChanges bounds the number of changes in the log. The log's size in bytes is bounded by the
	// size of the state or LogBytes, whichever is larger.
	LogChanges, LogBytes int
	Flaws                Flaws
}

// DefaultConfig returns the configuration that docs/changes.md evaluates.
func DefaultConfig() Config {
	return Config{
		PullInterval: time.Second, PullTimeout: 400 * time.Millisecond, MinPushInterval: 200 * time.Millisecond, ChildLease: 3500 * time.Millisecond, StaleAfter: 4 * time.Second,
		HoldThreshold: 100, MaxHold: 2 * time.Minute, MaxChildren: 16, BytesPerSecond: 4000, BurstBytes: 10000, LogChanges: 8192, LogBytes: 1 << 18,
	}
}

// DatagramOverhead is the number of bytes that each message costs in addition to its own: IP and
// UDP headers and the envelope of the transport.
const DatagramOverhead = 64

// Outgoing is an encoded message to be sent to a member.
type Outgoing struct {
	To   MemberID
	Data []byte
}

// AppliedRange is one step of a replica's state: the changes after From up to To, of a source's
// epoch. It is for the checkers of tests and simulations.
type AppliedRange struct {
	Epoch, From, To uint64
	Snapshot        bool // the state was replaced by a snapshot
	RolledBack      bool // changes of a former source after To were rolled back
}

// Update is what changed for the consumer since the previous Update. Changes holds each key once,
// in the order of the keys.
type Update struct {
	Epoch, Number uint64
	Digest        uint64
	Changes       []Change
}

// Counters count the events of a Replica.
type Counters struct {
	Sent, Received             uint64 // messages
	BytesSent, BytesReceived   uint64 // with DatagramOverhead for each message
	Damaged                    uint64 // messages that could not be decoded
	StaleEpoch                 uint64 // messages of former sources, refused
	Duplicates                 uint64 // batches without new changes
	Gaps                       uint64 // batches that start after the local number
	Mismatches                 uint64 // digests that did not match
	Repairs                    uint64 // repair requests
	RepairsAtSource            uint64 // repair requests to the source
	Unanswered                 uint64 // requests without a response in time
	RefusedBusy                uint64 // requests refused for lack of bytes or slots
	RolledBack                 uint64 // changes of former sources, rolled back
	Snapshots, SnapshotsFailed uint64
	PushesSkipped              uint64 // pushes not sent for lack of bytes
	Ignored                    uint64 // requests not answered for lack of bytes
}

// freshness states that the state at a number was the source's state at a time, or later.
type freshness struct {
	number uint64
	at     time.Time
}

// request is the pending request of a Replica.
type request struct {
	sequence uint64
	to       MemberID
	sentAt   time.Time
	flags    uint8
}

// Replica is one process's copy of the state, whether the process is the source or not. A Replica
// is not safe for concurrent use.
type Replica struct {
	cfg                Config
	rng                *rand.Rand
	tree               *Tree
	budget             *Budget
	state              *State
	number             uint64
	log                Log
	fence              uint64    // highest epoch known; messages of lower epochs are refused
	fenceRaisedAt      time.Time // when the fence was raised
	stateEpoch         uint64    // epoch that the state is known to belong to
	epochBase          uint64    // number at which that epoch began
	isSource           bool
	targetNumber       uint64    // highest number known in the fence's epoch
	asOf               time.Time // the state was the source's state then, or later; zero: unknown
	lastAppliedAt      time.Time // when the state changed last
	pendingFreshness   freshness // takes effect once the state reaches its number
	children           leases    // members that changes are pushed to
	snapshotRequesters leases    // members that the snapshot is served to
	pushRotation       int       // rotates the order of the children

	flushedNumber uint64    // number up to which the source has pushed its changes
	nextFlushAt   time.Time // no push before then
	lastFlushAt   time.Time

	lastSequence     uint64
	pending          *request
	nextRequestAt    time.Time
	attempt          int       // selects the member to ask: see Tree.RequestTarget
	returnToParentAt time.Time // when the parent is tried again
	failedRepairs    int       // consecutive repairs without result
	tooOldResponses  int       // consecutive responses from logs that do not reach back far enough
	staleRotation    int
	nextAuditBucket  int
	snapshot         *snapshotFetch

	outgoing        []Outgoing
	applied         []AppliedRange
	update          *Update
	changedKeys     map[string]struct{} // keys whose current value the consumer has not been told
	publishedNumber uint64
	heldSince       time.Time // since when updates are held back; zero: they are not
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

// randomUpTo returns a uniformly distributed random duration from zero to d.
func (r *Replica) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(d) + 1))
}

// State returns the state as applied so far. The caller must not modify it. The last Update may be
// older: see TakeUpdate.
func (r *Replica) State() *State { return r.state }

// Position returns the epoch that the state belongs to and the number of its latest change.
func (r *Replica) Position() (epoch, number uint64) { return r.stateEpoch, r.number }

// Fence returns the highest epoch known.
func (r *Replica) Fence() uint64 { return r.fence }

// IsSource reports whether this process is the source.
func (r *Replica) IsSource() bool { return r.isSource }

// isAligned reports whether the state is known to belong to the current epoch.
func (r *Replica) isAligned() bool { return r.stateEpoch == r.fence && r.fence > 0 }

// isBehind reports whether the state needs a repair.
func (r *Replica) isBehind() bool { return !r.isAligned() || r.number < r.targetNumber }

// AsOf returns a time, by the local clock, at which the state was the source's state. It counts
// from the sending of the request, so that the time in transit adds to the age. ok is false if the
// age has not been confirmed yet.
func (r *Replica) AsOf() (at time.Time, ok bool) { return r.asOf, !r.asOf.IsZero() }

// RaiseFence raises the fence to an epoch that the caller learned of by other means. Messages of
// lower epochs are refused from then on.
func (r *Replica) RaiseFence(now time.Time, epoch uint64) { r.observeEpoch(now, epoch) }

// observeEpoch records an epoch. If it is higher than all before it, this process ceases to be the
// source.
func (r *Replica) observeEpoch(now time.Time, epoch uint64) {
	if epoch <= r.fence {
		return
	}
	r.fence, r.targetNumber, r.fenceRaisedAt = epoch, 0, now
	// What a former source confirmed does not hold for the current source's state.
	r.asOf, r.pendingFreshness = time.Time{}, freshness{}
	r.isSource = false
	if r.snapshot != nil {
		r.snapshot.restart()
	}
}

// SetTree sets the tree that was computed from the current members. If the parent changes, the new
// one is asked soon.
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

// Due returns the time of the next Tick call that has work to do.
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

// Tick does the work that is due.
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

// Handle processes a message from a member. Messages may be lost, delayed, duplicated or reordered.
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

// isRequest reports whether a message expects a response.
func (m *Message) isRequest() bool {
	return m.Kind == KindPull || m.Kind == KindDigestsRequest || m.Kind == KindEntriesRequest
}

// class returns the traffic class that a message's bytes are charged to.
func (m *Message) class() Class {
	switch {
	case m.Kind == KindPullResponse && m.Batch != nil, m.Kind == KindPull && m.Flags&flagRepair != 0:
		return ClassRepair
	case m.Kind >= KindDigestsRequest:
		return ClassSnapshot
	}
	return ClassChange
}

// send sets the header fields of a message and queues it for sending.
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

// TakeMessages returns the messages queued since the last call.
func (r *Replica) TakeMessages() []Outgoing {
	messages := r.outgoing
	r.outgoing = nil
	return messages
}

// TakeApplied returns the steps of the state since the last call.
func (r *Replica) TakeApplied() []AppliedRange {
	applied := r.applied
	r.applied = nil
	return applied
}

// TakeUpdate returns the changes that the consumer has to put into effect since the last call, or
// nil if there are none. Changes that were missed come in a single Update, once all of them are
// there.
func (r *Replica) TakeUpdate() *Update {
	update := r.update
	r.update = nil
	return update
}

// recordApplied records changes that were applied to the state.
func (r *Replica) recordApplied(now time.Time, a AppliedRange) {
	r.lastAppliedAt = now
	r.applied = append(r.applied, a)
	r.log.compact(r.cfg.LogChanges, max(r.cfg.LogBytes, r.state.Bytes()))
}

// shouldHold decides whether updates are held back. That starts when more than HoldThreshold
// changes are known to be missing, or the state is not known to belong to the source's epoch. It
// ends when all changes are there, or after MaxHold.
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
	if r.update != nil { // the consumer has not taken the previous update yet
		for _, c := range r.update.Changes {
			r.changedKeys[c.Key] = struct{}{}
		}
	}
	for key := range r.changedKeys { // sorted below
		keys = append(keys, key)
	}
	slices.Sort(keys)
	update := &Update{Epoch: r.stateEpoch, Number: r.number, Digest: r.state.Digest()}
	for _, key := range keys {
		value, ok := r.state.Get(key)
		update.Changes = append(update.Changes, Change{Key: key, Value: value, Delete: !ok})
	}
	clear(r.changedKeys)
	r.update, r.publishedNumber = update, r.number
}

// recordFreshness records a confirmed age of the state. It takes effect once the state reaches its
// number.
func (r *Replica) recordFreshness(f freshness) {
	if f.at.After(r.pendingFreshness.at) {
		r.pendingFreshness = f
	}
	r.applyPendingFreshness()
}

func (r *Replica) applyPendingFreshness() {
	if r.isAligned() && r.number >= r.pendingFreshness.number && r.pendingFreshness.at.After(r.asOf) {
		r.asOf = r.pendingFreshness.at
	}
}
