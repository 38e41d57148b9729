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

// All compute the same tree from the same members in any order; every member hangs below the source, and few below each.
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
				t.Fatalf("member %d is below %d, and below %d", m.ID, parent, p)
			}
			if tree.Depth(m.ID) > 12 {
				t.Fatalf("member %d is %d below the source", m.ID, tree.Depth(m.ID))
			}
			children[parent]++
			for attempt := range 2 * sourceAttempt {
				if n, ok := tree.RequestTarget(m.ID, attempt, rng); ok && n == m.ID {
					t.Fatalf("member %d would ask itself", m.ID)
				}
			}
		}
		for _, m := range members {
			if children[m.ID] > 2+2+1 { // heads of regions, of zones of its region, and one of its zone at least
				t.Fatalf("%d members are below %d", children[m.ID], m.ID)
			}
		}
	})
}

// A tree of the size in two years is low.
func TestTreeDepthOf7400Members(t *testing.T) {
	tree := NewTree(exampleMembers(7400), 17, 4)
	deepest := 0
	for _, m := range exampleMembers(7400) {
		deepest = max(deepest, tree.Depth(m.ID))
	}
	if deepest > 8 {
		t.Errorf("%d steps from the source", deepest)
	}
}

// Over a long time no more is spent than the rate allows; each class has its share while all want to spend, and all of it alone.
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
			t.Errorf("alone %v: %v spent in 100 s", alone, spent)
		}
		if !alone && (spent[ClassChange] < 49_000 || spent[ClassRepair] < 29_000 || spent[ClassSnapshot] < 19_000) {
			t.Errorf("shares: %v", spent)
		}
	}
}
