package peers

import (
	"cmp"
	"slices"
)

// compareNames orders members by name, and members of the same name by session.
func compareNames(a, b *member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), compareSessions(a, b))
}

// insertByName inserts a member into byName, which stays sorted.
func (t *memberTable) insertByName(m *member) {
	at, _ := slices.BinarySearchFunc(t.byName, m, compareNames)
	t.byName = slices.Insert(t.byName, at, m)
}

// removeForgottenByName removes the members from byName that are no longer in the table.
func (t *memberTable) removeForgottenByName() {
	t.byName = slices.DeleteFunc(t.byName, func(m *member) bool { return m != t.self && t.find(m.Session) == nil })
}

// liveMembers returns the live members ordered by name and session. This process is always
// included.
func (t *memberTable) liveMembers() []Member {
	members := make([]Member, 0, 1+t.liveOthers)
	for _, m := range t.byName {
		if m == t.self || m.live() {
			members = append(members, m.Member)
		}
	}
	return members
}

// withName returns all members with the given name, in any state. This process is included if it
// has that name.
func (t *memberTable) withName(name string) []*member {
	first, _ := slices.BinarySearchFunc(t.byName, name, func(m *member, name string) int { return cmp.Compare(m.Name, name) })
	end := first
	for end < len(t.byName) && t.byName[end].Name == name {
		end++
	}
	return t.byName[first:end]
}
