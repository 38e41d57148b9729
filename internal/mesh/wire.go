package mesh

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"ospreyspan/internal/keeper"
	"ospreyspan/internal/owner"
	"ospreyspan/internal/peers"
)

// MaxDatagram is the longest datagram, in bytes: it passes any usual link whole.
const MaxDatagram = 1200

// wireVersion is the version of the format; datagrams of other versions are dropped.
const wireVersion = 1

// checksumBytes is the length of the checksum that a datagram begins with.
const checksumBytes = 4

// envelope is a datagram behind its checksum: CRC-32C of all that follows, 4 bytes. Exactly one of the parts from Peers on
// is set. Field 3 is kept for keys: these networks are trusted for now.
type envelope struct {
	Version       uint8                 `cbor:"1,keyasint"`
	Cluster       string                `cbor:"2,keyasint"`
	Peers         *peers.Packet         `cbor:"4,keyasint,omitempty"`
	Raft          *raftFragment         `cbor:"5,keyasint,omitempty"`
	Request       *owner.LeaseRequest   `cbor:"6,keyasint,omitempty"`
	Reply         *keeperReply          `cbor:"7,keyasint,omitempty"`
	FloorsRequest *keeper.FloorsRequest `cbor:"8,keyasint,omitempty"`
	Floors        *floorsFragment       `cbor:"9,keyasint,omitempty"`
	Announcement  *announcementFragment `cbor:"10,keyasint,omitempty"`
	Pull          *pullRequest          `cbor:"11,keyasint,omitempty"`
	PullResponse  *pullResponse         `cbor:"12,keyasint,omitempty"`
	View          *viewFragment         `cbor:"13,keyasint,omitempty"`
	Change        *voterChange          `cbor:"14,keyasint,omitempty"`
	Direct        *OwnerMessage         `cbor:"15,keyasint,omitempty"`
	Shared        *SharedMessage        `cbor:"16,keyasint,omitempty"`
}

// raftFragment is a Raft message between keepers, or a part of a long one; with Hello it is a handshake and carries no message.
type raftFragment struct {
	Disk  uint64 `cbor:"1,keyasint"` // identity of the sender's
	ID    uint64 `cbor:"2,keyasint"` // of the message, by sender
	Index int    `cbor:"3,keyasint"` // of the fragment, from 0
	Count int    `cbor:"4,keyasint"` // of the message's fragments
	Data  []byte `cbor:"5,keyasint"`
	From  uint64 `cbor:"6,keyasint"`           // id of the sender
	Hello uint8  `cbor:"8,keyasint,omitempty"` // helloRequest or helloAnswer; 0: a message
	To    uint64 `cbor:"7,keyasint"`           // identity of the disk that it is meant for, 0 if the sender has not met it yet
}

// keeperReply answers a lease request, or tells that another keeper must be asked.
type keeperReply struct {
	Response  *owner.LeaseResponse `cbor:"1,keyasint,omitempty"`
	Leader    uint64               `cbor:"2,keyasint,omitempty"` // with NotLeader: who leads, 0 if that is not known
	NotLeader bool                 `cbor:"3,keyasint,omitempty"`
	Keeper    uint64               `cbor:"4,keyasint,omitempty"` // id of the sender
}

// floorsFragment is a part of the answer to a floors request.
type floorsFragment struct {
	Session uint64            `cbor:"1,keyasint"` // of the request
	Seq     uint64            `cbor:"2,keyasint"` // of the request
	Index   int               `cbor:"3,keyasint"`
	Count   int               `cbor:"4,keyasint"`
	Tokens  map[string]uint64 `cbor:"5,keyasint"` // latest token by lease
}

// AnnouncementID identifies an announcement. Of the same lease, one of a later owner, with a higher token, is newer than all of a
// former owner's, and of one owner's announcements the one with the higher version.
type AnnouncementID struct {
	Lease   string `cbor:"1,keyasint"` // name
	Token   uint64 `cbor:"2,keyasint"` // fencing token of the owner's grant
	Version uint64 `cbor:"3,keyasint"` // of the owner's announcements, from 1
}

