package changes

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxKey and MaxValue are the maximum sizes of a key and a value, in bytes. Any entry within them
// fits a datagram.
const (
	MaxKey   = 128
	MaxValue = 640
)

// ErrInvalidEntry reports a key or value that is out of bounds.
var ErrInvalidEntry = errors.New("changes: key or value out of bounds")

// Entry is a key and its value.
type Entry struct {
	Key   string
	Value string
}

func (e Entry) check() error {
	if e.Key == "" || len(e.Key) > MaxKey || len(e.Value) > MaxValue {
		return fmt.Errorf("%w: key of %d bytes (allowed: 1 to %d), value of %d bytes (maximum: %d)", ErrInvalidEntry, len(e.Key), MaxKey, len(e.Value), MaxValue)
	}
	return nil
}

// hash returns the entry's contribution to a digest.
func (e Entry) hash() uint64 {
	var d xxhash.Digest
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(e.Key)))
	d.Reset()
	d.Write(length[:])
	d.WriteString(e.Key)
	d.WriteString(e.Value)
	return d.Sum64()
}

// keyHash returns the hash of a key, by which snapshots are ordered.
func keyHash(key string) uint64 { return xxhash.Sum64String(key) }

// buckets is the number of equal parts that key hashes are divided into. Two states are compared by
// the digests of these parts. bucketShift is the number of bits of a key hash below the
// index of its part.
const (
	buckets     = 256
	bucketShift = 56
)

func bucketOf(hash uint64) int { return int(hash >> bucketShift) }

// State is a set of keyed entries with digests that each change updates in constant time. A digest
// is the sum of the hashes of its entries, so it does not depend on the order of the changes.
type State struct {
	entries       map[string]string
	byHash        []hashedKey // sorted by key hash, for snapshots and audits; nil until first used
	digest        uint64
	bucketDigests [buckets]uint64
	bytes         int
}

type hashedKey struct {
	hash uint64
	key  string
}

func (k hashedKey) compare(other hashedKey) int {
	return cmp.Or(cmp.Compare(k.hash, other.hash), cmp.Compare(k.key, other.key))
}

// NewState returns an empty state.
func NewState() *State { return &State{entries: make(map[string]string)} }

// Len returns the number of entries.
func (s *State) Len() int { return len(s.entries) }

// Bytes returns the total length of all keys and values.
func (s *State) Bytes() int { return s.bytes }

// Digest returns the digest of all entries.
func (s *State) Digest() uint64 { return s.digest }

// Get returns the value of a key.
func (s *State) Get(key string) (value string, ok bool) {
	value, ok = s.entries[key]
	return value, ok
}

// Entries returns all entries in the order of their keys.
func (s *State) Entries() []Entry {
	all := make([]Entry, 0, len(s.entries))
	for key, value := range s.entries { // sorted below
		all = append(all, Entry{key, value})
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

func (s *State) updateDigests(e Entry, sign int) {
	hash := e.hash()
	if sign < 0 {
		hash = -hash
	}
	s.digest += hash
	s.bucketDigests[bucketOf(keyHash(e.Key))] += hash
	s.bytes += sign * (len(e.Key) + len(e.Value))
}

func (s *State) put(e Entry) {
	old, had := s.entries[e.Key]
	if had {
		s.updateDigests(Entry{e.Key, old}, -1)
	} else if s.byHash != nil {
		added := hashedKey{keyHash(e.Key), e.Key}
		at, _ := slices.BinarySearchFunc(s.byHash, added, hashedKey.compare)
		s.byHash = slices.Insert(s.byHash, at, added)
	}
	s.entries[e.Key] = e.Value
	s.updateDigests(e, 1)
}

func (s *State) remove(key string) {
	if old, had := s.entries[key]; had {
		s.updateDigests(Entry{key, old}, -1)
		delete(s.entries, key)
		if s.byHash != nil {
			at, _ := slices.BinarySearchFunc(s.byHash, hashedKey{keyHash(key), key}, hashedKey.compare)
			s.byHash = slices.Delete(s.byHash, at, at+1)
		}
	}
}

// apply makes a change and returns the change that reverts it.
func (s *State) apply(c Change) (undo Change) {
	old, had := s.entries[c.Key]
	undo = Change{Key: c.Key, Value: old, Delete: !had}
	if c.Delete {
		s.remove(c.Key)
	} else {
		s.put(Entry{c.Key, c.Value})
	}
	return undo
}

func (s *State) clone() *State {
	c := NewState()
	for key, value := range s.entries { // in any order: digests are sums
		c.put(Entry{key, value})
	}
	return c
}

func (s *State) sortedByHash() []hashedKey {
	if s.byHash == nil && len(s.entries) > 0 {
		for key := range s.entries { // sorted below
			s.byHash = append(s.byHash, hashedKey{keyHash(key), key})
		}
		slices.SortFunc(s.byHash, hashedKey.compare)
	}
	return s.byHash
}

// entriesBetween returns the entries with key hashes from start to end, both included, as many as
// fit limit encoded bytes. next is the key hash of the first entry left out; done reports that none
// was left out.
func (s *State) entriesBetween(start, end uint64, limit int) (entries []Entry, next uint64, done bool) {
	order := s.sortedByHash()
	at, _ := slices.BinarySearchFunc(order, start, func(k hashedKey, start uint64) int { return cmp.Compare(k.hash, start) })
	size := 0
	for ; at < len(order) && order[at].hash <= end; at++ {
		e := Entry{order[at].key, s.entries[order[at].key]}
		size += entrySize(e)
		if size > limit && len(entries) > 0 && order[at].hash != order[at-1].hash {
			return entries, order[at].hash, false
		}
		entries = append(entries, e)
	}
	return entries, 0, true
}

// removeRange removes the entries with key hashes from start to end, both included.
func (s *State) removeRange(start, end uint64) {
	order := s.sortedByHash()
	at, _ := slices.BinarySearchFunc(order, start, func(k hashedKey, start uint64) int { return cmp.Compare(k.hash, start) })
	var keys []string
	for ; at < len(order) && order[at].hash <= end; at++ {
		keys = append(keys, order[at].key)
	}
	for _, key := range keys {
		s.remove(key)
	}
}

// isBucketIntact recomputes the digest of a bucket and reports whether it equals the one maintained
// by the changes. A difference means that memory was corrupted.
func (s *State) isBucketIntact(bucket int) bool {
	start := uint64(bucket) << bucketShift
	order := s.sortedByHash()
	at, _ := slices.BinarySearchFunc(order, start, func(k hashedKey, start uint64) int { return cmp.Compare(k.hash, start) })
	var sum uint64
	for ; at < len(order) && bucketOf(order[at].hash) == bucket; at++ {
		sum += Entry{order[at].key, s.entries[order[at].key]}.hash()
	}
	return sum == s.bucketDigests[bucket]
}

// CorruptValue overwrites a value without updating the digest, as a memory fault would. It is for
// tests.
func (s *State) CorruptValue(key, value string) {
	if _, ok := s.entries[key]; ok {
		s.entries[key] = value
	}
}
