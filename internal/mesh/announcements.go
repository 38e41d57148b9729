package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Limits on the memory that messages of other processes can make this process hold.
const (
	maxLeaseNameBytes = 64  // also for topics of SharedMessage
	maxLeases         = 256 // leases whose announcements are stored
)

// pushFanout is the number of random members to which a newly accepted announcement is pushed
// immediately. Members that this does not reach get the announcement by pulling.
const pushFanout = 3

// ErrNotOwner is returned by Node.Announce if the process does not hold the lease.
var ErrNotOwner = errors.New("mesh: lease is not held by this process")

// announcementState holds the latest announcement of a lease and the reassembly of a newer one.
type announcementState struct {
	Announcement
	known       bool           // the embedded Announcement is set
	incomingID  AnnouncementID // announcement being reassembled
	reassembly  reassembly     // fragments of incomingID
	confirmedAt time.Time      // the owner's latest then or later, local clock; zero: unknown
}

// announcementStore holds the announcements of all leases.
type announcementStore struct {
	byLease    map[string]*announcementState
	leaseNames []string // keys of byLease, sorted
}

func newAnnouncementStore() announcementStore {
	return announcementStore{byLease: make(map[string]*announcementState)}
}

// find returns the state of a lease, or nil if there is none.
func (s *announcementStore) find(lease string) *announcementState { return s.byLease[lease] }

// ensure returns the state of a lease and creates it if necessary.
func (s *announcementStore) ensure(lease string) *announcementState {
	if state := s.byLease[lease]; state != nil {
		return state
	}
	state := &announcementState{}
	state.Lease = lease
	s.byLease[lease] = state
	at, _ := slices.BinarySearch(s.leaseNames, lease)
	s.leaseNames = slices.Insert(s.leaseNames, at, lease)
	return state
}

// accepts reports whether the state of a lease of that name may be stored: the name must be valid,
// and the store must have room if the lease is new.
func (s *announcementStore) accepts(lease string) bool {
	if lease == "" || len(lease) > maxLeaseNameBytes {
		return false
	}
	return len(s.byLease) < maxLeases || s.byLease[lease] != nil
}

// firstOwnerSession returns the session of the owner of the first lease, in order of names, that
// has an announcement, or 0 if no lease has one.
func (s *announcementStore) firstOwnerSession() uint64 {
	for _, lease := range s.leaseNames {
		if state := s.byLease[lease]; state.known {
			return state.OwnerSession
		}
	}
	return 0
}

// Announce publishes data to all members as the owner of a lease and replaces what was published
// before. Members that miss the push get the announcement by pulling. Announce returns ErrNotOwner
// if this process does not hold the lease.
func (n *Node) Announce(lease string, data []byte) (AnnouncementID, error) {
	token, ok := n.Holds(lease)
	if !ok {
		return AnnouncementID{}, ErrNotOwner
	}
	if len(data) > fragmentBytes*maxFragments {
		return AnnouncementID{}, fmt.Errorf("mesh: announcement of %d bytes exceeds the maximum of %d bytes", len(data), fragmentBytes*maxFragments)
	}
	if !n.fence.Accept(lease, token) {
		// A later owner has already published, or the floors are not known yet.
		return AnnouncementID{}, ErrNotOwner
	}
	state := n.announcements.ensure(lease)
	id := AnnouncementID{Lease: lease, Token: token, Version: 1}
	if state.Token == token {
		id.Version = state.Version + 1
	}
	state.Announcement = Announcement{AnnouncementID: id, Data: slices.Clone(data), OwnerSession: n.cfg.Session, Local: true}
	state.known, state.confirmedAt = true, n.loop.Now()
	n.pushToRandomMembers(state)
	n.flush()
	return id, nil
}

// ConfirmCurrent records that the announcement published by this process is up to date as of now,
// because the state that it describes has been checked again. It does nothing if this process does
// not hold the lease with the token of the announcement.
func (n *Node) ConfirmCurrent(lease string) {
	state := n.announcements.find(lease)
	if state == nil || !state.Local {
		return
	}
	if token, ok := n.Holds(lease); ok && token == state.Token {
		state.confirmedAt = n.loop.Now()
	}
}

