package mesh

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Bounds on what other processes may make this one keep.
const (
	mostLeaseName = 64  // bytes
	mostLeases    = 256 // leases whose announcements are kept
)

// fanout is to how many random members an announcement that is new here is passed on at once; the pulls do the rest.
const fanout = 3

// ErrNotOwner is why an announcement is not published: the process does not hold the lease.
var ErrNotOwner = errors.New("mesh: not the owner")

// announcementState is the latest announcement of a lease, and the newer one that is being received.
type announcementState struct {
	Announcement
	known        bool // there is a latest one
	incoming     AnnouncementID
	reassembly   reassembly // of incoming
	confirmedFor time.Time  // it was the owner's latest at this time or later, by the clock here; zero: unknown
}

// announcementStore holds the announcements of all leases.
type announcementStore struct {
	byLease map[string]*announcementState
	leases  []string // sorted
}

func newAnnouncementStore() announcementStore {
	return announcementStore{byLease: make(map[string]*announcementState)}
}

// find returns the state of a lease, nil if nothing is known of it.
func (s *announcementStore) find(lease string) *announcementState { return s.byLease[lease] }

// ensure returns the state of a lease and makes it if there is none.
func (s *announcementStore) ensure(lease string) *announcementState {
	if state := s.byLease[lease]; state != nil {
		return state
	}
	state := &announcementState{}
	state.Lease = lease
	s.byLease[lease] = state
	at, _ := slices.BinarySearch(s.leases, lease)
	s.leases = slices.Insert(s.leases, at, lease)
	return state
}

// accepts tells whether a lease of that name may be kept.
func (s *announcementStore) accepts(lease string) bool {
	if lease == "" || len(lease) > mostLeaseName {
		return false
	}
	return len(s.byLease) < mostLeases || s.byLease[lease] != nil
}

// firstOwner is the session of the owner of the first lease that has an announcement, 0 if none has.
func (s *announcementStore) firstOwner() uint64 {
	for _, lease := range s.leases {
		if state := s.byLease[lease]; state.known {
			return state.OwnerSession
		}
	}
	return 0
}

// Announce publishes data to all members as the owner of a lease; it replaces what was published before. Members that miss it pull
// it. It returns ErrNotOwner if the lease is not held here.
func (n *Node) Announce(lease string, data []byte) (AnnouncementID, error) {
	token, ok := n.Holds(lease)
	if !ok {
		return AnnouncementID{}, ErrNotOwner
	}
	if len(data) > fragmentBytes*mostFragments {
		return AnnouncementID{}, fmt.Errorf("mesh: an announcement of %d bytes", len(data))
	}
	if !n.fence.Accept(lease, token) {
		return AnnouncementID{}, ErrNotOwner // a later owner has published already, or the floors are not known yet
	}
	state := n.announcements.ensure(lease)
	id := AnnouncementID{Lease: lease, Token: token, Version: 1}
	if state.Token == token {
		id.Version = state.Version + 1
	}
	state.Announcement = Announcement{AnnouncementID: id, Data: slices.Clone(data), OwnerSession: n.cfg.Session, Local: true}
	state.known, state.confirmedFor = true, n.loop.Now()
	n.spread(state)
	n.settle()
	return id, nil
}

// ConfirmCurrent notes that the announcement that was published here is up to date as of now: what it describes was looked at
// again.
func (n *Node) ConfirmCurrent(lease string) {
	state := n.announcements.find(lease)
	if state == nil || !state.Local {
		return
	}
	if token, ok := n.Holds(lease); ok && token == state.Token {
		state.confirmedFor = n.loop.Now()
	}
}

// Latest returns the latest announcement of a lease, and the time for which its owner confirmed it at the latest, counted from before
// the owner was asked, zero if that is unknown; ok is false if there is none.
func (n *Node) Latest(lease string) (latest Announcement, confirmed time.Time, ok bool) {
	state := n.announcements.find(lease)
	if state == nil || !state.known {
		return Announcement{}, time.Time{}, false
	}
	return state.Announcement, state.confirmedFor, true
}

// spread passes an announcement on to random members.
func (n *Node) spread(state *announcementState) {
	for _, m := range n.peers.RandomMembers(fanout) {
		n.sendAnnouncement(m.Addr, state)
	}
}

// sendAnnouncement sends an announcement in as many datagrams as it takes.
func (n *Node) sendAnnouncement(to netip.AddrPort, state *announcementState) {
	parts := fragments(state.Data)
	for i, part := range parts {
		n.send(to, &envelope{Announcement: &announcementFragment{
			ID: state.AnnouncementID, Index: i, Count: len(parts), Data: part, From: state.OwnerSession,
		}})
	}
}

// handleAnnouncement takes a fragment of an announcement. One that is not newer is dropped before it reaches the fence, one of a
// former owner is refused by it.
func (n *Node) handleAnnouncement(p *announcementFragment) {
	if !n.announcements.accepts(p.ID.Lease) {
		n.Counters.Damaged++
		return
	}
	state := n.announcements.ensure(p.ID.Lease)
	if !n.wanted(state, p.ID) {
		return
	}
	if p.ID != state.incoming {
		state.incoming, state.reassembly = p.ID, reassembly{}
	}
	data := state.reassembly.add(p.Index, p.Count, p.Data)
	if data == nil || !n.passesFence(p.ID) {
		return
	}
	n.accept(state, Announcement{AnnouncementID: p.ID, Data: data, OwnerSession: p.From})
}

// wanted tells whether an announcement with that id would be new here, and counts one that would not.
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
	if id != state.incoming && state.reassembly.parts != nil && state.incoming.newerThan(id) {
		n.Counters.AnnouncementsOld++
		return false
	}
	return true
}

// passesFence tells whether a whole announcement may be accepted, and counts one that may not.
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

// accept has an announcement replace the one before, reports it and passes it on.
func (n *Node) accept(state *announcementState, a Announcement) {
	n.Counters.AnnouncementsAccepted++
	if state.Token != a.Token || state.Local {
		state.confirmedFor = time.Time{} // what a former owner confirmed says nothing of this one
	}
	state.Announcement, state.known = a, true
	n.tell(Event{Kind: "word", Lease: a.Lease, Token: a.Token, Version: a.Version})
	if n.cfg.OnAnnouncement != nil {
		n.cfg.OnAnnouncement(a)
	}
	n.spread(state)
}
