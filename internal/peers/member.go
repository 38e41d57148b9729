package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// State is the state of a member in one process's view.
type State uint8

// The states of a member. Of two records with the same incarnation the one with the larger state wins; Left is final.
const (
	Alive State = iota
	Suspect
	Left
	Dead
)

// String returns the state's name, as events and views show it.
func (s State) String() string { return [...]string{"alive", "suspect", "left", "dead"}[min(s, Dead)] }

// Member is one life of a process.
type Member struct {
	Session     uint64         `cbor:"1,keyasint"`
	Name        string         `cbor:"2,keyasint"`
	Addr        netip.AddrPort `cbor:"-"`
	EncodedAddr []byte         `cbor:"3,keyasint"` // Addr on the wire
	Incarnation uint64         `cbor:"4,keyasint"`
	State       State          `cbor:"5,keyasint"`
	Zone        string         `cbor:"6,keyasint,omitempty"`
}

// live tells whether the member counts as running: a suspect does.
func (m *Member) live() bool { return m.State <= Suspect }

// member is what is kept of a member.
type member struct {
	Member
	stateSince        time.Time // of its state
	suspicionDeadline time.Time // of a suspect: it is dead then, unless it speaks up
	transmissions     int       // how often its latest state was told on
	queued            bool      // its latest state is still to be told on
	notifiedAt        time.Time // when it was last told what is held of it
}

// memberTable holds the members.
type memberTable struct {
	self       *member // this process, which only byName has beside the others
	bySession  map[uint64]*member
	others     []*member // by session
	byName     []*member // by name and session
	liveOthers int       // how many of the others live
}

func newMemberTable(self *member) memberTable {
	return memberTable{self: self, bySession: make(map[uint64]*member), byName: []*member{self}}
}

// find returns a member, nil if it is not known.
func (t *memberTable) find(session uint64) *member { return t.bySession[session] }

// insert adds a member that lives.
func (t *memberTable) insert(m *member) {
	at, _ := slices.BinarySearchFunc(t.others, m, compareSessions)
	t.others = slices.Insert(t.others, at, m)
	t.insertByName(m)
	t.bySession[m.Session] = m
	t.liveOthers++
}

// forget removes the members that gone tells.
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

func addrBytes(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary()
	return b
}
