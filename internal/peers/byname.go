package peers

import (
	"cmp"
	"slices"
)

// compareNames orders members by name and session.
func compareNames(a, b *member) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), compareSessions(a, b))
}

// insertByName adds a member to the order by name.
func (t *memberTable) insertByName(m *member) {
	at, _ := slices.BinarySearchFunc(t.byName, m, compareNames)
	t.byName = slices.Insert(t.byName, at, m)
}

// removeForgottenByName removes what is no longer in the table from the order by name.
func (t *memberTable) removeForgottenByName() {
	t.byName = slices.DeleteFunc(t.byName, func(m *member) bool { return m != t.self && t.find(m.Session) == nil })
}

// liveMembers returns the members that live, by name and session. This process is always among them.
func (t *memberTable) liveMembers() []Member {
	members := make([]Member, 0, 1+t.liveOthers)
	for _, m := range t.byName {
		if m == t.self || m.live() {
			members = append(members, m.Member)
		}
	}
	return members
}

// withName returns all members that have a name, this process among them.
func (t *memberTable) withName(name string) []*member {
	first, _ := slices.BinarySearchFunc(t.byName, name, func(m *member, name string) int { return cmp.Compare(m.Name, name) })
	end := first
	for end < len(t.byName) && t.byName[end].Name == name {
		end++
	}
	return t.byName[first:end]
}
