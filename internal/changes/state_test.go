package changes

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawChange(t *rapid.T) Change {
	c := Change{Key: fmt.Sprint("key-", rapid.IntRange(0, 30).Draw(t, "key")), Delete: rapid.IntRange(0, 4).Draw(t, "delete") == 0}
	if !c.Delete {
		c.Value = rapid.StringN(0, 20, 40).Draw(t, "value")
	}
	return c
}

// Checks that the digest depends on the entries alone, whichever changes led to them, and that each
// change can be reverted.
func TestDigestMatchesEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			before, digest := s.clone(), s.Digest()
			undo := s.apply(drawChange(t))
			if rapid.Bool().Draw(t, "back") {
				s.apply(undo)
				if s.Digest() != digest || !reflect.DeepEqual(s.entries, before.entries) {
					t.Fatal("the state differs after a change was made and reverted")
				}
			}
		}
		if fresh := s.clone(); fresh.digest != s.digest || fresh.bucketDigests != s.bucketDigests || fresh.bytes != s.bytes {
			t.Fatal("digest, bucket digests or size differ from those of the entries")
		}
		for bucket := range buckets {
			if !s.isBucketIntact(bucket) {
				t.Fatalf("digest of bucket %d does not match its entries", bucket)
			}
		}
	})
}

// Checks that the ranges of a snapshot together make up the whole state, each within its size
// limit.
func TestSnapshotRangesCoverState(t *testing.T) {
	s := NewState()
	for i := range 500 {
		s.put(Entry{fmt.Sprint("key-", i), fmt.Sprint("value-", i*i)})
	}
	copied := NewState()
	start, done := uint64(0), false
	for !done {
		var entries []Entry
		entries, start, done = s.entriesBetween(start, lastHash(buckets-1), 300)
		size := 0
		for _, e := range entries {
			copied.put(e)
			size += entrySize(e)
		}
		if size > 300 {
			t.Fatalf("range of %d bytes, want at most 300", size)
		}
	}
	if copied.Digest() != s.Digest() {
		t.Error("the ranges do not add up to the state")
	}
	s.removeRange(0, lastHash(buckets/2))
	if s.Len() == 0 || s.Len() == 500 {
		t.Errorf("%d entries are left, want more than 0 and fewer than 500", s.Len())
	}
}

// Checks that a log returns the changes after any number that it reaches back to, and that
// compaction keeps it within its bounds.
func TestLogChangesAfter(t *testing.T) {
	s, l := NewState(), Log{}
	var digests []uint64
	for i := range 1000 {
		digests = append(digests, s.Digest())
		c := Change{Key: fmt.Sprint("key-", i%7), Value: fmt.Sprint(i)}
		undo := s.apply(c)
		l.append(c, undo, s.Digest())
		l.compact(300, 1<<20)
	}
	if l.Last() != 1000 || len(l.changes) > 345 || len(l.changes) < 290 {
		t.Fatalf("log holds %d changes up to %d, want 290 to 345 up to 1000", len(l.changes), l.Last())
	}
	if l.changesAfter(0, maxPayload) != nil || l.changesAfter(1000, maxPayload) != nil {
		t.Error("got changes after a number outside the log")
	}
	for number := l.baseNumber; number < l.Last(); number++ {
		b := l.changesAfter(number, 100)
		if b.From != number || b.Before != digests[number] || len(b.Changes) == 0 || b.To() < 1000 && b.After != digests[b.To()] {
			t.Fatalf("changes after %d: %+v", number, b)
		}
	}
}
