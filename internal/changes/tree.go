package changes

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MemberID identifies a member. A restarted process is a new member.
type MemberID uint64

// Member is a process that takes part in the replication.
type Member struct {
	ID     MemberID
	Region string
	Zone   string // unique across all regions
}

// Tree defines the parent from which each member receives changes. It is a function of the members
// and the source alone, so all processes that know the same members compute the same tree, without
// an election. The source is the root. Below it are the heads of the regions, one for each; below
// the head of a region is one head for each of its zones; and the members of a zone form a tree
// with a bounded number of children.
type Tree struct {
	source  MemberID
	parent  map[MemberID]MemberID
	zoneOf  map[MemberID]*memberGroup
	regions map[string]*memberGroup
	members []MemberID
}

// memberGroup holds the members of a zone or region, sorted by rank.
type memberGroup struct {
	region  string
	members []MemberID
	zones   []*memberGroup // of a region
}

// rank returns the sort key of a member within its group. It hashes the ID, so that any scheme of
// IDs gives an even order, and puts the source first.
func rank(id, source MemberID) uint64 {
	if id == source {
		return 0
	}
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return xxhash.Sum64(b[:]) | 1
}

// NewTree computes the tree. The source need not be a member; the heads of the regions then have a
// parent that is not a member.
func NewTree(members []Member, source MemberID, fanOut int) *Tree {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(a.ID, source), rank(b.ID, source)), cmp.Compare(a.ID, b.ID))
	})
	t := &Tree{
		source: source, parent: make(map[MemberID]MemberID, len(members)),
		zoneOf: make(map[MemberID]*memberGroup, len(members)), regions: make(map[string]*memberGroup),
	}
	zones := make(map[string]*memberGroup)
	for _, m := range sorted {
		zone, region := zones[m.Zone], t.regions[m.Region]
		if region == nil {
			region = &memberGroup{region: m.Region}
			t.regions[m.Region] = region
		}
		if zone == nil {
			zone = &memberGroup{region: m.Region}
			zones[m.Zone] = zone
			region.zones = append(region.zones, zone)
		}
		t.zoneOf[m.ID] = zone
		zone.members = append(zone.members, m.ID)
		region.members = append(region.members, m.ID)
		t.members = append(t.members, m.ID)
	}
	for _, region := range t.regions { // in any order: each region sets its own members
		t.setParents(region, fanOut)
	}
	delete(t.parent, source)
	return t
}

// setParents sets the parents of a region's members.
func (t *Tree) setParents(region *memberGroup, fanOut int) {
	regionHead := region.members[0]
	for _, zone := range region.zones {
		zoneHead := zone.members[0]
		t.parent[zoneHead] = regionHead
		subordinateHeads := 0 // heads of zones and regions below the zone's head
		if zoneHead == regionHead {
			t.parent[regionHead] = t.source
			subordinateHeads = len(region.zones) - 1
			if regionHead == t.source {
				subordinateHeads += len(t.regions) - 1
			}
		}
		// The more heads are below the zone's head, the fewer children it has in its zone.
		ownZoneChildren := max(fanOut-subordinateHeads, 1)
		for i, id := range zone.members[1:] {
			t.parent[id] = zoneHead
			if i >= ownZoneChildren {
				t.parent[id] = zone.members[1+(i-ownZoneChildren)/fanOut]
			}
		}
	}
}

// Source returns the root.
func (t *Tree) Source() MemberID { return t.source }

// Parent returns the parent of a member. ok is false for the source and for an ID that is not a
// member.
func (t *Tree) Parent(id MemberID) (parent MemberID, ok bool) {
	parent, ok = t.parent[id]
	return parent, ok
}

// Depth returns the number of steps from a member up to the root.
func (t *Tree) Depth(id MemberID) int {
	depth := 0
	for p, ok := t.Parent(id); ok; p, ok = t.Parent(p) {
		depth++
	}
	return depth
}

// First attempts at which members other than the parent and the grandparent are asked: members of
// the same zone, of the same region, any member, and the source.
const (
	firstZoneAttempt   = 2
	firstRegionAttempt = 6
	firstAnyAttempt    = 10
	sourceAttempt      = 16
)

// expectedSourceRequests is the approximate number of members, out of all, that ask the source when
// all have reached that attempt, as after a simultaneous start of all processes.
const expectedSourceRequests = 32

// RequestTarget returns the member to ask on the nth consecutive attempt, where 0 is the first: the
// parent; the grandparent; then random members of ever larger groups; the source last; and then
// from the beginning again. ok is false if there is nobody to ask on this attempt.
func (t *Tree) RequestTarget(id MemberID, attempt int, rng *rand.Rand) (target MemberID, ok bool) {
	parent, ok := t.Parent(id)
	if !ok && len(t.members) == 0 {
		return 0, false
	}
	if !ok {
		// The tree names the member as its source, but the member asks because it is not the
		// source.
		parent = t.members[rng.IntN(len(t.members))]
		return parent, parent != id
	}
	zone := t.zoneOf[id]
	candidates := zone.members
	switch attempt %= sourceAttempt + 1; {
	case attempt < firstZoneAttempt:
		if grandparent, ok := t.Parent(parent); ok && attempt == 1 {
			return grandparent, true
		}
		return parent, true
	case attempt == sourceAttempt && rng.IntN(len(t.members)) < expectedSourceRequests:
		return t.source, true
	case attempt >= firstAnyAttempt:
		candidates = t.members
	case attempt >= firstRegionAttempt:
		candidates = t.regions[zone.region].members
	}
	const maxDraws = 4
	for range maxDraws {
		if drawn := candidates[rng.IntN(len(candidates))]; drawn != id && drawn != t.source {
			return drawn, true
		}
	}
	return parent, true
}