// newerThan compares two announcements of the same lease.
func (id AnnouncementID) newerThan(other AnnouncementID) bool {
	return id.Token > other.Token || id.Token == other.Token && id.Version > other.Version
}

// announcementFragment is a part of an announcement.
type announcementFragment struct {
	ID    AnnouncementID `cbor:"1,keyasint"`
	Index int            `cbor:"2,keyasint"`
	Count int            `cbor:"3,keyasint"`
	Data  []byte         `cbor:"4,keyasint"`
	From  uint64         `cbor:"5,keyasint"` // session of the owner
}

// pullRequest asks for announcements that are newer than the known ones, and how old those are.
type pullRequest struct {
	Seq   uint64           `cbor:"1,keyasint"`
	Known []AnnouncementID `cbor:"2,keyasint"`
}

// pullResponse answers a pull request with the age of each announcement at the sender. Newer announcements are sent apart.
type pullResponse struct {
	Seq  uint64            `cbor:"1,keyasint"`
	Ages []announcementAge `cbor:"2,keyasint"`
	Want []string          `cbor:"3,keyasint,omitempty"`
}

// announcementAge is how long ago the owner confirmed an announcement at the latest.
type announcementAge struct {
	ID AnnouncementID `cbor:"1,keyasint"`
	MS int64          `cbor:"2,keyasint"`
}

// voterChange asks the leading keeper to add or remove a voter; with Answer it is the answer.
type voterChange struct {
	Add    bool   `cbor:"1,keyasint"`
	ID     uint64 `cbor:"2,keyasint"`
	Answer string `cbor:"3,keyasint,omitempty"`
}

// viewFragment asks for a process's view, or is a part of it.
type viewFragment struct {
	Ask     bool           `cbor:"1,keyasint,omitempty"`
	Seq     uint64         `cbor:"2,keyasint"`
	Index   int            `cbor:"3,keyasint"`
	Count   int            `cbor:"4,keyasint"`
	Members []peers.Member `cbor:"5,keyasint,omitempty"`
	Leases  []LeaseView    `cbor:"6,keyasint,omitempty"`
	Keeper  *KeeperView    `cbor:"7,keyasint,omitempty"`
	Counts  []CounterValue `cbor:"8,keyasint,omitempty"`
	Shared  []SharedView   `cbor:"9,keyasint,omitempty"`
}

var (
	errForeign   = errors.New("of another cluster or version")
	errDamaged   = errors.New("damaged")
	errLong      = errors.New("longer than a datagram")
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	decodeLimits = mustDecoder()
)

// mustDecoder bounds what a datagram may claim: nothing in it sizes an allocation beyond what it brings.
func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1024, MaxMapPairs: 1024, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// encode writes a datagram. It returns errLong for one that is longer than MaxDatagram.
func encode(e *envelope) ([]byte, error) {
	e.Version = wireVersion
	text, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	length := checksumBytes + len(text)
	if length > MaxDatagram {
		return nil, fmt.Errorf("mesh: %w: %d bytes", errLong, length)
	}
	datagram := binary.BigEndian.AppendUint32(make([]byte, 0, length), crc32.Checksum(text, castagnoli))
	return append(datagram, text...), nil
}

// decode reads a datagram. It returns errDamaged for one that can't be read, errForeign for one that is not for this cluster.
func decode(b []byte, cluster string) (*envelope, error) {
	if len(b) <= checksumBytes || crc32.Checksum(b[checksumBytes:], castagnoli) != binary.BigEndian.Uint32(b) {
		return nil, errDamaged
	}
	var e envelope
	if err := decodeLimits.Unmarshal(b[checksumBytes:], &e); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if e.Version != wireVersion || e.Cluster != cluster {
		return nil, errForeign
	}
	return &e, nil
}
