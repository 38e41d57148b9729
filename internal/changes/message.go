package changes

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxMessage is the maximum size of an encoded message, in bytes. Together with the envelope of the
// transport it fits a datagram of 1,200 bytes.
const MaxMessage = 1100

// maxPayload is the maximum size of the changes, entries or digests in a message, in bytes, without
// the header.
const maxPayload = 1000

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	// KindPush passes changes on to members that pulled recently. Without changes it states the
	// sender's position only.
	KindPush Kind = 1 + iota
	// KindPull states the sender's position and asks for newer changes and the age of the state.
	KindPull
	// KindPullResponse is the response to KindPull.
	KindPullResponse
	// KindDigestsRequest asks for the digests of one page of buckets. KindDigestsResponse is the
	// response.
	KindDigestsRequest
	KindDigestsResponse
	// KindEntriesRequest asks for the entries in a range of key hashes. KindEntriesResponse is the
	// response.
	KindEntriesRequest
	KindEntriesResponse
	kindsEnd
)

// Status is the outcome of a request.
type Status uint8

// The response statuses.
const (
	// StatusSame means that the requester has all changes that the responder has.
	StatusSame Status = 1 + iota
	// StatusNewer means that the response carries changes that the requester lacks.
	StatusNewer
	// StatusTooOld means that the responder's log does not reach back to the requester's position.
	StatusTooOld
	// StatusDiverged means that the requester's state is not among the predecessors of the
	// responder's state.
	StatusDiverged
	// StatusBehind means that the responder is behind, not the requester: it has fewer changes than
	// the requester, does not know yet whether its own state belongs to the current epoch, or is
	// itself fetching a snapshot.
	StatusBehind
	// StatusBusy means that the responder has no bytes of its budget or no free slot left for the
	// request.
	StatusBusy
	statusesEnd
)

// Flags of a KindPull message.
const (
	flagSubscribe = 1 << iota // subscribes the sender to the responder's pushes for ChildLease
	flagRepair                // asks for missed changes
	flagReplay                // the sender's digest is to be ignored: it completes a snapshot
	flagsEnd
)

// digestsPerPage is the number of bucket digests in a message.
const digestsPerPage = maxPayload / 8 / 64 * 64

// Message is a message between two processes. The kind determines which fields are set.
type Message struct {
	Kind         Kind
	Status       Status // of responses
	Flags        uint8  // of KindPull
	Sequence     uint64 // of a request, repeated in its response
	Epoch        uint64 // of the sender's source; in KindPull of the sender's state
	EpochBase    uint64 // number at which that epoch began
	Number       uint64 // of the sender's latest change
	Digest       uint64 // of the sender's state
	HighestKnown uint64 // of KindPush and KindPullResponse: highest number known in this epoch
	AgeMS        uint64 // of KindPullResponse: maximum age of the state in ms, or AgeUnknown
	Batch        *Batch // of KindPush and KindPullResponse
	Page         uint64 // of KindDigestsRequest and KindDigestsResponse
	Digests      []uint64
	Start        uint64 // of KindEntriesRequest and KindEntriesResponse: first key hash
	End          uint64 // of KindEntriesRequest and KindEntriesResponse: last key hash, inclusive
	Entries      []Entry
}

// AgeUnknown is the value of AgeMS while the age of the state has not been confirmed.
const AgeUnknown = 1<<62 - 1

// maxNumber bounds epochs and change numbers, so that sums do not overflow.
const maxNumber = 1 << 62

// ErrMalformedMessage reports a message that cannot be decoded.
var ErrMalformedMessage = errors.New("changes: malformed message")

func stringSize(s string) int {
	size := 1
	if len(s) > 127 {
		size = 2
	}
	return size + len(s)
}

func entrySize(e Entry) int { return stringSize(e.Key) + stringSize(e.Value) }

func changeSize(c Change) int { return 1 + entrySize(Entry{c.Key, c.Value}) }

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendBatch(b []byte, batch *Batch) []byte {
	if batch == nil {
		return append(b, 0)
	}
	b = binary.AppendUvarint(b, uint64(len(batch.Changes)))
	b = binary.AppendUvarint(b, batch.From)
	b = binary.BigEndian.AppendUint64(b, batch.Before)
	b = binary.BigEndian.AppendUint64(b, batch.After)
	for _, c := range batch.Changes {
		if c.Delete {
			b = appendString(append(b, 1), c.Key)
			continue
		}
		b = appendString(appendString(append(b, 0), c.Key), c.Value)
	}
	return b
}

