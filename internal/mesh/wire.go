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

// MaxDatagram is the maximum length of a datagram in bytes. Datagrams of this length pass usual
// links without IP fragmentation.
const MaxDatagram = 1200

// wireVersion is the version of the message format. Datagrams of other versions are dropped.
const wireVersion = 1

// checksumBytes is the length of the checksum at the start of a datagram.
const checksumBytes = 4

// envelope is the content of a datagram after its checksum, a 4-byte CRC-32C of everything that
// follows. Exactly one of the fields from Peers on is set. Key 3 is reserved for authentication
// keys: datagrams are not authenticated at present, since the networks are trusted.
type envelope struct {
	Version       uint8                 `cbor:"1,keyasint"`
	Cluster       string                `cbor:"2,keyasint"`
	Peers         *peers.Packet         `cbor:"4,keyasint,omitempty"`
	Raft          *raftFragment         `cbor:"5,keyasint,omitempty"`
	LeaseRequest  *owner.LeaseRequest   `cbor:"6,keyasint,omitempty"`
	KeeperReply   *keeperReply          `cbor:"7,keyasint,omitempty"`
	FloorsRequest *keeper.FloorsRequest `cbor:"8,keyasint,omitempty"`
	Floors        *floorsFragment       `cbor:"9,keyasint,omitempty"`
	Announcement  *announcementFragment `cbor:"10,keyasint,omitempty"`
	Pull          *pullRequest          `cbor:"11,keyasint,omitempty"`
	PullResponse  *pullResponse         `cbor:"12,keyasint,omitempty"`
	View          *viewFragment         `cbor:"13,keyasint,omitempty"`
	VoterChange   *voterChange          `cbor:"14,keyasint,omitempty"`
	OwnerMessage  *OwnerMessage         `cbor:"15,keyasint,omitempty"`
	SharedMessage *SharedMessage        `cbor:"16,keyasint,omitempty"`
}

// raftFragment is a Raft message between keepers, or a fragment of a long one. If Hello is set, it
// is a handshake and carries no message.
type raftFragment struct {
	Disk  uint64 `cbor:"1,keyasint"` // identity of the sender's disk
	ID    uint64 `cbor:"2,keyasint"` // of the message, unique per sender
	Index int    `cbor:"3,keyasint"` // index of the fragment, from 0
	Count int    `cbor:"4,keyasint"` // number of fragments of the message
	Data  []byte `cbor:"5,keyasint"`
	From  uint64 `cbor:"6,keyasint"`           // id of the sending keeper
	Hello uint8  `cbor:"8,keyasint,omitempty"` // helloRequest or helloResponse; 0: no handshake
	To    uint64 `cbor:"7,keyasint"`           // identity of the receiver's disk; 0: not known yet
}

// keeperReply is the response to a lease request, or a redirect to another keeper.
type keeperReply struct {
	Response  *owner.LeaseResponse `cbor:"1,keyasint,omitempty"`
	Leader    uint64               `cbor:"2,keyasint,omitempty"` // with NotLeader: the leader; 0: unknown
	NotLeader bool                 `cbor:"3,keyasint,omitempty"`
	Keeper    uint64               `cbor:"4,keyasint,omitempty"` // id of the sending keeper
}

// floorsFragment is a fragment of the response to a floors request.
type floorsFragment struct {
	Session uint64            `cbor:"1,keyasint"` // of the request
	Seq     uint64            `cbor:"2,keyasint"` // of the request
	Index   int               `cbor:"3,keyasint"` // index of the fragment, from 0
	Count   int               `cbor:"4,keyasint"` // number of fragments of the response
	Tokens  map[string]uint64 `cbor:"5,keyasint"` // latest token by lease
}

// AnnouncementID identifies an announcement. Of two announcements of a lease, the one with the
// higher fencing token, that is of the later owner, is newer. Of two announcements with the same
// token, the one with the higher version is newer.
type AnnouncementID struct {
	Lease   string `cbor:"1,keyasint"` // name of the lease
	Token   uint64 `cbor:"2,keyasint"` // fencing token of the owner's grant
	Version uint64 `cbor:"3,keyasint"` // number of the announcement under this token, from 1
}

