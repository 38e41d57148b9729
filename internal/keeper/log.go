package keeper

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The log on disk is one file of records. A record is the unit of writing and syncing:
//
//	magic 4 bytes, length of the body 4, checksum of the body 4 (CRC-32C), body
//
// and a body is a list of items: kind 1 byte, length 4, protobuf. Integers are big-endian. Each
// record is synced before the next one is written, so only the last one can be torn. A torn record
// was never acknowledged and is truncated. An invalid record followed by a valid one is corruption:
// its contents can't be known, and the keeper must not continue.

const (
	recordMagic       = 0x6f737031
	recordHeaderBytes = 12
	itemHeaderBytes   = 5
	maxRecordBytes    = 8 << 20 // of the body
)

// The kinds of items in a record.
const (
	itemIdentity     = 'I' // identity of the disk, 8 bytes
	itemHardState    = 'H'
	itemEntry        = 'E'
	itemSnapshot     = 'S'
	itemParticipates = 'O' // the keeper has met all others and participates from here on; empty
	itemDisk         = 'P' // id of another keeper and identity of its disk, 8 bytes each
)

// Errors of reading a log.
var (
	// ErrDamaged is returned for a corrupt log.
	ErrDamaged = errors.New("keeper: log is damaged")
	// ErrEmpty is returned if there is no log or the log is empty.
	ErrEmpty = errors.New("keeper: no log")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record builds one record.
type record struct{ bytes []byte }

// addItem appends an item.
func (r *record) addItem(kind byte, data []byte) {
	if r.bytes == nil {
		r.bytes = make([]byte, recordHeaderBytes, 512)
	}
	r.bytes = append(r.bytes, kind)
	r.bytes = binary.BigEndian.AppendUint32(r.bytes, uint32(len(data)))
	r.bytes = append(r.bytes, data...)
}

// addMessage appends a protobuf message as an item.
func (r *record) addMessage(kind byte, m proto.Message) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("keeper: log: %w", err)
	}
	r.addItem(kind, data)
	return nil
}

// seal fills in the header and returns the encoded record, nil if it has no items.
func (r *record) seal() []byte {
	if r.bytes == nil {
		return nil
	}
	body := r.bytes[recordHeaderBytes:]
	binary.BigEndian.PutUint32(r.bytes, recordMagic)
	binary.BigEndian.PutUint32(r.bytes[4:], uint32(len(body)))
	binary.BigEndian.PutUint32(r.bytes[8:], crc32.Checksum(body, castagnoli))
	return r.bytes
}

// RestoredLog is the decoded contents of a log.
type RestoredLog struct {
	// Identity is the identity of the disk.
	Identity uint64
	// ValidBytes is the length of the valid records. What follows is torn and is to be truncated.
	ValidBytes int

	hard     *pb.HardState
	snapshot *pb.Snapshot
	entries  []*pb.Entry       // entries after the snapshot
	disks    map[uint64]uint64 // disk identity by keeper id, see handshake
	// participates: the log records that the keeper has met all others, so that it votes and
	// acknowledges entries at once; see Core.Participates.
	participates bool
}

// InitialRecord returns the first record of the log of a new disk. The identity must be above 0 and
// differ from the identity of every other disk that the same keeper ever had.
func InitialRecord(identity uint64) []byte {
	var r record
	r.addItem(itemIdentity, binary.BigEndian.AppendUint64(nil, identity))
	return r.seal()
}

// Restore decodes a log. A torn last record is left out. It returns ErrEmpty for 0 bytes and
// ErrDamaged for a corrupt log.
func Restore(data []byte) (*RestoredLog, error) {
	out := &RestoredLog{hard: &pb.HardState{}}
	if len(data) == 0 {
		return nil, ErrEmpty
	}
	for at := 0; at < len(data); {
		body := recordBody(data[at:])
		if body == nil {
			if next := findRecord(data[at+1:]); next >= 0 {
				return nil, fmt.Errorf("%w: no valid record at byte %d, but one follows at byte %d", ErrDamaged, at, at+1+next)
			}
			break
		}
		if err := out.addBody(body); err != nil {
			return nil, fmt.Errorf("%w: record at byte %d: %w", ErrDamaged, at, err)
		}
		at += recordHeaderBytes + len(body)
		out.ValidBytes = at
	}
	if out.ValidBytes == 0 {
		return nil, fmt.Errorf("%w: no complete record", ErrDamaged)
	}
	if out.Identity == 0 {
		return nil, fmt.Errorf("%w: the disk's identity is missing", ErrDamaged)
	}
	return out, nil
}

