package keeper

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// snapshotTimeout is how long the transfer of a snapshot to another keeper may take before it
// counts as failed and the snapshot is sent again.
const snapshotTimeout = time.Second

// snapshotTransfers holds the deadline of each snapshot transfer in progress, by receiver id.
type snapshotTransfers map[uint64]time.Time

func (s snapshotTransfers) begin(now time.Time, receiver uint64) {
	s[receiver] = now.Add(snapshotTimeout)
}

// takeOverdue removes the transfers past their deadline and returns the receivers in the order of
// their ids.
func (s snapshotTransfers) takeOverdue(now time.Time) []uint64 {
	var overdue []uint64
	for _, receiver := range slices.Sorted(maps.Keys(s)) {
		if !now.Before(s[receiver]) {
			delete(s, receiver)
			overdue = append(overdue, receiver)
		}
	}
	return overdue
}

// installSnapshot replaces the state by a snapshot of the leader.
func (k *Core) installSnapshot(snapshot *pb.Snapshot) error {
	state, err := DecodeState(snapshot.GetData())
	if err != nil {
		return err
	}
	if err := k.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	k.state = state
	k.voters, k.snapshotAt = snapshot.GetMetadata().GetConfState(), snapshot.GetMetadata().GetIndex()
	k.Count.Snapshots++
	return nil
}

// compact creates a snapshot if one is due, and has the log on disk replaced by it.
func (k *Core) compact() {
	if k.stopped != nil || k.state.Applied < k.snapshotAt+k.cfg.SnapshotEvery {
		return
	}
	snapshot, err := k.makeSnapshot()
	if err != nil {
		k.stop(fmt.Errorf("keeper: snapshot: %w", err))
		return
	}
	data, err := k.replacement(snapshot)
	if err != nil {
		k.stop(fmt.Errorf("keeper: snapshot: %w", err))
		return
	}
	k.Count.Snapshots++
	k.output.Replace, k.writing = data, true
}

// makeSnapshot creates a snapshot of the state and discards the entries before it, except for the
// last TrailingEntries.
func (k *Core) makeSnapshot() (*pb.Snapshot, error) {
	data, err := k.state.Encode()
	if err != nil {
		return nil, err
	}
	index := k.state.Applied
	snapshot, err := k.storage.CreateSnapshot(index, k.voters, data)
	if err != nil {
		return nil, err
	}
	k.snapshotAt = index
	first, _ := k.storage.FirstIndex()
	if index > k.cfg.TrailingEntries && index-k.cfg.TrailingEntries > first {
		err = k.storage.Compact(index - k.cfg.TrailingEntries)
	}
	return snapshot, err
}

// replacement returns the record that replaces the log: the handshake, a snapshot, the entries
// after it and the hard state.
func (k *Core) replacement(snapshot *pb.Snapshot) ([]byte, error) {
	var r record
	k.handshake.addAll(&r)
	if err := r.addMessage(itemSnapshot, snapshot); err != nil {
		return nil, err
	}
	if err := k.addEntries(&r, snapshot.GetMetadata().GetIndex()+1); err != nil {
		return nil, err
	}
	hard, _, _ := k.storage.InitialState()
	if err := r.addMessage(itemHardState, hard); err != nil {
		return nil, err
	}
	return r.seal(), nil
}

// addEntries adds the entries from index from on to a record.
func (k *Core) addEntries(r *record, from uint64) error {
	last, _ := k.storage.LastIndex()
	if last < from {
		return nil
	}
	entries, err := k.storage.Entries(from, last+1, math.MaxUint64)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := r.addMessage(itemEntry, e); err != nil {
			return err
		}
	}
	return nil
}