// newerThan reports whether an announcement is newer than another one of the same lease.
func (id AnnouncementID) newerThan(other AnnouncementID) bool {
	return id.Token > other.Token || id.Token == other.Token && id.Version > other.Version
}

// announcementFragment is a fragment of an announcement.
type announcementFragment struct {
	ID    AnnouncementID `cbor:"1,keyasint"`
	Index int            `cbor:"2,keyasint"`
	Count int            `cbor:"3,keyasint"`
	Data  []byte         `cbor:"4,keyasint"`
	From  uint64         `cbor:"5,keyasint"` // session of the owner
}

// pullRequest asks for announcements that are newer than the known ones, and for the ages of the
// known ones.
type pullRequest struct {
	Seq   uint64           `cbor:"1,keyasint"`
	Known []AnnouncementID `cbor:"2,keyasint"`
}

// pullResponse is the response to a pull request, with the ages of the announcements at the
// responding member. Newer announcements are sent in separate datagrams. Want is not used.
type pullResponse struct {
	Seq  uint64            `cbor:"1,keyasint"`
	Ages []announcementAge `cbor:"2,keyasint"`
	Want []string          `cbor:"3,keyasint,omitempty"`
}

// announcementAge is the time in milliseconds since the owner last confirmed an announcement.
type announcementAge struct {
	ID    AnnouncementID `cbor:"1,keyasint"`
	AgeMS int64          `cbor:"2,keyasint"`
}

// voterChange asks the leading keeper to add or remove a voter. If Result is set, it is the
// response.
type voterChange struct {
	Add    bool   `cbor:"1,keyasint"`
	ID     uint64 `cbor:"2,keyasint"`
	Result string `cbor:"3,keyasint,omitempty"`
}

// viewFragment is a request for the view of a process, or a fragment of the response.
type viewFragment struct {
	IsRequest bool           `cbor:"1,keyasint,omitempty"`
	Seq       uint64         `cbor:"2,keyasint"`
	Index     int            `cbor:"3,keyasint"`
	Count     int            `cbor:"4,keyasint"`
	Members   []peers.Member `cbor:"5,keyasint,omitempty"`
	Leases    []LeaseView    `cbor:"6,keyasint,omitempty"`
	Keeper    *KeeperView    `cbor:"7,keyasint,omitempty"`
	Counters  []CounterValue `cbor:"8,keyasint,omitempty"`
	Shared    []SharedView   `cbor:"9,keyasint,omitempty"`
}

var (
	errForeign = errors.New("datagram of another cluster or version")
	errDamaged = errors.New("damaged datagram")
	errLong    = errors.New("message exceeds the maximum datagram length")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decMode    = mustDecMode()
)

// mustDecMode returns the CBOR decoding mode for datagrams. It limits the counts that a datagram
// may claim, so that none of them causes an allocation larger than the datagram's own content
// justifies.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1024, MaxMapPairs: 1024, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// encode encodes a message as a datagram. It returns an error that wraps errLong if the datagram
// would exceed MaxDatagram.
func encode(e *envelope) ([]byte, error) {
	e.Version = wireVersion
	payload, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("mesh: encode message: %w", err)
	}
	length := checksumBytes + len(payload)
	if length > MaxDatagram {
		return nil, fmt.Errorf("mesh: %w: %d bytes, maximum %d", errLong, length, MaxDatagram)
	}
	datagram := binary.BigEndian.AppendUint32(make([]byte, 0, length), crc32.Checksum(payload, castagnoli))
	return append(datagram, payload...), nil
}

// decode decodes a datagram. It returns an error that wraps errDamaged if the datagram is invalid,
// and errForeign if it is of another cluster or version.
func decode(b []byte, cluster string) (*envelope, error) {
	if len(b) <= checksumBytes || crc32.Checksum(b[checksumBytes:], castagnoli) != binary.BigEndian.Uint32(b) {
		return nil, errDamaged
	}
	var e envelope
	if err := decMode.Unmarshal(b[checksumBytes:], &e); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if e.Version != wireVersion || e.Cluster != cluster {
		return nil, errForeign
	}
	return &e, nil
}
