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

// The log on disk is one file of records. A record is what is written and synced at once:
//
//	magic 4 bytes, length of the body 4, checksum of the body 4 (CRC-32C), body
//
// and a body is a list of items: kind 1 byte, length 4, protobuf. As each record is synced before the next one is written,
// only the last one can be torn; it was acknowledged to nobody, and is cut off. A bad record with a good one behind it is
// damage, and nothing can tell what it held: the member must not go on.

const (
	recordMagic       = 0x6f737031
	recordHeaderBytes = 12
	itemHeaderBytes   = 5
	maxRecordBytes    = 8 << 20 // of a body
)

// The kinds of items in a record.
const (
	itemIdentity     = 'I' // of the disk, 8 bytes
	itemHardState    = 'H'
	itemEntry        = 'E'
	itemSnapshot     = 'S'
	itemParticipates = 'O' // the keeper has met all others once, and participates from then on; empty
	itemDisk         = 'P' // a keeper's id and its disk's identity, 8 bytes each
)

// Errors of reading a log.
var (
	// ErrDamaged means that a log can't be trusted.
	ErrDamaged = errors.New("keeper: the log is damaged")
	// ErrEmpty means that there is no log.
	ErrEmpty = errors.New("keeper: there is no log")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record builds one record.
type record struct{ bytes []byte }

// addItem adds an item of a kind.
func (r *record) addItem(kind byte, data []byte) {
	if r.bytes == nil {
		r.bytes = make([]byte, recordHeaderBytes, 512)
	}
	r.bytes = append(r.bytes, kind)
	r.bytes = binary.BigEndian.AppendUint32(r.bytes, uint32(len(data)))
	r.bytes = append(r.bytes, data...)
}

// addMessage adds an item that is a protobuf message.
func (r *record) addMessage(kind byte, m proto.Message) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("keeper: log: %w", err)
	}
	r.addItem(kind, data)
	return nil
}

// seal fills the header in and returns the record, nil if it has no items.
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

// RestoredLog is what a log holds.
type RestoredLog struct {
	// Identity is that of the disk.
	Identity uint64
	// ValidBytes is how many bytes are valid; what follows was torn and is to be cut off.
	ValidBytes int

	hard         *pb.HardState
	snapshot     *pb.Snapshot
	entries      []*pb.Entry       // behind the snapshot
	disks        map[uint64]uint64 // identities by keeper, see handshake
	participates bool
}

// InitialRecord returns the first record of a new disk's log. The identity, above 0, must differ from those of all other disks that the
// same keeper ever had.
func InitialRecord(identity uint64) []byte {
	var r record
	r.addItem(itemIdentity, binary.BigEndian.AppendUint64(nil, identity))
	return r.seal()
}

// Restore reads a log. A torn last record is left out. It returns ErrEmpty for no bytes, ErrDamaged for a log that can't be trusted.
func Restore(data []byte) (*RestoredLog, error) {
	out := &RestoredLog{hard: &pb.HardState{}}
	if len(data) == 0 {
		return nil, ErrEmpty
	}
	for at := 0; at < len(data); {
		body := recordBody(data[at:])
		if body == nil {
			if next := findRecord(data[at+1:]); next >= 0 {
				return nil, fmt.Errorf("%w: byte %d is no record, and byte %d begins a good one", ErrDamaged, at, at+1+next)
			}
			break
		}
		if err := out.addBody(body); err != nil {
			return nil, fmt.Errorf("%w: byte %d: %w", ErrDamaged, at, err)
		}
		at += recordHeaderBytes + len(body)
		out.ValidBytes = at
	}
	if out.ValidBytes == 0 {
		return nil, fmt.Errorf("%w: no record is whole", ErrDamaged)
	}
	if out.Identity == 0 {
		return nil, fmt.Errorf("%w: it does not begin with the disk's identity", ErrDamaged)
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

// addBody takes the items of a record.
func (o *RestoredLog) addBody(body []byte) error {
	for len(body) > 0 {
		if len(body) < itemHeaderBytes {
			return errors.New("an item is cut off")
		}
		kind, length := body[0], int(binary.BigEndian.Uint32(body[1:]))
		body = body[itemHeaderBytes:]
		if length > len(body) {
			return errors.New("an item is longer than its record")
		}
		data := body[:length]
		body = body[length:]
		if err := o.addItem(kind, data); err != nil {
			return err
		}
	}
	return nil
}

// addItem takes one item.
func (o *RestoredLog) addItem(kind byte, data []byte) error {
	switch kind {
	case itemIdentity:
		if len(data) != 8 {
			return fmt.Errorf("an identity of %d bytes", len(data))
		}
		o.Identity = binary.BigEndian.Uint64(data)
	case itemParticipates:
		o.participates = true
	case itemDisk:
		if len(data) != 16 {
			return fmt.Errorf("a pair of %d bytes", len(data))
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
		return fmt.Errorf("an item of unknown kind %q", kind)
	}
	return nil
}

// addEntry takes an entry. A later leader may have replaced what followed its index.
func (o *RestoredLog) addEntry(data []byte) error {
	e := &pb.Entry{}
	if err := proto.Unmarshal(data, e); err != nil {
		return err
	}
	first := max(o.snapshot.GetMetadata().GetIndex(), 1) + 1 // a new log begins behind index 1, see storage
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

// storage returns the library's storage with what the log holds; voters are those of a new fleet.
func (o *RestoredLog) storage(voters []uint64) (*raft.MemoryStorage, error) {
	mem := raft.NewMemoryStorage()
	snap := o.snapshot
	if snap == nil {
		// All members of a new fleet begin with the same voters, at index 1.
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