// recordBody returns the body of the valid record that data begins with, nil if there is none.
func recordBody(data []byte) []byte {
	if len(data) < recordHeaderBytes || binary.BigEndian.Uint32(data) != recordMagic {
		return nil
	}
	n := binary.BigEndian.Uint32(data[4:])
	if n > maxRecordBytes || int(n) > len(data)-recordHeaderBytes {
		return nil
	}
	body := data[recordHeaderBytes : recordHeaderBytes+int(n)]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil
	}
	return body
}

// findRecord returns the offset of the first valid record, -1 if there is none.
func findRecord(data []byte) int {
	for i := 0; i+recordHeaderBytes <= len(data); i++ {
		if data[i] == recordMagic>>24 && recordBody(data[i:]) != nil {
			return i
		}
	}
	return -1
}

// addBody adds the items of a record.
func (o *RestoredLog) addBody(body []byte) error {
	for len(body) > 0 {
		if len(body) < itemHeaderBytes {
			return errors.New("truncated item header")
		}
		kind, length := body[0], int(binary.BigEndian.Uint32(body[1:]))
		body = body[itemHeaderBytes:]
		if length > len(body) {
			return errors.New("item exceeds its record")
		}
		data := body[:length]
		body = body[length:]
		if err := o.addItem(kind, data); err != nil {
			return err
		}
	}
	return nil
}

// addItem adds one item of a record.
func (o *RestoredLog) addItem(kind byte, data []byte) error {
	switch kind {
	case itemIdentity:
		if len(data) != 8 {
			return fmt.Errorf("disk identity of %d bytes, want 8", len(data))
		}
		o.Identity = binary.BigEndian.Uint64(data)
	case itemParticipates:
		o.participates = true
	case itemDisk:
		if len(data) != 16 {
			return fmt.Errorf("keeper id and disk identity of %d bytes, want 16", len(data))
		}
		if o.disks == nil {
			o.disks = make(map[uint64]uint64)
		}
		o.disks[binary.BigEndian.Uint64(data)] = binary.BigEndian.Uint64(data[8:])
	case itemHardState:
		o.hard = &pb.HardState{}
		return proto.Unmarshal(data, o.hard)
	case itemSnapshot:
		o.snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(data, o.snapshot); err != nil {
			return err
		}
		o.entries = nil
	case itemEntry:
		return o.addEntry(data)
	default:
		return fmt.Errorf("item of unknown kind %q", kind)
	}
	return nil
}

// addEntry adds a log entry. It replaces any entries from its index on, since a later leader may
// have overwritten them.
func (o *RestoredLog) addEntry(data []byte) error {
	e := &pb.Entry{}
	if err := proto.Unmarshal(data, e); err != nil {
		return err
	}
	// A new log begins after index 1, see storage.
	first := max(o.snapshot.GetMetadata().GetIndex(), 1) + 1
	if len(o.entries) > 0 {
		first = o.entries[0].GetIndex()
	}
	at := int(e.GetIndex()) - int(first)
	if at < 0 || at > len(o.entries) {
		return fmt.Errorf("entry %d does not follow entry %d", e.GetIndex(), int(first)+len(o.entries)-1)
	}
	o.entries = append(o.entries[:at], e)
	return nil
}

// storage returns the storage of the Raft library with the contents of the log. voters are the
// voters of a new fleet, which apply if the log has no snapshot.
func (o *RestoredLog) storage(voters []uint64) (*raft.MemoryStorage, error) {
	mem := raft.NewMemoryStorage()
	snap := o.snapshot
	if snap == nil {
		// All keepers of a new fleet start with the same voters, at index 1.
		snap = &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
			Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: voters},
		}}
	}
	if err := mem.ApplySnapshot(snap); err != nil {
		return nil, fmt.Errorf("keeper: snapshot: %w", err)
	}
	if err := mem.Append(o.entries); err != nil {
		return nil, fmt.Errorf("keeper: entries: %w", err)
	}
	hard := o.hard
	if hard.GetCommit() < snap.GetMetadata().GetIndex() {
		hard = proto.Clone(hard).(*pb.HardState)
		hard.Commit = proto.Uint64(snap.GetMetadata().GetIndex())
		hard.Term = proto.Uint64(max(hard.GetTerm(), snap.GetMetadata().GetTerm()))
	}
	return mem, mem.SetHardState(hard)
}
