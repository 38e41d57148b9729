package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceMembers returns the same as Members, but sorts the members on each call.
func referenceMembers(p *Peers) []Member {
	all := []Member{p.self.Member}
	for _, m := range p.members.others {
		if m.live() {
			all = append(all, m.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Session, b.Session))
	})
	return all
}

// referenceParent returns the same as Parent, but sorts the members on each call.
func referenceParent(p *Peers, root uint64, fanout int) (netip.AddrPort, bool) {
	all := referenceMembers(p)
	slices.SortFunc(all, func(a, b Member) int {
		if (a.Session == root) != (b.Session == root) {
			if a.Session == root {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Session, b.Session)
	})
	i := slices.IndexFunc(all, func(m Member) bool { return m.Session == p.self.Session })
	if i <= 0 || root == 0 {
		return netip.AddrPort{}, false
	}
	return all[(i-1)/fanout].Addr, true
}

// referenceNameConflict returns the same as hasNameConflict, but searches the whole table.
func referenceNameConflict(p *Peers, m *member) bool {
	found := m.Name == p.self.Name && m.Addr != p.self.Addr
	for _, o := range p.members.others {
		found = found || o != m && o.Name == m.Name && o.live() && o.Addr != m.Addr
	}
	return found
}

// Members are added, die and are removed in random order. Members, Parent and hasNameConflict use
// orders that are maintained incrementally, and must agree with implementations that use none.
func TestOrderedMembersMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		c := DefaultConfig()
		c.Name, c.Addr, c.Session, c.Seed = "b", addr(0), 50, 1
		if rapid.Bool().Draw(t, "restored") {
			for i := range 9 {
				c.Known = append(c.Known, Member{Session: uint64(100 - i), Name: string(rune('a' + i%3)), Addr: addr(i), EncodedAddr: addrBytes(addr(i))})
			}
		}
		p := New(now, c)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			n := rapid.IntRange(1, 100).Draw(t, "session")
			p.merge(now, &Member{
				Session: uint64(n), Name: string(rune('a' + n%4)), EncodedAddr: addrBytes(addr(rapid.IntRange(0, 5).Draw(t, "address"))),
				Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")), State: State(rapid.IntRange(0, 3).Draw(t, "state")),
			})
			p.Tick(now)
			p.Take()
			if got, want := p.Members(), referenceMembers(p); !slices.EqualFunc(got, want, func(a, b Member) bool { return a.Session == b.Session && a.State == b.State }) {
				t.Fatalf("Members() = %v, want %v", got, want)
			}
			root := uint64(rapid.IntRange(0, 100).Draw(t, "root"))
			fanout := rapid.IntRange(1, 4).Draw(t, "children")
			got, ok := p.Parent(root, fanout)
			if want, there := referenceParent(p, root, fanout); got != want || ok != there {
				t.Fatalf("Parent with root %d = %v, %v, want %v, %v", root, got, ok, want, there)
			}
			for _, m := range p.members.others {
				if got, want := p.hasNameConflict(m), referenceNameConflict(p, m); got != want {
					t.Fatalf("name conflict of %s: got %v, want %v", m.Name, got, want)
				}
			}
		}
	})
}

// The member table never holds more than MaxMembers other members, whether they are learned by
// gossip or restored at the start.
func TestMemberTableIsBounded(t *testing.T) {
	const maxMembers = 40
	for _, known := range []int{0, 60} {
		c := DefaultConfig()
		c.Name, c.Addr, c.Session, c.Seed, c.MaxMembers = "p", addr(0), 1, 1, maxMembers
		for i := range known {
			c.Known = append(c.Known, Member{Session: uint64(1000 + i), Name: "q", Addr: addr(i + 1), EncodedAddr: addrBytes(addr(i + 1))})
		}
		now := time.Unix(1e9, 0)
		p := New(now, c)
		for i := range 2 * maxMembers {
			p.merge(now, &Member{Session: uint64(2000 + i), Name: "r", EncodedAddr: addrBytes(addr(i + 100))})
		}
		if got := len(p.Members()); got != 1+maxMembers {
			t.Errorf("with %d members at the start: got %d members, want %d", known, got, 1+maxMembers)
		}
	}
}