// Latest returns the latest announcement of a lease and the time as of which its owner last
// confirmed it. That time is computed from before this process requested the announcement's age,
// and is zero if unknown. ok is false if there is no announcement.
func (n *Node) Latest(lease string) (latest Announcement, confirmed time.Time, ok bool) {
	state := n.announcements.find(lease)
	if state == nil || !state.known {
		return Announcement{}, time.Time{}, false
	}
	return state.Announcement, state.confirmedAt, true
}

// pushToRandomMembers sends an announcement to pushFanout random members.
func (n *Node) pushToRandomMembers(state *announcementState) {
	for _, m := range n.peers.RandomMembers(pushFanout) {
		n.sendAnnouncement(m.Addr, state)
	}
}

// sendAnnouncement sends an announcement in as many datagrams as it needs.
func (n *Node) sendAnnouncement(to netip.AddrPort, state *announcementState) {
	parts := fragments(state.Data)
	for i, part := range parts {
		n.send(to, &envelope{Announcement: &announcementFragment{
			ID: state.AnnouncementID, Index: i, Count: len(parts), Data: part, From: state.OwnerSession,
		}})
	}
}

// handleAnnouncement processes a fragment of an announcement. An announcement that is not newer
// than the known one is dropped before it reaches the fence; the fence refuses announcements of
// former owners.
func (n *Node) handleAnnouncement(f *announcementFragment) {
	if !n.announcements.accepts(f.ID.Lease) {
		n.Counters.Damaged++
		return
	}
	state := n.announcements.ensure(f.ID.Lease)
	if !n.wanted(state, f.ID) {
		return
	}
	if f.ID != state.incomingID {
		state.incomingID, state.reassembly = f.ID, reassembly{}
	}
	data := state.reassembly.add(f.Index, f.Count, f.Data)
	if data == nil || !n.passesFence(f.ID) {
		return
	}
	n.accept(state, Announcement{AnnouncementID: f.ID, Data: data, OwnerSession: f.From})
}

// wanted reports whether an announcement with that id would be new to this process. It counts an
// announcement that would not.
func (n *Node) wanted(state *announcementState, id AnnouncementID) bool {
	if id.Token < n.fence.Floor(id.Lease) && !n.cfg.Flaws.NoFence {
		n.Counters.AnnouncementsStale++
		return false
	}
	unfenced := n.cfg.Flaws.NoFence && id.Token < state.Token
	if state.known && !id.newerThan(state.AnnouncementID) && !unfenced {
		n.Counters.AnnouncementsOld++
		return false
	}
	if id != state.incomingID && state.reassembly.parts != nil && state.incomingID.newerThan(id) {
		n.Counters.AnnouncementsOld++
		return false
	}
	return true
}

// passesFence reports whether a completely received announcement may be accepted. It counts an
// announcement that may not.
func (n *Node) passesFence(id AnnouncementID) bool {
	if n.fence.Closed() {
		n.Counters.AnnouncementsEarly++
		return false
	}
	if !n.fence.Accept(id.Lease, id.Token) {
		n.Counters.AnnouncementsStale++
		return false
	}
	return true
}

// accept replaces the latest announcement of a lease, reports the new one and pushes it to random
// members.
func (n *Node) accept(state *announcementState, a Announcement) {
	n.Counters.AnnouncementsAccepted++
	if state.Token != a.Token || state.Local {
		// A former owner's confirmation does not apply to this announcement.
		state.confirmedAt = time.Time{}
	}
	state.Announcement, state.known = a, true
	n.emit(Event{Kind: "word", Lease: a.Lease, Token: a.Token, Version: a.Version})
	if n.cfg.OnAnnouncement != nil {
		n.cfg.OnAnnouncement(a)
	}
	n.pushToRandomMembers(state)
}
