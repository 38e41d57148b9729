package keeper

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Synced reports the result of the write of the last Output. After a failed write the contents of
// the disk are unknown, and the keeper stops: its next record might follow a gap in the log.
func (k *Core) Synced(now time.Time, err error) {
	if k.stopped != nil {
		return
	}
	if err != nil {
		k.output = Output{}
		k.stop(fmt.Errorf("keeper: writing the log: %w", err))
		return
	}
	k.writing = false
	if k.handshake.markSaved() {
		k.resetElection(now)
	}
	if ready := k.unsavedReady; ready != nil {
		k.unsavedReady = nil
		k.finishReady(now, *ready)
	}
	k.processReady(now)
}

// processReady handles what the Raft library has ready, then saves the handshake and answers
// hellos, up to the next write.
func (k *Core) processReady(now time.Time) {
	for k.idle() && k.raft.HasReady() {
		k.handleReady(now)
	}
	if k.idle() && k.handshake.needsSaving() {
		k.saveHandshake()
	}
	if k.idle() {
		k.answerHellos()
	}
	k.updateLeadership(now)
}

// idle reports whether the keeper runs and no write is in progress.
func (k *Core) idle() bool { return !k.writing && k.stopped == nil }

// handleReady fetches a Ready from the library and has its record written. A Ready that needs no
// record is finished at once.
func (k *Core) handleReady(now time.Time) {
	ready := k.raft.Ready()
	data, err := k.encodeReady(ready)
	if err != nil {
		k.stop(err)
		return
	}
	k.output.Append = append(k.output.Append, data...)
	if data != nil && !k.cfg.Flaws.AckBeforeSync {
		k.writing, k.unsavedReady = true, &ready
		return
	}
	k.finishReady(now, ready)
}

// saveHandshake has the unsaved part of the handshake written.
func (k *Core) saveHandshake() {
	data, err := k.encodeReady(raft.Ready{})
	if err != nil {
		return
	}
	k.output.Append = append(k.output.Append, data...)
	k.writing = true
}

// encodeReady returns the record that must be on disk before a Ready is finished, nil if none is
// needed.
func (k *Core) encodeReady(ready raft.Ready) ([]byte, error) {
	var r record
	k.handshake.addUnsaved(&r)
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := r.addMessage(itemSnapshot, ready.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, e := range ready.Entries {
		if err := r.addMessage(itemEntry, e); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := r.addMessage(itemHardState, ready.HardState); err != nil {
			return nil, err
		}
	}
	return r.seal(), nil
}

// finishReady handles a Ready whose record is durable: it sends its messages and applies its
// committed entries.
func (k *Core) finishReady(now time.Time, ready raft.Ready) {
	if err := k.store(ready); err != nil {
		k.stop(fmt.Errorf("keeper: %w", err))
		return
	}
	for _, m := range ready.Messages {
		if m.GetType() == pb.MsgSnap {
			k.transfers.begin(now, m.GetTo())
		}
		k.output.Messages = append(k.output.Messages, m)
	}
	k.updateLeadership(now) // a leader starts its renewal timers before it applies the entries
	for _, e := range ready.CommittedEntries {
		if err := k.apply(now, e); err != nil {
			k.stop(fmt.Errorf("keeper: %w", err))
			return
		}
	}
	k.raft.Advance(ready)
	k.compact()
}

// store updates the storage of the library from a Ready whose record is durable.
func (k *Core) store(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := k.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		_ = k.storage.SetHardState(ready.HardState) // MemoryStorage never returns an error here
	}
	return k.storage.Append(ready.Entries)
}

// apply applies a committed entry.
func (k *Core) apply(now time.Time, e *pb.Entry) error {
	k.Count.Applied++
	switch e.GetType() {
	case pb.EntryConfChange:
		return k.applyChange(e)
	case pb.EntryNormal:
		return k.applyCommand(now, e)
	}
	return fmt.Errorf("entry %d has the unsupported type %v", e.GetIndex(), e.GetType())
}

// applyChange applies a change of the voters to the configuration.
func (k *Core) applyChange(e *pb.Entry) error {
	change := &pb.ConfChange{}
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return err
	}
	k.voters = k.raft.ApplyConfChange(change)
	k.state.Applied = e.GetIndex()
	return nil
}

// applyCommand applies a command and responds to its client if the request was made to this keeper.
// A new leader's first entry has no command.
func (k *Core) applyCommand(now time.Time, e *pb.Entry) error {
	if len(e.GetData()) == 0 {
		k.state.Applied = e.GetIndex()
		return nil
	}
	var c Command
	if err := cbor.Unmarshal(e.GetData(), &c); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	response := k.state.Apply(e.GetIndex(), &c)
	switch {
	case c.Request != nil:
		if to, pending := k.requests.take(c.key()); pending && response != nil {
			k.output.Responses = append(k.output.Responses, Response{To: to, Leases: response})
		}
		for _, claim := range c.Request.Claims {
			lease, _ := k.state.lease(claim.Lease)
			k.renewals.update(now, lease)
		}
	case c.Floors != nil:
		if to, pending := k.requests.take(c.key()); pending {
			k.output.Responses = append(k.output.Responses, Response{To: to, FloorsRequest: c.Floors, Floors: k.state.Floors()})
		}
	}
	return nil
}
