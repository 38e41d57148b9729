package keeper

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// handshake knows under which disk each keeper speaks. A keeper takes part, by vote or by acknowledgement, only once it has met
// each of the others and has that on disk. So every keeper that takes part knows the disk of every other one, and whoever comes
// back with another disk under an old number finds nobody who would greet it: it can't vote as if it had promised nothing. (First
// contact alone is not enough: two followers may never have spoken to each other.) A new fleet needs all its keepers up once for
// that.
type handshake struct {
	identity uint64            // of the disk here
	disks    map[uint64]uint64 // identities by keeper, as they were first met
	unsaved  []uint64          // keepers in disks that are not on disk yet
	done     bool              // it has met all others once, and that is on disk
	saving   bool              // done is being written
	replies  []uint64          // keepers whose hellos are to be answered once their disks are on disk
	nextAt   time.Time         // the next hellos go out then
}

func newHandshake(now time.Time, log *RestoredLog) handshake {
	h := handshake{identity: log.Identity, disks: log.disks, done: log.participates, nextAt: now}
	if h.disks == nil {
		h.disks = make(map[uint64]uint64)
	}
	return h
}

// meet notes the disk of a keeper that is met for the first time; it is false for another disk than the one that was met before.
func (h *handshake) checkDisk(id, disk uint64) bool {
	known := h.disks[id]
	if known == 0 {
		h.disks[id] = disk
		h.unsaved = append(h.unsaved, id)
		return true
	}
	return known == disk
}

// needsSaving tells whether something is known that no record holds yet.
func (h *handshake) needsSaving() bool { return len(h.unsaved) > 0 || h.saving }

// saved takes the end of a write; it is true if this keeper takes part from now on.
func (h *handshake) saved() bool {
	if !h.saving {
		return false
	}
	h.done, h.saving = true, false
	return true
}

// addUnsaved adds to a record what no other one holds yet.
func (h *handshake) addUnsaved(r *record) {
	for _, id := range h.unsaved {
		h.addDisk(r, id)
	}
	h.unsaved = h.unsaved[:0]
	if h.saving {
		r.addItem(itemParticipates, nil)
	}
}

// addAll adds all that is known to a record that replaces the log of a keeper that takes part.
func (h *handshake) addAll(r *record) {
	r.addItem(itemIdentity, binary.BigEndian.AppendUint64(nil, h.identity))
	for _, id := range slices.Sorted(maps.Keys(h.disks)) {
		h.addDisk(r, id)
	}
	r.addItem(itemParticipates, nil) // who has entries takes part
}

func (h *handshake) addDisk(r *record, id uint64) {
	data := binary.BigEndian.AppendUint64(nil, id)
	r.addItem(itemDisk, binary.BigEndian.AppendUint64(data, h.disks[id]))
}

// sendHellos says hello to those that were not met yet.
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

// HandleHello takes another keeper's hello. One whose disk is not the one that was met before is not answered.
func (k *Core) HandleHello(now time.Time, from, disk uint64, answer bool) {
	if k.stopped != nil || from == 0 || from == k.cfg.ID || disk == 0 {
		return
	}
	if !k.handshake.checkDisk(from, disk) {
		k.Count.Refused++
		return
	}
	if !answer {
		k.handshake.replies = append(k.handshake.replies, from)
	}
	if !k.handshake.done {
		k.handshake.nextAt = now // perhaps that was the last one
	}
	k.processReady(now)
}

// answerHellos answers the hellos of keepers whose disks are on disk here.
func (k *Core) answerHellos() {
	for _, id := range k.handshake.replies {
		k.output.Hellos = append(k.output.Hellos, Hello{To: id, IsReply: true})
	}
	k.handshake.replies = k.handshake.replies[:0]
}