// Encode returns the encoded message.
func (m *Message) Encode() []byte {
	b := make([]byte, 0, 128)
	b = append(b, byte(m.Kind))
	b = binary.AppendUvarint(b, m.Sequence)
	b = binary.AppendUvarint(b, m.Epoch)
	b = binary.AppendUvarint(b, m.EpochBase)
	b = binary.AppendUvarint(b, m.Number)
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	switch m.Kind {
	case KindPush:
		b = appendBatch(binary.AppendUvarint(b, m.HighestKnown), m.Batch)
	case KindPull:
		b = append(b, m.Flags)
	case KindPullResponse:
		b = binary.AppendUvarint(append(b, byte(m.Status)), m.AgeMS)
		b = appendBatch(binary.AppendUvarint(b, m.HighestKnown), m.Batch)
	case KindDigestsRequest:
		b = binary.AppendUvarint(b, m.Page)
	case KindDigestsResponse:
		b = binary.AppendUvarint(append(b, byte(m.Status)), m.Page)
		for _, digest := range m.Digests {
			b = binary.BigEndian.AppendUint64(b, digest)
		}
	case KindEntriesRequest, KindEntriesResponse:
		b = append(b, byte(m.Status))
		b = binary.BigEndian.AppendUint64(b, m.Start)
		b = binary.BigEndian.AppendUint64(b, m.End)
		for _, e := range m.Entries {
			b = appendString(appendString(b, e.Key), e.Value)
		}
	}
	return b
}

// reader decodes the fields of a message. After the first error the message is refused, whatever
// the later fields return.
type reader struct {
	remaining []byte
	failed    bool
}

func (r *reader) byte() byte {
	if len(r.remaining) < 1 {
		r.failed = true
		return 0
	}
	b := r.remaining[0]
	r.remaining = r.remaining[1:]
	return b
}

func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.remaining)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.remaining = r.remaining[size:]
	return value
}

func (r *reader) uint64() uint64 {
	if len(r.remaining) < 8 {
		r.failed = true
		return 0
	}
	value := binary.BigEndian.Uint64(r.remaining)
	r.remaining = r.remaining[8:]
	return value
}

// string decodes a string of at most maxLength bytes.
func (r *reader) string(maxLength int) string {
	length := r.uvarint()
	if r.failed || length > uint64(maxLength) || length > uint64(len(r.remaining)) {
		r.failed = true
		return ""
	}
	s := string(r.remaining[:length])
	r.remaining = r.remaining[length:]
	return s
}

func (r *reader) batch() *Batch {
	count := r.uvarint()
	if r.failed || count == 0 {
		return nil
	}
	b := &Batch{From: r.uvarint(), Before: r.uint64(), After: r.uint64()}
	if b.From > maxNumber {
		r.failed = true
	}
	// The slice grows with the changes that are present. The count, which the sender controls,
	// sizes no allocation.
	for uint64(len(b.Changes)) < count && !r.failed {
		c := Change{Delete: r.byte() == 1, Key: r.string(MaxKey)}
		if !c.Delete {
			c.Value = r.string(MaxValue)
		}
		if c.Key == "" {
			r.failed = true
		}
		b.Changes = append(b.Changes, c)
	}
	return b
}

func (r *reader) status() Status {
	s := Status(r.byte())
	if s >= statusesEnd {
		r.failed = true
	}
	return s
}

// Decode decodes a message. No number in the message determines the size of an allocation.
func Decode(data []byte) (*Message, error) {
	if len(data) > MaxMessage {
		return nil, fmt.Errorf("%w: %d bytes, maximum is %d", ErrMalformedMessage, len(data), MaxMessage)
	}
	r := &reader{remaining: data}
	m := &Message{Kind: Kind(r.byte()), Sequence: r.uvarint(), Epoch: r.uvarint(), EpochBase: r.uvarint(), Number: r.uvarint(), Digest: r.uint64()}
	switch m.Kind {
	case KindPush:
		m.HighestKnown, m.Batch = r.uvarint(), r.batch()
	case KindPull:
		m.Flags = r.byte()
		r.failed = r.failed || m.Flags >= flagsEnd
	case KindPullResponse:
		m.Status, m.AgeMS = r.status(), r.uvarint()
		m.HighestKnown, m.Batch = r.uvarint(), r.batch()
	case KindDigestsRequest:
		m.Page = r.uvarint()
	case KindDigestsResponse:
		m.Status, m.Page = r.status(), r.uvarint()
		for len(r.remaining) > 0 && !r.failed {
			m.Digests = append(m.Digests, r.uint64())
		}
	case KindEntriesRequest, KindEntriesResponse:
		m.Status, m.Start, m.End = r.status(), r.uint64(), r.uint64()
		for len(r.remaining) > 0 && !r.failed {
			m.Entries = append(m.Entries, Entry{r.string(MaxKey), r.string(MaxValue)})
		}
	default:
		r.failed = true
	}
	if r.failed || len(r.remaining) > 0 || m.Number > maxNumber || m.HighestKnown > maxNumber || m.Epoch > maxNumber || m.AgeMS > AgeUnknown {
		return nil, fmt.Errorf("%w: %d bytes, kind %d", ErrMalformedMessage, len(data), m.Kind)
	}
	return m, nil
}
