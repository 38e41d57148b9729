package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// State is the state of a member as this process knows it.
type State uint8

// The states of a member. Of two records with the same incarnation, the one with the greater state
// takes precedence. Left is final.
const (
	Alive State = iota
	Suspect
	Left
	Dead
)

// String returns the name of the state, as shown to operators.
func (s State) String() string { return [...]string{"alive", "suspect", "left", "dead"}[min(s, Dead)] }

// Member is the record of a member. A member is one run of a process, from start to end: a process
// that restarts becomes a new member with a new session.
type Member struct {
	Session     uint64         `cbor:"1,keyasint"`
	Name        string         `cbor:"2,keyasint"`
	Addr        netip.AddrPort `cbor:"-"`
	EncodedAddr []byte         `cbor:"3,keyasint"` // Addr in binary form, as sent
	Incarnation uint64         `cbor:"4,keyasint"`
	State       State          `cbor:"5,keyasint"`
	Zone        string         `cbor:"6,keyasint,omitempty"`
}

// live reports whether the member counts as running. A suspected member does.
func (m *Member) live() bool { return m.State <= Suspect }

// member is an entry of the member table.
type member struct {
	Member
	stateSince        time.Time // time of the last change of State
	suspicionDeadline time.Time // when a suspect is declared dead
	transmissions     int       // how often its latest state was sent
	queued            bool      // its latest state is in the update queue
	notifiedAt        time.Time // when it was last sent its own record; see notify
}

// memberTable holds the known members.
type memberTable struct {
	self       *member // this process; in byName, but not in bySession or others
	bySession  map[uint64]*member
	others     []*member // all members but this process, ordered by session
	byName     []*member // all members, ordered by name and session
	liveOthers int       // number of live members in others
}

func newMemberTable(self *member) memberTable {
	return memberTable{self: self, bySession: make(map[uint64]*member), byName: []*member{self}}
}

// find returns the member with the given session, or nil if it is not known. It never returns this
// process.
func (t *memberTable) find(session uint64) *member { return t.bySession[session] }

// insert adds a live member.
func (t *memberTable) insert(m *member) {
	at, _ := slices.BinarySearchFunc(t.others, m, compareSessions)
	t.others = slices.Insert(t.others, at, m)
	t.insertByName(m)
	t.bySession[m.Session] = m
	t.liveOthers++
}

// forget removes the members for which remove returns true.
func (t *memberTable) forget(remove func(m *member) bool) {
	known := len(t.others)
	t.others = slices.DeleteFunc(t.others, func(m *member) bool {
		if !remove(m) {
			return false
		}
		delete(t.bySession, m.Session)
		return true
	})
	if len(t.others) < known {
		t.removeForgottenByName()
	}
}

// compareSessions orders members by session.
func compareSessions(a, b *member) int { return cmp.Compare(a.Session, b.Session) }

// addrBytes returns the binary form of an address, as sent in Member.EncodedAddr.
func addrBytes(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary()
	return b
}
