package changes

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxMessage is the longest encoded message, in bytes. With the envelope of whoever carries it it fits a datagram of 1,200 bytes.
const MaxMessage = 1100

// maxPayload is how many bytes of changes, entries or digests a message carries, next to its header.
const maxPayload = 1000

// Kind is what a message is for.
type Kind uint8

// The kindsEnd.
const (
	// KindPush passes changes on to whoever pulled lately. Without changes it tells the sender's position.
	KindPush Kind = 1 + iota
	// KindPull tells the sender's position and asks what is newer and how old the rest is.
	KindPull
	// KindPullResponse answers a Pull.
	KindPullResponse
	// KindDigestsRequest asks for the digests of a page of buckets; Digests answers it.
	KindDigestsRequest
	KindDigestsResponse
	// KindEntriesRequest asks for the entries from one place to another; Entries answers it.
	KindEntriesRequest
	KindEntriesResponse
	kindsEnd
)

// Status is how a question is answered.
type Status uint8

// The statusesEnd.
const (
	// StatusSame: the asker has all that the answerer has.
	StatusSame Status = 1 + iota
	// StatusNewer: the answer carries changes that the asker lacks.
	StatusNewer
	// StatusTooOld: the answerer's log does not reach back to the asker's position.
	StatusTooOld
	// StatusDiverged: the asker's state is not one that led to the answerer's.
	StatusDiverged
	// StatusBehind: the answerer knows less than the asker, or does not know yet whether its own state is of the present epoch.
	StatusBehind
	// StatusBusy: the answerer has no bytes or no place left for this.
	StatusBusy
	statusesEnd
)

// Flags of a Pull.
const (
	flagSubscribe = 1 << iota // the answerer is to push to the sender for a while
	flagRepair                // asks for missed changes
	flagReplay                // the sender's digest means nothing: it completes a snapshot
	flagsEnd
)

// digestsPerPage is how many digests of buckets a message carries.
const digestsPerPage = maxPayload / 8 / 64 * 64

// Message is what one process tells another. Which fields are set goes by the kind.
type Message struct {
	Kind         Kind
	Status       Status // of answers
	Flags        uint8  // of a Pull
	Sequence     uint64 // of a question, and of its answer
	Epoch        uint64 // of the sender's source; in a Pull that which its state belongs to
	EpochBase    uint64 // number at which that epoch began
	Number       uint64 // of the sender's latest change
	Digest       uint64 // of the sender's state
	HighestKnown uint64 // in Push and Answer: highest number that the sender heard of in this epoch
	AgeMS        uint64 // of an Answer: the state was the source's so many ms ago, at the most; AgeUnknown
	Batch        *Batch // of Push and Answer
	Page         uint64 // of AskDigests and Digests
	Digests      []uint64
	Start        uint64 // of AskEntries and Entries: first place
	End          uint64 // last place
	Entries      []Entry
}

// AgeUnknown says that nobody vouched for the state yet.
const AgeUnknown = 1<<62 - 1

// maxNumber bounds epochs and numbers, so that sums don't overflow.
const maxNumber = 1 << 62

// ErrMalformedMessage tells of a message that can't be read.
var ErrMalformedMessage = errors.New("changes: a message can't be read")

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

// Encode writes a message.
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

// reader reads the parts of a message. After the first error all that it returns is zero.
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

// string reads a string that is no longer than most.
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
	// The list grows by what is there: the count sizes nothing.
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

// Decode reads a message. No number in it sizes an allocation.
func Decode(data []byte) (*Message, error) {
	if len(data) > MaxMessage {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformedMessage, len(data))
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
		return nil, fmt.Errorf("%w: %d bytes of kind %d", ErrMalformedMessage, len(data), m.Kind)
	}
	return m, nil
}
