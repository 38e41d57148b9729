package changes

import (
	"math"
	"time"
)

// snapshotFetch copies the state from other processes. Buckets with equal digests are kept; the
// entries of the others are requested range by range, from any member with bytes to spare, while
// the state keeps changing. Each range carries the number at which it was read. Afterwards the
// changes after the lowest of these numbers are applied to the ranges that are older than them. The
// digest at the highest number decides whether the copy is consistent; until then the replica keeps
// its own state.
type snapshotFetch struct {
	state          *State
	epoch          uint64 // of everything received so far; 0: nothing was received
	nextPage       uint64 // next page of digests to be compared
	wantedBuckets  [buckets]bool
	nextHash       uint64 // first key hash whose entry has not been received
	allFetched     bool
	fetchedRanges  []fetchedRange
	highestNumber  uint64 // highest number in fetchedRanges or replayed
	highestDigest  uint64 // digest of the state at highestNumber
	replaying      bool
	replayedNumber uint64 // number of the latest change that was replayed

	server        MemberID // member that served the last request; 0: another one is to be chosen
	busyResponses int      // consecutive StatusBusy responses of the server
}

// maxBusyResponses is the number of consecutive StatusBusy responses of a server after which
// another member is chosen.
const maxBusyResponses = 10

// fetchedRange states that the entries with key hashes from start to end, inclusive, were read from
// a state at a change number.
type fetchedRange struct {
	start, end uint64
	number     uint64
}

// beginSnapshot starts to fetch the whole state from other members.
func (r *Replica) beginSnapshot(now time.Time) {
	if r.snapshot != nil || r.isSource {
		return
	}
	r.tooOldResponses = 0
	r.snapshot = &snapshotFetch{state: r.state.clone()}
	r.snapshot.restart()
	r.nextRequestAt = now.Add(r.randomUpTo(repairDelay))
}

// restart starts over with the comparison of digests. Entries that were already received are kept
// where their digests agree.
func (s *snapshotFetch) restart() {
	*s = snapshotFetch{state: s.state}
	if s.state.Len() == 0 { // nothing to compare
		s.nextPage = buckets / digestsPerPage
		for bucket := range buckets {
			s.wantedBuckets[bucket] = true
		}
	}
}

func (s *snapshotFetch) isComparing() bool { return s.nextPage < buckets/digestsPerPage }

// nextRange returns the next range of key hashes to request. It includes small gaps between wanted
// buckets, since a request costs as much as a few entries. ok is false if no range is left.
func (s *snapshotFetch) nextRange() (start, end uint64, ok bool) {
	if s.allFetched {
		return 0, 0, false
	}
	first := bucketOf(s.nextHash)
	for first < buckets && !s.wantedBuckets[first] {
		first++
	}
	if first == buckets {
		return 0, 0, false
	}
	gap := maxPayload / 2 * buckets / (s.state.Bytes() + 1)
	last := first
	for next := first + 1; next < buckets && next <= last+1+gap; next++ {
		if s.wantedBuckets[next] {
			last = next
		}
	}
	return max(s.nextHash, uint64(first)<<bucketShift), lastHash(last), true
}

func lastHash(bucket int) uint64 { return uint64(bucket)<<bucketShift | (1<<bucketShift - 1) }

// recordRange records the number of a range, and the digest if the number is the highest so far.
func (s *snapshotFetch) recordRange(start, end uint64, m *Message) {
	s.fetchedRanges = append(s.fetchedRanges, fetchedRange{start, end, m.Number})
	if m.Number >= s.highestNumber {
		s.highestNumber, s.highestDigest = m.Number, m.Digest
	}
}

// numberAt returns the change number as of which the entry with a key hash was read.
func (s *snapshotFetch) numberAt(hash uint64) uint64 {
	for _, fetched := range s.fetchedRanges {
		if fetched.start <= hash && hash <= fetched.end {
			return fetched.number
		}
	}
	return 0
}

func (r *Replica) sendSnapshotRequest(now time.Time) {
	s := r.snapshot
	m := &Message{Kind: KindDigestsRequest, Page: s.nextPage}
	if !s.isComparing() {
		start, end, ok := s.nextRange()
		m = &Message{Kind: KindEntriesRequest, Start: start, End: end}
		if !ok {
			s.beginReplay()
			m = &Message{Kind: KindPull, Flags: flagReplay | flagRepair}
		}
	}
	if r.deferForBudget(now, m.class()) {
		return
	}
	r.sendRequest(now, m)
}

func (s *snapshotFetch) beginReplay() {
	if s.replaying {
		return
	}
	s.replaying, s.replayedNumber = true, math.MaxUint64
	for _, fetched := range s.fetchedRanges {
		s.replayedNumber = min(s.replayedNumber, fetched.number)
	}
}

