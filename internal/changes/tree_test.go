package changes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func exampleMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		zone := i % 8
		members[i] = Member{ID: MemberID(i + 1), Region: fmt.Sprint("region-", zone%3), Zone: fmt.Sprint("zone-", zone)}
	}
	return members
}

// Checks that the same members give the same tree in any order, that every member is below the
// source, and that each has few children.
func TestTreeIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := exampleMembers(rapid.IntRange(1, 300).Draw(t, "members"))
		source := MemberID(rapid.IntRange(1, len(members)).Draw(t, "source"))
		tree := NewTree(members, source, 4)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		other := NewTree(members, source, 4)
		children := make(map[MemberID]int)
		for _, m := range members {
			parent, ok := tree.Parent(m.ID)
			if p, _ := other.Parent(m.ID); p != parent || ok == (m.ID == source) {
				t.Fatalf("member %d has parent %d in one tree and %d in the other", m.ID, parent, p)
			}
			if tree.Depth(m.ID) > 12 {
				t.Fatalf("member %d has depth %d, want at most 12", m.ID, tree.Depth(m.ID))
			}
			children[parent]++
			for attempt := range 2 * sourceAttempt {
				if n, ok := tree.RequestTarget(m.ID, attempt, rng); ok && n == m.ID {
					t.Fatalf("request target of member %d is the member itself", m.ID)
				}
			}
		}
		for _, m := range members {
			// Heads of regions, heads of zones of its region, and at least one member of its zone.
			if children[m.ID] > 2+2+1 {
				t.Fatalf("%d children of member %d, want at most 5", children[m.ID], m.ID)
			}
		}
	})
}

// Checks that a tree of 7,400 members, the size expected in two years, is at most 8 levels deep.
func TestTreeDepthOf7400Members(t *testing.T) {
	tree := NewTree(exampleMembers(7400), 17, 4)
	deepest := 0
	for _, m := range exampleMembers(7400) {
		deepest = max(deepest, tree.Depth(m.ID))
	}
	if deepest > 8 {
		t.Errorf("tree has depth %d, want at most 8", deepest)
	}
}

// Checks that over a long time no more is spent than the rate allows, and that each class gets its
// share while all have traffic, and the whole rate when it is alone.
func TestBudgetSharesAndRate(t *testing.T) {
	for _, alone := range []bool{false, true} {
		now := time.Unix(0, 0)
		b := NewBudget(now, 1000, 1000)
		var spent [classCount]int
		for range 100_000 {
			now = now.Add(time.Millisecond)
			for class := range classCount {
				if (!alone || class == ClassSnapshot) && b.CanSpendAny(now, class) {
					b.Spend(now, class, 50)
					spent[class] += 50
				}
			}
		}
		total := spent[ClassChange] + spent[ClassRepair] + spent[ClassSnapshot]
		if total > 102_000 || total < 99_000 {
			t.Errorf("alone %v: %v bytes spent in 100 s, want 99,000 to 102,000 in total", alone, spent)
		}
		if !alone && (spent[ClassChange] < 49_000 || spent[ClassRepair] < 29_000 || spent[ClassSnapshot] < 19_000) {
			t.Errorf("bytes spent by class: %v, want at least 49,000, 29,000 and 19,000", spent)
		}
	}
}
