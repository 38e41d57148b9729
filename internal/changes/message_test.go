package changes

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawMessage(t *rapid.T) *Message {
	number := rapid.Uint64Range(0, maxNumber)
	m := &Message{
		Kind: Kind(rapid.IntRange(int(KindPush), int(kindsEnd)-1).Draw(t, "kind")), Sequence: rapid.Uint64().Draw(t, "sequence"),
		Epoch: number.Draw(t, "epoch"), EpochBase: rapid.Uint64().Draw(t, "base"), Number: number.Draw(t, "number"), Digest: rapid.Uint64().Draw(t, "digest"),
	}
	switch m.Kind {
	case KindPush, KindPullResponse:
		m.HighestKnown = number.Draw(t, "known")
		if rapid.Bool().Draw(t, "batch") {
			m.Batch = &Batch{From: number.Draw(t, "from"), Before: rapid.Uint64().Draw(t, "before"), After: rapid.Uint64().Draw(t, "after")}
			m.Batch.Changes = rapid.SliceOfN(rapid.Custom(drawChange), 1, 9).Draw(t, "changes")
		}
	case KindPull:
		m.Flags = uint8(rapid.IntRange(0, flagsEnd-1).Draw(t, "flags"))
	case KindDigestsRequest:
		m.Page = rapid.Uint64().Draw(t, "page")
	case KindDigestsResponse:
		m.Digests = rapid.SliceOfN(rapid.Uint64(), 1, digestsPerPage).Draw(t, "digests")
	case KindEntriesRequest, KindEntriesResponse:
		m.Start, m.End = rapid.Uint64().Draw(t, "start"), rapid.Uint64().Draw(t, "end")
		if m.Kind == KindEntriesResponse {
			m.Entries = []Entry{{"key", "value"}}
		}
	}
	if m.Kind == KindPullResponse || m.Kind == KindDigestsResponse || m.Kind == KindEntriesResponse {
		m.Status = Status(rapid.IntRange(0, int(statusesEnd)-1).Draw(t, "status"))
	}
	return m
}

// Checks that each message decodes to what was encoded, and that a truncated one is refused.
func TestMessageEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		data := m.Encode()
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v decoded as %+v, error %v", m, got, err)
		}
		if _, err := Decode(data[:len(data)-1]); err == nil && m.Kind != KindDigestsResponse && m.Kind != KindEntriesResponse {
			t.Fatal("a truncated message was decoded without error")
		}
	})
}

// Checks that the longest messages stay within MaxMessage.
func TestMessagesFitDatagram(t *testing.T) {
	state, log := NewState(), Log{}
	for i := range 2000 {
		c := Change{Key: string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)), Value: string(make([]byte, i%MaxValue))}
		undo := state.apply(c)
		log.append(c, undo, state.Digest())
	}
	large := uint64(maxNumber)
	for number := range uint64(2000) {
		m := &Message{Kind: KindPullResponse, Sequence: 1<<64 - 1, Epoch: large, EpochBase: large, Number: large, HighestKnown: large, AgeMS: AgeUnknown, Batch: log.changesAfter(number, maxPayload)}
		if data := m.Encode(); len(data) > MaxMessage {
			t.Fatalf("encoded message has %d bytes, more than MaxMessage", len(data))
		}
	}
	if data := (&Message{Kind: KindDigestsResponse, Digests: make([]uint64, digestsPerPage)}).Encode(); len(data) > MaxMessage {
		t.Errorf("encoded message has %d bytes, more than MaxMessage", len(data))
	}
}

// Checks that Decode refuses arbitrary bytes only by returning an error, and that it returns no
// more changes or entries than the input has bytes.
func FuzzDecode(f *testing.F) {
	f.Add((&Message{Kind: KindPush, Batch: &Batch{Changes: []Change{{Key: "a", Value: "b"}, {Key: "c", Delete: true}}}}).Encode())
	f.Add((&Message{Kind: KindEntriesResponse, Entries: []Entry{{"a", "b"}}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		if m.Batch != nil && len(m.Batch.Changes) > len(data) || len(m.Entries) > len(data) {
			t.Error("decoded more changes or entries than the input has bytes")
		}
	})
}