// handleSnapshotResponse processes a response to a snapshot request.
func (r *Replica) handleSnapshotResponse(now time.Time, req *request, m *Message) {
	s := r.snapshot
	if m.Status == StatusBusy && req.to == s.server && s.busyResponses < maxBusyResponses {
		s.busyResponses++
		r.nextRequestAt = now.Add(repairBackoff + r.randomUpTo(repairBackoff))
		return
	}
	if m.Status == StatusBusy || m.Status == StatusBehind {
		s.server = 0
		r.backOff(now)
		return
	}
	s.server, s.busyResponses = req.to, 0
	if s.epoch != 0 && s.epoch != m.Epoch {
		s.restart()
		r.nextRequestAt = now
		return
	}
	s.epoch = m.Epoch
	accepted := false
	switch {
	case m.Kind == KindDigestsResponse && s.isComparing():
		accepted = s.acceptDigests(m)
	case m.Kind == KindEntriesResponse && !s.isComparing() && !s.replaying:
		accepted = s.acceptEntries(m)
	case m.Kind == KindPullResponse && s.replaying:
		accepted = s.replay(m)
	}
	if !accepted {
		r.failSnapshot(now)
		return
	}
	r.failedRepairs, r.nextRequestAt = 0, now
	if _, _, more := s.nextRange(); s.isComparing() || more {
		return
	}
	s.beginReplay()
	if s.replayedNumber < s.highestNumber {
		return
	}
	if s.state.Digest() != s.highestDigest && !r.cfg.Flaws.DigestIgnored {
		r.failSnapshot(now)
		return
	}
	r.finishSnapshot(now, req, m)
}

func (s *snapshotFetch) acceptDigests(m *Message) bool {
	if m.Page != s.nextPage || len(m.Digests) != digestsPerPage {
		return false
	}
	for i, digest := range m.Digests {
		bucket := int(m.Page)*digestsPerPage + i
		s.wantedBuckets[bucket] = s.state.bucketDigests[bucket] != digest || !s.state.isBucketIntact(bucket)
		if !s.wantedBuckets[bucket] {
			s.recordRange(uint64(bucket)<<bucketShift, lastHash(bucket), m)
		}
	}
	s.nextPage++
	return true
}

func (s *snapshotFetch) acceptEntries(m *Message) bool {
	start, end, ok := s.nextRange()
	if !ok || m.Start != start || m.End > end || m.End < start {
		return false
	}
	for _, e := range m.Entries {
		if at := keyHash(e.Key); e.check() != nil || at < m.Start || at > m.End {
			return false
		}
	}
	s.state.removeRange(m.Start, m.End)
	for _, e := range m.Entries {
		s.state.put(e)
	}
	s.recordRange(m.Start, m.End, m)
	s.nextHash = m.End + 1
	s.allFetched = m.End == math.MaxUint64
	return true
}

// replay applies changes to the entries that are older than them.
func (s *snapshotFetch) replay(m *Message) bool {
	b := m.Batch
	if m.Status != StatusNewer || b == nil || b.From != s.replayedNumber {
		return false
	}
	for i, c := range b.Changes {
		if s.numberAt(keyHash(c.Key)) < b.From+uint64(i)+1 {
			s.state.apply(c)
		}
	}
	s.replayedNumber = b.To()
	if s.replayedNumber >= s.highestNumber {
		s.highestNumber, s.highestDigest = s.replayedNumber, b.After
	}
	return true
}

func (r *Replica) failSnapshot(now time.Time) {
	r.Counters.SnapshotsFailed++
	r.snapshot.restart()
	r.backOff(now)
}

// finishSnapshot replaces the state with the copy.
func (r *Replica) finishSnapshot(now time.Time, req *request, m *Message) {
	s := r.snapshot
	r.Counters.Snapshots++
	for key, value := range s.state.entries { // in any order: the keys are only added to a set
		if old, ok := r.state.Get(key); !ok || old != value {
			r.changedKeys[key] = struct{}{}
		}
	}
	for key := range r.state.entries { // in any order: the keys are only added to a set
		if _, ok := s.state.Get(key); !ok {
			r.changedKeys[key] = struct{}{}
		}
	}
	from := r.number
	r.state, r.number, r.stateEpoch, r.epochBase = s.state, s.replayedNumber, s.epoch, m.EpochBase
	r.log.Reset(r.number, r.state.Digest())
	r.snapshot = nil
	if r.number < from {
		r.asOf = time.Time{} // it was confirmed at a later number
	}
	r.targetNumber = max(r.targetNumber, m.Number)
	r.recordApplied(now, AppliedRange{Epoch: r.stateEpoch, From: from, To: r.number, Snapshot: true})
	r.applyPendingFreshness()
	r.pushToChildren(now, req.to, nil)
	r.attempt = 0
	r.nextRequestAt = now
}
