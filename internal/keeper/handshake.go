package keeper

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// handshake records the identity of each keeper's disk. A keeper participates, that is votes and
// acknowledges entries, only once it has met each other keeper and has recorded that on disk. So
// every participating keeper knows the disk of every other one, and a keeper that returns under its
// old id with another disk gets no reply to its hellos: it can't vote as if it had never
// acknowledged anything. Recording disks at the first contact alone would not be enough, since two
// followers may never have exchanged a message. A new fleet therefore needs all its keepers up once
// before any of them participates.
type handshake struct {
	identity uint64            // of this keeper's disk
	disks    map[uint64]uint64 // disk identity by keeper id, as first met
	unsaved  []uint64          // ids of the keepers in disks that are not on disk yet
	done     bool              // all other keepers have been met, and that is on disk
	saving   bool              // the record that sets done is being written
	replies  []uint64          // keepers whose hellos are answered once their disks are on disk
	nextAt   time.Time         // when the next hellos are sent
}

func newHandshake(now time.Time, log *RestoredLog) handshake {
	h := handshake{identity: log.Identity, disks: log.disks, done: log.participates, nextAt: now}
	if h.disks == nil {
		h.disks = make(map[uint64]uint64)
	}
	return h
}

// checkDisk records the disk of a keeper that is met for the first time. It returns false if the
// keeper was met with another disk before.
func (h *handshake) checkDisk(id, disk uint64) bool {
	known := h.disks[id]
	if known == 0 {
		h.disks[id] = disk
		h.unsaved = append(h.unsaved, id)
		return true
	}
	return known == disk
}

// needsSaving reports whether the handshake holds anything that no record holds yet.
func (h *handshake) needsSaving() bool { return len(h.unsaved) > 0 || h.saving }

// markSaved handles the completion of a write. It returns true if the keeper participates from now
// on.
func (h *handshake) markSaved() bool {
	if !h.saving {
		return false
	}
	h.done, h.saving = true, false
	return true
}

// addUnsaved adds to a record whatever no earlier record holds.
func (h *handshake) addUnsaved(r *record) {
	for _, id := range h.unsaved {
		h.addDisk(r, id)
	}
	h.unsaved = h.unsaved[:0]
	if h.saving {
		r.addItem(itemParticipates, nil)
	}
}

// addAll adds the whole handshake to a record that replaces the log of a participating keeper.
func (h *handshake) addAll(r *record) {
	r.addItem(itemIdentity, binary.BigEndian.AppendUint64(nil, h.identity))
	for _, id := range slices.Sorted(maps.Keys(h.disks)) {
		h.addDisk(r, id)
	}
	r.addItem(itemParticipates, nil) // only a participating keeper has entries to compact
}

func (h *handshake) addDisk(r *record, id uint64) {
	data := binary.BigEndian.AppendUint64(nil, id)
	r.addItem(itemDisk, binary.BigEndian.AppendUint64(data, h.disks[id]))
}

// sendHellos sends a hello to each keeper not met yet. If there is none, it has the completed
// handshake recorded.
func (k *Core) sendHellos(now time.Time) {
	k.handshake.nextAt = now.Add(k.cfg.ElectionTimeout / 2)
	missing := false
	for _, id := range k.cfg.Voters {
		if id != k.cfg.ID && k.handshake.disks[id] == 0 {
			missing = true
			k.output.Hellos = append(k.output.Hellos, Hello{To: id})
		}
	}
	if !missing {
		k.handshake.saving = true
		k.processReady(now)
	}
}

// HandleHello handles the hello of another keeper, or its reply to one. A keeper with another disk
// than the one first met gets no reply.
func (k *Core) HandleHello(now time.Time, from, disk uint64, isReply bool) {
	if k.stopped != nil || from == 0 || from == k.cfg.ID || disk == 0 {
		return
	}
	if !k.handshake.checkDisk(from, disk) {
		k.Count.Refused++
		return
	}
	if !isReply {
		k.handshake.replies = append(k.handshake.replies, from)
	}
	if !k.handshake.done {
		k.handshake.nextAt = now // this may have been the last keeper to meet
	}
	k.processReady(now)
}

// answerHellos replies to the hellos of keepers whose disk identities are recorded on disk.
func (k *Core) answerHellos() {
	for _, id := range k.handshake.replies {
		k.output.Hellos = append(k.output.Hellos, Hello{To: id, IsReply: true})
	}
	k.handshake.replies = k.handshake.replies[:0]
}
