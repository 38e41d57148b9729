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

// Whichever changes led to a state, its digest is that of its entries, and each change can be taken back.
func TestDigestMatchesEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			before, digest := s.clone(), s.Digest()
			undo := s.apply(drawChange(t))
			if rapid.Bool().Draw(t, "back") {
				s.apply(undo)
				if s.Digest() != digest || !reflect.DeepEqual(s.entries, before.entries) {
					t.Fatal("a change that was taken back left something")
				}
			}
		}
		if fresh := s.clone(); fresh.digest != s.digest || fresh.bucketDigests != s.bucketDigests || fresh.bytes != s.bytes {
			t.Fatal("the digest is not that of the entries")
		}
		for bucket := range buckets {
			if !s.isBucketIntact(bucket) {
				t.Fatalf("bucket %d does not hold", bucket)
			}
		}
	})
}

// The pieces of a snapshot are all of the state, each within its limit.
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
			t.Fatalf("a piece of %d bytes", size)
		}
	}
	if copied.Digest() != s.Digest() {
		t.Error("the pieces are not the state")
	}
	s.removeRange(0, lastHash(buckets/2))
	if s.Len() == 0 || s.Len() == 500 {
		t.Errorf("%d entries are left", s.Len())
	}
}

// A log answers from any number that it reaches back to, and compacts within its bounds.
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
		t.Fatalf("%d changes up to %d", len(l.changes), l.Last())
	}
	if l.changesAfter(0, maxPayload) != nil || l.changesAfter(1000, maxPayload) != nil {
		t.Error("changes that there are not")
	}
	for number := l.baseNumber; number < l.Last(); number++ {
		b := l.changesAfter(number, 100)
		if b.From != number || b.Before != digests[number] || len(b.Changes) == 0 || b.To() < 1000 && b.After != digests[b.To()] {
			t.Fatalf("after %d: %+v", number, b)
		}
	}
}
